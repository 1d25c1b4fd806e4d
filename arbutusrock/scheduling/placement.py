"""Placement of tasks on workers, by best fit.

Load: tasks of very different sizes arrive in bursts, while long-running tasks
occupy part of each worker. A task goes to the worker that has the least free
capacity left afterwards, so that large tasks still fit and empty VMs stay
empty. Workers on the rack of its data are preferred, and VMs on which the
task failed are the last choice. A worker that is still slow after its start
comes after those that are not. A VM that works slowly comes after all sound
ones, and gets a task only once that has waited for as long as it would lose
there.
"""

__all__ = [
    'PlacementRequest',
    'choose_gang_workers',
    'choose_worker',
    'compute_speed_wait_s',
    'could_fit',
    'find_eligible_workers',
    'find_sound_workers',
    'take',
]

# A task waits this long for free capacity outside the VMs on which it failed:
# a second failure on a faulty worker costs one of its few attempts.
EXCLUSION_TIMEOUT_S = 3.0
# A task waits this long at most for a sound VM while a slow one has room:
# a job must not go without a run for three seconds while there is capacity.
MAX_SPEED_WAIT_S = 2.5


class PlacementRequest:
    """What a task requires and prefers in a worker.

    :param demand: :class:`Resources`; its cpu is 0 for filling tasks.
    :param label: label that the worker must have; empty for any worker.
    :param data_rack: rack to prefer; empty for no preference.
    :param most_per_worker: maximum of runs of the step on one VM; 0 means no
        bound.
    :param runs_by_vm: number of runs of the step by VM.
    :param deprioritized_vms: VMs on which the task failed or stalled; they are
        the last choice.
    :param allowed: ids of the workers that a policy service allows; None
        allows all.
    :param suspect_vms: VMs with recent failures, used only before the
        deprioritized ones.
    :param slow_vms: speeds of the VMs that work slowly, by VM.
    """

    __slots__ = (
        'demand',
        'label',
        'data_rack',
        'most_per_worker',
        'runs_by_vm',
        'deprioritized_vms',
        'allowed',
        'suspect_vms',
        'slow_vms',
    )

    def __init__(
        self,
        *,
        demand,
        label='',
        data_rack='',
        most_per_worker=0,
        runs_by_vm=None,
        deprioritized_vms=frozenset(),
        allowed=None,
        suspect_vms=frozenset(),
        slow_vms=None,
    ):
        self.demand = demand
        self.label = label
        self.data_rack = data_rack
        self.most_per_worker = most_per_worker
        self.runs_by_vm = runs_by_vm or {}
        self.deprioritized_vms = deprioritized_vms
        self.allowed = allowed
        self.suspect_vms = suspect_vms
        self.slow_vms = slow_vms or {}


def _fits(worker, request, taken=None):
    """Return whether a worker meets the requirements of a request.

    :param taken: by worker id, what earlier tasks of a gang use of it, as
        ``(millicores, memory_mb, accelerators, runs)``.
    """
    demand = request.demand
    millicores, memory_mb, accelerators, runs = (
        taken.get(worker.worker_id, (0, 0, 0, 0)) if taken else (0, 0, 0, 0)
    )
    if worker.free_millicores - millicores < demand.cpu:
        return False
    if worker.free_memory_mb - memory_mb < demand.memory_mb:
        return False
    if worker.free_accelerators - accelerators < demand.accelerators:
        return False
    return _may_run_on(worker, request, runs)


def _may_run_on(worker, request, runs=0):
    """Return whether a worker may take a request, whatever is free on it.

    :param runs: number of runs of the same step that it gets besides.
    """
    if request.label and request.label not in worker.entry.labels:
        return False
    if request.allowed is not None and worker.worker_id not in request.allowed:
        return False
    max_runs = request.most_per_worker
    return (
        not max_runs or request.runs_by_vm.get(worker.vm, 0) + runs < max_runs
    )


