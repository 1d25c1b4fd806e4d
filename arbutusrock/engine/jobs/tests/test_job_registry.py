"""Jobs with more occurrences or tasks than fit into memory."""

import msgspec

from arbutusrock.engine.jobs import job_registry
from arbutusrock.engine.jobs import plans
from arbutusrock.engine.tests import samples


def add_job(registry, job_id, *, times, count, queue='q'):
    submission = samples.create_submission()
    submission.queue = queue
    plan = plans.JobPlan(
        spec='',
        steps=(plans.StepPlan(count=count),),
        times=times,
        start_at_ms=1.0,
        interval_ms=0.001,
    )
    return registry.add(job_id, msgspec.structs.replace(submission, plan=plan))


def test_job_with_many_due_occurrences_fills_the_memory():
    """All its occurrences are overdue when the owner reads it."""
    registry = job_registry.JobRegistry()
    job = add_job(registry, '1' * 16, times=10_000, count=50)
    registry.start_due_occurrences(1e9, 0.0)
    assert len(job.occurrences) == 400
    step = job.occurrences[0].steps[0]
    for task in step.tasks:
        registry.mark_done(task, 0.0, 0.0)
    registry.start_due_occurrences(1e9, 0.0)
    assert len(job.occurrences) == 400
    assert job.next_occurrence == 401


def test_large_jobs_of_one_account_wait_for_each_other():
    registry = job_registry.JobRegistry()
    first = add_job(registry, '1' * 16, times=0, count=20_000)
    second = add_job(registry, '2' * 16, times=0, count=20_000)
    registry.start_due_occurrences(1e9, 0.0)
    assert first.occurrences
    assert not second.occurrences
    registry.cancel(first, 0.0)
    registry.start_due_occurrences(1e9, 0.0)
    assert second.occurrences


def test_backlog_of_one_queue_keeps_jobs_of_another_waiting():
    """Guards against LOST: they were never dispatched, beside idle workers."""
    registry = job_registry.JobRegistry()
    for number in range(200):
        add_job(registry, f'a{number:015x}', times=0, count=160)
    small = [
        add_job(registry, f'b{number:015x}', times=0, count=6, queue='other')
        for number in range(4)
    ]
    large = add_job(registry, 'c' * 16, times=0, count=20_000, queue='third')
    registry.start_due_occurrences(1e9, 0.0)
    assert all(job.occurrences for job in small)
    assert large.occurrences
    # Memory stays bounded, for each queue as well.
    for number in range(500):
        add_job(registry, f'd{number:015x}', times=0, count=6, queue='other')
    registry.start_due_occurrences(1e9, 0.0)
    started = [job for job in registry.jobs.values() if job.occurrences]
    tasks = sum(job.task_count for job in started)
    assert tasks <= (
        job_registry.MAX_OPEN_TASKS_PER_ACCOUNT
        + job_registry.MIN_OPEN_TASKS_PER_QUEUE
        + large.task_count
    )


def test_oldest_job_of_a_queue_is_passed_by_smaller_ones():
    """A large job would wait for ever behind a stream of small ones."""
    registry = job_registry.JobRegistry()
    first = add_job(registry, '1' * 16, times=0, count=15_000)
    large = add_job(registry, '2' * 16, times=0, count=15_000)
    small = add_job(registry, '3' * 16, times=0, count=10)
    registry.start_due_occurrences(1e9, 0.0)
    assert first.occurrences
    assert not (large.occurrences or small.occurrences)
    registry.cancel(first, 0.0)
    registry.start_due_occurrences(1e9, 0.0)
    assert large.occurrences
    assert small.occurrences


def test_reported_task_of_a_job_that_waits_for_memory_is_known():
    """Guards against LOST: its runs were stopped after a takeover.

    The earlier owner had started it before the jobs that fill the memory now.
    """
    registry = job_registry.JobRegistry()
    add_job(registry, '1' * 16, times=0, count=20_000)
    add_job(registry, '2' * 16, times=0, count=20_000)
    scheduled = add_job(registry, '3' * 16, times=10, count=1)
    registry.start_due_occurrences(1e9, 0.0)
    for name in (f'{"2" * 16}.0.0.7', f'{"3" * 16}.2.0.0'):
        assert registry.find_task(name).step.job.occurrences
    assert sorted(scheduled.occurrences) == [0, 1, 2]
    # The job has no such occurrences.
    assert registry.find_task(f'{"2" * 16}.1.0.0') is None
    assert registry.find_task(f'{"3" * 16}.10.0.0') is None


def test_failed_runs_of_serving_task_end_no_job():
    registry = job_registry.JobRegistry()
    plan = plans.JobPlan(
        spec='', steps=(plans.StepPlan(count=1, long_running=True),)
    )
    job = registry.add(
        '1' * 16,
        msgspec.structs.replace(samples.create_submission(), plan=plan),
    )
    registry.start_due_occurrences(1e9, 0.0)
    task = job.occurrences[0].steps[0].tasks[0]
    for run in range(20):
        assert not registry.record_failed_run(
            task, run, max_attempts=3, wall_s=0.0
        )
    assert not job.ended


def test_checkpoint_of_any_length_is_kept():
    """Workers choose it; one that no row takes would suspend its job."""
    registry = job_registry.JobRegistry()
    job = add_job(registry, '1' * 16, times=0, count=1)
    registry.start_due_occurrences(1e9, 0.0)
    (task,) = job.iterate_tasks()
    registry.record_checkpoint(task, 'c' * 100_000)
    assert not task.checkpoint
    registry.record_checkpoint(task, 'c' * 20)
    assert job.progress.checkpoints == {'0.0.0': 'c' * 20}
