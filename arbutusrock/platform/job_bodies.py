"""Decodes submitted jobs and encodes the responses of the job interface."""

import msgspec

from arbutusrock.engine.jobs import plans
from arbutusrock import errors
from arbutusrock.scheduling import Resources
from arbutusrock.utils import decoders

__all__ = ['decode_job', 'encode_state', 'encode_waiting_count']

# Bounds on one job, so that its row fits into the store.
MAX_STEPS = 1000
MAX_TASKS = 20_000
MAX_SPEC_BYTES = 4000
# Bounds of figures, so that sums and products over a job stay finite.
MAX_COUNT = 2**31 - 1
MAX_OCCURRENCES = 10_000
MAX_DURATION_MS = 366 * 86_400_000.0
MAX_UNIX_MS = 1e14


class _WireStep(msgspec.Struct):
    # The fields without a comment are described at plans.StepPlan.
    count: decoders.Integer
    # Millicores.
    cpu: decoders.Integer = 0
    memMb: decoders.Integer = 0  # noqa: N815
    gpus: decoders.Integer = 0
    estimateMs: decoders.Figure = 0.0  # noqa: N815
    # Indexes, from 0, of the steps that must be completed first.
    after: tuple[int, ...] = ()
    gang: bool = False
    sameRack: bool = False  # noqa: N815
    dataRack: str = ''  # noqa: N815
    # A label that the worker must have.
    requires: str = ''
    # Maximum number of tasks of the step on one worker; 0 means no limit.
    antiAffinity: decoders.Integer = 0  # noqa: N815
    checkpointing: bool = False
    speculative: bool = False
    longRunning: bool = False  # noqa: N815
    image: str = ''
    targetMs: decoders.Figure = 0.0  # noqa: N815
    fills: bool = False
    # Disruption budget: how many tasks may be unavailable at once through
    # actions of the fleet manager.
    mayMiss: decoders.Integer = 0  # noqa: N815


class _WireJob(msgspec.Struct):
    spec: str
    steps: list[_WireStep]
    times: decoders.Integer = 0
    startAtMs: decoders.Figure = 0.0  # noqa: N815
    intervalMs: decoders.Figure = 0.0  # noqa: N815


_decode_job = decoders.create_json_decoder(_WireJob)
_STATE_NAMES = {
    plans.JobStatus.QUEUED: 'queued',
    plans.JobStatus.RUNNING: 'running',
    plans.JobStatus.COMPLETED: 'completed',
    plans.JobStatus.FAILED: 'failed',
    plans.JobStatus.CANCELLED: 'cancelled',
}


def decode_job(data):
    """Return the :class:`plans.JobPlan` in a request body.

    :raises errors.InvalidRequest: with a text that names the wrong field.
    """
    try:
        wire = _decode_job(data)
    except msgspec.DecodeError as exc:
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
    _check_range('times', wire.times, MAX_OCCURRENCES)
    _check_range('startAtMs', wire.startAtMs, MAX_UNIX_MS)
    _check_range('intervalMs', wire.intervalMs, MAX_DURATION_MS)
    if wire.times > 1 and wire.intervalMs <= 0:
        raise errors.InvalidRequest(
            'intervalMs must be positive when times is over 1'
        )
    tasks = 0
    for number, step in enumerate(wire.steps):
        tasks += max(step.count, 0)
        if step.count < 1:
            raise errors.InvalidRequest(
                f'steps[{number}].count: must be at least 1'
            )
        for name in ('count', 'cpu', 'memMb', 'gpus', 'antiAffinity'):
            _check_range(
                f'steps[{number}].{name}', getattr(step, name), MAX_COUNT
            )
        _check_range(f'steps[{number}].mayMiss', step.mayMiss, MAX_COUNT)
        for name in ('estimateMs', 'targetMs'):
            _check_range(
                f'steps[{number}].{name}', getattr(step, name), MAX_DURATION_MS
            )
        if any(not 0 <= earlier < number for earlier in step.after):
            raise errors.InvalidRequest(
                f'steps[{number}].after: must list earlier steps only'
            )
    if tasks > MAX_TASKS:
        raise errors.InvalidRequest(
            f'steps: more than {MAX_TASKS} tasks in all'
        )


def _check_range(name, value, max_value):
    if not 0 <= value <= max_value:
        raise errors.InvalidRequest(
            f'{name}: must be from 0 to {max_value:g}; got {value:g}'
        )


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
    """Return the response body with the state of a job."""
    return msgspec.json.encode({'state': _STATE_NAMES[status]})


def encode_waiting_count(count):
    """Return the response body with the number of waiting jobs."""
    return msgspec.json.encode({'waiting': count})
