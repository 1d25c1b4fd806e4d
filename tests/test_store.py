"""The store is down, slow, or loses answers to commits that took effect."""

import asyncio
import json

import pytest

from tests import harness
from tests import invariants
from tests import test_daemon_lifecycle


@pytest.mark.asyncio
async def test_requests_go_on_while_the_store_is_down(fleet):
    daemons = await harness.start_fleet(fleet, teams=[('auction', 1.0, 12)])
    load = harness.LoadGenerator(fleet=fleet)
    jobs = await test_daemon_lifecycle.submit_jobs(
        load, daemons, 30, run_s=0.1
    )
    await asyncio.gather(
        *(load.send(daemons[i % 3], run_s=0.1) for i in range(60))
    )
    await fleet.set_platform_faults(down=True)
    stop = asyncio.Event()
    before = load.count(200)
    streams = asyncio.create_task(
        load.send_until(stop, daemons, streams=6, run_s=0.05)
    )
    # Several leases long, so that serving rests on the majority rule.
    await asyncio.sleep(8)
    refused = await load.send(
        daemons[0], headers={'Idempotency-Key': 'while-down'}
    )
    assert (refused.code, refused.run) == (403, 'not-run')
    refused = await load.send(daemons[0], headers={'Prefer': 'respond-async'})
    assert refused.code == 403
    stop.set()
    await streams
    assert load.count(200) - before > 100
    statuses = {reply.code for reply in load.replies.values()}
    assert statuses <= {0, 403}
    await fleet.set_platform_faults()
    await test_daemon_lifecycle.wait_jobs(fleet, jobs, ['done'])
    await invariants.assert_invariants(
        fleet,
        load.replies,
        limits={'pesajes/auction': 12},
    )


@pytest.mark.asyncio
async def test_jobs_leave_permits_to_requests_while_the_store_is_down(fleet):
    """A job has to store its start, and kept its permit until it could."""
    daemons = await harness.start_fleet(fleet, teams=[('auction', 1.0, 12)])
    load = harness.LoadGenerator(fleet=fleet)
    jobs = await test_daemon_lifecycle.submit_jobs(
        load, daemons, 60, run_s=1.0
    )

    async def have_done():
        return 'done' in await test_daemon_lifecycle.find_job_states(
            fleet, jobs
        )

    await invariants.wait_for(have_done)
    await fleet.set_platform_faults(down=True)
    # The running jobs end, and queued ones get their permits.
    await asyncio.sleep(3)
    replies = await asyncio.gather(
        *(
            load.send(
                daemons[i % 3],
                run_s=0.05,
                headers={'Arbutusrock-Timeout': '10'},
            )
            for i in range(30)
        )
    )
    assert {reply.status for reply in replies} == {200}
    await fleet.set_platform_faults()
    await test_daemon_lifecycle.wait_jobs(fleet, jobs, ['done'])
    await invariants.assert_invariants(
        fleet, load.replies, limits={'pesajes/auction': 12}
    )


@pytest.mark.asyncio
async def test_lost_store_answers_duplicate_and_lose_nothing(fleet):
    daemons = await harness.start_fleet(fleet)
    load = harness.LoadGenerator(fleet=fleet)
    versions = []
    for number in range(5):
        await fleet.set_platform_faults(lose_answers=3)
        text = json.dumps(
            harness.create_contract([('auction', 1.0 + number, 50 + number)])
        )
        view = await fleet.call_api(
            'PUT',
            '/v1/contracts',
            at=daemons[number % 3],
            data=text,
            match='*',
        )
        versions.append(view['version'])
    assert versions == sorted(set(versions))
    trail = await fleet.call_api(
        'GET', '/v1/audit', query={'subject': 'contract/pesajes'}
    )
    applied = [entry['version'] for entry in trail]
    assert applied[-5:] == versions
    assert len(applied) == len(set(applied)) == 6
    await fleet.set_platform_faults(lose_answers=8)
    jobs = await test_daemon_lifecycle.submit_jobs(
        load, daemons, 40, run_s=0.05
    )
    assert len(jobs) == 40
    await test_daemon_lifecycle.wait_jobs(fleet, jobs, ['done'])
    ledger = await invariants.assert_invariants(fleet, load.replies)
    assert len([e for e in ledger if e.task in jobs]) == 40


@pytest.mark.asyncio
async def test_slow_store_fails_no_request_or_job(fleet):
    daemons = await harness.start_fleet(
        fleet,
        platform={'timeout_s': 10.0, 'retry_budget_s': 20.0},
        membership={
            'renew_s': 1.0,
            'lease_s': 12.0,
            'margin_s': 1.0,
            'digest_s': 0.3,
        },
    )
    load = harness.LoadGenerator(fleet=fleet)
    await asyncio.gather(*(load.send(daemons[i % 3]) for i in range(30)))
    await fleet.set_platform_faults(delay_s=5.0)
    replies = await asyncio.gather(
        *(load.send(daemons[i % 3], run_s=0.05) for i in range(90))
    )
    assert {reply.status for reply in replies} == {200}
    jobs = await test_daemon_lifecycle.submit_jobs(
        load, daemons, 6, run_s=0.05
    )
    assert len(jobs) == 6
    await fleet.set_platform_faults()
    await test_daemon_lifecycle.wait_jobs(fleet, jobs, ['done'])
    await invariants.assert_invariants(
        fleet, load.replies, limits={'pesajes/auction': 100}
    )


@pytest.mark.asyncio
async def test_job_in_doubt_is_reported_and_removed(fleet):
    daemons = await harness.start_fleet(fleet)
    load = harness.LoadGenerator(fleet=fleet)
    await fleet.set_platform_faults(lose_answers=100_000)
    replies = await asyncio.gather(
        *(
            load.send(daemons[i % 3], headers={'Prefer': 'respond-async'})
            for i in range(9)
        )
    )
    assert {(reply.code, reply.run) for reply in replies} == {(404, 'unknown')}
    await fleet.set_platform_faults()
    jobs = [reply.problem['detail'].split()[1] for reply in replies]
    await asyncio.sleep(4)
    states = [
        await fleet.try_call_api('GET', f'/v1/jobs/{job}') for job in jobs
    ]
    assert {r.code or r.decode()['state'] for r in states} <= {
        105,
        'cancelled',
    }
    assert not await fleet.read_ledger()
