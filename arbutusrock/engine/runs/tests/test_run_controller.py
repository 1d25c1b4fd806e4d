"""A new owner handles reports of runs that an earlier owner started."""

import types

import msgspec
import pytest

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.runs import run_controller
from arbutusrock.engine.tests import samples
from arbutusrock.engine.workers import fleet
from arbutusrock.engine.workers import run_speeds
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks

JOB = '0' * 16


def create_controller():
    entry = platform_messages.WorkerEntry(
        worker_id='i-1',
        pool='p',
        address='h:1',
        vm='m',
        capacity=Resources(cpu=8000, memory_mb=8000),
    )
    controller = samples.create_run_controller([entry], epoch=2)
    return controller.term, controller, controller.term.fleet.workers['i-1']


def handle_report(controller, worker, end=None):
    """Have a worker report a run, or the given end of it."""
    run_report = platform_messages.RunReport(
        task=f'{JOB}.0.0.0', run=1_000_001, checkpoint='', percent=10
    )
    completion = platform_messages.CompletionReport(
        number=1, task=f'{JOB}.0.0.0', run=1_000_001, kind=end
    )
    reply = platform_messages.RenewalReply(
        clock_ms=1000.0,
        born_ms=0,
        running=() if end else (run_report,),
        ended=(completion,) if end else (),
    )
    controller.handle_renewal(worker, reply, clocks.now_s())


def add_job(term, count=1, **fields):
    step = plans.StepPlan(count=count, demand=Resources(cpu=5000), **fields)
    submission = plans.Submission(
        queue='q',
        pool='p',
        account='a',
        accepted_ms=0.0,
        plan=plans.JobPlan(spec='', steps=(step,)),
    )
    term.job_registry.add(JOB, submission)
    term.job_registry.start_due_occurrences(
        clocks.wall_time_s(), clocks.now_s()
    )


def test_run_of_unloaded_job_defers_report():
    """The earlier owner may start a run after the new one loaded all jobs.

    The run must not count as one of an unknown job, so the report waits.
    """
    term, controller, worker = create_controller()
    handle_report(controller, worker)
    assert not worker.has_answered
    assert not worker.runs
    add_job(term)
    handle_report(controller, worker)
    assert worker.has_answered
    assert worker.used_millicores == 5000


@pytest.mark.parametrize('end', [None, *platform_messages.CompletionKind])
def test_report_is_put_off_until_all_jobs_are_loaded(end):
    """Completions of jobs that are not loaded were acknowledged at once."""
    term, controller, worker = create_controller()
    term.began_at_s -= run_controller.JOB_LOAD_GRACE_S + 1
    term.jobs_loaded.clear()
    handle_report(controller, worker, end)
    assert worker.clock_ms is not None
    assert not worker.has_answered
    assert not worker.runs
    assert not worker.ack_cursor
    assert not worker.pending_acks


def test_run_of_unknown_job_uses_whole_worker():
    term, controller, worker = create_controller()
    term.began_at_s -= run_controller.JOB_LOAD_GRACE_S + 1
    handle_report(controller, worker)
    assert worker.has_answered
    assert worker.free_millicores == 0


def test_adopted_lasting_task_is_blamed_for_crash():
    """It may have been running for hours under earlier owners."""
    term, controller, worker = create_controller()
    add_job(term, long_running=True)
    handle_report(controller, worker)
    controller.end_incarnation(worker, fleet.IncarnationEnd.REPLACED)
    assert not term.job_registry.jobs[JOB].progress.crashes


@pytest.mark.parametrize('ended_job', [False, True])
def test_reply_of_ended_worker_leaves_no_run_that_never_ends(ended_job):
    """A busy owner may read it after the move of the VM was confirmed."""
    term, controller, worker = create_controller()
    add_job(term)
    handle_report(controller, worker)
    job = term.job_registry.jobs[JOB]
    task = job.occurrences[0].steps[0].tasks[0]
    assert task.status is job_state.TaskStatus.ACTIVE
    controller.end_incarnation(worker, fleet.IncarnationEnd.MOVED)
    if ended_job:
        term.job_registry.cancel(job, clocks.wall_time_s())
    handle_report(controller, worker)
    assert not worker.runs
    assert not term.fleet.unwanted_runs
    assert ended_job or task.status is job_state.TaskStatus.WAITING


