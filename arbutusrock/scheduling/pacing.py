"""How fast tasks that fill may work beside tasks that serve.

Load: filling tasks use what serving tasks leave over, and lengthen their
tail latency by amounts that change within seconds. The share of the filling
tasks on a worker is cut at once when a serving task nears its target, and
rises slowly while all are well below theirs.
"""

__all__ = ['choose_share']

# Parts of the target at which the share is cut, and below which it rises.
CUT_THRESHOLD = 0.85
RAISE_THRESHOLD = 0.6
CUT_FACTOR = 0.4
RAISE_STEP_PERCENT = 15
MIN_SHARE_PERCENT = 0
MAX_SHARE_PERCENT = 100


def choose_share(share, tails):
    """Return the share (percent) for the filling tasks of a worker.

    :param share: the present one.
    :param tails: pairs of tail latency and target (ms) of serving tasks.

    >>> choose_share(100, [(90, 100)])
    40
    >>> choose_share(40, [(30, 100)])
    55
    >>> choose_share(40, [(70, 100)])
    40
    """
    worst = max((tail / target for tail, target in tails), default=0.0)
    if worst > CUT_THRESHOLD:
        cut = int(share * CUT_FACTOR)
        return cut if cut >= RAISE_STEP_PERCENT else MIN_SHARE_PERCENT
    if worst < RAISE_THRESHOLD:
        return min(MAX_SHARE_PERCENT, share + RAISE_STEP_PERCENT)
    return share
