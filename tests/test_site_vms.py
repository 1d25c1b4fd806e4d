"""Pools, waves and draining workers, on stand-ins of the platform."""

import pytest

from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_owner
from tests.site_checks import wait_state
from tests.site_checks import wait_until

# A task with this spec runs until it is stopped.
LASTING_SPEC = '{"lasts": 1}'


@pytest.fixture
async def site():
    """Two pools, of which beta is mostly idle, and two VMs that are off."""
    async with site_checks.open_site(
        {'alpha': 2, 'beta': 4, 'spare': 2}
    ) as stand_in:
        yield stand_in


def count_pool(site, pool):
    """Return the number of VMs in a pool."""
    return sum(1 for vm in site.vm_service.vms.values() if vm['pool'] == pool)


async def test_idle_vms_are_switched_off(site):
    await start_nodes(site, 1)
    await wait_until(
        lambda: count_pool(site, 'beta') == 1, what='one VM is kept'
    )


async def test_burst_brings_idle_vms_into_the_pool(site):
    await start_nodes(site, 1)
    for number in range(12):
        await site.submit(
            'alpha',
            f'{number:016x}',
            [create_step(6, cpu=4000, estimateMs=1000)],
            spec='{"ms": 1000}',
        )
    await wait_until(
        lambda: count_pool(site, 'alpha') >= 5,
        what='VMs join the pool of the burst',
    )
    for number in range(12):
        await wait_state(site, 'completed', f'{number:016x}')


async def test_wave_respects_max_down_across_takeover(site):
    nodes = await start_nodes(site, 2)
    step = create_step(2, longRunning=True, mayMiss=1, antiAffinity=1)
    await site.submit('alpha', JOB, [step], spec=LASTING_SPEC)
    await wait_until(lambda: len(site.ledger) == 2, what='both tasks start')
    names = sorted(site.vm_service.vms)
    await site.order_wave(1, names, duration_s=30, max_down=2)
    await wait_until(
        lambda: len(site.vm_service.maintained_vms.get(1, ())) >= 2,
        what='the wave has begun',
    )
    await site.kill_node(next(node for node in nodes if node.is_owner))
    await wait_owner(site)
    await wait_until(
        lambda: site.get_wave_state(1) == 'completed', what='the wave ends'
    )
    assert site.vm_service.maintained_vms[1] == set(names)
    assert site.vm_service.peak_down <= 2
    fences = {}
    for _, vm, holder, fence in site.vm_service.orders:
        assert fence >= fences.get(vm, (0, ''))[0]
        fences[vm] = (fence, holder)


async def test_wave_respects_max_down_with_lagging_vm_list(site):
    """The list of VMs shows a VM as up for a while after it went down."""
    site.vm_service.move_s = 1.5
    site.vm_service.list_lag_s = 0.9
    await start_nodes(site, 1, maintenance_s=1.5)
    names = sorted(site.vm_service.vms)
    await site.order_wave(1, names, duration_s=20, max_down=2)
    await wait_until(
        lambda: site.get_wave_state(1) == 'completed',
        what='the wave ends',
        timeout_s=40,
    )
    assert site.vm_service.peak_down <= 2


async def test_wave_maintains_vm_that_a_list_lacked(site):
    """A list is read in pages, so it may lack a VM that moves meanwhile.

    On a day with 276 VMs a wave was reported as completed although one of
    them had not begun its maintenance.
    """
    await start_nodes(site, 1)
    names = sorted(site.vm_service.vms)
    await wait_until(
        lambda: count_pool(site, 'beta') == 1, what='the pools are at rest'
    )
    site.vm_service.hidden_vms = {names[0]}
    await site.order_wave(1, names, duration_s=20, max_down=2)
    await wait_until(
        lambda: len(site.vm_service.maintained_vms.get(1, ())) >= 4,
        what='most of the wave is maintained',
    )
    site.vm_service.hidden_vms = set()
    await wait_until(
        lambda: site.get_wave_state(1) == 'completed', what='the wave ends'
    )
    assert site.vm_service.maintained_vms[1] == set(names)


