"""Passes over a full pool whose room is divided among accounts."""

from unittest import mock

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from arbutusrock.engine.dispatch import dispatcher
from arbutusrock.engine.dispatch.tests import test_share_ledger as samples
from arbutusrock.engine.jobs import plans
from arbutusrock.scheduling import configuration
from arbutusrock.scheduling import crash_attribution
from arbutusrock.scheduling import dark_workers
from arbutusrock.scheduling import placement
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks

WORKERS = 3
WEIGHTS = {'large': 8.0, 'middle': 3.0, 'small': 1.0}


def dispatch(
    steps,
    workers=(),
    slow_vms=(),
    *,
    waited_s=0.0,
    culprits=(),
    max_orders=1000,
    silent=None,
):
    """Make one pass with waiting steps; return the term and the workers.

    :param waited_s: how long their tasks have waited.
    :param culprits: names of tasks of the account ``large`` that have just
        crashed a worker.
    :param max_orders: how many orders may be in flight.
    :param silent: a worker that has not answered.
    """
    term = samples.create_ledger(WEIGHTS).term
    term.configuration.current = configuration.FleetConfiguration(
        version=1,
        queues=[configuration.Queue(name='q', host='h', prefix='/', pool='p')],
        pools=[configuration.Pool(name=samples.POOL)],
        accounts=[
            configuration.Account(name=name, weight=weight)
            for name, weight in WEIGHTS.items()
        ],
        limits=configuration.RequestLimits(),
    )
    workers = workers or [
        samples.create_worker(f'w{number}') for number in range(WORKERS)
    ]
    for worker in workers:
        worker.has_answered = worker.in_roster = True
        term.fleet.workers[worker.worker_id] = worker
    if silent is not None:
        term.fleet.workers[silent.worker_id] = silent
    now_s = clocks.now_s()
    term.confirmed_at_s = now_s
    term.load.orders.limit = max_orders
    term.vm_speeds.slow_vms = dict.fromkeys(slow_vms, 0.2)
    for step in steps:
        waiting = term.job_registry.waiting_steps.setdefault(
            step.job.submission.pool, {}
        )
        waiting[step.job.job_id] = step
        for task in step.tasks:
            task.queued_at_s = now_s - waited_s
    tickets = mock.Mock()
    tickets.get_allowed_ids.return_value = None
    tickets.get_ticket.return_value = ''
    dispatcher.Dispatcher(
        term=term,
        links={worker.worker_id: mock.Mock() for worker in workers},
        ticket_cache=tickets,
        crash_tracker=mock.Mock(
            culprits={'large': dict.fromkeys(culprits, now_s)}
        ),
    ).dispatch()
    return term, workers


def create_serving_step(tasks):
    """Return a step of ``large`` whose tasks last, one on a VM."""
    return samples.create_step(
        'large',
        1,
        plan=plans.StepPlan(
            count=tasks,
            demand=Resources(cpu=1000),
            long_running=True,
            most_per_worker=1,
        ),
    )


def count_runs(step):
    return sum(len(task.runs) for task in step.tasks)


def move_to_pool(step, worker, pool):
    """Put a step and a worker into another pool."""
    step.job.submission = msgspec.structs.replace(
        step.job.submission, pool=pool
    )
    worker.entry = msgspec.structs.replace(worker.entry, pool=pool)


@pytest.mark.parametrize('gang', [False, True])
def test_listed_task_waits_for_its_worker_and_others_do_not(gang):
    """Guards against TWICE, and against pools that wait as a whole."""
    now_s = clocks.now_s()
    plan = plans.StepPlan(count=3, demand=Resources(cpu=1000), gang=gang)
    step = samples.create_step('large', 1, plan=plan)
    other = samples.create_step('small', 2, tasks=2)
    for item in (step, other):
        item.job.inherited = True
    silent = samples.create_worker('w9')
    silent.inherited_lease = dark_workers.InheritedLease(end_at_s=now_s + 5.0)
    silent.inherited_tasks = frozenset({step.tasks[1].name})
    workers = [samples.create_worker(f'w{number}') for number in range(3)]
    dispatch([step, other], workers, silent=silent)
    assert count_runs(other) == 2
    assert [len(task.runs) for task in step.tasks] == (
        [0, 0, 0] if gang else [1, 0, 1]
    )


def test_owner_that_is_stopping_starts_no_extra_run():
    """The list of possible runs is made; the run would not be in it."""
    step = samples.create_step('large', 1)
    term, workers = dispatch([step], max_orders=0)
    controller = dispatcher.Dispatcher(
        term=term, links={}, ticket_cache=mock.Mock(), crash_tracker=None
    )
    term.stopping = True
    assert not controller.start_extra_run(step.tasks[0])
    assert not count_runs(step)


def test_saturated_owner_orders_all_waiting_tasks_at_once():
    """All those orders were answered after their time-outs."""
    step = samples.create_step('large', 1, tasks=12)
    dispatch([step], max_orders=5)
    assert count_runs(step) == 5


def test_pools_share_the_orders_that_a_saturated_owner_may_send():
    steps = [samples.create_step('large', number, 12) for number in (1, 2)]
    workers = [samples.create_worker(name) for name in ('w1', 'w2')]
    move_to_pool(steps[1], workers[1], 'other')
    dispatch(steps, workers, max_orders=6)
    assert [count_runs(step) for step in steps] == [3, 3]


