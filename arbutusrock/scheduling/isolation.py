"""Where a task is started that may crash its worker.

Load: tasks that were on a worker when it crashed are queued again, and one of
them would crash the next worker. Each is started on an empty worker, or
else beside few tasks that have been running for a while, and no task is
started beside it until it has been seen running: a crash then costs least,
and shows its cause. Under overload no worker becomes empty by itself, so one
is held until its newest tasks have settled.

An account may risk a part of a pool at once, and one worker more for a task
that was the only suspect in a crash before.
"""

from arbutusrock.scheduling import placement

__all__ = [
    'Choice',
    'IsolationCandidate',
    'choose_isolated_workers',
    'may_risk_worker',
]

# A suspect waits this long for an empty worker before it starts beside
# other tasks.
MAX_WAIT_S = 1.0
# Part of the workers of a pool on which an account may have suspects at once.
MAX_RISKED_FRACTION = 0.25


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


def may_risk_worker(*, workers, guarded, likely):
    """Return whether a suspect of an account may be started now.

    Likely culprits wait for each other, and do not hold up the others.

    :param workers: number of workers of the pool.
    :param guarded: for each of them with a suspect of the account that is
        not cleared, even if it does not answer: whether the task is likely.
    :param likely: whether the task was the only suspect in a crash.
    """
    if likely:
        return not any(guarded)
    return guarded.count(False) < max(1, int(workers * MAX_RISKED_FRACTION))