def could_fit(worker, request):
    """Return whether a worker fits a request once other tasks have ended.

    Those of the same step are not waited for, as they may last.
    """
    demand, capacity = request.demand, worker.capacity
    return (
        capacity.cpu >= demand.cpu
        and capacity.memory_mb >= demand.memory_mb
        and capacity.accelerators >= demand.accelerators
        and _may_run_on(worker, request)
    )


def _rank(worker, request):
    """Return the sort key of a fitting worker; the smallest is the best."""
    return (
        worker.vm in request.deprioritized_vms,
        worker.vm in request.suspect_vms,
        -request.slow_vms.get(worker.vm, 1.0),
        bool(request.data_rack) and worker.entry.rack != request.data_rack,
        worker.entry.cold_ms > 0,
        worker.free_millicores - request.demand.cpu,
        worker.worker_id,
    )


def compute_speed_wait_s(duration_s, speed):
    """Return how long a task waits before it uses a VM at this speed (s).

    It is what it would lose there, up to a bound.

    >>> compute_speed_wait_s(0.5, 0.25), compute_speed_wait_s(60.0, 0.1)
    (1.5, 2.5)
    """
    return min(MAX_SPEED_WAIT_S, duration_s * (1 / speed - 1))


def find_sound_workers(workers, slow_vms, waited_s, duration_s):
    """Return the workers whose VMs work fast enough for a task.

    A slow one does once the task has waited for as long as it would lose
    there, or for ``MAX_SPEED_WAIT_S``; where all are slow, all do.

    :param slow_vms: speeds of the VMs that work slowly, by VM.
    :param waited_s: how long the task has waited.
    :param duration_s: duration that is expected of it on a sound VM.
    """
    if not slow_vms:
        return workers
    sound = [
        worker
        for worker in workers
        if worker.vm not in slow_vms
        or waited_s >= compute_speed_wait_s(duration_s, slow_vms[worker.vm])
    ]
    return sound or workers


def find_eligible_workers(workers, deprioritized_vms, waited_s):
    """Return the workers that a task may use now.

    For a while these are only the workers outside ``deprioritized_vms``, if
    there are any; afterwards all of them.

    :param deprioritized_vms: VMs on which the task failed or stalled.
    :param waited_s: how long the task has waited.
    """
    if not deprioritized_vms or waited_s > EXCLUSION_TIMEOUT_S:
        return workers
    eligible = [
        worker for worker in workers if worker.vm not in deprioritized_vms
    ]
    return eligible or workers


def choose_worker(workers, request, taken=None):
    """Return the best worker that fits, or None.

    :param workers: usable workers of the pool.
    :param request: :class:`PlacementRequest`.
    :param taken: what is promised of each worker, see :func:`take`.
    """
    fitting = [item for item in workers if _fits(item, request, taken)]
    return min(fitting, key=lambda item: _rank(item, request), default=None)


def take(taken, worker, request):
    """Add what a request uses of a worker to what is taken of it."""
    millicores, memory_mb, accelerators, runs = taken.get(
        worker.worker_id, (0, 0, 0, 0)
    )
    taken[worker.worker_id] = (
        millicores + request.demand.cpu,
        memory_mb + request.demand.memory_mb,
        accelerators + request.demand.accelerators,
        runs + 1,
    )


def choose_gang_workers(workers, request, count, *, same_rack):
    """Return a worker for each of the ``count`` tasks of a gang.

    If not all tasks fit, return None.

    :param same_rack: try to place all tasks on one rack before using several.
    """
    groups = [workers]
    if same_rack:
        racks = {}
        for worker in workers:
            racks.setdefault(worker.entry.rack, []).append(worker)
        groups = [
            *sorted(racks.values(), key=lambda group: group[0].entry.rack),
            workers,
        ]
    for group in groups:
        chosen = _place_gang(group, request, count)
        if chosen is not None:
            return chosen
    return None


def _place_gang(workers, request, count):
    """Return a worker for each task, or None if not all of them fit."""
    taken, chosen = {}, []
    for _ in range(count):
        fitting = [item for item in workers if _fits(item, request, taken)]
        worker = min(
            fitting, key=lambda item: _rank(item, request), default=None
        )
        if worker is None:
            return None
        take(taken, worker, request)
        chosen.append(worker)
    return chosen
