"""VMs are drained, moved and maintained in waves under load."""

import asyncio
import time

import pytest

from tests import harness
from tests import invariants

MAX_START_AFTER_DRAIN_S = 3.0


def now_s():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def find_vm(fleet, name):
    return await fleet.call_api('GET', f'/v1/objects/vm/{name}')


@pytest.mark.asyncio
async def test_vm_moves_between_pools_under_load(fleet):
    daemons = await harness.start_fleet(fleet)
    load = harness.LoadGenerator(fleet=fleet)
    stop = asyncio.Event()
    streams = asyncio.create_task(
        load.send_until(stop, daemons, streams=16, run_s=0.1)
    )
    slow = [
        asyncio.create_task(load.send(daemons[i % 3], run_s=2.0))
        for i in range(9)
    ]
    await invariants.wait_for(lambda: load.count(200) > 20)
    await fleet.apply_change('POST', '/v1/vms/w1/move/spare')
    in_force_at_s = now_s()

    async def has_moved():
        return (await find_vm(fleet, 'w1'))['pool'] == 'spare'

    await invariants.wait_for(has_moved)
    ledger = await fleet.read_ledger('w1')
    assert not [e for e in ledger if e.outcome == 'running']
    await asyncio.gather(*slow)
    stop.set()
    await streams
    vm = await find_vm(fleet, 'w1')
    assert (vm['state'], vm['pool'], vm['next_pool']) == (
        'serving',
        'spare',
        '',
    )
    assert {reply.status for reply in load.replies.values()} == {200}
    assert not load.unanswered
    ledger = await invariants.assert_invariants(
        fleet, load.replies, expected_fragments=load.expected_fragments
    )
    assert not invariants.check_no_starts_after(
        ledger, 'w1', in_force_at_s, MAX_START_AFTER_DRAIN_S
    )
    trail = await fleet.call_api(
        'GET', '/v1/audit', query={'subject': 'vm/w1'}
    )
    assert [entry['action'] for entry in trail] == [
        'apply fleet',
        'move vm',
        'carry on vm/w1',
    ]


@pytest.mark.asyncio
async def test_move_completes_after_its_node_is_killed(fleet):
    daemons = await harness.start_fleet(fleet)
    load = harness.LoadGenerator(fleet=fleet)
    slow = asyncio.create_task(load.send(daemons[1], run_s=2.5))
    await invariants.wait_for(lambda: has_started_tasks(fleet))
    worker = (await fleet.read_ledger())[0].worker
    view = await fleet.call_api(
        'POST', f'/v1/vms/{worker}/move/spare', at=daemons[0]
    )
    assert view['version']
    daemons[0].kill()
    assert (await slow).status == 200

    async def has_moved():
        vm = await find_vm(fleet, worker)
        return (vm['pool'], vm['state']) == ('spare', 'serving')

    await invariants.wait_for(has_moved)
    await invariants.assert_invariants(
        fleet, load.replies, expected_fragments=load.expected_fragments
    )


async def has_started_tasks(fleet):
    """Return whether any task has started."""
    return bool(await fleet.read_ledger())


@pytest.mark.asyncio
async def test_concurrent_changes_of_one_vm_accept_one(fleet):
    daemons = await harness.start_fleet(fleet)
    replies = await asyncio.gather(
        fleet.try_call_api('POST', '/v1/vms/w1/move/spare', at=daemons[0]),
        fleet.try_call_api('POST', '/v1/vms/w1/drain', at=daemons[1]),
        fleet.try_call_api('POST', '/v1/vms/w1/move/spare', at=daemons[2]),
    )
    codes = sorted(reply.code for reply in replies)
    assert codes in ([0, 703, 703], [0, 702, 703], [0, 702, 702])


@pytest.mark.asyncio
async def test_budget_refuses_a_second_drain(fleet):
    await harness.start_fleet(fleet)
    await fleet.apply_change('POST', '/v1/vms/w1/drain')
    reply = await fleet.try_call_api('POST', '/v1/vms/w2/drain')
    assert reply.code == 702
    assert 'w1' in reply.problem['detail']

    async def is_drained():
        return (await find_vm(fleet, 'w1'))['state'] == 'drained'

    await invariants.wait_for(is_drained)
    await fleet.apply_change('POST', '/v1/vms/w1/return')
    await fleet.apply_change('POST', '/v1/vms/w2/drain')


