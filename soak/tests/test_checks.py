"""Each check reports a planted violation and nothing without it."""

import types

import pytest

from examples.standins.site.workers import RunRecord
from soak import checks
from soak import load_generator

JOB = '00000000000000a1'


def create_run_record(
    task='0.0.0',
    *,
    started_at_s,
    ended_at_s,
    outcome='done',
    acknowledged=True,
    worker='w1',
):
    record = RunRecord(
        worker_id=worker,
        task=f'{JOB}.{task}',
        run=1,
        spec='',
    )
    record.started_at_s, record.ended_at_s, record.outcome = (
        started_at_s,
        ended_at_s,
        outcome,
    )
    record.acknowledged_at_s = ended_at_s if acknowledged else None
    return record


def create_job(
    *, steps=None, submit_statuses=(200,), accepted_at_s=10.0, states=None
):
    job = load_generator.JobRecord(
        job_id=JOB, pool='alpha', steps=steps or [{'count': 1, 'cpu': 4000}]
    )
    job.submit_statuses = list(submit_statuses)
    job.accepted_at_s = accepted_at_s
    job.observed_states = (
        [(20.0, 20.1, 'completed')] if states is None else states
    )
    return job


def find_kinds(ledger, jobs=None, **changes):
    fields = {
        'ledger': ledger,
        'jobs': [create_job()] if jobs is None else jobs,
        'calls': [],
        'fault_intervals': [],
        'limits': (8000, 30_000),
        'orders': [],
        **changes,
    }
    return [text.split()[0] for text in checks.find_violations(**fields)]


COMPLETED_RUN = create_run_record(started_at_s=11.0, ended_at_s=12.0)


def test_valid_run_has_no_violations():
    assert not find_kinds([COMPLETED_RUN])


def test_concurrent_runs_are_reported():
    again = create_run_record(started_at_s=11.5, ended_at_s=12.5)
    assert 'TWICE' in find_kinds([COMPLETED_RUN, again])


def test_start_after_acknowledged_completion_is_reported():
    again = create_run_record(started_at_s=13.0, ended_at_s=14.0)
    assert find_kinds([COMPLETED_RUN, again]) == ['TWICE']


def test_rerun_after_lost_completion_is_allowed():
    lost = create_run_record(
        started_at_s=10.0, ended_at_s=10.5, acknowledged=False
    )
    assert not find_kinds([lost, COMPLETED_RUN])


def test_run_of_refused_job_is_reported():
    job = create_job(submit_statuses=[503, 429], accepted_at_s=None, states=[])
    assert find_kinds([COMPLETED_RUN], [job]) == ['REFUSED']
    ambiguous = create_job(
        submit_statuses=[503, None], accepted_at_s=None, states=[]
    )
    assert not find_kinds([COMPLETED_RUN], [ambiguous])


@pytest.mark.parametrize(
    ('states', 'found'),
    [
        ([], ['LOST']),
        ([(20.0, 20.1, 'running')], ['LOST']),
        ([(14.0, 14.1, 'unknown'), (20.0, 20.1, 'completed')], ['LOST']),
        ([(12.0, 12.1, 'unknown'), (20.0, 20.1, 'completed')], []),
        ([(11.0, 11.1, 'completed')], ['MIXED']),
        ([(20.0, 20.1, 'failed')], ['LOST']),
        ([(20.0, 20.1, 'cancelled')], ['LOST', 'LOST']),
    ],
)
def test_wrong_job_states_are_reported(states, found):
    assert find_kinds([COMPLETED_RUN], [create_job(states=states)]) == found


def test_failure_after_max_attempts_is_allowed():
    ledger = [
        create_run_record(started_at_s=n, ended_at_s=n + 0.5, outcome='failed')
        for n in (11, 12, 13)
    ]
    assert not find_kinds(
        ledger, [create_job(states=[(20.0, 20.1, 'failed')])]
    )


def test_early_step_start_is_reported():
    steps = [{'count': 1, 'cpu': 1}, {'count': 1, 'cpu': 1, 'after': [0]}]
    later = create_run_record('0.1.0', started_at_s=11.9, ended_at_s=13.0)
    assert find_kinds([COMPLETED_RUN, later], [create_job(steps=steps)]) == [
        'ORDER'
    ]


def test_runs_after_cancellation_are_reported():
    job = create_job(states=[])
    job.cancel_sent_at_s = job.cancelled_at_s = 11.5
    late = create_run_record(started_at_s=16.0, ended_at_s=17.0)
    assert find_kinds([late], [job]) == ['UNASKED', 'UNASKED']
    # The time bound is not checked during a fault or shortly after it.
    assert not find_kinds(
        [late], [job], fault_intervals=[('pause', 10.0, 16.0)]
    )
    assert not find_kinds([COMPLETED_RUN], [job])


