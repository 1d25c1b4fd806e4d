"""Whether an account may start one more task.

Load: a large account's burst asks for more than its upper limit. The limit
counts all that may be running, stopping runs and unanswered orders included.
"""

__all__ = ['fits_limit']


def fits_limit(used, demand, limit):
    """Return whether ``used`` and ``demand`` stay within ``limit``.

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


def _fits(used, demand, limit):
    return not limit or not demand or used + demand <= limit
