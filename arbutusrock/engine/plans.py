"""What a caller submits, and how far it has come: rows of the store."""

import msgspec

from arbutusrock.scheduling import Resources

__all__ = [
    'JobPlan',
    'JobProgress',
    'JobStatus',
    'StepPlan',
    'Submission',
    'decode_progress',
    'decode_submission',
    'encode_row',
    'get_ended_ms',
    'has_ended',
]


class JobStatus:
    """States of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    ENDED = frozenset({COMPLETED, FAILED, CANCELLED})


class StepPlan(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Tasks of one step of a job.

    :param estimate_ms: rough duration of a task.
    :param after: numbers of the steps that must be done first.
    :param data_rack: rack near the data, or empty.
    :param label: label that the worker must have, or empty.
    :param most_per_worker: tasks of the step on one worker; 0 is no bound.
    :param target_ms: bound of the tail latency of a serving task.
    :param fills: uses what is left over, outside the worker's capacity.
    :param may_miss: tasks that may be away through our own actions.
    """

    count: int
    demand: Resources = Resources()
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    data_rack: str = ''
    label: str = ''
    most_per_worker: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0


class JobPlan(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Work as submitted.

    :param times: how often the steps run; 0 is once, at once.
    :param start_at_ms: Unix time of occurrence 0.
    """

    spec: str
    steps: tuple[StepPlan, ...]
    times: int = 0
    start_at_ms: float = 0.0
    interval_ms: float = 0.0


class Submission(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Row of an accepted job, with the terms of its queue at that time."""

    queue: str
    pool: str
    account: str
    accepted_ms: float
    plan: JobPlan
    max_attempts: int = 3
    stretch: float = 1.0
    objective_ms: float = 1000.0


class JobProgress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Row with what has ended of a job.

    :param done: by "occurrence.step", a bitmap of done tasks.
    :param failed_runs: by "occurrence.step.index", runs that failed.
    :param checkpoints: by "occurrence.step.index", where to resume.
    :param finished: occurrences of which all tasks are done.
    """

    status: str = JobStatus.RUNNING
    done: dict[str, bytes] = {}
    failed_runs: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}
    finished: list[int] = []
    ended_ms: float = 0.0


class _Status(msgspec.Struct):
    status: str = JobStatus.RUNNING
    ended_ms: float = 0.0


_decode_status = msgspec.msgpack.Decoder(_Status).decode


def has_ended(data):
    """Return whether a progress row shows a job that has ended."""
    return _decode_status(data).status in JobStatus.ENDED


def get_ended_ms(data):
    """Return the Unix time at which the job of a progress row ended."""
    return _decode_status(data).ended_ms


encode_row = msgspec.msgpack.Encoder().encode
decode_submission = msgspec.msgpack.Decoder(Submission).decode
decode_progress = msgspec.msgpack.Decoder(JobProgress).decode