async def test_wave_ends_without_a_vm_that_is_gone(site):
    await start_nodes(site, 1)
    names = sorted(site.vm_service.vms)
    await site.order_wave(1, ['no-such-vm', *names], duration_s=20, max_down=2)
    await wait_until(
        lambda: site.get_wave_state(1) == 'completed', what='the wave ends'
    )
    assert site.vm_service.maintained_vms[1] == set(names)


async def test_wave_respects_disruption_budget_of_serving_step(site):
    await start_nodes(site, 1)
    step = create_step(3, longRunning=True, mayMiss=1)
    await site.submit('beta', JOB, [step], spec=LASTING_SPEC)
    await wait_until(lambda: len(site.ledger) == 3, what='all tasks start')
    names = [name for name in site.vm_service.vms if 'beta' in name]
    await site.order_wave(1, names, duration_s=20, max_down=1)
    await wait_until(
        lambda: site.get_wave_state(1) == 'completed', what='the wave ends'
    )
    ended_at = sorted(
        line.ended_at_s for line in site.ledger if line.ended_at_s
    )
    for ended_at_s in ended_at:
        running = [
            line
            for line in site.ledger
            if line.started_at_s < ended_at_s
            and (not line.ended_at_s or line.ended_at_s > ended_at_s)
        ]
        assert len(running) >= 2


async def test_draining_worker_is_evacuated(site):
    await start_nodes(site, 1)
    step = create_step(2, longRunning=True, mayMiss=1)
    await site.submit('alpha', JOB, [step], spec=LASTING_SPEC)
    await wait_until(lambda: len(site.ledger) == 2, what='both tasks start')
    vm = next(vm for vm, item in site.workers.items() if item.running)
    worker = site.workers[vm]
    tasks, runner = site._worker_tasks[vm]
    tasks[1].cancel()
    address = f'127.0.0.1:{runner.addresses[0][1]}'
    await site.register_worker(
        vm, 'alpha', worker, address, state='draining', remainingMs=2000
    )
    await wait_until(
        lambda: not worker.running, what='the worker is evacuated'
    )
    await wait_until(
        lambda: sum(len(w.running) for w in site.workers.values()) == 2,
        what='both tasks run again',
    )


def list_job_lines(site):
    """Return the ledger lines of the tasks of :data:`JOB`."""
    return [line for line in site.ledger if line.task.startswith(JOB)]


async def test_checkpointing_tasks_leave_vms_for_a_burst(site):
    """Alpha is short of VMs while each VM of beta runs a long task.

    The tasks write checkpoints, so they may be stopped and go on elsewhere.
    """
    await start_nodes(site, 1)
    # These tasks leave one core free on each VM, so that each VM gets one of
    # the long tasks.
    await site.submit(
        'beta',
        'f' * 16,
        [create_step(4, cpu=7000, estimateMs=600)],
        spec='{"ms": 600}',
    )
    await site.submit(
        'beta',
        JOB,
        [create_step(4, estimateMs=30000, checkpointing=True)],
        spec='{"ms": 30000}',
    )
    await wait_until(
        lambda: len(site.ledger) == 8, what='all tasks of beta start'
    )
    await wait_state(site, 'completed', 'f' * 16, 'beta')
    for number in range(24):
        await site.submit(
            'alpha',
            f'{number:016x}',
            [create_step(6, cpu=4000, estimateMs=2000)],
            spec='{"ms": 2000}',
        )
    await wait_until(
        lambda: count_pool(site, 'beta') <= 2, what='VMs leave beta'
    )
    assert {line.outcome for line in list_job_lines(site)} <= {'stopped', None}
    await wait_until(
        lambda: (
            sum(line.outcome is None for line in list_job_lines(site)) == 4
        ),
        what='all four tasks run again',
    )
