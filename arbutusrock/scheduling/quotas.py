"""Upper limit on the resources that an account uses at once.

Load: a burst of a large account asks for more than its upper limit. The limit
counts all runs that may be active, including runs that are stopping and start
requests that were not answered.
"""

__all__ = ['count_fitting', 'fits_limit']


def fits_limit(used, demand, limit):
    """Return whether ``used`` plus ``demand`` stays within ``limit``.

    :param used: :class:`Resources` of the runs that may be active.
    :param demand: :class:`Resources` of the task to be started.
    :param limit: :class:`Resources`; 0 means that there is no limit.

    >>> from arbutusrock.scheduling import Resources
    >>> limit = Resources(cpu=4000)
    >>> fits_limit(Resources(cpu=3000), Resources(cpu=1000), limit)
    True
    >>> fits_limit(Resources(cpu=3001), Resources(cpu=1000), limit)
    False
    """
    return (
        _fits(used.cpu, demand.cpu, limit.cpu)
        and _fits(used.memory_mb, demand.memory_mb, limit.memory_mb)
        and _fits(used.accelerators, demand.accelerators, limit.accelerators)
    )


def count_fitting(used, demand, limit, *, most):
    """Return how many tasks of ``demand`` may run beside ``used``.

    :param most: number of tasks that are to run.

    >>> from arbutusrock.scheduling import Resources
    >>> count_fitting(
    ...     Resources(cpu=1000), Resources(cpu=1500), Resources(cpu=5000),
    ...     most=4)
    2
    """
    count = most
    for have, need, bound in (
        (used.cpu, demand.cpu, limit.cpu),
        (used.memory_mb, demand.memory_mb, limit.memory_mb),
        (used.accelerators, demand.accelerators, limit.accelerators),
    ):
        if bound and need:
            count = min(count, (bound - have) // need)
    return max(0, count)


def _fits(used, demand, limit):
    return not limit or not demand or used + demand <= limit
