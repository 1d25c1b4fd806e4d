"""The order of waiting steps in a full pool, and what is kept of it."""

import math
import types

import pytest

from arbutusrock.engine.dispatch import share_ledger
from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.tests import samples
from arbutusrock.engine.workers import fleet
from arbutusrock.scheduling import configuration
from arbutusrock.scheduling import Resources

POOL = 'p'
CORES = 16


def create_ledger(weights, limits=None):
    """Return the ledger of a new term with the given accounts."""
    term = samples.create_term(epoch=1)
    term.configuration.current = configuration.FleetConfiguration(
        version=1,
        queues=[],
        pools=[],
        accounts=[
            configuration.Account(
                name=name,
                weight=weight,
                upper_limit=(limits or {}).get(name, Resources()),
            )
            for name, weight in weights.items()
        ],
        limits=configuration.RequestLimits(),
    )
    return share_ledger.ShareLedger(term=term)


def create_worker(name):
    """Return a worker of the pool with room for 16 tasks."""
    return fleet.WorkerState(
        entry=platform_messages.WorkerEntry(
            worker_id=name,
            pool=POOL,
            address='h:1',
            vm=name,
            capacity=Resources(cpu=CORES * 1000, memory_mb=10_000),
        ),
        now_s=0.0,
    )


def create_step(account, number, tasks=4, *, plan=None):
    """Return a step whose tasks wait, of a job that arrived as ``number``."""
    plan = plan or plans.StepPlan(
        count=tasks, demand=Resources(cpu=1000, memory_mb=10)
    )
    job = job_state.Job(
        job_id=f'{number:016x}',
        submission=plans.Submission(
            queue='q',
            pool=POOL,
            account=account,
            accepted_ms=float(number),
            plan=plans.JobPlan(spec='', steps=(plan,)),
        ),
        progress=plans.JobProgress(),
        inherited=False,
    )
    occurrence = job_state.Occurrence(job=job, number=0, due_unix_s=number)
    step = occurrence.steps[0]
    step.waiting = {task.index: task for task in step.tasks}
    return step


def start(ledger, step, worker, count=None):
    """Start tasks of a step on a worker."""
    for task in list(step.waiting.values())[:count]:
        run = job_state.Run(
            number=1,
            name=task.name,
            task=task,
            account=step.job.submission.account,
            worker=worker,
            demand=step.plan.demand,
            now_s=0.0,
        )
        del step.waiting[task.index]
        ledger.term.fleet.add_run(run)


def rank(step):
    """Return a rank by arrival: all jobs can be in time."""
    return (1, 0, step.occurrence.due_unix_s)


def sort(ledger, steps, workers, now_s=0.0):
    """Return the accounts of the steps in the order of the ledger."""
    steps = list(steps)
    ledger.sort_steps(POOL, list(steps), steps, workers, rank, now_s)
    return [step.job.submission.account for step in steps]


def fill(ledger, worker, account='large'):
    """Fill a worker with tasks of an account."""
    start(ledger, create_step(account, 0, CORES), worker)


def test_a_new_owner_is_fair_from_its_first_pass():
    ledger, worker = (
        create_ledger({'large': 3, 'small': 1}),
        create_worker('w'),
    )
    fill(ledger, worker)
    steps = [create_step('large', number) for number in range(1, 4)]
    steps.append(create_step('small', 9))
    assert sort(ledger, steps, [worker])[0] == 'small'


def test_accounts_of_one_weight_are_served_in_the_order_of_arrival():
    ledger, worker = (
        create_ledger({'large': 1, 'small': 1}),
        create_worker('w'),
    )
    fill(ledger, worker)
    steps = [create_step('large', number) for number in range(1, 4)]
    steps.append(create_step('small', 9))
    assert sort(ledger, steps, [worker])[-1] == 'small'


def test_a_pool_with_room_for_all_is_not_divided():
    ledger, worker = (
        create_ledger({'large': 3, 'small': 1}),
        create_worker('w'),
    )
    start(ledger, create_step('large', 0, 4), worker)
    steps = [create_step('large', 1), create_step('small', 9)]
    assert sort(ledger, steps, [worker]) == ['large', 'small']
    assert ledger.get_attainment('small') == 1.0


def test_a_job_that_has_begun_goes_first():
    ledger, worker = (
        create_ledger({'large': 3, 'small': 1}),
        create_worker('w'),
    )
    fill(ledger, worker)
    begun = create_step('large', 5)
    begun.job.run_ordered = True
    assert sort(ledger, [create_step('small', 1), begun], [worker]) == [
        'large',
        'small',
    ]


def test_serving_tasks_and_excess_jobs_do_not_count_against_an_account():
    ledger, worker = create_ledger({'a': 1, 'b': 2}), create_worker('w')
    serving = plans.StepPlan(
        count=8, demand=Resources(cpu=1000), long_running=True
    )
    start(ledger, create_step('a', 0, plan=serving), worker)
    excess = create_step('a', 1, 8)
    excess.job.excess = True
    start(ledger, excess, worker)
    assert sort(
        ledger, [create_step('b', 2, 12), create_step('a', 3)], [worker]
    ) == ['b', 'a']
    assert sort(
        ledger,
        [create_step('b', 2), create_step('b', 3), create_step('a', 4)],
        [worker],
    ) == ['b', 'a', 'b']


