"""What a member knows of the permits of one team."""

import asyncio

__all__ = ['TeamPermits']


class TeamPermits:
    """Permits of one team on this member."""

    __slots__ = (
        'local_permits',
        'running',
        'quota',
        'need',
        'row',
        'row_version',
        'lock',
        'sent',
        'sent_at_s',
        'received',
        'write_unconfirmed',
    )

    def __init__(self):
        self.local_permits = 0
        self.running = 0
        self.quota = 0
        self.need = 0
        self.row = None
        self.row_version = None
        self.lock = asyncio.Lock()
        # Permits that passed to peers and that the row still counts here.
        self.sent = 0
        self.sent_at_s = 0.0
        # Permits that peers gave, by giver, until the row is written.
        self.received = {}
        # Whether a write got no answer: the row may count too many here.
        self.write_unconfirmed = False