def test_exceeded_worker_capacity_is_reported():
    steps = [{'count': 3, 'cpu': 4000}]
    job = create_job(steps=steps)
    ledger = [
        create_run_record(
            f'0.0.{n}', started_at_s=11.0 + n / 10, ended_at_s=12.0
        )
        for n in range(3)
    ]
    assert find_kinds(ledger, [job]) == ['LIMIT']


def test_exceeded_account_limit_is_reported():
    steps = [{'count': 3, 'cpu': 4000}]
    ledger = [
        create_run_record(
            f'0.0.{n}',
            started_at_s=11.0 + n / 10,
            ended_at_s=12.0,
            worker=f'w{n}',
        )
        for n in range(3)
    ]
    found = find_kinds(ledger, [create_job(steps=steps)], limits=(8000, 6000))
    assert found == ['QUOTA']


def test_run_of_unsubmitted_job_is_reported():
    assert find_kinds([COMPLETED_RUN], []) == ['UNASKED']


def test_call_lost_in_planned_stop_is_reported():
    call = load_generator.Call(
        node=types.SimpleNamespace(name='n1'), sent_at_s=11.0
    )
    call.ended_at_s = 11.5
    stop = ('stop', 10.9, 14.0)
    assert find_kinds(
        [COMPLETED_RUN], calls=[call], fault_intervals=[stop]
    ) == ['LOST']
    kill = ('kill', 10.9, 11.5)
    assert not find_kinds(
        [COMPLETED_RUN], calls=[call], fault_intervals=[kill]
    )


def test_stale_token_or_second_holder_is_reported():
    valid_orders = [('move', 'm1', 'n1', 3), ('move', 'm1', 'n2', 4)]
    assert not find_kinds([COMPLETED_RUN], orders=valid_orders)
    stale = [*valid_orders, ('move', 'm1', 'n1', 3)]
    assert find_kinds([COMPLETED_RUN], orders=stale) == ['ONE']
    two_holders = [*valid_orders, ('move', 'm1', 'n1', 4)]
    assert find_kinds([COMPLETED_RUN], orders=two_holders) == ['ONE']


def create_crashes(count):
    return [
        create_run_record(
            started_at_s=11.0 + number,
            ended_at_s=11.5 + number,
            outcome='lost',
        )
        for number in range(count)
    ]


def test_starts_of_deadly_task_are_reported():
    states = [(20.0, 20.1, 'failed')]
    crashes = create_crashes(6)
    jobs = [create_job(states=states)]
    assert find_kinds(crashes, jobs, crashes=crashes) == ['BUDGET']
    assert not find_kinds(crashes[:5], jobs, crashes=crashes[:5])


def test_job_that_failed_after_one_crash_is_reported():
    crashes = create_crashes(1)
    jobs = [create_job(states=[(20.0, 20.1, 'failed')])]
    assert find_kinds(crashes, jobs, crashes=crashes) == ['LOST']


def test_start_on_shrunk_worker_is_reported():
    changes = [(1.0, 'w1', 2000)]
    assert find_kinds([COMPLETED_RUN], capacity_changes=changes) == ['LIMIT']
    changes = [(10.0, 'w1', 2000)]
    assert not find_kinds([COMPLETED_RUN], capacity_changes=changes)


def test_start_in_evacuated_data_centre_is_found():
    def find(started_at_s, faults=(), end_s=None):
        run = create_run_record(
            started_at_s=started_at_s, ended_at_s=started_at_s + 0.5
        )
        return [
            line.partition(' ')[0]
            for line in checks.find_violations(
                ledger=[run],
                jobs=[create_job()],
                calls=[],
                fault_intervals=faults,
                limits=(8000, 30_000),
                orders=[],
                evacuations=[('z1', 10.0, end_s)],
                data_centre_by_worker={'w1': 'z1'},
            )
        ]

    assert find(16.0) == ['EVAC']
    assert not find(14.0)
    assert not find(18.0, end_s=17.0)
    # A kill of the owner is no excuse, nor is a fault of the store after the
    # request was known.
    assert find(16.0, [('kill the owner', 11.0, 14.0)]) == ['EVAC']
    assert find(19.0, [('store silent', 15.5, 18.0)]) == ['EVAC']
    assert not find(18.0, [('store silent', 12.0, 14.0)])
    assert find(19.5, [('store silent', 12.0, 14.0)]) == ['EVAC']
