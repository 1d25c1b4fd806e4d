"""Workers that start again under their id, on stand-ins of the platform."""

import asyncio
import json

import pytest

from arbutusrock.engine.jobs import job_state
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import OTHER_JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_owner
from tests.site_checks import wait_state
from tests.site_checks import wait_until

SHORT_SPEC = json.dumps({'ms': 50})
LASTING_SPEC = json.dumps({'lasts': True})
START_PATHS = frozenset({'/api/run-start'})


@pytest.fixture
async def site():
    """One pool with one VM, whose worker has ended some runs."""
    async with site_checks.open_site({'alpha': 1}) as stand_in:
        await start_nodes(stand_in, 2)
        await stand_in.submit('alpha', JOB, [create_step(12)], spec=SHORT_SPEC)
        await wait_state(stand_in, 'completed')
        yield stand_in


def get_worker(site):
    return next(iter(site.workers.items()))


def find_done(site, job):
    """Return the tasks of a job in the order in which runs of them ended."""
    return [
        run.task
        for run in site.ledger
        if run.task.startswith(job) and run.outcome == 'done'
    ]


async def test_ends_of_a_rebooted_worker_are_not_acknowledged_unread(site):
    """Guards against TWICE: tasks done after a reboot were started again.

    Start orders wait for a connection to a worker that does not answer. It
    starts again under its id. They went to the new incarnation, and its
    completions were acknowledged by the cursor of the former one.
    """
    vm, worker = get_worker(site)
    worker.faults.unresponsive = True
    await site.submit('alpha', OTHER_JOB, [create_step(8)], spec=SHORT_SPEC)
    await asyncio.sleep(0.4)
    await site.reboot_worker(vm, down_s=0.0, silent_s=1.0)
    await wait_state(site, 'completed', OTHER_JOB)
    done = find_done(site, OTHER_JOB)
    assert len(done) == len(set(done)) == 8


async def wait_in_doubt(owner):
    """Wait until start orders were not answered; return their runs."""
    return await wait_until(
        lambda: [
            run
            for state in owner.node.leader.term.fleet.workers.values()
            for run in state.runs.values()
            if run.state is job_state.RunState.IN_DOUBT
        ],
        what='a start order is not answered',
    )


async def carry_out_late(site, vm, run, epoch):
    """Have the worker of a VM receive an order to a former incarnation."""
    worker = site.workers[vm]
    async with site.session.post(
        f'http://{site.get_worker_address(vm)}/api/run-start',
        headers={'Arbutusrock-Expected-Instance': worker.worker_id},
        json={
            'task': run.name,
            'run': run.number,
            'spec': SHORT_SPEC,
            'deadlineMs': 60_000,
            'fenceToken': epoch,
        },
    ) as answer:
        await answer.read()


@pytest.mark.parametrize('late_s', [0.0, 1.5])
@pytest.mark.parametrize('lose_owner', [False, True])
async def test_late_order_to_a_rebooted_worker_does_not_repeat_a_task(
    site, lose_owner, late_s
):
    """Guards against TWICE: an order is carried out after a reboot."""
    vm, worker = get_worker(site)
    worker.faults.paths = START_PATHS
    worker.faults.unresponsive = True
    await site.submit('alpha', OTHER_JOB, [create_step(2)], spec=SHORT_SPEC)
    owner = await wait_owner(site)
    runs = await wait_in_doubt(owner)
    epoch = owner.node.leader.term.epoch
    await site.reboot_worker(vm, down_s=0.1, silent_s=0.6)
    if lose_owner:
        await site.kill_node(owner)
    await asyncio.sleep(late_s)
    for run in runs:
        await carry_out_late(site, vm, run, epoch)
    await wait_state(site, 'completed', OTHER_JOB)
    await asyncio.sleep(0.3)
    done = find_done(site, OTHER_JOB)
    assert len(done) == len(set(done)) == 2


@pytest.fixture
async def pair():
    """One pool with two VMs, which a job that lasts keeps switched on."""
    async with site_checks.open_site({'alpha': 2}) as stand_in:
        await start_nodes(stand_in, 2)
        step = create_step(2, longRunning=True, antiAffinity=1)
        await stand_in.submit('alpha', JOB, [step], spec=LASTING_SPEC)
        await wait_until(
            lambda: len(stand_in.ledger) == 2, what='both VMs are in use'
        )
        yield stand_in


async def submit_unanswered(site):
    """Hand in a job of one task whose first start order gets no answer.

    :returns: the run, its VM and the fencing token of the order.
    """
    for worker in site.workers.values():
        worker.faults.paths = START_PATHS
        worker.faults.unresponsive = True
    await site.submit('alpha', OTHER_JOB, [create_step(1)], spec=SHORT_SPEC)
    owner = await wait_owner(site)
    (run,) = await wait_in_doubt(owner)
    vm = run.worker.vm
    for name, worker in site.workers.items():
        if name != vm:
            worker.faults.clear()
    return run, vm, owner.node.leader.term.epoch


async def check_late_order(site, vm, run, epoch):
    """Carry an order out late, and check that its task is not run for it."""
    await asyncio.sleep(0.5)
    await carry_out_late(site, vm, run, epoch)
    await asyncio.sleep(0.5)
    runs = [item.run for item in site.ledger if item.task == run.name]
    assert run.number not in runs


@pytest.mark.parametrize('unregister', [False, True])
@pytest.mark.parametrize('lose_owner', [False, True])
async def test_late_order_to_a_worker_that_was_down_for_longer_than_its_lease(
    pair, lose_owner, unregister
):
    """Guards against TWICE: the task has ended elsewhere meanwhile."""
    run, vm, epoch = await submit_unanswered(pair)
    power_on = await pair.power_off(vm, unregister=unregister)
    await wait_state(pair, 'completed', OTHER_JOB)
    if lose_owner:
        await pair.kill_node(await wait_owner(pair))
        await wait_owner(pair)
    await power_on()
    await check_late_order(pair, vm, run, epoch)


async def test_late_order_that_was_revoked_before_its_worker_is_rebooted(pair):
    """Guards against TWICE: a reboot makes a worker forget the stop order."""
    run, vm, epoch = await submit_unanswered(pair)
    pair.workers[vm].faults.clear()
    await wait_state(pair, 'completed', OTHER_JOB)
    await pair.reboot_worker(vm, down_s=0.1, silent_s=0.1)
    await check_late_order(pair, vm, run, epoch)


@pytest.mark.parametrize('reboots', [1, 2])
async def test_late_order_for_a_job_that_was_cancelled(pair, reboots):
    """Guards against UNASKED: its worker is down when the job is cancelled."""
    run, vm, epoch = await submit_unanswered(pair)
    power_on = await pair.power_off(vm, unregister=True)
    status, _ = await pair.call('DELETE', 'alpha', OTHER_JOB)
    assert status == 200
    await asyncio.sleep(1.0)
    await power_on()
    for _ in range(reboots - 1):
        await asyncio.sleep(0.5)
        await pair.reboot_worker(vm, down_s=0.1, silent_s=0.1)
    await check_late_order(pair, vm, run, epoch)
