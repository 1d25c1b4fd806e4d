"""Rows of the table service for jobs and idempotency keys."""

import enum
import secrets
import time

import msgspec

__all__ = [
    'FINAL_STATES',
    'IdempotencyRow',
    'IdempotencyState',
    'JobRow',
    'JobState',
    'StoredAnswer',
    'create_job_id',
]

# Bodies up to this size are part of the row, larger ones are objects.
MAX_INLINE_BYTES = 8192


class JobState(enum.StrEnum):
    """States of a job.

    A parked job does not run until an operator retries it: its outcome is
    unknown, or it cannot run.
    """

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    PARKED = 'parked'


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


class StoredAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """An answer that can be fetched later.

    :param body: the body when it is small.
    :param object_name: where a larger body is in the object store.
    """

    status: int
    headers: list[tuple[str, str]] = []
    body: bytes = b''
    object_name: str = ''


class JobRow(msgspec.Struct, kw_only=True, frozen=True):
    """One job.

    :param owner: id of the member that runs it; empty when any member may
        take it.
    :param epoch: fencing epoch, raised before each further attempt.
    :param worker: VM of the last attempt.
    :param body: the request body when it is small.
    :param reason: why it was parked, failed, cancelled or returned to
        waiting.
    """

    job: str
    customer: str
    team: str
    queue: str
    service: str
    pool: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    key_id: str
    patient: bool
    accepted_at_s: float
    state: JobState = JobState.WAITING
    owner: str = ''
    epoch: int = 1
    attempts: int = 0
    worker: str = ''
    body: bytes = b''
    body_object: str = ''
    reason: str = ''
    finished_at_s: float = 0.0
    answer: StoredAnswer | None = None


class IdempotencyState(enum.StrEnum):
    """What is known of the first request with an Idempotency-Key."""

    TAKEN = 'taken'
    DONE = 'done'
    UNKNOWN = 'unknown'


class IdempotencyRow(msgspec.Struct, kw_only=True, frozen=True):
    """First request with an Idempotency-Key.

    :param fingerprint: hash of method, target and body.
    :param task_id: id of the task that runs the request.
    :param owner: id of the member that handles the request.
    :param job: id of the job that the request created; empty if none.
    """

    fingerprint: str
    task_id: str
    owner: str
    at_s: float
    pool: str = ''
    state: IdempotencyState = IdempotencyState.TAKEN
    job: str = ''
    answer: StoredAnswer | None = None


def create_job_id():
    """Return a new job id; ids sort by the time of their creation."""
    return f'{int(time.time() * 1000):012x}{secrets.token_hex(4)}'
