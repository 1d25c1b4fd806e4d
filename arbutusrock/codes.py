"""Numbered result codes, listed for users in ``docs/CODES.md``."""

from dataclasses import dataclass
import enum

__all__ = ['ALL_CODES', 'Code', 'ExecutionStatus']


class ExecutionStatus(enum.StrEnum):
    """What an error tells the caller about the execution of its request."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclass(slots=True, frozen=True, kw_only=True)
class Code:
    """One result code.

    :param number: stable number, never reused.
    :param status: HTTP status that carries the code.
    :param title: short text for people, also listed in ``docs/CODES.md``.
    :param exit_status: exit status of the command-line tool.
    """

    number: int
    status: int
    title: str
    exit_status: int = 1

    @property
    def label(self):
        """Return the code as it is printed in messages.

        >>> INVALID_SETTINGS.label
        'AR-101'
        """
        return f'AR-{self.number}'


def _code(number, status, title, exit_status):
    return Code(
        number=number, status=status, title=title, exit_status=exit_status
    )


EXIT_INPUT = 2
EXIT_ACCESS = 3
EXIT_CAPACITY = 4
EXIT_UNAVAILABLE = 5
EXIT_UPSTREAM = 6
EXIT_CONFLICT = 7
EXIT_INTERNAL = 70

INVALID_SETTINGS = _code(101, 400, 'the settings are not valid', EXIT_INPUT)
INVALID_DOCUMENT = _code(102, 400, 'the document is not valid', EXIT_INPUT)
INVALID_REQUEST = _code(103, 400, 'the request is not valid', EXIT_INPUT)
BODY_TOO_LARGE = _code(104, 413, 'the body is too large', EXIT_INPUT)
NOT_FOUND = _code(105, 404, 'no such object', EXIT_INPUT)
BODY_TIMEOUT = _code(106, 408, 'the body arrived too slowly', EXIT_INPUT)
KEY_MISSING = _code(201, 401, 'the request carries no key', EXIT_ACCESS)
KEY_REFUSED = _code(202, 401, 'the key is not granted', EXIT_ACCESS)
QUEUE_REFUSED = _code(
    203, 403, 'the team has no right to the queue', EXIT_ACCESS
)
OPERATOR_REFUSED = _code(
    204, 401, 'the operator token is not valid', EXIT_ACCESS
)
QUEUE_FULL = _code(301, 429, 'the queue is full', EXIT_CAPACITY)
DEADLINE_UNREACHABLE = _code(
    302, 503, 'the request cannot start before its deadline', EXIT_CAPACITY
)
NO_WORKER = _code(
    303, 503, 'no worker of the pool can take work', EXIT_CAPACITY
)
NODE_STOPPING = _code(401, 503, 'this node is stopping', EXIT_UNAVAILABLE)
NODE_NOT_SERVING = _code(
    402, 503, 'this node has no valid lease', EXIT_UNAVAILABLE
)
STORE_UNAVAILABLE = _code(
    403, 503, 'the table service does not answer', EXIT_UNAVAILABLE
)
STORE_OUTCOME_UNKNOWN = _code(
    404, 503, 'it is not known whether the job is stored', EXIT_UNAVAILABLE
)
UPSTREAM_NOT_RUN = _code(501, 502, 'no worker took the request', EXIT_UPSTREAM)
OUTCOME_UNKNOWN = _code(
    502, 502, 'the outcome of the request is unknown', EXIT_UPSTREAM
)
ANSWER_LOST = _code(
    503, 502, 'the request ran and its answer is lost', EXIT_UPSTREAM
)
REPEAT_IN_PROGRESS = _code(
    601, 409, 'a request with this Idempotency-Key is running', EXIT_CONFLICT
)
REPEAT_MISMATCH = _code(
    602, 422, 'the Idempotency-Key belongs to another request', EXIT_INPUT
)
JOB_NOT_FINISHED = _code(603, 409, 'the job has no answer yet', EXIT_CONFLICT)
JOB_STATE_CONFLICT = _code(
    604, 409, 'the state of the job forbids this', EXIT_CONFLICT
)
VERSION_CONFLICT = _code(701, 409, 'another change came first', EXIT_CONFLICT)
BUDGET_EXCEEDED = _code(
    702, 409, 'the availability budget forbids this', EXIT_CONFLICT
)
STATE_CONFLICT = _code(
    703, 409, 'the state of the object forbids this', EXIT_CONFLICT
)
INTERNAL = _code(901, 500, 'internal fault', EXIT_INTERNAL)

ALL_CODES = tuple(
    sorted(
        (item for item in list(globals().values()) if isinstance(item, Code)),
        key=lambda item: item.number,
    )
)
