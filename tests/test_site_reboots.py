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
    runs = await wait_until(
        lambda: [
            run
            for state in owner.node.leader.term.fleet.workers.values()
            for run in state.runs.values()
            if run.state is job_state.RunState.IN_DOUBT
        ],
        what='a start order is not answered',
    )
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
