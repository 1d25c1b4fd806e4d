"""What an owner leaves for the next one, and what that reads of it.

Neither the knowledge nor the list of possible runs is needed: an owner that
does not get them in time learns again, or waits for silent workers.
"""

import asyncio

from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import owner_knowledge
from arbutusrock.engine.state import possible_runs
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['pass_on_runs', 'read_knowledge', 'read_possible_runs']

# What an earlier owner has left is done without when the store has not
# returned it within this time.
READ_TIMEOUT_S = 0.5
LOG = logs.get_log('owner')


async def read_knowledge(store):
    """Return the bytes of the knowledge of an earlier owner, or None."""
    found = await _read_table(store, rows.TABLE_KNOWLEDGE)
    return next(
        (row.value for row in found if row.key == owner_knowledge.KEY), None
    )


async def read_possible_runs(store, handover):
    """Return the tasks that may run, by worker; None when not known.

    :param handover: :class:`possible_runs.Handover`, or None.
    """
    if handover is None or not handover.row_count:
        return None
    found = await _read_table(store, rows.TABLE_POSSIBLE_RUNS)
    return possible_runs.decode_rows(found, handover)


async def _read_table(store, table):
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            found, _ = await store.read_range(table, part=rows.OWNER_PART)
    except (rows.StoreRefused, rows.StoreSilent, TimeoutError) as exc:
        LOG.info(
            'what an earlier owner has left cannot be read',
            table=table,
            error=repr(exc),
        )
        return []
    return found


def pass_on_runs(term, state_writer):
    """Queue rows for the next owner with the tasks that may run.

    Nothing may be started from now on. The rows are queued before the last
    flush: an end that is read later is not durable with it, and its task is
    listed.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param state_writer:
        :class:`arbutusrock.engine.state.state_writer.StateWriter`.
    :returns: :class:`possible_runs.Handover` for the released claim.
    """
    if not term.jobs_loaded.is_set():
        # It has started nothing; the list that it found still holds.
        return term.handover or possible_runs.Handover()
    listed = term.fleet.list_possible_tasks(clocks.now_s())
    found = possible_runs.create_rows(
        listed,
        epoch=term.epoch,
        max_row_bytes=term.settings.store_row_bytes,
    )
    for row in found:
        state_writer.enqueue_row(row)
    LOG.info(
        'possible runs are passed on',
        epoch=term.epoch,
        rows=len(found),
        bytes=sum(len(row.value) for row in found),
        workers=len(listed),
        tasks=sum(len(names or ()) for names in listed.values()),
        unknown=sum(names is None for names in listed.values()),
    )
    return possible_runs.Handover(epoch=term.epoch, row_count=len(found))
