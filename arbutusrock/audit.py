"""Audit trail of the decisions that nodes make by themselves.

Changes by operators are rows of the change log. Decisions that can affect
what customers were promised (takeover, reclaim, ejection, parked job) are
recorded here. They are written in batches in the background, so that a
decision does not wait for the table service.
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

    :param at_s: wall-clock time in seconds since the epoch.
    :param who: operator or member that acted.
    :param subject: kind and name of the object, like ``vm/w1``.
    :param version: configuration version at that time.
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
    """Records decisions of this member and writes them to the table service.

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
        """Log a decision and queue it; it is written in about a second."""
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
        """Write the pending entries; on a store failure they stay pending."""
        while self._pending:
            batch = [
                self._pending.popleft()
                for _ in range(min(MAX_BATCH_ENTRIES, len(self._pending)))
            ]
            writes = [self._create_write(entry) for entry in batch]
            try:
                await self.platform.commit([], writes)
            except (errors.StoreUnavailable, platform_client.Conflicted):
                self._return_to_queue(batch)
                await asyncio.sleep(FLUSH_DELAY_S)
                self._wake.set()
                return

    def _return_to_queue(self, batch):
        """Put entries back that were not written; the oldest go if it is full.

        :param batch: entries in order of time, older than all pending ones.
        """
        kept = min(len(batch), MAX_PENDING_ENTRIES - len(self._pending))
        if kept < len(batch):
            LOG.warning(
                'the audit queue is full; entries are lost',
                entries=len(batch) - kept,
            )
        self._pending.extendleft(reversed(batch[len(batch) - kept :]))

    def _create_write(self, entry):
        self._sequence_number += 1
        key = (
            f'{int(entry.at_s * 1000):014d}/{self.member_id}'
            f'/{self._sequence_number:06d}'
        )
        return table.Write(
            table=AUDIT_TABLE, key=key, value=documents.encode_row(entry)
        )


async def read_trail(platform, *, since_s, subject='', limit=500):
    """Return the newest decisions and changes, in order of time.

    :param since_s: wall-clock time in seconds since the epoch.
    :param subject: only entries of this ``kind/name``; all when empty.
    :param limit: maximum number of entries.
    """
    audit_rows, log_rows = await platform.read(
        table.Range(table=AUDIT_TABLE, first=f'{int(since_s * 1000):014d}'),
        table.Range(table=LOG_TABLE),
    )
    entries = [
        documents.decode_row(row.value, AuditEntry) for row in audit_rows
    ]
    for row in log_rows:
        change = documents.decode_row(row.value, configuration.Change)
        entries += _create_change_entries(change)
    entries = [
        entry
        for entry in entries
        if entry.at_s >= since_s and subject in ('', entry.subject)
    ]
    entries.sort(key=lambda entry: entry.at_s)
    return entries[-limit:]


def _create_change_entries(change):
    return [
        AuditEntry(
            at_s=change.at_s,
            who=change.who,
            action=change.action,
            subject=f'{operation.kind}/{operation.name}',
            why=change.why,
            before=operation.before or '',
            after=operation.after or '',
            version=change.version,
        )
        for operation in change.operations
    ]
