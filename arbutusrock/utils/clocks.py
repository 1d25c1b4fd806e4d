"""The boot clock, for leases and time-outs, and the wall clock.

The boot clock also counts the time that the machine is suspended, so leases
expire during it as well.
"""

import time

__all__ = ['now_s', 'wall_time_s']


def now_s():
    """Return the seconds of the boot clock, which never steps back."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time_s():
    """Return the seconds since the epoch, for times that people read."""
    return time.time()