@pytest.mark.parametrize(('vm', 'later_vm'), [('m', ''), ('', 'm')])
def test_run_ends_after_its_worker_was_registered_without_its_vm(vm, later_vm):
    """Other programs write incomplete entries; this one ended the term."""
    term, controller, worker = create_controller()
    worker.entry = msgspec.structs.replace(worker.entry, vm=vm)
    add_job(term)
    handle_report(controller, worker)
    worker.entry = msgspec.structs.replace(worker.entry, vm=later_vm)
    handle_report(
        controller, worker, end=platform_messages.CompletionKind.STOPPED
    )
    step = term.job_registry.jobs[JOB].occurrences[0].steps[0]
    assert step.waiting
    assert not any(step.runs_by_vm.values())


def test_task_is_done_though_its_run_was_to_be_stopped():
    """Another run of it is known, such as a copy of the earlier owner.

    The end counts as noted once it is listed, so that a further start of the
    task would repeat it.
    """
    term, controller, worker = create_controller()
    add_job(term)
    job = term.job_registry.jobs[JOB]
    task = job.occurrences[0].steps[0].tasks[0]
    term.job_registry.mark_active(task)
    handle_report(controller, worker)
    (run,) = worker.runs.values()
    assert run.task is None
    handle_report(
        controller, worker, end=platform_messages.CompletionKind.DONE
    )
    assert job.status == plans.JobStatus.COMPLETED
    assert not term.fleet.unwanted_runs


def test_adopted_run_does_not_shorten_learned_durations():
    """Its start is not known to the new owner, only the rest of it is seen."""
    term, controller, worker = create_controller()
    add_job(term, estimate_ms=1000)
    handle_report(controller, worker)
    handle_report(
        controller, worker, end=platform_messages.CompletionKind.DONE
    )
    assert term.job_registry.jobs[JOB].ended
    assert term.duration_estimator.get_duration_ratio('q', 'other') == 1.0


def test_adopted_run_does_not_make_its_siblings_look_slow():
    """Its progress over the time since its adoption is no speed."""
    term, controller, worker = create_controller()
    add_job(term, count=2)
    handle_report(controller, worker)
    (adopted,) = worker.runs.values()
    adopted.confirmed_at_s -= 1.0
    other = types.SimpleNamespace(
        task=adopted.task, worker=types.SimpleNamespace(vm='m-2')
    )
    assert run_speeds.find_sibling_durations(other) == []


@pytest.mark.parametrize(
    'kind',
    [
        platform_messages.CompletionKind.STOPPED,
        platform_messages.CompletionKind.LAPSED,
        platform_messages.CompletionKind.BROKEN,
        platform_messages.CompletionKind.ALONE,
    ],
)
def test_only_failed_runs_count_as_attempts(kind):
    controller = samples.create_run_controller(
        [
            platform_messages.WorkerEntry(
                worker_id='i-1', pool='p', address='h:1'
            )
        ],
        epoch=1,
    )
    registry = controller.term.job_registry
    job = registry.add('0' * 16, samples.create_submission())
    registry.start_due_occurrences(1e9, 0.0)
    task = job.occurrences[0].steps[0].tasks[0]
    worker = controller.term.fleet.workers['i-1']
    for number in range(1, 20):
        registry.mark_active(task)
        run = job_state.Run(
            number=number,
            name=task.name,
            task=task,
            account='a',
            worker=worker,
            demand=task.step.plan.demand,
            now_s=0.0,
        )
        controller.term.fleet.add_run(run)
        completion = platform_messages.CompletionReport(
            number=number,
            task=task.name,
            run=number,
            kind=kind,
            checkpoint='',
        )
        reply = platform_messages.RenewalReply(
            clock_ms=0.0, born_ms=0, running=(), ended=(completion,)
        )
        controller.handle_renewal(worker, reply, 0.0)
        assert task.status is job_state.TaskStatus.WAITING
    assert not job.ended
    assert not task.failed_runs
