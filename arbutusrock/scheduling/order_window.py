"""How many start orders an owner may have in flight.

Load: more tasks wait, and more VMs are free, than the processor of the owner
can send orders for. Orders that are all sent at once are answered after their
time-outs, since the owner gets to the answers only when it has sent all of
them. It then takes workers for silent, stops runs that have started, and
starts tasks again, so that it gets ever less done.

The window shrinks while the event loop of the owner is late, and grows while
orders fill it. An owner that keeps up sends the rest of a burst some
milliseconds later.
"""

__all__ = ['OrderWindow', 'divide_room']

# Lateness of the event loop above which the window shrinks. An order waits for
# the loop several times until its answer is read, and has 0.8 s for it.
MAX_LATENESS_S = 0.15
# Smallest window, so that even an owner that is always late goes on.
MIN_ORDERS = 8
# Window of a new owner, and the largest one.
INITIAL_ORDERS = 128
MAX_ORDERS = 4096
# The window shrinks at most to this fraction, and grows by this factor, at
# each measurement.
MAX_CUT = 0.25
GROWTH = 1.15


class OrderWindow:
    """Limit of the start orders in flight, from the lateness of the owner.

    >>> window = OrderWindow()
    >>> window.add(window.limit)
    >>> window.get_room()
    0
    >>> window.record_lateness(0.5)
    >>> window.limit
    38
    """

    __slots__ = ('limit', 'in_flight', '_reached', '_full')

    def __init__(self):
        self.limit = INITIAL_ORDERS
        self.in_flight = 0
        self._reached = False
        # Whether it was full since an answer last made room.
        self._full = False

    def add(self, count=1):
        """Record that orders are sent."""
        self.in_flight += count
        self._full |= self.in_flight >= self.limit
        self._reached |= self.in_flight >= self.limit

    def remove(self):
        """Record that an order was answered or given up.

        :returns: whether orders may have waited for this.
        """
        self._full |= self.in_flight >= self.limit
        self.in_flight -= 1
        if not self._full or self.in_flight >= self.limit:
            return False
        self._full = False
        return True

    def get_room(self):
        """Return how many more orders may be sent now."""
        return max(0, self.limit - self.in_flight)

    def record_lateness(self, lateness_s):
        """Adapt the window to how late the event loop ran (s)."""
        if lateness_s > MAX_LATENESS_S:
            cut = max(MAX_CUT, MAX_LATENESS_S / lateness_s)
            self.limit = max(MIN_ORDERS, int(self.limit * cut))
        elif self._reached:
            self.limit = min(MAX_ORDERS, int(self.limit * GROWTH) + 1)
        self._reached = self.in_flight >= self.limit


def divide_room(room, pools):
    """Return how many orders the next of several pools may use.

    >>> divide_room(10, 3)
    4
    """
    return -(-max(0, room) // max(1, pools))
