"""Connection faults at each point of the exchange with a worker.

Whatever fails, a request must get its own complete answer or an error, and
must not run twice.
"""

import asyncio

import pytest

from examples.standins import proxy
from tests import harness
from tests import invariants

FAULTS_BY_POINT = {
    'connection refused': proxy.LinkFaults(refuse=True),
    'before the first request byte': proxy.LinkFaults(
        reset_after_request_bytes=0
    ),
    'inside the request head': proxy.LinkFaults(reset_after_request_bytes=40),
    'after the whole request': proxy.LinkFaults(reset_after_answer_bytes=0),
    'inside the answer head': proxy.LinkFaults(reset_after_answer_bytes=30),
    'inside the answer body': proxy.LinkFaults(reset_after_answer_bytes=260),
    'request dropped': proxy.LinkFaults(drop_requests=True),
    'answer dropped': proxy.LinkFaults(drop_answers=True),
    'answers swapped': proxy.LinkFaults(swap_answers=True),
}
REQUESTS_PER_POINT = 8


@pytest.mark.asyncio
@pytest.mark.parametrize('plain', [False, True], ids=['tasks', 'http'])
async def test_connection_faults_leave_no_request_unanswered(fleet, plain):
    (daemon,) = await harness.start_fleet(
        fleet, daemons=1, workers=2, plain=plain, behind_proxy=True
    )
    load = harness.LoadGenerator(fleet=fleet)
    statuses_by_point = {}
    for point, faults in FAULTS_BY_POINT.items():
        if plain and faults.swap_answers:
            # A plain upstream echoes nothing that identifies the request, so
            # that a swapped answer cannot be detected.
            continue
        before = set(load.replies)
        for item in fleet.proxies.values():
            item.reset_all()
            item.faults = faults
            item.faults.connections_left = REQUESTS_PER_POINT
        await asyncio.gather(
            *(
                load.send(
                    daemon,
                    run_s=0.05,
                    data=b'crate',
                    headers={'Arbutusrock-Timeout': '12'},
                )
                for _ in range(REQUESTS_PER_POINT)
            )
        )
        for item in fleet.proxies.values():
            item.faults = proxy.LinkFaults()
        await wait_for_recovery(fleet, load, daemon)
        statuses_by_point[point] = {
            load.replies[mark].status for mark in load.replies.keys() - before
        }
    assert not load.unanswered
    for point, statuses in statuses_by_point.items():
        assert 200 in statuses, f'{point}: {statuses}'
    await invariants.assert_invariants(
        fleet,
        load.replies,
        expected_fragments=load.expected_fragments,
        limits={'pesajes/auction': 100},
    )


async def wait_for_recovery(fleet, load, daemon):
    """Wait until a request succeeds: ejected workers are in use again."""

    async def is_served():
        reply = await load.send(daemon)
        return reply is not None and reply.status == 200

    await invariants.wait_for(is_served)


@pytest.mark.asyncio
async def test_delayed_answers_reach_their_requests_intact(fleet):
    daemons = await harness.start_fleet(fleet, workers=2, behind_proxy=True)
    for item in fleet.proxies.values():
        item.faults = proxy.LinkFaults(delay_s=0.4)
    load = harness.LoadGenerator(fleet=fleet)
    await asyncio.gather(
        *(
            load.send(daemons[i % 3], path='/big', data=b'z' * 3000 * i)
            for i in range(40)
        )
    )
    assert load.count(200) == 40
    await invariants.assert_invariants(
        fleet, load.replies, expected_fragments=load.expected_fragments
    )


@pytest.mark.asyncio
async def test_slow_task_completes_beyond_read_timeout(fleet):
    """A task may run longer than the read timeout and the task lease.

    The daemon asks the worker for the outcome, which tells a slow task from a
    broken connection and renews the lease.
    """
    (daemon,) = await harness.start_fleet(
        fleet, daemons=1, workers=1, behind_proxy=True
    )
    load = harness.LoadGenerator(fleet=fleet)
    # Longer than the read timeout of 1 s and the task lease of 4 s.
    reply = await load.send(daemon, run_s=6.0)
    assert reply.status == 200
    await invariants.assert_invariants(
        fleet, load.replies, expected_fragments=load.expected_fragments
    )


@pytest.mark.asyncio
async def test_large_answer_is_complete_or_aborted(fleet):
    (daemon,) = await harness.start_fleet(
        fleet, daemons=1, workers=1, behind_proxy=True
    )
    load = harness.LoadGenerator(fleet=fleet)
    size = 3 << 20
    reply = await load.send(daemon, path='/large', data=b'q' * size)
    assert reply.status == 200
    assert reply.body.endswith(b'q' * size)
    fleet.proxies['w1'].reset_all()
    fleet.proxies['w1'].faults = proxy.LinkFaults(
        reset_after_answer_bytes=2 << 20, connections_left=1
    )
    reply = await load.send(daemon, path='/large', data=b'q' * size)
    assert reply is None
    assert load.unanswered
    fleet.proxies['w1'].faults = proxy.LinkFaults()
    assert (await load.send(daemon)).status == 200
    await invariants.assert_invariants(
        fleet, load.replies, expected_fragments=load.expected_fragments
    )


@pytest.mark.asyncio
async def test_caller_disconnect_frees_slot_and_permit(fleet):
    (daemon,) = await harness.start_fleet(
        fleet, daemons=1, workers=1, teams=[('auction', 1.0, 2)]
    )
    load = harness.LoadGenerator(fleet=fleet)
    tasks = [
        asyncio.create_task(load.send(daemon, run_s=30.0)) for _ in range(4)
    ]
    await invariants.wait_for(lambda: has_started_tasks(fleet, 2))
    for task in tasks:
        task.cancel()
    reply = await load.send(daemon)
    assert reply.status == 200
    ledger = await invariants.assert_invariants(
        fleet, load.replies, limits={'pesajes/auction': 2}
    )
    assert len(ledger) == 3


async def has_started_tasks(fleet, count):
    """Return whether at least ``count`` tasks have started."""
    return len(await fleet.read_ledger()) >= count