@pytest.mark.asyncio
async def test_rack_wave_keeps_pool_budget_after_node_kill(fleet):
    racks = ['rack-1', 'rack-1', 'rack-2', 'rack-2', 'rack-1']
    daemons = await harness.start_fleet(
        fleet, workers=5, racks=racks, max_unavailable=2
    )
    load = harness.LoadGenerator(fleet=fleet)
    stop = asyncio.Event()
    streams = asyncio.create_task(
        load.send_until(stop, daemons, streams=20, run_s=0.1)
    )
    snapshots = []
    watcher = asyncio.create_task(
        record_out_of_service_vms(fleet, stop, snapshots)
    )
    await fleet.call_api(
        'POST', '/v1/waves', data='{"wave": "night", "rack": "rack-1"}'
    )

    async def is_known_everywhere():
        replies = [
            await fleet.try_call_api(
                'GET', '/v1/objects/wave/night', at=daemon
            )
            for daemon in daemons
        ]
        return all(reply.status == 200 for reply in replies)

    # One daemon is killed during the wave.
    await invariants.wait_for(is_known_everywhere)
    await invariants.wait_for(lambda: any(snapshots))
    daemons[0].kill()

    async def is_done():
        wave = await fleet.call_api('GET', '/v1/objects/wave/night')
        return wave['state'] == 'done'

    await invariants.wait_for(is_done)
    stop.set()
    await asyncio.gather(streams, watcher)
    wave = await fleet.call_api('GET', '/v1/objects/wave/night')
    assert sorted(wave['done']) == ['w1', 'w2', 'w5']
    assert max(len(out) for out in snapshots) <= 2
    for name in racks and ['w1', 'w2', 'w3', 'w4', 'w5']:
        assert (await find_vm(fleet, name))['state'] == 'serving'
    failures = [r for r in load.replies.values() if r.status != 200]
    assert not failures
    await invariants.assert_invariants(
        fleet, load.replies, expected_fragments=load.expected_fragments
    )


async def record_out_of_service_vms(fleet, stop, snapshots):
    """Append the VMs out of service to ``snapshots`` until ``stop``."""
    while not stop.is_set():
        found = await fleet.call_api('GET', '/v1/objects/vm')
        snapshots.append(
            [vm['vm'] for vm in found if vm['state'] != 'serving']
        )
        await asyncio.sleep(0.05)


@pytest.mark.asyncio
async def test_wave_waits_while_failures_use_the_budget(fleet):
    await harness.start_fleet(fleet, workers=4, max_unavailable=1)
    await fleet.control_platform('/control/vm/w4/gone')

    async def is_noticed():
        status = await fleet.call_api('GET', '/v1/status')
        pool = next(p for p in status['pools'] if p['pool'] == 'scales')
        return pool['unavailable'] == ['w4']

    await invariants.wait_for(is_noticed)
    await fleet.call_api(
        'POST', '/v1/waves', data='{"wave": "dawn", "vms": ["w1"]}'
    )
    await asyncio.sleep(3)
    assert (await find_vm(fleet, 'w1'))['state'] == 'serving'
    explanation = await fleet.call_api('GET', '/v1/explain/wave/dawn')
    assert 'w4' in ' '.join(explanation['now'])
    await fleet.control_platform('/control/vm/w4/live')

    async def is_done():
        wave = await fleet.call_api('GET', '/v1/objects/wave/dawn')
        return wave['state'] == 'done'

    await invariants.wait_for(is_done)


@pytest.mark.asyncio
async def test_drain_is_refused_while_store_is_down(fleet):
    await harness.start_fleet(fleet, workers=2)
    await fleet.call_api(
        'POST', '/v1/waves', data='{"wave": "dusk", "vms": ["w1"]}'
    )
    await fleet.call_api('POST', '/v1/waves/dusk/pause')
    await fleet.set_platform_faults(down=True)
    reply = await fleet.try_call_api('POST', '/v1/vms/w2/drain')
    assert reply.code == 403
    await fleet.set_platform_faults()
    assert (await find_vm(fleet, 'w2'))['state'] == 'serving'
    await fleet.call_api('POST', '/v1/waves/dusk/resume')


@pytest.mark.asyncio
async def test_draining_upstream_gets_no_new_work(fleet):
    """It refuses new tasks itself; the VM list is 30 s behind."""
    daemons = await harness.start_fleet(fleet)
    await fleet.set_platform_faults(list_lag_s=30.0)
    load = harness.LoadGenerator(fleet=fleet)
    stop = asyncio.Event()
    streams = asyncio.create_task(
        load.send_until(stop, daemons, streams=12, run_s=0.05)
    )
    await invariants.wait_for(lambda: load.count(200) > 30)
    await fleet.set_worker_mode('w2', draining=True)
    at_s = now_s()
    enough = load.count(200) + 200
    await invariants.wait_for(lambda: load.count(200) > enough)
    stop.set()
    await streams
    assert {reply.status for reply in load.replies.values()} == {200}
    ledger = await invariants.assert_invariants(
        fleet, load.replies, expected_fragments=load.expected_fragments
    )
    assert not invariants.check_no_starts_after(ledger, 'w2', at_s, 1.0)


@pytest.mark.asyncio
async def test_always_failing_worker_is_ejected(fleet):
    daemons = await harness.start_fleet(fleet, workers=4)
    await fleet.set_worker_mode('w3', failing=True)
    load = harness.LoadGenerator(fleet=fleet)
    for _ in range(10):
        await asyncio.gather(
            *(load.send(daemons[i % 3], run_s=0.02) for i in range(24))
        )
    ledger = await fleet.read_ledger()
    failed = [entry for entry in ledger if entry.worker == 'w3']
    # Each node ejects the worker after three consecutive failures, with
    # several requests in flight.
    assert len(failed) <= 40
    assert load.count(200) >= 200
    assert not invariants.check_at_most_once(ledger)
