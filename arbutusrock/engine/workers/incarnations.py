"""How incarnations of workers end."""

import enum

from arbutusrock.engine.ports import platform_messages

__all__ = ['END_BY_OUTCOME', 'IncarnationEnd']


class IncarnationEnd(enum.Enum):
    """How the owner learned that a worker's incarnation is over."""

    MOVED = 'its VM was moved or sent to maintenance'
    REPLACED = 'its VM runs another worker'
    RESTARTED = 'it was restarted'
    ADDRESS_TAKEN = 'another incarnation answers'
    UNREGISTERED = 'it is no longer registered'


# What an answer to an order shows about the incarnation that it was meant for.
END_BY_OUTCOME = {
    platform_messages.OrderOutcome.GONE: IncarnationEnd.ADDRESS_TAKEN,
    platform_messages.OrderOutcome.RESTARTED: IncarnationEnd.RESTARTED,
}
