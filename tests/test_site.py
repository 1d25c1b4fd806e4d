"""Jobs from submission to completion, on stand-ins of the platform."""

import time

import pytest

from examples.standins.site.site import create_step
from examples.standins.site.workers import RunRecord
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import OTHER_JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_state


@pytest.fixture
async def site():
    """Two pools with two VMs each, and two spare VMs."""
    async with site_checks.open_site(
        {'alpha': 2, 'beta': 2, 'spare': 2}
    ) as stand_in:
        yield stand_in


async def test_job_runs_its_steps_in_order(site):
    await start_nodes(site, 1)
    steps = [create_step(3), create_step(2, after=[0])]
    assert await site.submit('alpha', JOB, steps) == 200
    await wait_state(site, 'completed')
    first = [
        line for line in site.ledger if line.task.startswith(f'{JOB}.0.0')
    ]
    second = [
        line for line in site.ledger if line.task.startswith(f'{JOB}.0.1')
    ]
    assert (len(first), len(second)) == (3, 2)
    assert max(line.ended_at_s for line in first) <= min(
        line.started_at_s for line in second
    )


async def test_submit_of_one_id_at_several_nodes_creates_one_job(site):
    nodes = await start_nodes(site, 3)
    for node in nodes:
        status = await site.submit('alpha', JOB, [create_step(2)], node=node)
        assert status == 200
    await wait_state(site, 'completed', node=nodes[2])
    assert len(site.ledger) == 2


async def test_call_with_unknown_key_queue_or_job_is_refused(site):
    await start_nodes(site, 1)
    calls = (
        (('POST', 'alpha', JOB), {'key': 'other'}, 401),
        (('POST', 'gamma', JOB), {}, 404),
        (('GET', 'alpha', OTHER_JOB), {}, 410),
        (('DELETE', 'alpha', OTHER_JOB), {}, 410),
        (('GET', 'alpha', 'not-an-id'), {}, 404),
    )
    for call, options, expected in calls:
        body = {'spec': '', 'steps': [create_step(1)]}
        body = body if call[0] == 'POST' else None
        status, _ = await site.call(*call, body=body, **options)
        assert status == expected, call


@pytest.mark.parametrize(
    'body',
    [
        {'steps': []},
        {'spec': '', 'steps': []},
        {'spec': '', 'steps': [create_step(0)]},
        {'spec': '', 'steps': [create_step(1, after=[0])]},
        {'spec': 'x' * 4001, 'steps': [create_step(1)]},
        {'spec': '', 'steps': [create_step(1)], 'times': 2},
        [],
    ],
)
async def test_submit_refuses_invalid_body(site, body):
    await start_nodes(site, 1)
    status, answer = await site.call('POST', 'alpha', JOB, body=body)
    assert status == 400
    assert answer['error']
    assert await site.get_job_state('alpha', JOB) == 410


async def test_withdrawn_key_is_refused(site):
    await start_nodes(site, 1)
    site.accounts['acme']['apiKeys'] = ['another']
    await site.configure()

    async def is_refused():
        return await site.submit('alpha', JOB, [create_step(1)]) == 401

    await site_checks.wait_until(is_refused, what='the key is refused')


async def test_older_configuration_is_ignored(site):
    (node,) = await start_nodes(site, 1)
    previous_version = site.version
    await site.configure(version=1)
    site.queues['late'] = {'service': 'alpha'}
    await site.configure()
    await site_checks.wait_until(
        lambda: node.node.configuration.current.version == site.version,
        what='the newest configuration is in force',
    )
    assert site.version > previous_version


async def test_cancelled_job_stops_its_running_tasks(site):
    await start_nodes(site, 2)
    await site.submit('alpha', JOB, [create_step(2)], spec='{"ms": 60000}')
    await site_checks.wait_until(
        lambda: len(site.ledger) == 2, what='both tasks start'
    )
    status, _ = await site.call('DELETE', 'alpha', JOB, node=site.nodes[1])
    assert status == 200
    await wait_state(site, 'cancelled')
    await site_checks.wait_until(
        lambda: all(line.outcome == 'stopped' for line in site.ledger),
        what='both tasks are stopped',
    )


