"""Tests of the rows that one flush of the owner writes."""

import msgspec
import pytest

from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import state_writer
from arbutusrock.engine.term import term
from arbutusrock.engine.tests import samples
from arbutusrock.engine.workers import fleet
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks


class RecordingStore:
    """Store that records the keys written by each transaction.

    Each call fails with the rows in ``conflict`` when it is set.
    """

    def __init__(self):
        self.written_keys = []
        self.expected_versions = []
        self.row_bytes = []
        self.transaction_bytes = []
        # Conditions and writes of each transaction.
        self.entry_counts = []
        # Workers by segment of the roster.
        self.roster = {}
        self.conflict = None

    async def transact(self, *, expected, puts):
        """Record the written keys, or report the prepared conflict."""
        if self.conflict is not None:
            raise rows.Conflicted(self.conflict)
        self.written_keys.append([row.key for row in puts])
        self.expected_versions.append({r.key: r.version for r in expected})
        sizes = [len(row.value) for row in puts]
        self.row_bytes += sizes
        self.transaction_bytes.append(sum(sizes))
        self.entry_counts.append(len(expected) + len(puts))
        self.roster.update(
            (row.key, msgspec.msgpack.decode(row.value))
            for row in puts
            if row.table == rows.TABLE_ROSTER
        )
        return len(self.written_keys)


def create_state_writer():
    owner_term = samples.create_term(epoch=1)
    store = RecordingStore()
    return (
        owner_term,
        store,
        state_writer.StateWriter(
            term=owner_term, store=store, on_heartbeat=lambda _heartbeat: None
        ),
    )


def add_worker(owner_term, worker_id, pool='p', vm=''):
    entry = platform_messages.WorkerEntry(
        worker_id=worker_id,
        pool=pool,
        vm=vm,
        address='h:1',
        capacity=Resources(cpu=1000),
    )
    owner_term.fleet.workers[worker_id] = fleet.WorkerState(
        entry=entry, now_s=0.0
    )


def add_dirty_job(owner_term, job_id, count=1):
    submission = plans.Submission(
        queue='q',
        pool='p',
        account='a',
        accepted_ms=0.0,
        plan=plans.JobPlan(spec='', steps=(plans.StepPlan(count=count),)),
    )
    owner_term.job_registry.dirty_jobs[job_id] = owner_term.job_registry.add(
        job_id, submission
    )


async def test_flush_adds_new_worker_to_roster():
    """A flush between heartbeats writes the roster when a worker is new.

    Until it is in the roster a worker gets no runs; if it had to wait for the
    next heartbeat, a burst would wait as well.
    """
    owner_term, store, writer = create_state_writer()
    add_worker(owner_term, 'i-1')
    await writer.flush()
    add_worker(owner_term, 'i-2')
    add_dirty_job(owner_term, '0' * 16)
    await writer.flush()
    assert set(store.roster['0']) == {'i-1', 'i-2'}
    assert '0' in store.written_keys[-1]
    assert owner_term.fleet.workers['i-2'].in_roster


async def test_flush_omits_heartbeat_sent_recently():
    owner_term, store, writer = create_state_writer()
    await writer.flush()
    add_dirty_job(owner_term, '0' * 16)
    await writer.flush()
    assert store.written_keys[-1] == ['0' * 16]


async def test_flush_raises_ownership_lost_on_changed_claim():
    _, store, writer = create_state_writer()
    store.conflict = [
        rows.Row(table=rows.TABLE_OWNER, key=state_writer.KEY_CLAIM, version=8)
    ]
    try:
        await writer.flush()
    except term.OwnershipLost:
        return
    raise AssertionError('flush() did not raise OwnershipLost')


async def test_flush_accepts_own_earlier_write():
    """An earlier attempt was written, but its answer was lost."""
    owner_term, store, writer = create_state_writer()
    add_dirty_job(owner_term, '0' * 16)
    value = plans.encode_row(owner_term.job_registry.jobs['0' * 16].progress)
    store.conflict = [
        rows.Row(
            table=rows.TABLE_OWNER, key=state_writer.KEY_CLAIM, version=7
        ),
        rows.Row(
            table=rows.TABLE_PROGRESS, key='0' * 16, value=value, version=42
        ),
    ]
    await writer.flush()
    assert writer.flushes_completed == writer.flushes_started == 1


