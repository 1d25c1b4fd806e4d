"""Tests of the queue of audit entries while the store is down."""

from unittest import mock

from arbutusrock import audit
from arbutusrock import errors


async def test_failed_flush_keeps_newest_entries_of_full_queue(monkeypatch):
    """Entries that came while the write failed stay; the oldest go."""
    monkeypatch.setattr(audit, 'MAX_PENDING_ENTRIES', 4)
    monkeypatch.setattr(audit, 'MAX_BATCH_ENTRIES', 3)
    monkeypatch.setattr(audit, 'FLUSH_DELAY_S', 0)
    platform = mock.Mock()
    trail = audit.AuditTrail(
        platform=platform, configuration=mock.Mock(version=1)
    )
    for number in range(4):
        trail.record(f'a{number}', 'vm/w1')

    async def fail(_conditions, _writes):
        trail.record('a4', 'vm/w1')
        trail.record('a5', 'vm/w1')
        raise errors.StoreUnavailable('down')

    platform.commit = fail
    await trail.flush()
    kept = [entry.action for entry in trail._pending]
    assert kept == ['a2', 'a3', 'a4', 'a5']
