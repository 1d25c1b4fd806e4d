"""Which connection of a client is ended when there are too many.

The load: clients that open connections, or send requests, and never complete
them, beside others that send whole requests. What is ended holds no whole
request, so nothing that a caller was promised is lost.
"""

from collections import OrderedDict
import enum

__all__ = ['ConnectionOrder', 'Stage']


class Stage(enum.IntEnum):
    """What a connection waits for; the lowest is worth least."""

    # The client sends a head, or nothing.
    HEAD = 0
    # The client sends the body of a request.
    BODY = 1
    # The client reads the answer.
    ANSWER = 2
    # The process works on a whole request.
    WORK = 3


class ConnectionOrder:
    """Order in which connections without a request give way to new ones.

    Those that never had an answer come first, and of these the one that has
    waited longest: a client that keeps to its time-outs sends its request
    long before as many others have connected.
    """

    __slots__ = ('_never_answered', '_answered')

    def __init__(self):
        self._never_answered = OrderedDict()
        self._answered = OrderedDict()

    def add(self, connection, *, answered):
        """Record that a connection waits for a request from now on."""
        waiting = self._answered if answered else self._never_answered
        waiting[connection] = None

    def discard(self, connection):
        """Record that a connection has a whole request, or is closed."""
        self._never_answered.pop(connection, None)
        self._answered.pop(connection, None)

    def choose(self):
        """Return the connection to end next, or None."""
        for waiting in (self._never_answered, self._answered):
            if waiting:
                return next(iter(waiting))
        return None
