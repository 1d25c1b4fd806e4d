"""All connections of one listener, and what they hold together."""

import asyncio
import collections
import enum

from arbutusrock import logs
from arbutusrock.scheduling import connections as connections_module

__all__ = ['ConnectionTable', 'Ending']

SWEEP_INTERVAL_S = 0.5
# Interval of the log lines that tell how many connections were ended.
LOG_INTERVAL_S = 10.0
LOG = logs.get_log('connections')


class Ending(enum.Enum):
    """Why a connection was ended before its client closed it."""

    TOO_MANY = 'too many connections'
    MEMORY = 'too much memory'
    HEAD_TOO_LONG = 'head too long'
    HEAD_TIMEOUT = 'head too slow'
    MALFORMED = 'malformed'
    ANSWER_NOT_READ = 'answer not read'
    BODY_AFTER_REFUSAL = 'body after refusal'


class ConnectionTable:
    """Ends connections when they hold more than the limits allow.

    :param listener: name of the listener in logs and metrics.
    :param limits: :class:`arbutusrock.serving.ConnectionLimits`.
    :param metrics: counts the endings by cause.
    """

    def __init__(self, *, listener, limits, metrics):
        self.listener = listener
        self.limits = limits
        self.metrics = metrics
        self.held_bytes = 0
        self._connections = set()
        self._order = connections_module.ConnectionOrder()
        self._unlogged = collections.Counter()
        self._logged_at_s = float('-inf')
        self._sweep_timer = None

    def __len__(self):
        return len(self._connections)

    def add(self, connection):
        """Add a new connection; end the one worth least if there is no room.

        :returns: whether the new connection may stay.
        """
        if len(self._connections) >= self.limits.connections:
            victim = self._order.choose() or self._choose_burden()
            if victim is None:
                self.record(Ending.TOO_MANY)
                return False
            victim.end(Ending.TOO_MANY)
            self.discard(victim)
        self._connections.add(connection)
        self._order.add(connection, answered=False)
        if self._sweep_timer is None:
            self._schedule_sweep()
        return True

    def discard(self, connection):
        """Remove a connection that is closed."""
        self._connections.discard(connection)
        self._order.discard(connection)
        self.hold(connection, 0)

    def record_waiting(self, connection):
        """Record that a connection was answered and waits for its client."""
        if connection in self._connections:
            self._order.discard(connection)
            self._order.add(connection, answered=True)

    def record_work(self, connection):
        """Record that a connection has sent a whole request."""
        self._order.discard(connection)

    def hold(self, connection, size):
        """Record how much a connection holds now (bytes).

        While all of them hold too much, the one worth least is ended.
        """
        self.held_bytes += size - connection.held_bytes
        connection.held_bytes = size
        while self.held_bytes > self.limits.held_bytes:
            victim = self._choose_burden()
            if victim is None:
                return
            victim.end(Ending.MEMORY)
            self.discard(victim)

    def _choose_burden(self):
        return connections_module.choose_largest_burden(
            [
                (item, item.stage, item.held_bytes, item.stage_began_at_s)
                for item in self._connections
            ],
            asyncio.get_running_loop().time(),
        )

    def record(self, cause):
        """Count a connection that was ended, and log it with others."""
        self.metrics.count(
            'connections_ended',
            (('listener', self.listener), ('cause', cause.value)),
        )
        self._unlogged[cause.value] += 1
        self._log_endings()

    def _log_endings(self):
        now_s = asyncio.get_running_loop().time()
        if self._unlogged and now_s - self._logged_at_s >= LOG_INTERVAL_S:
            LOG.warning(
                'connections of clients were ended',
                listener=self.listener,
                open=len(self._connections),
                held_bytes=self.held_bytes,
                causes=dict(self._unlogged),
            )
            self._unlogged.clear()
            self._logged_at_s = now_s

    def _schedule_sweep(self):
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self):
        """End the connections whose clients have used up their time."""
        self._sweep_timer = None
        now_s = asyncio.get_running_loop().time()
        for connection in list(self._connections):
            cause = connection.find_overdue(now_s)
            if cause is not None:
                connection.end(cause)
        self._log_endings()
        if self._connections or self._unlogged:
            self._schedule_sweep()
