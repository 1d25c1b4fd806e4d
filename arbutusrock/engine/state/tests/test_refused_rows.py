"""Rows that the store refuses for what they hold."""

import types

import pytest

from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import state_writer
from arbutusrock.engine.state.tests import test_state_writer


class RejectingStore(test_state_writer.RecordingStore):
    """Store that never takes rows of some tables or jobs."""

    def __init__(self, *rejected):
        super().__init__()
        self.rejected = rejected
        self.rejected_calls = 0

    async def transact(self, *, expected, puts):
        """Reject the whole transaction if one of its rows is not taken."""
        if any({row.table, row.key} & set(self.rejected) for row in puts):
            self.rejected_calls += 1
            raise rows.WriteRejected('400')
        return await super().transact(expected=expected, puts=puts)


def create_rejecting_writer(*rejected):
    owner_term, _, writer = test_state_writer.create_state_writer()
    writer.store = RejectingStore(*rejected)
    return owner_term, writer.store, writer


@pytest.mark.parametrize(
    'rejected', ['7' * 16, rows.TABLE_WAVES, rows.TABLE_ROSTER]
)
async def test_refused_row_holds_up_all_other_writes(rejected):
    """Guards against LOST: the transaction was repeated for ever.

    All other rows are written in the same flush, with the heartbeat.
    """
    owner_term, store, writer = create_rejecting_writer(rejected)
    jobs = [f'{number}' * 16 for number in range(10)]
    for job_id in jobs:
        test_state_writer.add_dirty_job(owner_term, job_id)
    test_state_writer.add_worker(owner_term, 'i-1')
    writer.enqueue_row(rows.Row(table=rows.TABLE_WAVES, key='w', value=b''))
    await writer.flush()
    written = {key for keys in store.written_keys for key in keys}
    expected = {state_writer.KEY_HEARTBEAT, 'w', '0', *jobs}
    others = {
        '7' * 16: '7' * 16,
        rows.TABLE_WAVES: 'w',
        rows.TABLE_ROSTER: '0',
    }
    assert written & expected == expected - {others[rejected]}
    assert writer.flushes_completed == 1
    # The head of a job that is suspended is another row, and is tried, too.
    await writer.flush()
    calls = store.rejected_calls
    for _ in range(20):
        await writer.flush()
    assert store.rejected_calls == calls


async def test_end_of_job_with_refused_row_is_acknowledged():
    """Guards against TWICE: a later owner would not know of that end."""
    job_id = '7' * 16
    owner_term, store, writer = create_rejecting_writer(job_id)
    test_state_writer.add_dirty_job(owner_term, job_id)
    test_state_writer.add_worker(owner_term, 'i-1')
    worker = owner_term.fleet.workers['i-1']
    worker.pending_acks = [(1, 1, ''), (2, 1, job_id), (3, 1, '')]
    await writer.flush()
    assert worker.ack_cursor == 1
    store.rejected = ()
    await writer.flush()
    assert worker.ack_cursor == 3


async def test_rejected_knowledge_keeps_the_heartbeat_from_the_store():
    """The owner would be replaced, and the next one by another."""
    owner_term, store, writer = create_rejecting_writer(rows.TABLE_KNOWLEDGE)
    writer.knowledge = types.SimpleNamespace(
        create_due_rows=lambda: [
            rows.Row(table=rows.TABLE_KNOWLEDGE, key='knowledge', value=b'x')
        ]
    )
    test_state_writer.add_dirty_job(owner_term, '7' * 16)
    await writer.flush()
    written = [key for keys in store.written_keys for key in keys]
    assert set(written) == {state_writer.KEY_HEARTBEAT, '7' * 16}