def test_an_account_is_due_no_more_than_its_upper_limit():
    ledger = create_ledger(
        {'limited': 9, 'other': 1}, {'limited': Resources(cpu=2000)}
    )
    worker = create_worker('w')
    start(ledger, create_step('limited', 0, 2), worker)
    start(ledger, create_step('other', 1, 10), worker)
    # It has reached its limit, so the other one has the rest.
    steps = [create_step('limited', 2), create_step('other', 3)]
    assert sort(ledger, steps, [worker]) == ['other', 'limited']


def test_the_share_attained_is_counted_by_account():
    ledger, worker = (
        create_ledger({'large': 1, 'small': 3}),
        create_worker('w'),
    )
    fill(ledger, worker)
    steps = [create_step('large', 1, 16), create_step('small', 2, 16)]
    for tick in range(6):
        sort(ledger, steps, [worker], now_s=tick * 0.2)
    assert ledger.get_attainment('small') == 0.0
    assert ledger.get_attainment('large') == 1.0
    metrics = ledger.term.metrics
    labels = (('account', 'small'),)
    assert metrics.get_count('share_attained_pool_seconds', labels) == 0
    assert metrics.get_count(
        'share_due_pool_seconds', labels
    ) == pytest.approx(0.75)


def test_a_later_owner_takes_over_arrears_by_their_age():
    ledger, worker = (
        create_ledger({'large': 1, 'small': 3}),
        create_worker('w'),
    )
    fill(ledger, worker)
    steps = [create_step('large', 1, 16), create_step('small', 2, 16)]
    for tick in range(6):
        sort(ledger, steps, [worker], now_s=tick * 0.2)
    data = ledger.export()
    assert data[POOL]['small'] > 0 > data[POOL]['large']
    later = create_ledger({'large': 1, 'small': 3})
    later.restore(data, 1.0)
    restored = later.export()[POOL]
    assert 0 < restored['small'] < data[POOL]['small']
    # What it knows of accounts that no longer exist does no harm.
    later.restore({POOL: {'gone': 1.0}}, 0.0)
    assert sort(later, steps, [worker]) == ['small', 'large']


def test_waiting_steps_of_another_tier_are_not_mixed():
    ledger, worker = (
        create_ledger({'large': 3, 'small': 1}),
        create_worker('w'),
    )
    fill(ledger, worker)
    late = create_step('small', 1)
    steps = [late, create_step('large', 2)]

    def rank_by_tier(step):
        return (2 if step is late else 1, 0, 0.0)

    ledger.sort_steps(POOL, list(steps), steps, [worker], rank_by_tier, 0.0)
    assert steps[-1] is late


def test_runs_that_are_not_known_count_as_room_taken():
    ledger, worker = (
        create_ledger({'large': 3, 'small': 1}),
        create_worker('w'),
    )
    worker.runs['x', 1] = types.SimpleNamespace(
        task=None, account='', demand=Resources(cpu=CORES * 1000)
    )
    worker.used_millicores = CORES * 1000
    steps = [create_step('large', 1), create_step('small', 2)]
    assert len(sort(ledger, steps, [worker])) == 2


def create_divided_ledger():
    """Return a ledger with a full pool, ``large`` having its part."""
    ledger, worker = (
        create_ledger({'large': 3, 'small': 1}),
        create_worker('w'),
    )
    fill(ledger, worker)
    steps = [create_step('large', 1), create_step('small', 2, 16)]
    sort(ledger, steps, [worker])
    assert ledger.has_its_part(POOL, 'large')
    return ledger, worker


def test_no_account_has_its_part_when_only_serving_tasks_wait():
    ledger, worker = create_divided_ledger()
    serving = plans.StepPlan(
        count=1, demand=Resources(cpu=1000), long_running=True
    )
    sort(ledger, [create_step('large', 3, plan=serving)], [worker], 1.0)
    assert not ledger.has_its_part(POOL, 'large')


def test_no_account_has_its_part_when_weights_become_equal():
    ledger, _ = create_divided_ledger()
    ledger.term.configuration.current = create_ledger(
        {'large': 1, 'small': 1}
    ).term.configuration.current
    assert not ledger.has_its_part(POOL, 'large')


@pytest.mark.parametrize('value', [math.nan, math.inf, -math.inf])
def test_arrears_that_cannot_be_are_not_restored(value):
    ledger, worker = (
        create_ledger({'large': 3, 'small': 1}),
        create_worker('w'),
    )
    ledger.restore({POOL: {'large': value, 'small': 0.5}}, 0.0)
    assert set(ledger.export()[POOL]) == {'small'}
    fill(ledger, worker)
    steps = [create_step('large', 1), create_step('small', 2)]
    assert sort(ledger, steps, [worker]) == ['small', 'large']


def test_attainment_of_removed_account_is_forgotten():
    ledger, worker = (
        create_ledger({'large': 1, 'small': 3}),
        create_worker('w'),
    )
    fill(ledger, worker)
    steps = [create_step('large', 1, 16), create_step('small', 2, 16)]
    for tick in range(6):
        sort(ledger, steps, [worker], now_s=tick * 0.2)
    assert ledger.get_attainment('small') == 0.0
    ledger.term.configuration.current = create_ledger(
        {'large': 1, 'other': 3}
    ).term.configuration.current
    assert ledger.in_force
    assert ledger.get_attainment('small') == 1.0
    assert set(ledger._attained) == {'large'}
