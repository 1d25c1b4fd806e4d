"""Stored rows of jobs: what a caller submitted, and its progress."""

import zlib

import msgspec

from arbutusrock.scheduling import configuration
from arbutusrock.scheduling import crash_attribution
from arbutusrock.scheduling import Resources
from arbutusrock.utils import decoders

__all__ = [
    'MAX_SUBMISSION_BYTES',
    'JobPlan',
    'JobProgress',
    'JobStatus',
    'StepPlan',
    'Submission',
    'decode_progress',
    'decode_status',
    'decode_submission',
    'encode_row',
    'encode_submission',
    'get_ended_ms',
    'has_ended',
    'read_outline',
]


# Longest submission, before it is compressed. It bounds what an owner has to
# go through for one job.
MAX_SUBMISSION_BYTES = 65_536
# First byte of a compressed row; no other row begins with it: they are maps.
COMPRESSED = b'Z'


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

    :param count: number of tasks.
    :param demand: resources of each task.
    :param estimate_ms: declared estimate of a task's duration.
    :param after: numbers of the steps that must be done first.
    :param gang: whether all tasks must start together.
    :param same_rack: whether the tasks of a gang need workers of one rack.
    :param data_rack: rack that holds the data, or empty.
    :param label: label that the worker must have, or empty.
    :param most_per_worker: maximum number of tasks of the step on one worker;
        0 means no bound.
    :param long_running: whether the tasks run until the job is cancelled.
    :param target_ms: target for the tail latency of a serving task.
    :param fills: whether its tasks use only cores that are left over, so that
        their cores do not count against the worker's capacity.
    :param may_miss: disruption budget: tasks of the step that may be
        unavailable at once because the system moves them.
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
    """The work of a job, as submitted.

    :param spec: what the worker has to run.
    :param times: number of occurrences; 0 means one that starts at once.
    :param start_at_ms: Unix time at which occurrence 0 is due.
    :param interval_ms: time between two occurrences.
    """

    spec: str
    steps: tuple[StepPlan, ...]
    times: int = 0
    start_at_ms: float = 0.0
    interval_ms: float = 0.0

    def get_demand(self, step_number):
        """Return what a task of a step needs; nothing of an unknown step."""
        if step_number < len(self.steps):
            return self.steps[step_number].demand
        return Resources()


class Submission(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Row of an accepted job, with its queue's settings at that time.

    :param max_attempts: failed runs of a task after which the job fails.
    :param stretch: factor on the critical path in the completion objective.
    :param objective_ms: fixed part of the completion objective.
    :param advice: :class:`configuration.AdviceSettings` of its queue; None
        without a policy service. Rows of earlier versions do not have it.
    """

    queue: str
    pool: str
    account: str
    accepted_ms: float
    plan: JobPlan
    max_attempts: int = 3
    stretch: float = 1.0
    objective_ms: float = 1000.0
    advice: configuration.AdviceSettings | None = None


class JobProgress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Progress of a job, and its row unless that is divided.

    How it is divided is described at
    :mod:`arbutusrock.engine.state.progress_layout`.

    :param done: bitmap of the done tasks by "occurrence.step".
    :param failed_runs: numbers of the failed runs by "occurrence.step.index".
    :param checkpoints: checkpoint to resume from by "occurrence.step.index".
    :param crashes: crashes of workers by "occurrence.step.index" of the task
        that had a run there; those of a gang are kept with its first task.
    :param unresolved: runs by "occurrence.step.index" whose worker may have
        crashed.
    :param finished: numbers of the occurrences whose tasks are all done.
    :param ended_ms: Unix time at which the job ended; 0 before.
    :param suspended: whether a part of its progress could not be stored.
        Nothing of the job may be started then.
    """

    status: str = JobStatus.RUNNING
    done: dict[str, bytes] = {}
    failed_runs: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}
    crashes: dict[str, list[crash_attribution.CrashRecord]] = {}
    unresolved: dict[str, list[crash_attribution.UnresolvedRun]] = {}
    finished: set[int] = set()
    ended_ms: float = 0.0
    suspended: bool = False


class _Status(msgspec.Struct):
    status: str = JobStatus.RUNNING
    ended_ms: float = 0.0


class _StepOutline(msgspec.Struct):
    long_running: bool = False


class _PlanOutline(msgspec.Struct):
    steps: tuple[_StepOutline, ...] = ()
    times: int = 0


class Outline(msgspec.Struct):
    """What decides on the order in which jobs are loaded."""

    queue: str
    plan: _PlanOutline
    accepted_ms: float = 0.0

    @property
    def rank(self):
        """Jobs are loaded in this order, the lowest first.

        Long-running ones come first, then those that were accepted first,
        which the earlier owner had begun before others.
        """
        lasting = any(step.long_running for step in self.plan.steps)
        return (not lasting, self.accepted_ms)


_decode_outline = decoders.create_msgpack_decoder(Outline)
_decode_status = decoders.create_msgpack_decoder(_Status)


def decode_status(data):
    """Return the status of a job from an encoded progress row."""
    return _decode_status(data).status


def has_ended(data):
    """Return whether the job of an encoded progress row has ended."""
    return _decode_status(data).status in JobStatus.ENDED


def get_ended_ms(data):
    """Return when the job of an encoded row ended (Unix time in ms)."""
    return _decode_status(data).ended_ms


def read_outline(data):
    """Return the :class:`Outline` of an encoded row; None if it has none."""
    try:
        return _decode_outline(_decompress(data))
    except msgspec.DecodeError:
        return None


def encode_submission(submission, max_bytes):
    """Encode a :class:`Submission`; a long one is compressed.

    :param max_bytes: size of the largest value that a row takes.
    :returns: bytes; more than ``max_bytes`` when it fits into no row.
    """
    data = encode_row(submission)
    if max_bytes < len(data) <= MAX_SUBMISSION_BYTES:
        return COMPRESSED + zlib.compress(data)
    return data


def decode_submission(data):
    """Decode the row of a :class:`Submission`.

    :raises msgspec.DecodeError: it is malformed.
    """
    return _decode_submission(_decompress(data))


def _decompress(data):
    if data[:1] != COMPRESSED:
        return data
    try:
        return zlib.decompressobj().decompress(data[1:], MAX_SUBMISSION_BYTES)
    except zlib.error as exc:
        raise msgspec.DecodeError(str(exc)) from exc


encode_row = msgspec.msgpack.Encoder().encode
_decode_submission = decoders.create_msgpack_decoder(Submission)
decode_progress = decoders.create_msgpack_decoder(JobProgress)