async def test_flush_keeps_rows_enqueued_during_its_first_batch():
    """They are written by the next flush, not dropped by a later batch.

    A burst has more dirty jobs than one transaction takes, and the progress
    of a wave changes while the first of them is being written.
    """
    owner_term, store, writer = create_state_writer()
    for number in range(2 * state_writer.MAX_BATCH_ROWS):
        add_dirty_job(owner_term, f'{number:016x}')
    transact = store.transact

    async def transact_and_enqueue(**fields):
        if not store.written_keys:
            writer.enqueue_row(
                rows.Row(table=rows.TABLE_WAVES, key='7', value=b'')
            )
        return await transact(**fields)

    store.transact = transact_and_enqueue
    await writer.flush()
    assert owner_term.flush_due.is_set()
    await writer.flush()
    assert any('7' in keys for keys in store.written_keys)


async def test_flush_splits_rows_into_transactions_the_store_takes():
    owner_term, store, writer = create_state_writer()
    for number in range(100):
        add_dirty_job(owner_term, f'{number:016x}')
        writer.enqueue_row(
            rows.Row(table=rows.TABLE_WAVES, key=str(number), value=b'')
        )
    add_worker(owner_term, 'i-1')
    await writer.flush()
    progress = [
        sum(len(key) == 16 for key in keys) for keys in store.written_keys
    ]
    assert max(store.entry_counts) <= 100
    assert sum(progress) == 100
    assert sum(len(keys) for keys in store.written_keys) == 202


async def test_large_progress_rows_stop_all_writes():
    """The store takes rows of 64 KiB, and transactions of 1 MB."""
    owner_term, store, writer = create_state_writer()
    for number in range(40):
        job_id = f'{number:016x}'
        add_dirty_job(owner_term, job_id, count=3000)
        progress = owner_term.job_registry.jobs[job_id].progress
        for index in range(3000):
            progress.failed_runs[f'0.0.{index}'] = [1_000_000_000] * 2
            progress.checkpoints[f'0.0.{index}'] = 'c' * 20
    await writer.flush()
    assert sum(len(keys) for keys in store.written_keys) > 40
    assert max(store.row_bytes) * 4 / 3 <= 65536
    assert max(store.transaction_bytes) * 4 / 3 < 1_000_000
    assert max(store.entry_counts) <= 100


async def test_heartbeat_grows_with_the_number_of_queues():
    """It fits its row however many queues have waiting jobs."""
    owner_term, store, writer = create_state_writer()
    heartbeats = []
    writer.on_heartbeat = heartbeats.append
    owner_term.count_waiting_jobs = lambda: {
        f'{n:0100}': 1 for n in range(900)
    }
    await writer.flush()
    assert max(store.row_bytes) * 4 / 3 <= 65536
    # Callers are told that the number is not known, not a wrong one.
    assert not heartbeats[0].waiting_known


class LateStore:
    """Carries out the first transaction on the roster again when asked.

    Its answer is lost, so that the owner sends it once more.
    """

    def __init__(self):
        self.versions = {state_writer.KEY_CLAIM: 7, '0': 5}
        self.roster = None
        self.unanswered = None

    async def transact(self, *, expected, puts):
        if self.unanswered is None:
            self.unanswered = (expected, puts)
            raise rows.StoreSilent('no answer')
        return self.carry_out(expected, puts)

    def carry_out(self, expected, puts):
        current = [
            rows.Row(
                table=row.table,
                key=row.key,
                version=self.versions.get(row.key, 0),
            )
            for row in expected
        ]
        if [row.version for row in current] != [
            row.version for row in expected
        ]:
            raise rows.Conflicted(current)
        version = max(self.versions.values()) + 1
        for row in puts:
            self.versions[row.key] = version
            if row.table == rows.TABLE_ROSTER:
                self.roster = row.value
        return version


