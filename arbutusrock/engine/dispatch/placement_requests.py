"""What waiting tasks require of a worker, and which workers may have it."""

from arbutusrock.scheduling import placement
from arbutusrock.scheduling import Resources

__all__ = [
    'create_request',
    'find_max_free',
    'get_amounts',
    'get_demand',
    'get_free_amounts',
    'is_at_least',
    'may_fit',
]


def create_request(term, step, task, suspect_vms, allowed):
    """Return the :class:`placement.PlacementRequest` of a task.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param suspect_vms: VMs with recent failures.
    :param allowed: ids of the workers that a policy service allows; None
        allows all.
    """
    if step.plan.long_running:
        # VMs that are to be drained are a last choice, as the task would
        # have to move again.
        suspect_vms = suspect_vms | term.vms_to_drain
    return placement.PlacementRequest(
        demand=get_demand(step),
        label=step.plan.label,
        data_rack=step.plan.data_rack,
        most_per_worker=step.plan.most_per_worker,
        runs_by_vm=step.runs_by_vm,
        deprioritized_vms=task.deprioritized_vms,
        allowed=allowed,
        suspect_vms=suspect_vms,
        slow_vms=term.vm_speeds.slow_vms,
    )


def get_demand(step):
    """Return the demand that counts for placement.

    Filling tasks use left-over cores, so their cores are left out.
    """
    demand = step.plan.demand
    if not step.plan.fills:
        return demand
    return Resources(
        memory_mb=demand.memory_mb, accelerators=demand.accelerators
    )


def get_amounts(demand):
    """Return the amounts of :class:`Resources` as a tuple."""
    return (demand.cpu, demand.memory_mb, demand.accelerators)


def get_free_amounts(worker):
    """Return what is free on a worker as a tuple."""
    capacity = worker.capacity
    return (
        capacity.cpu - worker.used_millicores,
        capacity.memory_mb - worker.used_memory_mb,
        capacity.accelerators - worker.used_accelerators,
    )


def find_max_free(workers):
    """Return the maximum free amount of each resource over all workers."""
    if not workers:
        return Resources()
    cpu, memory_mb, accelerators = map(
        max, zip(*map(get_free_amounts, workers), strict=True)
    )
    return Resources(cpu=cpu, memory_mb=memory_mb, accelerators=accelerators)


def may_fit(step, max_free):
    """Return False if no worker has enough of some resource for a task."""
    demand = step.plan.demand
    return (
        (step.plan.fills or demand.cpu <= max_free.cpu)
        and demand.memory_mb <= max_free.memory_mb
        and demand.accelerators <= max_free.accelerators
    )


def is_at_least(demand, other):
    """Return whether no resource in ``demand`` is less than in ``other``."""
    return (
        demand.cpu >= other.cpu
        and demand.memory_mb >= other.memory_mb
        and demand.accelerators >= other.accelerators
    )
