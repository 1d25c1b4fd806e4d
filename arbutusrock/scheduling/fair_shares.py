"""Division of the room of a full pool among client accounts by weight.

Load: several accounts want more of a pool than it has, and one of them asks
for many times as much as the others, or one comes late to a pool that others
have filled. Each account is due its part by weighted max-min fairness over
what each can use now; what one leaves free goes to the others. The account
that has the least of its part goes first, so steps within a part go before
steps beyond the part of another account. Nothing is held back: steps beyond a
part start in the room that is left, so no room is idle while a waiting step
fits.

What was used in the last seconds counts: an account that had less than its
part while it had work waiting gets the difference soon, one that had more
gives it back, up to a fraction of its part at once. Room that nobody else
wanted is not held against an account, and an idle account saves up nothing.
"""

import math

from arbutusrock.contracts import shares

__all__ = [
    'RECENT_S',
    'Claim',
    'compute_arrears',
    'compute_attainment',
    'compute_dominant_share',
    'compute_levels',
    'divide_room',
    'is_contended',
]

# Time constant with which arrears are forgotten.
RECENT_S = 2.0
# Arrears are made up for in this time.
REPAYMENT_S = 0.5
# Most that is made up for or given back at once, as a fraction of the part.
MAX_REPAID_FRACTION = 0.3
# Smaller parts count as this, a fraction of the pool.
MIN_PART = 1e-6


class Claim:
    """What an account uses and wants of a pool, as dominant shares.

    :param weight: share of the account, above 0.
    :param used: in use by its running tasks.
    :param waiting: demand of its waiting tasks.
    :param limit: upper limit of its use.
    :param arrears_s: what it was due in the last seconds and did not use, a
        dominant share times seconds; negative if it used more.
    """

    __slots__ = ('weight', 'used', 'waiting', 'limit', 'arrears_s')

    def __init__(
        self, *, weight, used=0.0, waiting=0.0, limit=math.inf, arrears_s=0.0
    ):
        self.weight = weight
        self.used = used
        self.waiting = waiting
        self.limit = limit
        self.arrears_s = arrears_s


def compute_dominant_share(demand, capacity):
    """Return the largest fraction of a resource that a demand takes.

    :param demand: :class:`arbutusrock.scheduling.Resources`.
    :param capacity: :class:`arbutusrock.scheduling.Resources` of the pool.

    >>> from arbutusrock.scheduling import Resources
    >>> capacity = Resources(cpu=8000, memory_mb=1000)
    >>> compute_dominant_share(Resources(cpu=1000, memory_mb=500), capacity)
    0.5
    """
    return max(
        _divide(demand.cpu, capacity.cpu),
        _divide(demand.memory_mb, capacity.memory_mb),
        _divide(demand.accelerators, capacity.accelerators),
    )


def _divide(amount, capacity):
    if amount <= 0:
        return 0.0
    return amount / capacity if capacity > 0 else 1.0


def is_contended(waiting, free):
    """Return whether waiting demand exceeds the free room in a resource.

    :param waiting: :class:`arbutusrock.scheduling.Resources`.
    :param free: :class:`arbutusrock.scheduling.Resources`.
    """
    return (
        waiting.cpu > free.cpu
        or waiting.memory_mb > free.memory_mb
        or waiting.accelerators > free.accelerators
    )


def compute_arrears(arrears_s, due, used, elapsed_s):
    """Return the arrears of an account after ``elapsed_s`` more.

    :param due: its part in that time; None if there was room for all.
    :param used: what it used in that time.

    >>> round(compute_arrears(0.0, 0.5, 0.2, 0.1), 3)
    0.03
    >>> round(compute_arrears(1.0, None, 0.2, RECENT_S), 2)
    0.37
    """
    missed = 0.0 if due is None else (due - used) * elapsed_s
    return arrears_s * math.exp(-elapsed_s / RECENT_S) + missed


def divide_room(claims):
    """Return the part of a pool that each account is due.

    :param claims: :class:`Claim` by account.
    :returns: dominant share by account, by weighted max-min.

    >>> claims = {'large': Claim(weight=3, waiting=2.0),
    ...           'small': Claim(weight=1, waiting=0.25)}
    >>> divide_room(claims)
    {'large': 0.75, 'small': 0.25}
    """
    return shares.divide_slots(
        {
            account: shares.WeightedDemand(
                weight=claim.weight,
                demand=min(claim.limit, claim.used + claim.waiting),
            )
            for account, claim in claims.items()
        },
        1.0,
    )


def compute_levels(claims, due, steps):
    """Return for each step how much of its part its account has before it.

    The step with the lowest level should start first. Below 1 the account is
    under its part. A step counts as a whole, since a job is of no use to its
    caller before all of its tasks have ended.

    :param claims: :class:`Claim` by account.
    :param due: result of :func:`divide_room`.
    :param steps: ``(account, dominant share)`` of waiting steps in the order
        in which each account's should start.

    >>> claims = {'a': Claim(weight=1, used=0.25, waiting=1.0),
    ...           'b': Claim(weight=1, used=0.5, waiting=1.0)}
    >>> compute_levels(
    ...     claims, {'a': 0.5, 'b': 0.5},
    ...     [('b', 0.1), ('a', 0.25), ('a', 0.1)])
    [1.0, 0.5, 1.0]
    """
    held = {}
    for account, claim in claims.items():
        most = due[account] * MAX_REPAID_FRACTION
        arrears = max(-most, min(most, claim.arrears_s / REPAYMENT_S))
        held[account] = claim.used - arrears
    levels = []
    for account, share in steps:
        levels.append(held[account] / max(due[account], MIN_PART))
        held[account] += share
    return levels


def compute_attainment(used, due):
    """Return the part of its due that an account attained, at most 1.

    >>> compute_attainment(0.2, 0.4)
    0.5
    >>> compute_attainment(0.0, 0.0)
    1.0
    """
    return min(1.0, used / due) if due > 0 else 1.0
