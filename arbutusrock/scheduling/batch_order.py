"""Order in which a node stores the jobs that wait for the store.

Load: while the store is slow or busy, jobs wait in the nodes, and one
transaction takes only some of them. A flood of one account must not push the
jobs of the others past the time at which their callers give up.
"""

__all__ = ['order_jobs']

MIN_WEIGHT = 1e-6


def order_jobs(jobs):
    """Return the jobs in the order in which they should be stored.

    The accounts take turns, in proportion to their weights. Among the jobs of
    an account, the one whose caller gives up first goes first, which is often
    a caller that was refused before and has come back.

    The oldest job of each account is in the first round whatever its size, so
    that a large one is delayed by one transaction at most when the accounts
    fit into it.

    :param jobs: objects with ``account``, ``weight`` and ``deadline_at_s``.
    """
    ranks, keyed = {}, []
    for job in sorted(jobs, key=lambda item: item.deadline_at_s):
        rank = ranks.get(job.account, 0)
        ranks[job.account] = rank + 1
        keyed.append((rank / max(MIN_WEIGHT, job.weight), len(keyed), job))
    keyed.sort(key=lambda item: item[:2])
    return [job for _, _, job in keyed]
