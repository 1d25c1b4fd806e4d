"""Daemons are stopped, killed, paused or replaced under load."""

import asyncio
import signal

import pytest

from tests import harness
from tests import invariants


async def submit_jobs(load, daemons, count, **options):
    """Submit jobs and return their ids."""
    replies = await asyncio.gather(
        *(
            load.send(
                daemons[i % len(daemons)],
                headers={
                    'Prefer': 'respond-async',
                    'Arbutusrock-Queue': 'ledgers',
                },
                **options,
            )
            for i in range(count)
        )
    )
    return [reply.decode()['job'] for reply in replies if reply.status == 202]


async def find_job_states(fleet, jobs):
    """Return the states of jobs, read through any live daemon."""
    rows = await asyncio.gather(
        *(fleet.call_api('GET', f'/v1/jobs/{job}') for job in jobs)
    )
    return [row['state'] for row in rows]


async def wait_jobs(fleet, jobs, states):
    """Wait until all jobs are in one of ``states``."""

    async def have_expected_states():
        return set(await find_job_states(fleet, jobs)) <= set(states)

    await invariants.wait_for(have_expected_states)


@pytest.mark.asyncio
async def test_graceful_shutdown_completes_requests_and_jobs(fleet):
    daemons = await harness.start_fleet(fleet)
    load = harness.LoadGenerator(fleet=fleet)
    stop = asyncio.Event()
    jobs = await submit_jobs(load, daemons, 60, run_s=0.3)
    # A load balancer sends nothing to a daemon that is no longer ready, so
    # the streams leave out the one that stops.
    streams = asyncio.create_task(
        load.send_until(stop, daemons[1:], run_s=0.05)
    )
    slow = [
        asyncio.create_task(load.send(daemons[0], run_s=1.5)) for _ in range(6)
    ]
    await invariants.wait_for(lambda: has_started_tasks(fleet, 6))
    status = await daemons[0].terminate()
    replies = await asyncio.gather(*slow)
    stop.set()
    await streams
    assert status == 0
    assert [reply.status for reply in replies] == [200] * 6
    assert not load.unanswered
    await wait_jobs(fleet, jobs, ['done'])
    ledger = await invariants.assert_invariants(
        fleet,
        load.replies,
        expected_fragments=None,
        limits={'pesajes/auction': 100},
    )
    assert len({e.task for e in ledger if e.task in jobs}) == len(jobs)


async def has_started_tasks(fleet, count):
    """Return whether at least ``count`` tasks have started."""
    return len(await fleet.read_ledger()) >= count


@pytest.mark.asyncio
async def test_killed_daemon_loses_no_job(fleet):
    daemons = await harness.start_fleet(fleet)
    load = harness.LoadGenerator(fleet=fleet)
    jobs = await submit_jobs(load, daemons, 90, run_s=0.4)
    assert len(jobs) == 90
    in_flight = [
        asyncio.create_task(load.send(daemons[0], run_s=1.0)) for _ in range(5)
    ]
    await asyncio.sleep(0.3)
    daemons[0].kill()
    await asyncio.gather(*in_flight)
    await wait_jobs(fleet, jobs, ['done', 'parked'])
    states = await find_job_states(fleet, jobs)
    # The workers keep the state of every task: no outcome is unknown.
    assert states.count('done') == 90
    await invariants.assert_invariants(
        fleet, load.replies, limits={'pesajes/auction': 100}
    )


