"""Tests of how the owner loads and applies its rows."""

import asyncio
import contextlib
import types

import msgspec

from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ownership import leader as leader_module
from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import state_writer
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


def create_row(job_id, version, **fields):
    submission = samples.create_submission()
    return rows.Row(
        table=rows.TABLE_JOBS,
        key=job_id,
        value=msgspec.msgpack.encode(
            msgspec.structs.replace(submission, **fields)
        ),
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
    await leader._load_workers()
    workers = leader.term.fleet.workers
    assert set(workers) == {'i-0', 'i-1', 'i-10'}
    assert all(not worker.in_roster for worker in workers.values())


async def test_owner_ends_with_a_segment_that_cannot_be_decoded():
    """The others are used, and nothing starts while runs may be unknown."""

    async def read_range(table, *, part):
        if table != rows.TABLE_ROSTER:
            return [], 9
        values = [b'odd', msgspec.msgpack.encode({'i-1': ('p', 'm-1')})]
        return [
            rows.Row(table=table, key=str(number), value=value, version=9)
            for number, value in enumerate(values)
        ], 9

    leader = create_leader(types.SimpleNamespace(read_range=read_range))
    await leader._load_workers()
    term = leader.term
    assert set(term.fleet.workers) == {'i-1'}
    starts_after_s = term.inherited_waits.starts_after_s
    assert starts_after_s == term.inherited_leases_end_at_s > 0


def test_job_that_no_part_copes_with_ends_the_ownership(monkeypatch):
    """The other jobs of the same read are added."""
    leader = create_leader()
    registry = leader.term.job_registry
    add = registry.add

    def add_or_fail(job_id, submission, **fields):
        if job_id == JOB:
            raise OverflowError('odd')
        return add(job_id, submission, **fields)

    monkeypatch.setattr(registry, 'add', add_or_fail)
    leader._apply_job_rows(
        [create_row(JOB, 3), create_row(LATER_JOB, 4)], False, 5
    )
    assert list(registry.jobs) == [LATER_JOB]


class SlowStore:
    """Store that returns the jobs only when the test lets it."""

    def __init__(self, job_rows):
        self.job_rows = job_rows
        self.jobs_due = asyncio.Event()
        # Rows that are stored while the jobs are loaded.
        self.later_rows = []
        # Encoded heartbeats.
        self.heartbeats = asyncio.Queue()

    async def read_range(self, table, *, part, **_options):
        if table != rows.TABLE_JOBS or part != rows.JOB_PARTS[0]:
            return [], 9
        await self.jobs_due.wait()
        return self.job_rows, 9

    async def watch(self, _table, *, after, wait_s):
        await asyncio.sleep(wait_s)
        found, self.later_rows = self.later_rows, []
        return found, after + len(found)

    async def transact(self, *, expected, puts):
        for row in puts:
            if row.key == state_writer.KEY_HEARTBEAT:
                self.heartbeats.put_nowait(row.value)
        return 10


@contextlib.asynccontextmanager
async def leading(store):
    """Run a leader whose jobs are not loaded yet."""

    async def refresh():
        return None

    leader = create_leader(store)
    leader.state_writer.on_heartbeat = lambda _heartbeat: None
    leader.term.jobs_loaded.clear()
    leader.term.inherited_waiting = {'q': 5}
    leader.term.configuration.refresh = refresh
    running = asyncio.ensure_future(leader.run())
    try:
        yield leader
    finally:
        running.cancel()
        await asyncio.wait([running])


async def read_heartbeat(store):
    async with asyncio.timeout(5.0):
        value = await store.heartbeats.get()
    return msgspec.msgpack.decode(value, type=state_writer.OwnerHeartbeat)


async def test_heartbeats_are_written_while_jobs_are_loaded():
    """Guards against LOST: each next owner was replaced while it loaded."""
    store = SlowStore([create_row(f'{n:016x}', 3) for n in range(20)])
    async with leading(store) as leader:
        for _ in range(2):
            assert (await read_heartbeat(store)).waiting == {'q': 5}
        assert not leader.term.jobs_loaded.is_set()
        store.jobs_due.set()
        while (await read_heartbeat(store)).waiting == {'q': 5}:
            pass
        await leader.term.jobs_loaded.wait()
        assert len(leader.term.job_registry.jobs) == 20
        assert leader.term.inherited_waiting == {'q': 20}


async def test_jobs_are_loaded_in_slices(monkeypatch):
    """A large backlog must not hold up heartbeats, renewals and calls."""
    monkeypatch.setattr(leader_module, 'MAX_SLICE_S', 0.0)
    store = SlowStore([create_row(f'{n:016x}', 3) for n in range(20)])
    store.jobs_due.set()
    counts = set()
    async with leading(store) as leader:
        while not leader.term.jobs_loaded.is_set():
            counts.add(len(leader.term.job_registry.jobs))
            await asyncio.sleep(0)
    assert len(counts) > 10


async def test_most_urgent_jobs_are_loaded_first():
    lasting = plans.JobPlan(
        spec='', steps=(plans.StepPlan(count=1, long_running=True),)
    )
    store = SlowStore(
        [
            create_row('1' * 16, 3, accepted_ms=3.0),
            create_row('2' * 16, 3, accepted_ms=2.0),
            rows.Row(table=rows.TABLE_JOBS, key='2' * 16 + '.c', value=b''),
            create_row('3' * 16, 3, accepted_ms=9.0, plan=lasting),
            rows.Row(table=rows.TABLE_JOBS, key='4' * 16, value=b'\xc1'),
        ]
    )
    store.jobs_due.set()
    async with leading(store) as leader:
        await leader.term.jobs_loaded.wait()
        jobs = leader.term.job_registry.jobs
        assert list(jobs) == [digit * 16 for digit in '321']
        assert jobs['2' * 16].ended


async def test_job_cancelled_while_jobs_are_loaded_is_not_started():
    """Guards against UNASKED: the owner had loaded for seven seconds."""
    store = SlowStore([create_row('1' * 16, 3)])
    store.later_rows = [
        rows.Row(table=rows.TABLE_JOBS, key='1' * 16 + '.c', value=b'')
    ]
    store.jobs_due.set()
    async with leading(store) as leader:
        await leader.term.jobs_loaded.wait()
        assert leader.term.job_registry.jobs['1' * 16].ended
