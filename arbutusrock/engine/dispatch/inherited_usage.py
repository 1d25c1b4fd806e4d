"""What accounts may have running where a new owner does not see it.

Load: the owner is lost while workers are cut off that run all that an account
may have. The next owner knows the runs of the workers that answer only, and
would start as much again on others. Until the leases of those workers have
ended, as much of the account's limit is held back as may be running there: no
more than they have room for, and no more than the account has waiting tasks
that the earlier owner may have started there.
"""

from arbutusrock.scheduling import Resources

__all__ = ['estimate_inherited_usage']


def estimate_inherited_usage(term, now_s):
    """Return the :class:`Resources` that are held back, by account.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    """
    held = _collect_listed(term, now_s)
    versions = term.fleet.find_inherited_versions(now_s)
    if not versions:
        return held
    rooms = _find_rooms(term, now_s)
    for pool, version in versions.items():
        demands = _collect_demands(term, pool, version)
        for account, demand in demands.items():
            if pool in rooms:
                demand = demand.limit(rooms[pool])
            held[account] = held.get(account, Resources()) + demand
    return held


def _collect_listed(term, now_s):
    """Return what the listed tasks of workers out of reach take."""
    held = {}
    for name in term.fleet.find_inherited_tasks(now_s):
        task = term.job_registry.find_task(name)
        if task is None or task.runs:
            continue
        account = task.step.job.submission.account
        held[account] = held.get(account, Resources()) + task.step.plan.demand
    return held


def _find_rooms(term, now_s):
    """Return what the workers in question have room for, by pool.

    A pool with one of unknown capacity, as it is not registered, is left out.
    """
    rooms, unknown = {}, set()
    for worker in term.fleet.find_possible_run_holders(now_s):
        if worker.inherited_tasks is not None:
            continue
        entry = worker.entry
        if not entry.capacity.cpu:
            unknown.add(entry.pool)
        rooms[entry.pool] = rooms.get(entry.pool, Resources()) + entry.capacity
    return {pool: room for pool, room in rooms.items() if pool not in unknown}


def _collect_demands(term, pool, version):
    """Return what tasks take that may run in a pool already, by account."""
    demands = {}
    for step in term.job_registry.waiting_steps.get(pool, {}).values():
        job = step.job
        if not job.inherited or job.stored_version >= version:
            continue
        account = job.submission.account
        demands[account] = demands.get(
            account, Resources()
        ) + step.plan.demand * len(step.waiting)
    return demands
