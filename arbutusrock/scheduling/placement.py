"""On which worker a task runs.

Load: tasks of very different sizes arrive in bursts, and what lasts holds
part of each worker. Tasks go where the least room is left over, so that
large tasks still find room and empty VMs stay empty; near their data where
they can; away from VMs on which they failed.
"""

__all__ = [
    'PlacementRequest',
    'choose_gang_workers',
    'choose_worker',
    'find_eligible_workers',
]

# A task waits this long for a worker on which it has not failed: a second
# failure on a sick worker costs one of its few attempts.
EXCLUSION_TIMEOUT_S = 3.0


class PlacementRequest:
    """What a task asks of a worker.

    :param demand: :class:`Resources`; its cpu is 0 for tasks that fill.
    :param runs_by_vm: runs of the step by VM.
    :param most_per_worker: most runs of the step on one VM; 0 is no bound.
    :param deprioritized_vms: VMs on which it failed or stood still.
    :param allowed: ids of workers that a policy allows; None allows all.
    :param suspect_vms: VMs whose tasks failed lately: last choice.
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
    ):
        self.demand = demand
        self.label = label
        self.data_rack = data_rack
        self.most_per_worker = most_per_worker
        self.runs_by_vm = runs_by_vm or {}
        self.deprioritized_vms = deprioritized_vms
        self.allowed = allowed
        self.suspect_vms = suspect_vms


def _fits(worker, request, taken=None):
    demand = request.demand
    cpu, memory_mb, accelerators, runs = (
        taken.get(worker.worker_id, (0, 0, 0, 0)) if taken else (0, 0, 0, 0)
    )
    if worker.free_millicores - cpu < demand.cpu:
        return False
    if worker.free_memory_mb - memory_mb < demand.memory_mb:
        return False
    if worker.free_accelerators - accelerators < demand.accelerators:
        return False
    if request.label and request.label not in worker.entry.labels:
        return False
    if request.allowed is not None and worker.worker_id not in request.allowed:
        return False
    most = request.most_per_worker
    return not most or request.runs_by_vm.get(worker.vm, 0) + runs < most


def _rank(worker, request):
    return (
        worker.vm in request.deprioritized_vms,
        worker.vm in request.suspect_vms,
        bool(request.data_rack) and worker.entry.rack != request.data_rack,
        worker.free_millicores - request.demand.cpu,
        worker.worker_id,
    )


def find_eligible_workers(workers, deprioritized_vms, waited_s):
    """Return the workers that a task may use now.

    :param deprioritized_vms: VMs on which it failed or stood still.
    :param waited_s: how long it has waited.
    """
    if not deprioritized_vms or waited_s > EXCLUSION_TIMEOUT_S:
        return workers
    fresh = [
        worker for worker in workers if worker.vm not in deprioritized_vms
    ]
    return fresh or workers


def choose_worker(workers, request):
    """Return the best worker with room, or None.

    :param workers: usable workers of the pool.
    :param request: :class:`PlacementRequest`.
    """
    fitting = [worker for worker in workers if _fits(worker, request)]
    return min(fitting, key=lambda item: _rank(item, request), default=None)


def choose_gang_workers(workers, request, count, *, same_rack):
    """Return a worker for each of ``count`` tasks, or None.

    :param same_rack: try racks one by one before spreading over all.
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
    taken, chosen = {}, []
    for _ in range(count):
        fitting = [item for item in workers if _fits(item, request, taken)]
        worker = min(
            fitting, key=lambda item: _rank(item, request), default=None
        )
        if worker is None:
            return None
        cpu, memory_mb, accelerators, runs = taken.get(
            worker.worker_id, (0, 0, 0, 0)
        )
        taken[worker.worker_id] = (
            cpu + request.demand.cpu,
            memory_mb + request.demand.memory_mb,
            accelerators + request.demand.accelerators,
            runs + 1,
        )
        chosen.append(worker)
    return chosen
