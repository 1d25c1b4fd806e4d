"""CPU share of filling tasks that run beside serving tasks.

Load: filling tasks use the capacity that serving tasks leave free, and
increase the tail latency of the serving tasks by amounts that change within
seconds. The share of the filling tasks on a worker is cut at once when a
serving task comes close to its latency target, and is raised slowly while all
serving tasks are well below their targets.
"""

__all__ = ['choose_share']

# The share is cut when a tail latency is above this fraction of its target,
# and raised when all are below the lower one. In between it stays.
CUT_THRESHOLD = 0.85
RAISE_THRESHOLD = 0.6
CUT_FACTOR = 0.4
RAISE_STEP_PERCENT = 15
MIN_SHARE_PERCENT = 0
MAX_SHARE_PERCENT = 100


def choose_share(share, tails):
    """Return the share (percent) for the filling tasks of a worker.

    A share that a cut takes below one step becomes 0.

    :param share: the current share (percent).
    :param tails: pairs of tail latency and target (ms), one for each serving
        task of the worker.

    >>> choose_share(100, [(90, 100)])
    40
    >>> choose_share(40, [(30, 100)])
    55
    >>> choose_share(40, [(70, 100)])
    40
    """
    max_ratio = max((tail / target for tail, target in tails), default=0.0)
    if max_ratio > CUT_THRESHOLD:
        cut = int(share * CUT_FACTOR)
        return cut if cut >= RAISE_STEP_PERCENT else MIN_SHARE_PERCENT
    if max_ratio < RAISE_THRESHOLD:
        return min(MAX_SHARE_PERCENT, share + RAISE_STEP_PERCENT)
    return share