def test_pool_gets_the_orders_that_others_have_no_use_for():
    """No answer asked for another pass, as the window was not full."""
    steps = [
        samples.create_step('large', number, tasks)
        for number, tasks in ((1, 12), (2, 1), (3, 1))
    ]
    workers = [samples.create_worker(name) for name in ('w1', 'w2')]
    move_to_pool(steps[1], workers[1], 'other')
    # The third pool has no worker.
    steps[2].job.submission = msgspec.structs.replace(
        steps[2].job.submission, pool='empty'
    )
    dispatch(steps, workers, max_orders=9)
    assert [count_runs(step) for step in steps] == [8, 1, 0]


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(sorted(WEIGHTS)),
        strategies.integers(1, 12),
        strategies.integers(100, samples.CORES * 1000),
        strategies.integers(10, 9000),
    ),
    min_size=1,
    max_size=12,
)


@given(STEPS)
def test_no_room_is_idle_while_a_waiting_task_fits(drawn):
    steps = [
        samples.create_step(
            account,
            number,
            plan=plans.StepPlan(
                count=tasks,
                demand=Resources(cpu=cpu, memory_mb=memory_mb),
                estimate_ms=500.0,
            ),
        )
        for number, (account, tasks, cpu, memory_mb) in enumerate(drawn)
    ]
    _, workers = dispatch(steps)
    assert any(worker.runs for worker in workers)
    for step in steps:
        if any(task.runs == [] for task in step.tasks):
            demand = step.plan.demand
            assert not any(
                worker.free_millicores >= demand.cpu
                and worker.free_memory_mb >= demand.memory_mb
                for worker in workers
            )


def test_small_accounts_start_before_more_work_of_a_large_one():
    plan = plans.StepPlan(
        count=4, demand=Resources(cpu=1000), estimate_ms=500.0
    )
    steps = [
        samples.create_step('large', number, plan=plan)
        for number in range(1, 40)
    ]
    steps.append(samples.create_step('middle', 50, plan=plan))
    steps.append(samples.create_step('small', 51, plan=plan))
    term, _ = dispatch(steps)
    used = {name: term.fleet.get_usage(name).cpu for name in WEIGHTS}
    # All else goes to the large account, beyond its part too.
    assert used == {'large': 40_000, 'middle': 4000, 'small': 4000}


def test_serving_suspects_wait_for_each_other_beside_idle_workers():
    """They were alone on workers that were lost together.

    The account may risk one of four workers, until the task there has run
    for as long as before its crash.
    """
    others = samples.create_step('small', 2)
    for waited_s, started in ((1.0, 1), (3.0, 4)):
        step = create_serving_step(4)
        for task in step.tasks:
            step.job.progress.crashes[task.progress_key] = [
                crash_attribution.CrashRecord(
                    run=1, survived_s=9.0, suspect=True, sole=True
                )
            ]
        workers = [samples.create_worker(f'w{number}') for number in range(4)]
        dispatch([step, others], workers, waited_s=waited_s)
        assert count_runs(step) == started


def test_serving_tasks_of_confined_account_wait_beside_idle_workers():
    """Three of its tasks were alone on workers that were lost together."""
    culprits = ['x', 'y', 'z']
    others = samples.create_step('small', 2)
    for waited_s, started in ((1.0, 2), (3.0, 8)):
        step = create_serving_step(8)
        workers = [samples.create_worker(f'w{number}') for number in range(8)]
        dispatch([step, others], workers, waited_s=waited_s, culprits=culprits)
        assert count_runs(step) == started


def test_account_risks_more_workers_as_its_suspects_run_on():
    """Others may start beside a suspect that has not outlived its crash.

    It is one of four workers; the account may not risk another.
    """
    others = samples.create_step('small', 3)
    workers = [samples.create_worker(f'w{number}') for number in range(4)]
    step = samples.create_step('large', 1, 2)
    for task in step.tasks:
        step.job.progress.crashes[task.progress_key] = [
            crash_attribution.CrashRecord(
                run=1, survived_s=9.0, suspect=True, sole=True
            )
        ]
    dispatch([step, others], workers)
    assert count_runs(step) == 1
    for worker in workers:
        worker.guarded_run = None
    dispatch([step, others], workers, waited_s=3.0)
    assert count_runs(step) == 1


def create_steps(count, **fields):
    return [
        samples.create_step(
            'large', number, plan=plans.StepPlan(count=4, **fields)
        )
        for number in range(count)
    ]


def create_workers(**fields):
    """Return a sound worker and a slow one, with fields of its entry."""
    sound, slow = (samples.create_worker(name) for name in ('sound', 'slow'))
    slow.entry = msgspec.structs.replace(slow.entry, **fields)
    return sound, slow


def test_task_uses_a_slow_vm_at_once_where_no_sound_one_may_take_it():
    for fields, entry in (
        ({'label': 'x', 'demand': Resources(cpu=1000)}, {'labels': ('x',)}),
        (
            {'demand': Resources(cpu=17_000)},
            {'capacity': Resources(cpu=99_000, memory_mb=10_000)},
        ),
    ):
        steps = create_steps(1, estimate_ms=60_000.0, **fields)
        _, (_, slow) = dispatch(steps, create_workers(**entry), ['slow'])
        assert len(slow.runs) == 4


def test_full_sound_vms_are_not_searched_for_each_waiting_task():
    sound, slow = create_workers()
    sound.used_millicores = sound.capacity.cpu
    steps = create_steps(50, estimate_ms=1e3, demand=Resources(cpu=1000))
    with mock.patch.object(
        placement, 'choose_worker', wraps=placement.choose_worker
    ) as choose:
        dispatch(steps, (sound, slow), ['slow'])
    assert not slow.runs
    assert choose.call_count <= 1
