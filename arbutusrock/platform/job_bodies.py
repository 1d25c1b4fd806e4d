"""Bodies of the job interface, decoded into plans and encoded from states."""

import msgspec

from arbutusrock.engine import plans
from arbutusrock import errors
from arbutusrock.scheduling import Resources

__all__ = ['decode_job', 'encode_state', 'encode_waiting_count']

# Bounds on one job, so that a row fits the store.
MAX_STEPS = 1000
MAX_TASKS = 20_000
MAX_SPEC_BYTES = 4000


class _WireStep(msgspec.Struct):
    count: int
    cpu: int = 0
    memMb: int = 0  # noqa: N815
    gpus: int = 0
    estimateMs: float = 0.0  # noqa: N815
    # Numbers of the steps that must be done first.
    after: tuple[int, ...] = ()
    gang: bool = False
    sameRack: bool = False  # noqa: N815
    dataRack: str = ''  # noqa: N815
    # A label that the worker must have.
    requires: str = ''
    # Most tasks of the step on one worker.
    antiAffinity: int = 0  # noqa: N815
    checkpointing: bool = False
    speculative: bool = False
    longRunning: bool = False  # noqa: N815
    image: str = ''
    targetMs: float = 0.0  # noqa: N815
    fills: bool = False
    # Tasks that may be away through our own actions.
    mayMiss: int = 0  # noqa: N815


class _WireJob(msgspec.Struct):
    spec: str
    steps: list[_WireStep]
    times: int = 0
    startAtMs: float = 0.0  # noqa: N815
    intervalMs: float = 0.0  # noqa: N815


_decode_job = msgspec.json.Decoder(_WireJob).decode
_STATE_NAMES = {
    plans.JobStatus.QUEUED: 'queued',
    plans.JobStatus.RUNNING: 'running',
    plans.JobStatus.COMPLETED: 'completed',
    plans.JobStatus.FAILED: 'failed',
    plans.JobStatus.CANCELLED: 'cancelled',
}


def decode_job(data):
    """Return the :class:`plans.JobPlan` in a request body.

    :raises errors.InvalidRequest: naming what is wrong.
    """
    try:
        wire = _decode_job(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.InvalidRequest(f'body: {exc}') from exc
    _check_job(wire)
    return plans.JobPlan(
        spec=wire.spec,
        steps=tuple(_to_step(step) for step in wire.steps),
        times=wire.times,
        start_at_ms=wire.startAtMs,
        interval_ms=wire.intervalMs,
    )


def _check_job(wire):
    if len(wire.spec.encode()) > MAX_SPEC_BYTES:
        raise errors.InvalidRequest(f'spec: over {MAX_SPEC_BYTES} bytes')
    if not 1 <= len(wire.steps) <= MAX_STEPS:
        raise errors.InvalidRequest(
            f'steps: must be 1 to {MAX_STEPS}; got {len(wire.steps)}'
        )
    if wire.times < 0 or (wire.times > 1 and wire.intervalMs <= 0):
        raise errors.InvalidRequest('times and intervalMs must be positive')
    tasks = 0
    for number, step in enumerate(wire.steps):
        tasks += max(step.count, 0)
        if step.count < 1 or min(step.cpu, step.memMb, step.gpus) < 0:
            raise errors.InvalidRequest(f'steps[{number}]: negative or empty')
        if any(not 0 <= earlier < number for earlier in step.after):
            raise errors.InvalidRequest(
                f'steps[{number}].after: must name earlier steps'
            )
    if tasks > MAX_TASKS:
        raise errors.InvalidRequest(f'more than {MAX_TASKS} tasks')


def _to_step(wire):
    return plans.StepPlan(
        count=wire.count,
        demand=Resources(
            cpu=wire.cpu, memory_mb=wire.memMb, accelerators=wire.gpus
        ),
        estimate_ms=wire.estimateMs,
        after=wire.after,
        gang=wire.gang,
        same_rack=wire.sameRack,
        data_rack=wire.dataRack,
        label=wire.requires,
        most_per_worker=wire.antiAffinity,
        checkpointing=wire.checkpointing,
        speculative=wire.speculative,
        long_running=wire.longRunning,
        image=wire.image,
        target_ms=wire.targetMs,
        fills=wire.fills,
        may_miss=wire.mayMiss,
    )


def encode_state(status):
    """Return the body that tells a job's state."""
    return msgspec.json.encode({'state': _STATE_NAMES[status]})


def encode_waiting_count(count):
    """Return the body that tells how many jobs wait."""
    return msgspec.json.encode({'waiting': count})