@pytest.mark.asyncio
async def test_paused_daemon_sends_nothing_after_its_lease(fleet):
    """Others use its permits meanwhile; the limit holds after it resumes."""
    limit = 6
    daemons = await harness.start_fleet(fleet, teams=[('auction', 1.0, limit)])
    load = harness.LoadGenerator(fleet=fleet)
    await asyncio.gather(
        *(load.send(daemons[0], run_s=0.2) for _ in range(12))
    )
    waiting = [
        asyncio.create_task(
            load.send(
                daemons[0],
                run_s=0.5,
                headers={'Arbutusrock-Timeout': '60'},
            )
        )
        for _ in range(40)
    ]
    await asyncio.sleep(0.3)
    daemons[0].kill(signal.SIGSTOP)
    await invariants.wait_for(
        lambda: is_removed(fleet, daemons[1], daemons[0].member)
    )
    stop = asyncio.Event()
    streams = asyncio.create_task(
        load.send_until(stop, daemons[1:], streams=12, run_s=0.2)
    )
    await invariants.wait_for(
        lambda: is_running_at_limit(
            fleet, daemons[1], daemons[0].member, limit
        )
    )
    daemons[0].kill(signal.SIGCONT)
    await asyncio.gather(*waiting)
    stop.set()
    await streams
    await invariants.assert_invariants(
        fleet, load.replies, limits={'pesajes/auction': limit}
    )


async def is_removed(fleet, daemon, member):
    status = await fleet.call_api('GET', '/v1/status', at=daemon)
    return member not in [item['member'] for item in status['members']]


async def is_running_at_limit(fleet, daemon, member, limit):
    """Return whether the first team runs ``limit`` tasks."""
    status = await fleet.call_api('GET', '/v1/status', at=daemon)
    return status['teams'][0]['running'] == limit


@pytest.mark.asyncio
async def test_rolling_replacement_loses_no_request_or_job(fleet):
    daemons = await harness.start_fleet(fleet)
    load = harness.LoadGenerator(fleet=fleet)
    jobs = await submit_jobs(load, daemons, 60, run_s=0.3)
    stop = asyncio.Event()
    current = list(daemons)
    streams = asyncio.create_task(send_round_robin(load, fleet, current, stop))
    for index in range(3):
        fresh = await fleet.start_daemon(f'fresh-{index + 1}')
        current.append(fresh)
        old = current.pop(0)
        assert await old.terminate() == 0
    stop.set()
    await streams
    await wait_jobs(fleet, jobs, ['done'])
    assert not load.unanswered
    assert load.count(200) > 20
    await invariants.assert_invariants(
        fleet, load.replies, limits={'pesajes/auction': 100}
    )


async def send_round_robin(load, fleet, daemons, stop):
    """Send to each daemon in turn, like a load balancer.

    :param daemons: the daemons in service; the caller may change the list.
    """
    while not stop.is_set():
        for daemon in list(daemons):
            await load.send(daemon, run_s=0.02)
        await asyncio.sleep(0.02)


@pytest.mark.asyncio
async def test_kill_of_half_the_daemons_loses_no_job(fleet):
    daemons = await harness.start_fleet(
        fleet, daemons=4, teams=[('auction', 1.0, 8)]
    )
    load = harness.LoadGenerator(fleet=fleet)
    jobs = await submit_jobs(load, daemons, 80, run_s=0.3)
    await asyncio.sleep(0.5)
    for daemon in daemons[:2]:
        daemon.kill()
    await wait_jobs(fleet, jobs, ['done'])
    replies = await asyncio.gather(
        *(load.send(daemons[2 + i % 2], run_s=0.1) for i in range(20))
    )
    assert [reply.status for reply in replies] == [200] * 20
    await invariants.assert_invariants(
        fleet, load.replies, limits={'pesajes/auction': 8}
    )


@pytest.mark.parametrize('store', ['up', 'down'])
@pytest.mark.asyncio
async def test_daemons_that_get_sigterm_at_once_do_not_end(fleet, store):
    """Each one waits for what the others have stopped to send.

    A second signal changes nothing, and a store that is away only takes time.
    """
    daemons = await harness.start_fleet(fleet)
    load = harness.LoadGenerator(fleet=fleet)
    await asyncio.gather(*(load.send(item) for item in daemons * 10))
    if store == 'down':
        await fleet.set_platform_faults(down=True)
    stops = [asyncio.create_task(item.terminate()) for item in daemons]
    await asyncio.sleep(0.2)
    daemons[0].kill(signal.SIGTERM)
    assert await asyncio.gather(*stops) == [0, 0, 0]
    for daemon in daemons:
        log = daemon.log.read_text()
        assert '"step": "hand over jobs"' in log
        assert '"unfinished": []' in log