async def test_failing_task_uses_all_its_attempts(site):
    await start_nodes(site, 1)
    # A task that lasts on each VM of the pool keeps both switched on.
    await site.submit(
        'alpha',
        OTHER_JOB,
        [create_step(2, longRunning=True, antiAffinity=1)],
        spec='{"lasts": 1}',
    )
    await site_checks.wait_until(
        lambda: len(site.ledger) == 2, what='both VMs are in use'
    )
    await site.submit('alpha', JOB, [create_step(1)], spec='{"fail": 1}')
    await wait_state(site, 'failed')
    lines = [line for line in site.ledger if line.task.startswith(JOB)]
    assert len(lines) == 3
    assert len({line.worker_id for line in lines}) == 2


async def test_upper_limit_holds_across_pools(site):
    await start_nodes(site, 1)
    site.accounts['acme']['maximum'] = {'cpu': 3000}
    await site.configure()
    await site_checks.wait_until(
        lambda: (
            site.nodes[0].node.configuration.current.version == site.version
        ),
        what='the limit is in force',
    )
    for pool, job in (('alpha', JOB), ('beta', OTHER_JOB)):
        assert await site.submit(pool, job, [create_step(6)]) == 200
    for pool, job in (('alpha', JOB), ('beta', OTHER_JOB)):
        await wait_state(site, 'completed', job, pool)
    # Both ids begin with '0', so the tasks of both jobs are counted together.
    site_checks.check_ledger(site.ledger, limit_by_job={'0': 3})


async def test_worker_capacity_is_not_exceeded(site):
    await start_nodes(site, 1)
    await site.submit('alpha', JOB, [create_step(12, cpu=3000)])
    await wait_state(site, 'completed')
    for worker in {line.worker_id for line in site.ledger}:
        lines = [line for line in site.ledger if line.worker_id == worker]
        for line in lines:
            concurrent = [
                other
                for other in lines
                if other.started_at_s <= line.started_at_s < other.ended_at_s
            ]
            assert len(concurrent) <= 2


async def test_gang_tasks_share_one_run_number(site):
    await start_nodes(site, 1)
    await site.submit('alpha', JOB, [create_step(4, gang=True)])
    await wait_state(site, 'completed')
    assert len({line.run for line in site.ledger}) == 1


async def test_occurrences_start_when_they_are_due(site):
    await start_nodes(site, 1)
    start_at_ms = time.time() * 1000 + 300
    status = await site.submit(
        'alpha',
        JOB,
        [create_step(1)],
        times=3,
        startAtMs=start_at_ms,
        intervalMs=200,
    )
    assert status == 200
    await wait_state(site, 'completed')
    clock_offset_s = time.time() - time.monotonic()
    for number, line in enumerate(site.ledger):
        due_unix_s = start_at_ms / 1000 + 0.2 * number
        assert line.task == f'{JOB}.{number}.0.0'
        assert line.started_at_s + clock_offset_s >= due_unix_s - 0.25


async def test_step_runs_only_on_workers_allowed_by_policy(site):
    site.queues['alpha'] = {
        'advice': {'decideMs': 1, 'eachMs': 1, 'validMs': 3000}
    }
    await site.configure()
    allowed = site.workers['m-alpha-1'].worker_id
    site.advice_service.allowed_workers = {allowed}
    await start_nodes(site, 1)
    await site.submit('alpha', JOB, [create_step(4)])
    await wait_state(site, 'completed')
    assert {line.worker_id for line in site.ledger} == {allowed}


async def test_waiting_count_includes_job_without_a_start(site):
    nodes = await start_nodes(site, 2)
    await site.submit('alpha', JOB, [create_step(1, requires='nowhere')])

    async def is_counted():
        status, body = await site.call('GET', 'alpha', '', node=nodes[1])
        return status == 200 and body == {'waiting': 1}

    await site_checks.wait_until(is_counted, what='the job is counted')


def test_find_violations_reports_planted_faults():
    def create_record(task, run, started_at_s, ended_at_s, outcome):
        record = RunRecord(worker_id='w', task=task, run=run, spec='')
        record.started_at_s, record.ended_at_s, record.outcome = (
            started_at_s,
            ended_at_s,
            outcome,
        )
        return record

    find = site_checks.find_violations
    overlapping = [
        create_record('a', 1, 0, 2, 'done'),
        create_record('a', 2, 1, 3, 'done'),
    ]
    assert len(list(find(overlapping))) == 2
    decreasing = [
        create_record('a', 2, 0, 1, 'failed'),
        create_record('a', 1, 2, 3, 'done'),
    ]
    assert 'do not rise' in next(find(decreasing))
    over_limit = [
        create_record('a', 1, 0, 2, 'done'),
        create_record('a1', 1, 1, 3, 'done'),
    ]
    assert 'over 1' in next(find(over_limit, limit_by_job={'a': 1}))
