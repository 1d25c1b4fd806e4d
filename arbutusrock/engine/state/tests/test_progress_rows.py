"""What a later owner reads of jobs whose progress is divided over rows."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest

from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import progress_layout
from arbutusrock.engine.state import state_writer
from arbutusrock.engine.tests import samples
from arbutusrock.scheduling import crash_attribution

JOB = '0' * 16
OTHER_JOB = '1' * 16


class VersionedStore:
    """Rows with versions; each transaction leaves a snapshot of them.

    :ivar rejects: tells whether a row is never taken.
    """

    def __init__(self):
        self.rows = {}
        self.version = 10
        self.rejects = lambda row: False
        # Called while a transaction is under way.
        self.on_transact = lambda: None
        self.snapshots = []
        self.rejected = 0
        self.written_bytes = 0

    async def transact(self, *, expected=(), puts=(), removes=()):
        for row in expected:
            if row.key == state_writer.KEY_CLAIM:
                continue
            current = self.rows.get(row.key)
            assert row.version == (current.version if current else 0)
        if any(self.rejects(row) for row in puts):
            self.rejected += 1
            raise rows.WriteRejected('400')
        self.on_transact()
        self.version += 1
        for row in puts:
            assert len(row.value) * 4 / 3 <= 65536
            self.written_bytes += len(row.value)
            self.rows[row.key] = rows.Row(
                table=row.table,
                key=row.key,
                value=row.value,
                version=self.version,
            )
        for row in removes:
            self.rows.pop(row.key, None)
        self.snapshots.append(dict(self.rows))
        return self.version


def get_stored(snapshot):
    """Return the progress rows of a snapshot by job, as an owner reads it."""
    found = sorted(
        (r for r in snapshot.values() if r.table == rows.TABLE_PROGRESS),
        key=lambda row: row.key,
    )
    return progress_layout.group_rows(found)


def create_owner(store, plan, snapshot):
    """Return the term and writer of an owner that reads a snapshot."""
    owner_term = samples.create_term(epoch=1)
    writer = state_writer.StateWriter(
        term=owner_term, store=store, on_heartbeat=lambda _heartbeat: None
    )
    stored = get_stored(snapshot).get(JOB)
    progress, layout = stored.decode(plan) if stored else (None, None)
    if stored:
        writer.progress_rows.record_read(JOB, stored)
    if progress is None or progress.status not in plans.JobStatus.ENDED:
        owner_term.job_registry.add(
            JOB,
            msgspec.structs.replace(samples.create_submission(), plan=plan),
            progress=progress,
            layout=layout,
        )
        owner_term.job_registry.start_due_occurrences(1e9, 0.0)
    return owner_term, writer


def create_plan(*, counts, times=0):
    return plans.JobPlan(
        spec='',
        steps=tuple(plans.StepPlan(count=count) for count in counts),
        times=times,
        start_at_ms=1.0,
        interval_ms=0.001,
    )


def list_done(job):
    """Return the names of the done tasks, those of all occurrences."""
    done = {
        task.name
        for task in job.iterate_tasks()
        if task.status.value == 'done'
    }
    for occurrence in job.progress.finished:
        for number, step in enumerate(job.plan.steps):
            done.update(
                f'{JOB}.{occurrence}.{number}.{index}'
                for index in range(step.count)
            )
    return done


async def test_progress_of_any_size_fits_the_rows_of_the_store():
    """Guards against LOST and TWICE: a row outgrew the limit of the store.

    What the next owner would not know of the done tasks, it would start again.
    """
    plan = create_plan(counts=[20] * 1000)
    store = VersionedStore()
    owner_term, writer = create_owner(store, plan, {})
    job = owner_term.job_registry.jobs[JOB]
    crash = crash_attribution.CrashRecord(run=2**40, suspect=True)
    run = crash_attribution.UnresolvedRun(
        run=2**40, worker_id='w' * 200, vm='v' * 200, born_ms=2**41
    )
    for task in list(job.iterate_tasks()):
        if task.index % 2:
            owner_term.job_registry.mark_done(task, 0.0, 0.0)
            continue
        owner_term.job_registry.record_checkpoint(task, 'c' * 500)
        for number in range(2):
            owner_term.job_registry.record_failed_run(
                task, 2**40 + number, max_attempts=3, wall_s=0.0
            )
        job.progress.crashes[task.progress_key] = [crash] * 4
        job.progress.unresolved[task.progress_key] = [run] * 2
        owner_term.job_registry.mark_changed(task)
    await writer.flush()
    read, layout = get_stored(store.rows)[JOB].decode(plan)
    assert layout is not None
    assert read == job.progress
    later_term, _ = create_owner(store, plan, store.rows)
    assert list_done(later_term.job_registry.jobs[JOB]) == list_done(job)


async def test_one_done_task_of_many_writes_one_short_row():
    plan = create_plan(counts=[20_000])
    store = VersionedStore()
    owner_term, writer = create_owner(store, plan, {})
    registry = owner_term.job_registry
    tasks = list(registry.jobs[JOB].iterate_tasks())
    for task in tasks[:1500]:
        registry.record_checkpoint(task, 'c' * 20)
    await writer.flush()
    before = store.written_bytes
    registry.mark_done(tasks[3], 0.0, 0.0)
    await writer.flush()
    assert store.written_bytes - before < 4000


async def test_occurrence_with_only_done_tasks_is_never_finished():
    """Guards against LOST: the owner was lost before it wrote the head."""
    plan = create_plan(counts=[1500])
    store = VersionedStore()
    owner_term, writer = create_owner(store, plan, {})
    registry = owner_term.job_registry
    tasks = list(registry.jobs[JOB].iterate_tasks())
    for task in tasks[:-1]:
        registry.record_checkpoint(task, 'c' * 20)
    await writer.flush()
    for task in tasks:
        registry.mark_done(task, 0.0, 0.0)
    head = store.rows[JOB]
    await writer.flush()
    store.rows[JOB] = head
    for number in range(1500 // progress_layout.TASKS_PER_PART + 1):
        store.rows[f'{JOB}/{number}'] = rows.Row(
            table=rows.TABLE_PROGRESS,
            key=f'{JOB}/{number}',
            value=registry.jobs[JOB].layout.encode_part(
                plans.JobProgress(finished={0}), number, 49_152
            )[0],
        )
    later_term, _ = create_owner(store, plan, store.rows)
    assert later_term.job_registry.jobs[JOB].status == (
        plans.JobStatus.COMPLETED
    )


async def test_finished_occurrences_leave_no_rows():
    """The rows of a job that runs for ever do not grow."""
    plan = create_plan(counts=[40, 60], times=200)
    store = VersionedStore()
    owner_term, writer = create_owner(store, plan, {})
    registry = owner_term.job_registry
    job = registry.jobs[JOB]
    for number in range(200):
        for step in job.occurrences[number].steps:
            for task in step.tasks:
                registry.record_checkpoint(task, 'c' * 100)
                registry.mark_done(task, 0.0, 0.0)
        if number % 10 == 9:
            await writer.flush()
            registry.start_due_occurrences(1e9, 0.0)
    for _ in range(5):
        await writer.flush()
    assert list(get_stored(store.rows)[JOB].versions) == [JOB]
    assert plans.decode_status(store.rows[JOB].value) == (
        plans.JobStatus.COMPLETED
    )


async def test_rows_of_removed_job_are_left_in_the_store():
    """An owner that is lost while it removes a job leaves some of its rows."""
    store = VersionedStore()
    _, writer = create_owner(store, create_plan(counts=[1]), {})
    for key in (JOB, f'{JOB}/0', f'{OTHER_JOB}/7', f'{OTHER_JOB}/7/01'):
        row = rows.Row(table=rows.TABLE_PROGRESS, key=key, value=b'x')
        store.rows[key] = row
    writer.progress_rows.remove_orphans(get_stored(store.rows), {JOB})
    await writer.flush()
    assert set(get_stored(store.rows)) == {JOB}


def list_failed(job):
    """Return (key, run) of the failed runs of tasks that are not done."""
    done = list_done(job)
    return {
        (key, run)
        for key, found in job.progress.failed_runs.items()
        if f'{JOB}.{key}' not in done
        for run in found
    }


def play_owner(data, store, plan, snapshot):
    """Play the changes and flushes of one owner.

    :returns: list of what it has acknowledged: number of snapshots then, names
        of the done tasks, failed runs.
    """
    owner_term, writer = create_owner(store, plan, snapshot)
    job = owner_term.job_registry.jobs.get(JOB)
    acknowledged = []

    def change(most):
        """Have workers report ends, some of them failed."""
        tasks = [
            task for task in job.iterate_tasks() if task.status.value != 'done'
        ]
        count = data.draw(strategies.integers(0, min(most, len(tasks))))
        for number, task in enumerate(tasks[:count]):
            if number % 3 == 2:
                owner_term.job_registry.record_failed_run(
                    task, writer.flushes_started, max_attempts=99, wall_s=0.0
                )
            else:
                owner_term.job_registry.mark_done(task, 0.0, 0.0)

    for _ in range(data.draw(strategies.integers(1, 4)) if job else 0):
        change(1000)
        known = list_done(job), list_failed(job)
        store.on_transact = lambda: change(20)
        asyncio.run(writer.flush())
        store.on_transact = lambda: None
        if JOB not in writer.progress_rows.unrecorded:
            acknowledged.append((len(store.snapshots), *known))
    return acknowledged


def check_next_owner(store, plan, snapshot, done, failed):
    """Check that an owner knows what was acknowledged, or starts nothing."""
    owner_term, _ = create_owner(store, plan, snapshot)
    job = owner_term.job_registry.jobs.get(JOB)
    if job is None:
        return
    if job.progress.suspended:
        assert not any(owner_term.job_registry.waiting_steps.values())
        return
    found = list_done(job)
    assert done <= found
    names = {key for key, _ in list_failed(job)}
    assert {
        item for item in failed if f'{JOB}.{item[0]}' not in found
    } <= list_failed(job), names


@settings(max_examples=150, deadline=None)
@given(data=strategies.data())
def test_acknowledged_end_is_unknown_to_a_later_owner(data):
    """Guards against TWICE and BUDGET: the owner is lost at any transaction.

    Some rows are refused by the store. A job of which something is not known
    must be suspended then.
    """
    monkeypatch = pytest.MonkeyPatch()
    monkeypatch.setattr(progress_layout, 'MAX_WHOLE_BYTES', 60)
    monkeypatch.setattr(state_writer, 'MAX_BATCH_ROWS', 2)
    counts = strategies.lists(
        strategies.integers(1, 70), min_size=1, max_size=4
    )
    plan = create_plan(
        counts=data.draw(counts), times=data.draw(strategies.integers(0, 3))
    )
    numbers = strategies.sets(strategies.integers(0, 6), max_size=2)
    refused = {f'{JOB}/{number}' for number in data.draw(numbers)}
    store = VersionedStore()
    store.rejects = lambda row: row.key in refused
    snapshot, known = {}, [(0, set(), set())]
    for _ in range(3):
        store.snapshots = [snapshot]
        store.rows = dict(snapshot)
        known = [(1, known[-1][1], known[-1][2])]
        known += play_owner(data, store, plan, snapshot)
        for number, found in enumerate(store.snapshots):
            _, done, failed = [k for k in known if k[0] <= number + 1][-1]
            check_next_owner(store, plan, found, done, failed)
        # It is lost after any of its transactions.
        lost_after = data.draw(
            strategies.integers(0, len(store.snapshots) - 1)
        )
        snapshot = store.snapshots[lost_after]
        known = [item for item in known if item[0] <= lost_after + 1]
    monkeypatch.undo()
