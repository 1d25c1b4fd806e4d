"""What the owner stores of crashes, and when a suspect is cleared."""

import msgspec

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.runs import worker_link
from arbutusrock.engine.tests import samples
from arbutusrock.engine.workers import fleet
from arbutusrock.engine.workers import guarded_starts
from arbutusrock.scheduling import crash_attribution
from arbutusrock.utils import clocks

JOB = '0' * 16


def create_controller():
    """Return a controller without a store, with workers i-0 and i-1."""
    entries = [
        platform_messages.WorkerEntry(
            worker_id=f'i-{number}',
            pool='p',
            address='h:1',
            vm=f'm-{number}',
            born_ms=100,
        )
        for number in range(2)
    ]
    return samples.create_run_controller(entries, epoch=1)


def start_runs(controller, *, number=1, **fields):
    """Start a task on each worker; return the runs."""
    term = controller.term
    plan = plans.JobPlan(spec='', steps=(plans.StepPlan(count=2, **fields),))
    submission = msgspec.structs.replace(
        samples.create_submission(), plan=plan
    )
    job = term.job_registry.add(JOB, submission)
    term.job_registry.start_due_occurrences(1e9, 0.0)
    runs = []
    for task, worker in zip(
        job.occurrences[0].steps[0].tasks,
        term.fleet.workers.values(),
        strict=True,
    ):
        run = job_state.Run(
            number=number,
            name=task.name,
            task=task,
            account='a',
            worker=worker,
            demand=plan.steps[0].demand,
            now_s=10.0,
        )
        term.fleet.add_run(run)
        term.job_registry.mark_active(task)
        run.state, run.confirmed_at_s = job_state.RunState.RUNNING, 10.0
        worker.clock_read_at_s = 10.0
        runs.append(run)
    return runs


def test_suspects_are_not_stored_when_start_was_not_answered_first():
    """The lost answer of the start shows the crash before the renewal does."""
    controller = create_controller()
    run, _ = start_runs(controller)
    run.worker.unresponsive = True
    run.worker.clock_ms, run.worker.lease_until_ms = 0.0, 1e12
    link = worker_link.WorkerLink(
        term=controller.term,
        run_controller=controller,
        worker=run.worker,
        client=None,
        spawn=None,
    )
    link._handle_failed_renewal(
        platform_messages.OrderReply(
            outcome=platform_messages.OrderOutcome.UNKNOWN
        )
    )
    progress = run.task.step.job.progress
    assert progress.unresolved['0.0.0'][0].worker_id == 'i-0'


def test_run_that_was_ordered_of_a_dark_worker_is_blamed():
    """Guards against LOST: its order had not reached the worker."""
    controller = create_controller()
    run, _ = start_runs(controller)
    later = samples.add_run(controller.term, run.worker, job_id='9' * 16)
    for item in (run, later):
        item.state = job_state.RunState.IN_DOUBT
    run.ordered_at_s = clocks.now_s()
    later.ordered_at_s = run.ordered_at_s + 0.4
    controller.end_incarnation(run.worker, fleet.IncarnationEnd.REPLACED)
    assert run.task.crashes
    assert not later.task.crashes


def test_gang_is_cleared_by_members_on_other_workers():
    """The worker of one member is silent while the other one runs on."""
    controller = create_controller()
    crashed, other = start_runs(controller, gang=True)
    crashes = crashed.task.step.job.progress.crashes
    crashes['0.0.0'] = [crash_attribution.CrashRecord(run=0, suspect=True)]
    other.worker.clock_read_at_s = 12.0
    controller.crash_tracker.record_progress(other)
    assert crashes
    crashed.worker.clock_read_at_s = 12.0
    controller.crash_tracker.record_progress(other)
    assert not crashes


def test_release_of_large_gang_recurses():
    """Each member that is released stops the others."""
    controller = create_controller()
    runs = start_runs(controller, gang=True)
    for run in runs:
        run.state = job_state.RunState.RESERVED
    controller.release_reservation(runs[0])
    assert runs[1].state is job_state.RunState.STOPPING
    assert runs[1].worker.runs


def test_worker_that_is_lost_for_good_counts_as_crash():
    controller = create_controller()
    run, _ = start_runs(controller)
    progress = run.task.step.job.progress
    controller.handle_lease_expiry(run.worker)
    controller.end_incarnation(run.worker, fleet.IncarnationEnd.UNREGISTERED)
    assert not progress.crashes
    entry = msgspec.structs.replace(run.worker.entry, worker_id='i-9')
    controller.crash_tracker.resolve_vm(entry)
    assert progress.crashes['0.0.0'][0].sole
    assert not progress.unresolved


def test_worker_that_is_cut_off_counts_as_crash():
    controller = create_controller()
    run, _ = start_runs(controller)
    progress = run.task.step.job.progress
    controller.handle_lease_expiry(run.worker)
    assert progress.unresolved
    controller.end_incarnation(run.worker, fleet.IncarnationEnd.UNREGISTERED)
    controller.crash_tracker.resolve_vm(run.worker.entry)
    assert not progress.crashes
    assert not progress.unresolved


