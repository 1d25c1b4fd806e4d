"""How far the owner's process is behind, and what it leaves out meanwhile."""

from arbutusrock import logs
from arbutusrock.scheduling import order_window
from arbutusrock.utils import clocks

__all__ = ['OwnerLoad']

# Lateness of the event loop above which the owner counts as behind. Passes
# over a large fleet make it late by less on a VM of one core.
BEHIND_S = 0.1
# Share of its last value that the lateness keeps at each measurement, so that
# one prompt iteration of the loop does not hide a long one.
LATENESS_DECAY = 0.8
# While the owner is behind, a periodic part takes at most one in this many
# parts of its time.
TIME_PARTS = 10
# Longest pause between two renewals of a worker while the owner is behind.
MAX_RENEWAL_PAUSE_S = 0.3
LOG_INTERVAL_S = 2.0
LOG = logs.get_log('owner')


class OwnerLoad:
    """Lateness of the owner's event loop, and the orders in flight.

    While the owner is behind, its periodic parts run less often, and one reply
    of a worker collects more completions.

    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    """

    __slots__ = (
        'metrics',
        'orders',
        'lateness_s',
        '_parts',
        '_behind',
        '_logged_at_s',
    )

    def __init__(self, *, metrics):
        self.metrics = metrics
        self.orders = order_window.OrderWindow()
        self.lateness_s = 0.0
        # When the periodic parts since the last measurement began and ended.
        self._parts = []
        self._behind = False
        self._logged_at_s = 0.0

    @property
    def is_behind(self):
        """Whether the event loop has been late lately."""
        return self.lateness_s > BEHIND_S

    def run_part(self, part, *arguments):
        """Call a periodic part, and record how long it held the loop up.

        :returns: how long it took (s).
        """
        began_at_s = clocks.now_s()
        part(*arguments)
        ended_at_s = clocks.now_s()
        self.record_part(began_at_s, ended_at_s)
        return ended_at_s - began_at_s

    def record_part(self, began_at_s, ended_at_s):
        """Record that a periodic part has held the event loop up."""
        self._parts.append((began_at_s, ended_at_s))

    def record_lateness(self, lateness_s, now_s):
        """Record by how much a timer of the event loop was late (s).

        What periodic parts have added does not count for the window of
        orders: they take as long with fewer orders in flight.
        """
        self.lateness_s = max(lateness_s, self.lateness_s * LATENESS_DECAY)
        due_at_s = now_s - lateness_s
        parts_s = sum(
            max(0.0, ended_at_s - max(began_at_s, due_at_s))
            for began_at_s, ended_at_s in self._parts
        )
        self._parts.clear()
        self.orders.record_lateness(lateness_s - parts_s)
        self.metrics.observe('owner_lateness_seconds', max(0.0, lateness_s))
        if self.is_behind != self._behind or (
            self.is_behind and now_s - self._logged_at_s >= LOG_INTERVAL_S
        ):
            self._behind = self.is_behind
            self._logged_at_s = now_s
            LOG.info(
                'the owner is behind'
                if self.is_behind
                else 'the owner keeps up again',
                lateness_s=round(self.lateness_s, 3),
                orders=self.orders.in_flight,
                max_orders=self.orders.limit,
            )

    def compute_pause_s(self, interval_s, took_s):
        """Return the pause of a periodic part before its next pass (s).

        :param interval_s: its usual pause.
        :param took_s: how long its last pass took.
        """
        if not self.is_behind:
            return interval_s
        return max(interval_s, took_s * (TIME_PARTS - 1))

    def compute_renewal_pause_s(self, interval_s):
        """Return the pause before the next renewal of a worker (s).

        :param interval_s: the usual one.
        """
        if not self.is_behind:
            return interval_s
        return max(interval_s, min(self.lateness_s, MAX_RENEWAL_PAUSE_S))