async def test_late_attempt_does_not_replace_newer_roster(monkeypatch):
    """The next owner would not ask a worker that the old roster lacks."""
    monkeypatch.setattr(state_writer, 'MIN_RETRY_S', 0.0)
    owner_term = samples.create_term(epoch=1)
    store = LateStore()
    writer = state_writer.StateWriter(
        term=owner_term, store=store, on_heartbeat=lambda _heartbeat: None
    )
    writer.roster.load([create_segment('0', {}, version=5)])
    add_worker(owner_term, 'i-1')
    await writer.flush()
    add_worker(owner_term, 'i-2')
    await writer.flush()
    assert owner_term.fleet.workers['i-2'].in_roster
    try:
        store.carry_out(*store.unanswered)
    except rows.Conflicted:
        pass
    assert set(msgspec.msgpack.decode(store.roster)) == {'i-1', 'i-2'}


async def test_only_heartbeat_with_names_expects_the_last_one():
    """A late attempt of it would hide that a lease was extended since."""
    owner_term, store, writer = create_state_writer()
    add_worker(owner_term, 'i-1')
    worker = owner_term.fleet.workers['i-1']
    worker.has_answered = True
    await writer.flush()
    worker.unresponsive = True
    worker.withheld = owner_term.dark_workers
    await writer.flush()
    assert worker.is_withheld
    worker.unresponsive = False
    await writer.flush()
    beats = [
        item.get(state_writer.KEY_HEARTBEAT)
        for item in store.expected_versions
    ]
    assert beats == [None, 1, None]
    assert not worker.is_withheld


async def test_heartbeat_with_names_is_repeated_after_a_late_older_one():
    """The older one has no condition, and has replaced the last one."""
    owner_term, store, writer = create_state_writer()
    add_worker(owner_term, 'i-1')
    await writer.flush()
    transact, conflicts = store.transact, []

    async def transact_late(*, expected, puts):
        if not conflicts:
            conflicts.append(expected[-1].version)
            raise rows.Conflicted(
                [
                    rows.Row(
                        table=rows.TABLE_OWNER, key=key, value=b'', version=n
                    )
                    for key, n in ((state_writer.KEY_CLAIM, 7), ('beat', 5))
                ]
            )
        return await transact(expected=expected, puts=puts)

    store.transact = transact_late
    await writer.flush()
    assert conflicts == [1]
    assert store.expected_versions[-1][state_writer.KEY_HEARTBEAT] == 5
    assert writer.flushes_completed == writer.flushes_started


class SteppingClock:
    """Clock that moves on with each reading, and with each transaction."""

    def __init__(self):
        self.now, self.step_s = 100.0, 0.0

    def now_s(self):
        self.now += self.step_s
        return self.now


