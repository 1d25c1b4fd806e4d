"""Planned changes of owner, one and in series, beside workers out of reach."""

import asyncio
import json

import pytest

from arbutusrock.utils import clocks
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import OTHER_JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_owner
from tests.site_checks import wait_until

LASTING_SPEC = json.dumps({'lasts': True})
NODES = 4
TASKS = 4
# An owner that does not know what may run waits for 7 s.
MAX_WAIT_S = 1.5
# Time from the release to the next owner's first start.
MAX_FIRST_START_S = 0.5
THIRD_JOB = '00000000000000c3'


@pytest.fixture
async def site():
    """One pool with three VMs, two of which have a lasting task each."""
    async with site_checks.open_site({'alpha': 3}) as stand_in:
        await start_nodes(stand_in, NODES)
        lasting = create_step(2, longRunning=True, antiAffinity=1)
        await stand_in.submit('alpha', OTHER_JOB, [lasting], spec=LASTING_SPEC)
        await wait_until(
            lambda: len(list_running(stand_in)) == 2, what='it is at work'
        )
        yield stand_in


def list_running(site):
    return [run for run in site.ledger if run.ended_at_s is None]


def count_starts(site, job):
    return sum(run.task.startswith(job) for run in site.ledger)


async def stop_node(site, node):
    """Stop a node as its operator does."""
    await node.node.hand_over()
    await site.kill_node(node)


@pytest.mark.parametrize('changes', [1, 3])
@pytest.mark.parametrize('unregister', [False, True])
async def test_accepted_job_waits_for_no_worker_that_does_not_have_it(
    site, changes, unregister
):
    """Guards against LOST: a pool waited for each worker, for each owner.

    The task that may run out of reach is not started before its lease ends.
    """
    owner = await wait_owner(site)
    # The job is accepted, but this owner does not come to start it.
    owner.node.leader.term.stopping = True
    await site.submit('alpha', JOB, [create_step(TASKS)])
    dark = next(item for item in site.workers.values() if item.running)
    (held,) = dark.running.values()
    dark.faults.unresponsive = True
    if unregister:
        vm = next(vm for vm, item in site.workers.items() if item is dark)
        site._worker_tasks[vm][0][1].cancel()
        await site.store.put('servers', dark.worker_id, None)
    for _ in range(changes):
        await stop_node(site, owner)
        owner = await wait_owner(site)
        if changes > 1:
            owner.node.leader.term.stopping = True
    owner.node.leader.term.stopping = False
    began_at_s = clocks.now_s()
    await wait_until(
        lambda: count_starts(site, JOB) == TASKS, what='all tasks start'
    )
    assert clocks.now_s() - began_at_s < MAX_WAIT_S
    assert held.ended_at_s is None
    await wait_until(
        lambda: len([run for run in site.ledger if run.task == held.task]) > 1,
        what='the task that was out of reach is started again',
    )
    assert held.outcome == 'lapsed'


async def test_planned_change_passes_over_nodes_that_stop(site):
    """Guards against a unit that is released to nobody, or to such nodes.

    The next owner's first start follows the release within half a second.
    """
    owner = await wait_owner(site)
    others = [node for node in site.nodes if node is not owner]
    await wait_until(
        lambda: len(owner.node.peers.addresses) == NODES - 1,
        what='the owner knows the other nodes',
    )
    chosen = others.pop()
    for node in others:
        await node.node.hand_over()
    chosen.node.stopping = True
    handing_over = asyncio.ensure_future(owner.node.hand_over())
    await asyncio.sleep(0.5)
    assert owner.is_owner
    assert not handing_over.done()
    # The owner goes on meanwhile.
    await site.submit('alpha', JOB, [create_step(TASKS)], node=chosen)
    await wait_until(
        lambda: count_starts(site, JOB) == TASKS, what='all tasks start'
    )
    chosen.node.stopping = False
    await handing_over
    released_at_s = clocks.now_s()
    await site.submit('alpha', THIRD_JOB, [create_step(1)], node=chosen)
    await wait_until(
        lambda: count_starts(site, THIRD_JOB) == 1, what='the task starts'
    )
    assert clocks.now_s() - released_at_s < MAX_FIRST_START_S
    assert chosen.is_owner
