"""Tests of the rows that one flush of the owner writes."""

import msgspec

from arbutusrock.engine import fleet
from arbutusrock.engine import plans
from arbutusrock.engine import platform_messages
from arbutusrock.engine import rows
from arbutusrock.engine import state_writer
from arbutusrock.engine import term
from arbutusrock.engine.tests import samples
from arbutusrock.scheduling import Resources


class RecordingStore:
    """Store that records the keys written by each transaction.

    Each call fails with the rows in ``conflict`` when it is set.
    """

    def __init__(self):
        self.written_keys = []
        self.expected_versions = []
        self.row_bytes = []
        self.transaction_bytes = []
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


def add_worker(owner_term, worker_id):
    entry = platform_messages.WorkerEntry(
        worker_id=worker_id,
        pool='p',
        address='h:1',
        capacity=Resources(cpu=1000),
    )
    owner_term.fleet.workers[worker_id] = fleet.WorkerState(
        entry=entry, now_s=0.0
    )


def add_dirty_job(owner_term, job_id):
    submission = plans.Submission(
        queue='q',
        pool='p',
        account='a',
        accepted_ms=0.0,
        plan=plans.JobPlan(spec='', steps=(plans.StepPlan(count=1),)),
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
    assert state_writer.KEY_ROSTER in store.written_keys[-1]
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
    await writer.flush()
    progress = [
        sum(len(key) == 16 for key in keys) for keys in store.written_keys
    ]
    # Expected and written rows together, with the claim.
    entries = [
        len(keys) + count + 1
        for keys, count in zip(store.written_keys, progress, strict=True)
    ]
    assert max(entries) <= 100
    assert sum(progress) == 100
    assert sum(len(keys) for keys in store.written_keys) == 202


async def test_large_progress_rows_stop_all_writes():
    """The store takes rows of 64 KiB, and transactions of 1 MB."""
    owner_term, store, writer = create_state_writer()
    for number in range(40):
        job_id = f'{number:016x}'
        add_dirty_job(owner_term, job_id)
        progress = owner_term.job_registry.jobs[job_id].progress
        for index in range(3000):
            progress.failed_runs[f'0.0.{index}'] = [1_000_000_000] * 2
            progress.checkpoints[f'0.0.{index}'] = 'c' * 20
    await writer.flush()
    assert sum(len(keys) for keys in store.written_keys) > 40
    assert max(store.row_bytes) <= 65536
    assert max(store.transaction_bytes) * 4 / 3 < 1_000_000


class LateStore:
    """Carries out the first transaction on the roster again when asked.

    Its answer is lost, so that the owner sends it once more.
    """

    def __init__(self):
        self.versions = {state_writer.KEY_CLAIM: 7, state_writer.KEY_ROSTER: 5}
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
            if row.key == state_writer.KEY_ROSTER:
                self.roster = row.value
        return version


async def test_late_attempt_does_not_replace_newer_roster(monkeypatch):
    """The next owner would not ask a worker that the old roster lacks."""
    monkeypatch.setattr(state_writer, 'MIN_RETRY_S', 0.0)
    owner_term = samples.create_term(epoch=1, roster_version=5)
    store = LateStore()
    writer = state_writer.StateWriter(
        term=owner_term, store=store, on_heartbeat=lambda _heartbeat: None
    )
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


def test_roster_of_3000_workers_fits_a_row_of_the_store():
    """A sweep with so many workers served nothing; suspected cause."""
    workers = fleet.Fleet()
    for number in range(3000):
        entry = platform_messages.WorkerEntry(
            worker_id=f'i-{number:010x}',
            pool='pool-01',
            address='h:1',
            vm=f'm-{number:05x}',
        )
        workers.workers[entry.worker_id] = fleet.WorkerState(
            entry=entry, now_s=0.0
        )
    roster = state_writer.build_roster(workers)
    assert len(msgspec.msgpack.encode(roster)) <= 65536