def test_adopted_run_is_blamed_before_newer_ones():
    """Its worker crashes just after a change of the owner."""
    controller = create_controller()
    adopted, newer = start_runs(controller)
    adopted.survived_before_s = crash_attribution.SETTLED_S
    worker = adopted.worker
    controller.term.fleet.remove_run(newer)
    newer.worker = worker
    controller.term.fleet.add_run(newer)
    controller.end_incarnation(worker, fleet.IncarnationEnd.REPLACED)
    crashes = adopted.task.step.job.progress.crashes
    assert not crashes['0.0.0'][0].suspect
    assert crashes['0.0.1'][0].sole


def test_unproven_suspect_waits_for_isolation_without_end():
    """An account's slots may be taken for long by workers that are silent."""
    controller = create_controller()
    run, _ = start_runs(controller)
    task = run.task
    starter = guarded_starts.GuardedStarter(
        term=controller.term, crash_tracker=controller.crash_tracker
    )
    crashes = task.step.job.progress.crashes
    crashes['0.0.0'] = [crash_attribution.CrashRecord(run=1, suspect=True)]
    task.queued_at_s = 100.0
    assert starter.must_isolate(task, 100.5)
    assert not starter.must_isolate(task, 103.0)
    crashes['0.0.0'] = [
        crash_attribution.CrashRecord(run=1, suspect=True, sole=True)
    ]
    assert starter.must_isolate(task, 103.0)


def test_two_lost_racks_do_not_end_a_serving_job():
    """A crash of the same task twice stopped all runs of its step.

    Each time its worker was lost with its rack, a moment after the start.
    """
    controller = create_controller()
    runs = start_runs(controller, long_running=True)
    job = runs[0].task.step.job
    for run in runs:
        crash = crash_attribution.CrashRecord(run=7, suspect=True, sole=True)
        job.progress.crashes[run.task.progress_key] = [crash]
        controller.end_incarnation(run.worker, fleet.IncarnationEnd.REPLACED)
    assert all(len(run.task.crashes) == 2 for run in runs)
    assert not job.ended


def test_serving_task_waits_without_end_to_start_apart():
    """Its account has no further worker to risk, as others run for long.

    Four serving tasks were alone on workers that were lost together.
    """
    controller = create_controller()
    run, _ = start_runs(controller, long_running=True)
    task = run.task
    starter = guarded_starts.GuardedStarter(
        term=controller.term, crash_tracker=controller.crash_tracker
    )
    task.step.job.progress.crashes['0.0.0'] = [
        crash_attribution.CrashRecord(
            run=1, survived_s=9.0, suspect=True, sole=True
        )
    ]
    task.queued_at_s = 100.0
    assert starter.must_isolate(task, 101.0)
    assert not starter.must_isolate(task, 102.1)
    # Unless its crashes are not stored yet.
    task.crashes_durable_at_flush = 1
    assert starter.must_isolate(task, 102.1)


def test_worker_of_serving_suspect_takes_no_other_task_for_ten_seconds():
    """Its earlier run had survived for long when its worker was lost.

    Several such tasks keep all workers of a small pool from the others.
    """
    controller = create_controller()
    run, _ = start_runs(controller, long_running=True)
    worker = run.worker
    crashes = run.task.step.job.progress.crashes
    crashes['0.0.0'] = [
        crash_attribution.CrashRecord(
            run=0, survived_s=9.0, suspect=True, sole=True
        )
    ]
    worker.guarded_run = run
    worker.clock_read_at_s = 11.9
    controller.crash_tracker.record_progress(run)
    assert not guarded_starts.is_available(worker, 11.9)
    worker.clock_read_at_s = 12.1
    controller.crash_tracker.record_progress(run)
    assert guarded_starts.is_available(worker, 12.1)
    assert controller.term.dispatch_due.is_set()
    # It stays a suspect, for its next start, until it has run for longer.
    assert crashes
    worker.clock_read_at_s = 19.5
    controller.crash_tracker.record_progress(run)
    assert not crashes


def test_next_owner_blames_released_suspect_for_crash_by_its_neighbour():
    """Others run beside it, and its owner is killed with their worker.

    A task that lasts no longer is given up after two crashes of its own.
    """
    controller = create_controller()
    run, _ = start_runs(controller)
    tracker, worker = controller.crash_tracker, run.worker
    progress = run.task.step.job.progress
    progress.crashes['0.0.0'] = [
        crash_attribution.CrashRecord(
            run=0, survived_s=9.0, suspect=True, sole=True
        )
    ]
    worker.guarded_run = run
    tracker.state_writer.wait_for_flush = lambda number: None
    tracker.record_start(run)
    worker.clock_read_at_s = 12.1
    tracker.record_progress(run)
    assert guarded_starts.is_available(worker, 12.1)
    # If the worker falls silent, all runs there are stored as they are then.
    assert not worker.unresolved
    assert not progress.unresolved
    assert progress.crashes
