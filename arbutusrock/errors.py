"""Exception tree. Every error carries a code of :mod:`arbutusrock.codes`."""

from arbutusrock import codes

__all__ = [
    'AccessRefused',
    'AnswerLost',
    'ArbutusrockError',
    'BodyTimeout',
    'BodyTooLarge',
    'BudgetExceeded',
    'CapacityRefused',
    'DeadlineUnreachable',
    'InternalError',
    'InvalidDocument',
    'InvalidRequest',
    'InvalidSettings',
    'JobNotFinished',
    'JobStateConflict',
    'KeyMissing',
    'KeyRefused',
    'NoWorker',
    'NodeNotServing',
    'NodeStopping',
    'NotFound',
    'OperatorRefused',
    'OutcomeUnknown',
    'QueueFull',
    'QueueRefused',
    'RepeatInProgress',
    'RepeatMismatch',
    'StateConflict',
    'StoreOutcomeUnknown',
    'StoreUnavailable',
    'Unavailable',
    'UpstreamNotRun',
    'VersionConflict',
]


class ArbutusrockError(Exception):
    """Base of all errors.

    :param detail: what happened, naming the objects.
    :param retry_after: seconds after which a repeat makes sense.
    """

    code = codes.INTERNAL
    run = codes.ExecutionStatus.NOT_RUN

    def __init__(self, detail, *, retry_after=None):
        super().__init__(detail)
        self.detail = detail
        self.retry_after = retry_after

    def __str__(self):
        return f'{self.code.label} {self.code.title}: {self.detail}'


class InternalError(ArbutusrockError):
    """A fault of this program; what ran is not known."""

    run = codes.ExecutionStatus.UNKNOWN


class InvalidInput(ArbutusrockError):
    """Input that breaks a documented rule."""


class InvalidSettings(InvalidInput):
    """The settings file breaks a rule."""

    code = codes.INVALID_SETTINGS


class InvalidDocument(InvalidInput):
    """A document of an operator breaks a rule."""

    code = codes.INVALID_DOCUMENT


class InvalidRequest(InvalidInput):
    """A request breaks a rule."""

    code = codes.INVALID_REQUEST


class BodyTooLarge(InvalidInput):
    """A body exceeds its bound."""

    code = codes.BODY_TOO_LARGE


class BodyTimeout(InvalidInput):
    """A caller sends its body too slowly."""

    code = codes.BODY_TIMEOUT


class NotFound(InvalidInput):
    """An object does not exist."""

    code = codes.NOT_FOUND


class AccessRefused(ArbutusrockError):
    """A right is missing."""


class KeyMissing(AccessRefused):
    """The request carries no key."""

    code = codes.KEY_MISSING


class KeyRefused(AccessRefused):
    """The key is unknown or withdrawn."""

    code = codes.KEY_REFUSED


class QueueRefused(AccessRefused):
    """The team has no right to the queue."""

    code = codes.QUEUE_REFUSED


class OperatorRefused(AccessRefused):
    """The operator token is missing or unknown."""

    code = codes.OPERATOR_REFUSED


class CapacityRefused(ArbutusrockError):
    """Capacity is missing now."""


class QueueFull(CapacityRefused):
    """A bounded queue is full."""

    code = codes.QUEUE_FULL


class DeadlineUnreachable(CapacityRefused):
    """The request cannot start in time."""

    code = codes.DEADLINE_UNREACHABLE


class NoWorker(CapacityRefused):
    """The pool has no worker that takes work."""

    code = codes.NO_WORKER


class Unavailable(ArbutusrockError):
    """This node cannot serve now."""


class NodeStopping(Unavailable):
    """The node is in graceful shutdown."""

    code = codes.NODE_STOPPING


class NodeNotServing(Unavailable):
    """The node has no valid lease."""

    code = codes.NODE_NOT_SERVING


class StoreUnavailable(Unavailable):
    """The table service or the object store does not answer.

    ``change_id`` is the id of the transaction whose result is not known.
    """

    code = codes.STORE_UNAVAILABLE
    change_id = ''


class StoreOutcomeUnknown(Unavailable):
    """A job may have been accepted although no answer came."""

    code = codes.STORE_OUTCOME_UNKNOWN
    run = codes.ExecutionStatus.UNKNOWN


class UpstreamError(ArbutusrockError):
    """A worker did not give an answer."""


class UpstreamNotRun(UpstreamError):
    """No worker took the request."""

    code = codes.UPSTREAM_NOT_RUN


class OutcomeUnknown(UpstreamError):
    """The request may have run."""

    code = codes.OUTCOME_UNKNOWN
    run = codes.ExecutionStatus.UNKNOWN


class AnswerLost(UpstreamError):
    """The request ran and the answer cannot be had."""

    code = codes.ANSWER_LOST
    run = codes.ExecutionStatus.RAN


class Conflict(ArbutusrockError):
    """The state of an object forbids the action."""


class RepeatInProgress(Conflict):
    """The first request with this Idempotency-Key still runs."""

    code = codes.REPEAT_IN_PROGRESS
    run = codes.ExecutionStatus.UNKNOWN


class RepeatMismatch(Conflict):
    """The Idempotency-Key was used for another request."""

    code = codes.REPEAT_MISMATCH


class JobNotFinished(Conflict):
    """The job has no answer yet."""

    code = codes.JOB_NOT_FINISHED
    run = codes.ExecutionStatus.UNKNOWN


class JobStateConflict(Conflict):
    """The state of the job forbids the action."""

    code = codes.JOB_STATE_CONFLICT


class VersionConflict(Conflict):
    """Another change was accepted first."""

    code = codes.VERSION_CONFLICT


class BudgetExceeded(Conflict):
    """An availability budget forbids the action."""

    code = codes.BUDGET_EXCEEDED


class StateConflict(Conflict):
    """The state of a machine or wave forbids the action."""

    code = codes.STATE_CONFLICT
