"""Chooses when refused callers should come back, and how long calls wait.

Load: the store refuses the calls of some or all nodes for seconds, and every
caller has a few tries within its deadline. Callers that are sent away for too
long lose tries that would have succeeded; those that are sent away for the
same time come back all at once.
"""

import enum
import zlib

__all__ = ['Trouble', 'choose_busy_wait_s', 'choose_retry_after_s']

# The shortest Retry-After that the header can express.
MIN_RETRY_AFTER_S = 1
# Callers try only a few times, so even a long outage is probed this often.
MAX_RETRY_AFTER_S = 4
# Share of the caller's time that a hint may take, so that two tries are left.
MAX_HINT_SHARE = 0.5
# An owner is replaced this soon after it has fallen silent.
TAKEOVER_S = 2.0
# The store takes a job that it refused for its rate within about this time,
# or a peer does.
MAX_BUSY_WAIT_S = 1.0
# Share of the caller's time that one call may spend on a busy store: the rest
# is left for tries at other nodes.
MAX_BUSY_WAIT_SHARE = 0.5


class Trouble(enum.Enum):
    """Why a node cannot serve a call at present."""

    # The node has no configuration yet; other nodes may have one.
    NODE_NOT_READY = 'node not ready'
    # The store serves other nodes, but not this one.
    NODE_CUT_OFF = 'node cut off'
    # The store refuses calls as it gets too many.
    STORE_BUSY = 'store busy'
    # The store serves no node that this one knows of.
    STORE_AWAY = 'store away'
    # No owner has reported for some time.
    NO_OWNER = 'no owner'


def choose_retry_after_s(trouble, *, lasted_s=0.0, left_s=None, job_id=''):
    """Return after how many seconds a refused caller should come back.

    :param trouble: :class:`Trouble`.
    :param lasted_s: how long the trouble has lasted.
    :param left_s: time until the caller gives up; None when it is not known.
    :param job_id: spreads the callers whose time allows for it. The same
        caller always gets the same hint.
    :returns: whole seconds, at least one. A caller with less time is told the
        shortest hint that exists.

    >>> choose_retry_after_s(Trouble.STORE_AWAY, lasted_s=3.2, left_s=60.0)
    3
    >>> choose_retry_after_s(Trouble.STORE_AWAY, lasted_s=3.2, left_s=5.0)
    2
    """
    longest_s = MAX_RETRY_AFTER_S
    if left_s is not None:
        longest_s = min(longest_s, int(left_s * MAX_HINT_SHARE))
    longest_s = max(MIN_RETRY_AFTER_S, longest_s)
    match trouble:
        case Trouble.NODE_NOT_READY | Trouble.NODE_CUT_OFF:
            # Another node serves at once, and the tries reach other nodes.
            return MIN_RETRY_AFTER_S
        case Trouble.STORE_AWAY:
            # An outage is expected to last as long again as it has lasted.
            expected_s = round(lasted_s)
        case Trouble.NO_OWNER:
            expected_s = round(max(0.0, TAKEOVER_S - lasted_s))
        case Trouble.STORE_BUSY:
            expected_s = MIN_RETRY_AFTER_S
    expected_s = min(longest_s, max(MIN_RETRY_AFTER_S, expected_s))
    # The later callers wait for up to twice the time of the first ones.
    latest_s = min(longest_s, 2 * expected_s)
    if not job_id:
        return expected_s
    return expected_s + zlib.crc32(job_id.encode()) % (
        latest_s - expected_s + 1
    )


def choose_busy_wait_s(left_s):
    """Return how long a call may wait for a store that is busy.

    A busy store answers other calls, so that waiting serves the caller better
    than one of its few tries.

    :param left_s: time until the caller gives up.

    >>> choose_busy_wait_s(3.0)
    1.0
    >>> choose_busy_wait_s(0.6)
    0.3
    """
    return min(MAX_BUSY_WAIT_S, max(0.0, left_s) * MAX_BUSY_WAIT_SHARE)
