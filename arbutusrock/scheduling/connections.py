"""Which connection of a client is ended when there are too many.

The load: clients that open connections, or send requests, and never complete
them, beside others that send whole requests. What is ended holds no whole
request, so nothing that a caller was promised is lost.
"""

from collections import OrderedDict
import enum

__all__ = ['ConnectionOrder', 'Stage', 'choose_largest_burden']

# Time that a client has to read an answer, however much others hold (s).
MIN_ANSWER_TIME_S = 2.0


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
    """Order in which connections without a whole request give way to new ones.

    Those that never had an answer come first, and of these the one that has
    waited longest: a client that keeps to its time-outs sends its request
    long before as many others have connected.
    """

    __slots__ = ('_never_answered', '_answered')

    def __init__(self):
        self._never_answered = OrderedDict()
        self._answered = OrderedDict()

    def add(self, connection, *, answered):
        """Record that a connection waits for its client from now on."""
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


def choose_largest_burden(burdens, now_s):
    """Return the connection to end when clients hold too much memory.

    :param burdens: ``(connection, stage, bytes, since when)`` of each one.
    :param now_s: the present instant.
    :returns: the one that has been in the lowest stage for the longest time;
        None when all that hold anything are at work, or have just begun to
        read their answer.

    >>> choose_largest_burden(
    ...     [
    ...         ('a', Stage.BODY, 9000, 4.0),
    ...         ('b', Stage.BODY, 10, 3.0),
    ...         ('c', Stage.WORK, 90_000, 1.0),
    ...         ('d', Stage.HEAD, 0, 2.0),
    ...     ],
    ...     now_s=5.0,
    ... )
    'b'
    """
    found = [
        (stage, since_s, number)
        for number, (_, stage, size, since_s) in enumerate(burdens)
        if size
        and (
            stage < Stage.ANSWER
            or (stage is Stage.ANSWER and now_s - since_s > MIN_ANSWER_TIME_S)
        )
    ]
    return burdens[min(found)[2]][0] if found else None
