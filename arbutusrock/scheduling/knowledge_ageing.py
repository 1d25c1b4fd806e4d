"""Which knowledge of an earlier owner is still of use, by its age.

Load: after each loss of the owner the next one estimates all durations as
declared, which are wrong by half, and lets new runs fail on VMs that are known
to fail them, until it has learned both again under full load.
"""

__all__ = ['find_discard_reason', 'weigh_by_age']

# Clocks of two nodes may differ by about this much, so that knowledge may
# seem to be written in the future.
MAX_CLOCK_SKEW_S = 5.0


def find_discard_reason(age_s, max_age_s):
    """Return why knowledge of an age is not used; empty when it is.

    :param age_s: its age by the clock of the node that reads it.
    :param max_age_s: greatest age at which it is of use.

    >>> find_discard_reason(3.0, 60.0)
    ''
    >>> find_discard_reason(61.0, 60.0)
    'too old'
    >>> find_discard_reason(-60.0, 60.0)
    'written in the future'
    """
    if not age_s >= -MAX_CLOCK_SKEW_S:
        return 'written in the future'
    return '' if age_s <= max_age_s else 'too old'


def weigh_by_age(age_s, half_life_s):
    """Return the weight of a value, 1 for a new one and 0 for a very old one.

    >>> weigh_by_age(0.0, 60.0), weigh_by_age(120.0, 60.0)
    (1.0, 0.25)
    """
    return 0.5 ** (max(0.0, age_s) / half_life_s)