@pytest.mark.parametrize(
    ('jobs', 'reading_s', 'transaction_s'),
    [
        # Many transactions, by a slow store.
        (8 * state_writer.MAX_BATCH_ROWS, 0.0, 0.3),
        # The process stalls before the transaction is sent.
        (1, 0.2, 0.0),
    ],
)
async def test_ownership_is_confirmed_long_after_the_last_heartbeat(
    monkeypatch, jobs, reading_s, transaction_s
):
    """Guards against TWICE: leases outlived the wait of the next owner.

    It counts from the heartbeats that it misses, and the bound of the leases
    counts from what the store has confirmed.
    """
    clock = SteppingClock()
    monkeypatch.setattr(state_writer.clocks, 'now_s', clock.now_s)
    owner_term, store, writer = create_state_writer()
    transact, heartbeats_at_s = store.transact, []

    async def transact_slowly(*, expected, puts):
        if state_writer.KEY_HEARTBEAT in [row.key for row in puts]:
            heartbeats_at_s.append(clock.now)
        clock.now += transaction_s
        return await transact(expected=expected, puts=puts)

    store.transact = transact_slowly
    await writer.flush()
    for number in range(jobs):
        add_dirty_job(owner_term, f'{number:016x}')
    confirm = owner_term.record_confirmation
    ages_s = []
    monkeypatch.setattr(
        owner_term,
        'record_confirmation',
        lambda sent_at_s: (
            ages_s.append(sent_at_s - heartbeats_at_s[-1]),
            confirm(sent_at_s),
        ),
        raising=False,
    )
    clock.step_s = reading_s
    await writer.flush()
    assert len(ages_s) == -(-jobs // state_writer.MAX_BATCH_ROWS)
    assert max(ages_s) <= state_writer.HEARTBEAT_INTERVAL_S / 2


def create_segment(key, workers, version):
    return rows.Row(
        table=rows.TABLE_ROSTER,
        key=key,
        value=msgspec.msgpack.encode(workers),
        version=version,
    )


@pytest.mark.parametrize(
    ('count', 'name_bytes'), [(3003, 11), (20_000, 11), (3003, 200)]
)
async def test_roster_of_any_size_fits_the_rows_of_the_store(
    count, name_bytes
):
    """Guards against LOST: no job was started beside 3,003 workers.

    The roster did not fit its row, so that the store refused each write.
    """
    owner_term, store, writer = create_state_writer()
    names = [f'{number:0{name_bytes}d}' for number in range(count)]
    for name in names:
        add_worker(owner_term, name, pool=name, vm=name)
    for number in range(100):
        add_dirty_job(owner_term, f'{number:016x}')
    await writer.flush()
    assert max(store.row_bytes) * 4 / 3 <= 65536
    assert max(store.entry_counts) <= 100
    assert max(store.transaction_bytes) * 4 / 3 < 1_000_000
    workers = owner_term.fleet.workers
    assert all(worker.in_roster for worker in workers.values())
    stored = {}
    for segment in store.roster.values():
        stored.update(segment)
    assert stored == {name: [name, name] for name in names}


async def test_change_of_a_large_roster_writes_one_row():
    owner_term, store, writer = create_state_writer()
    for number in range(1000):
        add_worker(owner_term, f'i-{number}')
    await writer.flush()
    segments = len(store.roster)
    assert segments > 2
    del owner_term.fleet.workers['i-0']
    add_worker(owner_term, 'i-new')
    await writer.flush()
    assert len(store.written_keys[-1]) == 2
    assert len(store.roster) == segments
    assert owner_term.fleet.workers['i-new'].in_roster


async def test_next_owner_continues_the_roster_that_it_has_read():
    """A worker that it forgot would not be asked for its runs."""
    owner_term, store, writer = create_state_writer()
    for number in range(200):
        add_worker(owner_term, f'i-{number}')
    await writer.flush()
    found = [
        create_segment(key, workers, version=1)
        for key, workers in store.roster.items()
    ]
    next_term, next_store, next_writer = create_state_writer()
    roster = next_writer.roster.load(found)
    assert set(roster) == set(owner_term.fleet.workers)
    next_term.fleet.workers.update(owner_term.fleet.workers)
    del next_term.fleet.workers['i-7']
    await next_writer.flush()
    assert len(next_store.roster) == 1
    (key, workers), *_ = next_store.roster.items()
    assert 'i-7' not in workers
    assert next_store.expected_versions[-1][key] == 1


async def test_restarted_worker_with_unanswered_orders_stays_in_the_roster():
    """The next owner must ask it for runs that began late."""
    owner_term, store, writer = create_state_writer()
    add_worker(owner_term, 'i-1')
    add_worker(owner_term, 'i-2')
    for worker_id in ('i-1', 'i-2'):
        owner_term.fleet.workers[worker_id].ended_at_s = 1.0
    owner_term.fleet.workers['i-1'].runs['t', 1] = object()
    await writer.flush()
    assert set(store.roster['0']) == {'i-1'}


@pytest.mark.parametrize('stopping', [False, True])
async def test_last_heartbeat_names_workers_that_are_silent_for_a_moment(
    stopping,
):
    """Guards against a wait of the next owner for their longest lease.

    It is written beside rows that are written between heartbeats, too.
    """
    owner_term, store, writer = create_state_writer()
    await writer.flush()
    add_worker(owner_term, 'i-1')
    owner_term.fleet.workers['i-1'].last_reply_at_s = clocks.now_s()
    await writer.flush()
    add_dirty_job(owner_term, '0' * 16)
    owner_term.stopping = stopping
    await writer.flush()
    named = state_writer.KEY_HEARTBEAT in store.written_keys[-1]
    assert named is stopping
    assert ('i-1' in owner_term.dark_workers) is stopping
