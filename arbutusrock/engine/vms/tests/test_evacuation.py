"""Which serving tasks are moved off their workers in one pass."""

import types

import msgspec
import pytest

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.vms import evacuation
from arbutusrock.engine.workers import fleet
from arbutusrock.scheduling import dark_workers
from arbutusrock.scheduling import Resources

DEMAND = Resources(cpu=1000, memory_mb=100)


def create_worker(name, **fields):
    entry = platform_messages.WorkerEntry(
        worker_id=f'i-{name}',
        pool='p',
        address='h:1',
        vm=name,
        capacity=Resources(cpu=8000, memory_mb=8000),
        **fields,
    )
    worker = fleet.WorkerState(entry=entry, now_s=0.0)
    worker.has_answered = worker.in_roster = True
    return worker


def create_step(count, may_miss):
    step = plans.StepPlan(
        count=count, demand=DEMAND, long_running=True, may_miss=may_miss
    )
    submission = plans.Submission(
        queue='q',
        pool='p',
        account='a',
        accepted_ms=0.0,
        plan=plans.JobPlan(spec='', steps=(step,)),
    )
    job = job_state.Job(
        job_id='0' * 16,
        submission=submission,
        progress=plans.JobProgress(),
        inherited=False,
    )
    return job_state.Occurrence(job=job, number=0, due_unix_s=0.0).steps[0]


def run_pass(placement, may_miss, *, stopping=False, step=None):
    """Place tasks on workers and return the tasks that one pass stops.

    :param placement: list of (worker, number of tasks).
    :param stopping: whether the owner is about to stop.
    :param step: its tasks; None for some that last.
    """
    known = fleet.Fleet()
    if step is None:
        step = create_step(sum(count for _, count in placement), may_miss)
    tasks = iter(step.tasks)
    for worker, count in placement:
        known.workers[worker.worker_id] = worker
        for _ in range(count):
            task = next(tasks)
            run = job_state.Run(
                number=1,
                name=task.name,
                task=task,
                account='a',
                worker=worker,
                demand=DEMAND,
                now_s=0.0,
            )
            run.state = job_state.RunState.RUNNING
            run.percent = 100 if step.plan.long_running else 0
            known.add_run(run)
    stopped = []

    def stop_run(run, _reason):
        run.state = job_state.RunState.STOPPING
        stopped.append((run.worker.vm, run.task.index))

    evacuator = evacuation.EvacuationController(
        term=types.SimpleNamespace(fleet=known, stopping=stopping),
        run_controller=types.SimpleNamespace(stop_run=stop_run),
    )
    evacuator.reconcile(1.0)
    return stopped


def test_cordoned_worker_evacuates_up_to_may_miss():
    cordoned, free = create_worker('a'), create_worker('b')
    cordoned.cordon_reason = 'wave'
    assert len(run_pass([(cordoned, 5), (free, 0)], 2)) == 2


def test_tasks_of_draining_worker_count_as_away():
    """Completions of both workers may arrive at the same moment.

    So the tasks of the draining worker, which leave in any case, must count
    as away before a task of the cordoned one is moved.
    """
    cordoned, free = create_worker('a'), create_worker('b')
    cordoned.cordon_reason = 'wave'
    draining = create_worker('c', draining=True, leaves_in_ms=800.0)
    stopped = run_pass([(cordoned, 1), (free, 0), (draining, 3)], 2)
    assert {vm for vm, _ in stopped} == {'c'}
    assert len(stopped) == 3


def test_tasks_of_unresponsive_worker_are_not_ready():
    """Tasks of a lost worker count as away.

    Otherwise, while two tasks of a step are lost with their worker, a wave
    moves the third one too.
    """
    cordoned, free = create_worker('a'), create_worker('b')
    cordoned.cordon_reason = 'wave'
    lost = create_worker('c')
    lost.unresponsive = True
    assert not run_pass([(cordoned, 1), (free, 0), (lost, 2)], 1)
    late = create_worker('d')
    late.last_reply_at_s = 1.0 - evacuation.UNRESPONSIVE_S - 0.1
    assert not run_pass([(cordoned, 1), (free, 0), (late, 2)], 1)


@pytest.mark.parametrize('long_running', [False, True])
@pytest.mark.parametrize(
    ('leaves_in_ms', 'silent', 'stopping', 'stops'),
    [
        (4000.0, False, False, True),
        # It could not be started again: its pool waits for a worker.
        (4000.0, True, False, False),
        # The next owner decides.
        (4000.0, False, True, False),
        # Its worker's time is ending: the checkpoint is saved.
        (1000.0, True, False, True),
    ],
)
def test_task_of_draining_worker_goes_on_while_it_can_start_nowhere_else(
    long_running, leaves_in_ms, silent, stopping, stops
):
    """Guards against LOST: it was stopped, and waited for the lease."""
    step = create_step(1, 1)
    step.plan = msgspec.structs.replace(
        step.plan, long_running=long_running, estimate_ms=9000
    )
    step.job.inherited = True
    draining = create_worker('a', draining=True, leaves_in_ms=leaves_in_ms)
    placement = [(draining, 1), (create_worker('b'), 0)]
    if silent:
        dark = create_worker('c')
        dark.has_answered = False
        dark.inherited_lease = dark_workers.InheritedLease(end_at_s=5.0)
        placement.append((dark, 0))
    stopped = run_pass(placement, 1, stopping=stopping, step=step)
    assert bool(stopped) is stops
