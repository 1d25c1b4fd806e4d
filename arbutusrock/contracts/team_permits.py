"""State of one team's permits on this member."""

import asyncio

__all__ = ['TeamPermits']


class TeamPermits:
    """Counts of one team's permits on this member, and its row."""

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
        # Permits that this member holds, used or not.
        self.local_permits = 0
        # Tasks that run under them.
        self.running = 0
        # Maximum number of them to use; the rest is for other members.
        self.quota = 0
        # Tasks that run or could start here now.
        self.need = 0
        # The row and its version as last read or written.
        self.row = None
        self.row_version = None
        self.lock = asyncio.Lock()
        # Permits sent to peers that the row still counts for this member,
        # and the time of the last such transfer on the steady clock.
        self.sent = 0
        self.sent_at_s = 0.0
        # Permits received from peers, by sender, until they are in the row.
        self.received = {}
        # Whether a write got no answer, or lost to another one: the row may
        # then count more permits for this member than it holds.
        self.write_unconfirmed = False

    def add_received(self, sender, count):
        """Add permits that a peer sent."""
        self.local_permits += count
        self.received[sender] = self.received.get(sender, 0) + count

    def remove_received(self, settled):
        """Remove received permits that are in the row now, by sender."""
        for sender, count in settled.items():
            self.received[sender] -= count
            if not self.received[sender]:
                del self.received[sender]
