"""Rate limit by account; excess jobs run after the jobs of all accounts.

Load: one account sends many times its usual number of jobs. Its contract
pays for a number of jobs a second; jobs beyond that rate are still accepted,
but run only in capacity that no other account needs.
"""

from collections import deque

__all__ = ['AccountRateLimiter']

# Sliding window over which the jobs of an account are counted.
WINDOW_S = 1.0


class AccountRateLimiter:
    """Counts the recent jobs of each account against its rate."""

    __slots__ = ('_accepted',)

    def __init__(self):
        # By account, acceptance times of the jobs within its rate.
        self._accepted = {}

    def check_excess(self, account, accepted_unix_s, max_jobs_per_s):
        """Count a job; return whether it exceeds the rate of its account.

        A job in excess of the rate does not count against later ones.

        :param accepted_unix_s: when the job was accepted. Calls come in this
            order, apart from small differences between the clocks of nodes.
        :param max_jobs_per_s: jobs that the account may send per second.

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
