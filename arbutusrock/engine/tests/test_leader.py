"""Tests of how the owner applies the rows of jobs."""

import types

import msgspec

from arbutusrock.engine import leader as leader_module
from arbutusrock.engine import rows
from arbutusrock.engine.tests import samples

JOB = '0' * 16
LATER_JOB = '1' * 16


def create_leader(store=None):
    return leader_module.Leader(
        term=samples.create_term(epoch=1),
        store=store,
        adapter=types.SimpleNamespace(
            decode_worker=None, advice_client=None, vm_client=None
        ),
        on_heartbeat=None,
    )


def create_row(job_id, version):
    return rows.Row(
        table=rows.TABLE_JOBS,
        key=job_id,
        value=msgspec.msgpack.encode(samples.create_submission()),
        version=version,
    )


def test_job_removed_while_the_table_is_read_again_stays_removed():
    """It had been completed, and all its tasks were run once more."""
    leader = create_leader()
    registry = leader.term.job_registry
    leader._apply_job_rows([create_row(JOB, 3)], False, 5)
    assert JOB in registry.jobs
    # The store has dropped its history, the owner reads the table, and
    # retention removes the job before the last part of it is read.
    registry.remove_job(JOB)
    found = [create_row(JOB, 3), create_row(LATER_JOB, 8)]
    leader._apply_job_rows(found, True, 9)
    assert list(registry.jobs) == [LATER_JOB]


async def test_owner_reads_all_segments_of_the_roster_after_its_claim():
    """Guards against TWICE: a worker with runs that is not asked for them.

    The earlier owner writes with the condition that its claim is unchanged, so
    what is read after the next claim is all that it has written.
    """

    async def read_range(table, *, part):
        if table != rows.TABLE_ROSTER:
            return [], 9
        assert part == rows.OWNER_PART
        return [
            rows.Row(
                table=table,
                key=str(number),
                value=msgspec.msgpack.encode(
                    {f'i-{number}': ('p', f'm-{number}')}
                ),
                version=9,
            )
            for number in (0, 1, 10)
        ], 9

    leader = create_leader(types.SimpleNamespace(read_range=read_range))
    await leader._load()
    workers = leader.term.fleet.workers
    assert set(workers) == {'i-0', 'i-1', 'i-10'}
    assert all(not worker.in_roster for worker in workers.values())
