"""Which jobs of an account go behind those of all others.

Load: one account sends many times what it usually sends. Its contract pays
for a number of jobs a second; the rest is accepted and done in room that
nobody else needs.
"""

from collections import deque

__all__ = ['AccountRateLimiter']

# Span over which the jobs of an account are counted.
WINDOW_S = 1.0


class AccountRateLimiter:
    """Jobs that accounts sent within their rate."""

    __slots__ = ('_accepted',)

    def __init__(self):
        self._accepted = {}

    def check_excess(self, account, accepted_unix_s, max_jobs_per_s):
        """Count a job; return whether it is beyond the account's rate.

        :param accepted_unix_s: when it was accepted; calls come in that order,
            but for small differences between the clocks of nodes.
        :param max_jobs_per_s: jobs that the account may send in a second.

        >>> rates = AccountRateLimiter()
        >>> [rates.check_excess('a', s / 10, 2) for s in (0, 1, 2, 11)]
        [False, False, True, False]
        """
        jobs = self._accepted.setdefault(account, deque())
        while jobs and accepted_unix_s - jobs[0] >= WINDOW_S:
            jobs.popleft()
        if len(jobs) >= max_jobs_per_s:
            return True
        jobs.append(accepted_unix_s)
        return False
