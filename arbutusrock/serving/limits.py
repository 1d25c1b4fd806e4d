"""Limits of what the connections of one listener hold."""

import msgspec

__all__ = ['ConnectionLimits']


class ConnectionLimits(msgspec.Struct, kw_only=True, frozen=True):
    """What clients of a listener may hold, and for how long.

    :param connections: connections at a time (count).
    :param line_bytes: size of a request line and of a header (bytes).
    :param head_bytes: size of a request line with all headers; empty lines
        before it count too (bytes).
    :param head_timeout_s: time from the first byte of a head to its last (s).
    :param idle_timeout_s: time between an answer and the next head (s).
    :param answer_timeout_s: time in which a client reads an answer (s).
    :param discarded_bytes: how much of a body is read after its request was
        refused, so that its client can read the answer (bytes).
    :param held_bytes: size of all requests that are not complete and of all
        answers that are not read (bytes).
    """

    connections: int
    line_bytes: int
    head_bytes: int
    head_timeout_s: float
    idle_timeout_s: float
    answer_timeout_s: float
    discarded_bytes: int
    held_bytes: int
