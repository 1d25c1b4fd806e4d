"""Audit trail: decisions of the nodes, beside the log of changes.

Changes of operators are rows of the change log. Decisions that touch a
promise (takeover, reclaim, ejection, parked job) are recorded here, in
batches, without holding up the decision.
"""

import asyncio
from collections import deque

import mode
import msgspec

from arbutusrock.contracts import configuration
from arbutusrock import errors
from arbutusrock.links import platform_client
from arbutusrock.links import table
from arbutusrock import logs
from arbutusrock.utils import clocks
from arbutusrock.utils import documents

__all__ = ['AuditEntry', 'AuditTrail', 'read_trail']

AUDIT_TABLE = 'audit'
LOG_TABLE = 'log'
FLUSH_DELAY_S = 1.0
MAX_PENDING_ENTRIES = 5000
MAX_BATCH_ENTRIES = 200
LOG = logs.get_log('audit')


class AuditEntry(msgspec.Struct, kw_only=True, frozen=True):
    """One entry of the trail.

    :param who: operator or member.
    :param subject: kind and name, like ``vm/w1``.
    """

    at_s: float
    who: str
    action: str
    subject: str
    why: str = ''
    before: str = ''
    after: str = ''
    version: int = 0


class AuditTrail(mode.Service):
    """Writes decisions of this member to the table service.

    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param configuration: the configuration in force.
    """

    def __init__(self, *, platform, configuration):
        super().__init__()
        self.platform = platform
        self.configuration = configuration
        self.member_id = ''
        self._pending = deque(maxlen=MAX_PENDING_ENTRIES)
        self._sequence_number = 0
        self._wake = asyncio.Event()

    def record(self, action, subject, *, why='', before='', after=''):
        """Add a decision; it is written within about a second."""
        self._pending.append(
            AuditEntry(
                at_s=clocks.wall_time_s(),
                who=self.member_id,
                action=action,
                subject=subject,
                why=why,
                before=before,
                after=after,
                version=self.configuration.version,
            )
        )
        LOG.info(action, subject=subject, why=why)
        self._wake.set()

    @mode.Service.task
    async def _run(self):
        while not self.should_stop:
            await self._wake.wait()
            await asyncio.sleep(FLUSH_DELAY_S)
            self._wake.clear()
            await self.flush()

    async def flush(self):
        """Write what is kept; on a silent store it stays kept."""
        while self._pending:
            batch = [
                self._pending.popleft()
                for _ in range(min(MAX_BATCH_ENTRIES, len(self._pending)))
            ]
            writes = [self._create_write(item) for item in batch]
            try:
                await self.platform.commit([], writes)
            except (errors.StoreUnavailable, platform_client.Conflicted):
                self._pending.extendleft(reversed(batch))
                await asyncio.sleep(FLUSH_DELAY_S)
                self._wake.set()
                return

    def _create_write(self, item):
        self._sequence_number += 1
        key = (
            f'{int(item.at_s * 1000):014d}/{self.member_id}'
            f'/{self._sequence_number:06d}'
        )
        return table.Write(
            table=AUDIT_TABLE, key=key, value=documents.encode_row(item)
        )


async def read_trail(platform, *, since_s, subject='', limit=500):
    """Return decisions and changes in order of time.

    :param since_s: wall-clock time in seconds since the epoch.
    :param subject: keeps only entries of this ``kind/name``.
    """
    audit_rows, log_rows = await platform.read(
        table.Range(table=AUDIT_TABLE, first=f'{int(since_s * 1000):014d}'),
        table.Range(table=LOG_TABLE),
    )
    found = [documents.decode_row(row.value, AuditEntry) for row in audit_rows]
    for row in log_rows:
        change = documents.decode_row(row.value, configuration.Change)
        found += _create_change_entries(change)
    found = [
        item
        for item in found
        if item.at_s >= since_s and subject in ('', item.subject)
    ]
    found.sort(key=lambda item: item.at_s)
    return found[-limit:]


def _create_change_entries(change):
    return [
        AuditEntry(
            at_s=change.at_s,
            who=change.who,
            action=change.action,
            subject=f'{item.kind}/{item.name}',
            why=change.why,
            before=item.before or '',
            after=item.after or '',
            version=change.version,
        )
        for item in change.operations
    ]
