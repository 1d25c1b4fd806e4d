"""Where a task is started that may crash its worker.

Load: tasks that were on a worker when it crashed are queued again, and one of
them would crash the next worker. Each is started on an empty worker, or
else beside few tasks that have been running for a while, and no task is
started beside it until it has been seen running: a crash then costs least,
and shows its cause. Under overload no worker becomes empty by itself, so one
is held until its newest tasks have settled.

An account may risk a part of a pool at once with suspects, and as much with
tasks that were the only suspect in a crash before; a larger part while no
other account has work there. While most of these tasks are of one account, its
other new tasks may be on no more workers either until they have settled, so
that it does not take the pool down for all accounts.
"""

from arbutusrock.scheduling import placement

__all__ = [
    'MAX_GUARD_S',
    'MAX_ISOLATION_WAIT_S',
    'Choice',
    'IsolationCandidate',
    'choose_isolated_workers',
    'is_confined',
    'limit_workers',
    'may_risk_worker',
]

# A suspect waits this long for an empty worker before it starts beside
# other tasks.
MAX_WAIT_S = 1.0
# A suspect that was never the only one in a crash, or that serves, waits this
# long to be started apart; afterwards it starts like any other task.
MAX_ISOLATION_WAIT_S = 2.0
# No task is started beside a suspect until it has been seen running for this
# time, or for as long as before its crashes. A worker without other tasks is
# room that others of the pool wait for.
MAX_GUARD_S = 2.0
# Part of the workers of a pool on which an account may have suspects at once.
MAX_RISKED_FRACTION = 0.25
# Tasks of an account that must have been the only suspect in a crash lately
# before its new tasks are confined to a part of the pool.
MIN_CULPRITS = 3
CONFINEMENT_S = 10.0


class IsolationCandidate:
    """A worker on which a suspect may be started.

    :param worker: as for :func:`placement.choose_worker`.
    :param runs: number of its runs.
    :param settled: whether all of them have been running for a while and are
        no suspects.
    """

    __slots__ = ('worker', 'runs', 'settled')

    def __init__(self, *, worker, runs, settled):
        self.worker = worker
        self.runs = runs
        self.settled = settled


class Choice:
    """Result of a choice.

    :param workers: a worker for each task; None when they have to wait.
    :param hold: workers that should get no other runs meanwhile.
    """

    __slots__ = ('workers', 'hold')

    def __init__(self, *, workers=None, hold=()):
        self.workers = workers
        self.hold = hold


def choose_isolated_workers(candidates, request, count, *, waited_s):
    """Return the :class:`Choice` for ``count`` tasks that start together.

    :param candidates: :class:`IsolationCandidate` of each usable worker.
    :param request: :class:`placement.PlacementRequest` of a task.
    :param waited_s: how long the tasks have waited.
    """
    empty = [item.worker for item in candidates if not item.runs]
    chosen = _place(empty, request, count)
    if chosen is not None or waited_s < MAX_WAIT_S:
        return Choice(workers=chosen)
    for limit in sorted({item.runs for item in candidates if item.settled}):
        quiet = [
            item.worker
            for item in candidates
            if item.settled and item.runs <= limit
        ]
        chosen = _place(quiet, request, count)
        if chosen is not None:
            return Choice(workers=chosen)
    # None fits now: the workers with the fewest runs get no others until one
    # does.
    suitable = [
        item
        for item in candidates
        if placement.could_fit(item.worker, request)
    ]
    suitable.sort(key=lambda item: (item.runs, item.worker.worker_id))
    return Choice(hold=[item.worker for item in suitable[:count]])


def _place(workers, request, count):
    if count == 1:
        worker = placement.choose_worker(workers, request)
        return None if worker is None else [worker]
    return placement.choose_gang_workers(
        workers, request, count, same_rack=False
    )


def may_risk_worker(*, workers, guarded, likely, shared):
    """Return whether a suspect of an account may be started now.

    Likely culprits wait for each other, and do not hold up the others.

    :param workers: number of workers of the pool.
    :param guarded: for each of them with a suspect of the account that is
        not cleared, even if it does not answer: whether the task is likely.
    :param likely: whether the task was the only suspect in a crash.
    :param shared: whether other accounts have work in the pool.
    """
    return guarded.count(likely) < _get_max_risked(workers, shared)


def _get_max_risked(workers, shared):
    """Return on how many workers of a pool an account may have suspects.

    While no other account has work there, a part is left for those to come.

    >>> _get_max_risked(8, shared=True), _get_max_risked(8, shared=False)
    (2, 6)
    >>> _get_max_risked(1, shared=True), _get_max_risked(1, shared=False)
    (1, 1)
    """
    part = max(1, int(workers * MAX_RISKED_FRACTION))
    return part if shared else max(part, workers - part)


def is_confined(culprits, account, now_s):
    """Return whether new tasks of an account get only a part of a pool.

    That is so while most of the recent culprits are its own. Where several
    accounts have culprits alike, confining all of them protects none.

    :param culprits: by account, when each of its tasks was last the only
        suspect in a crash, by task.
    """
    counts = {
        name: sum(at_s > now_s - CONFINEMENT_S for at_s in times.values())
        for name, times in culprits.items()
    }
    own = counts.get(account, 0)
    return own >= MIN_CULPRITS and 2 * own > sum(counts.values())


def limit_workers(workers, *, pool_size, risked, own_runs, shared):
    """Return the workers that new tasks of a confined account may get.

    Workers that have its tasks already come first, so that it risks its own
    work rather than that of others.

    :param workers: workers that may get runs.
    :param pool_size: number of workers of the pool.
    :param risked: ids of the workers of the pool that have a task of the
        account that has not settled, including those that do not answer.
    :param own_runs: number of runs of the account by worker id.
    :param shared: whether other accounts have work in the pool.
    """
    others = [item for item in workers if item.worker_id not in risked]
    others.sort(
        key=lambda item: (-own_runs.get(item.worker_id, 0), item.worker_id)
    )
    more = max(0, _get_max_risked(pool_size, shared) - len(risked))
    return [item for item in workers if item.worker_id in risked] + others[
        :more
    ]
