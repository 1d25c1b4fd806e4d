"""An owner and a next owner, each with workers that the other cannot reach."""

import asyncio
import functools

import pytest

from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.term import term as term_module
from arbutusrock.scheduling import lease_bounds
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import wait_until

TASKS = 4
# How long an unreachable worker leaves a call without an answer.
SILENCE_S = 0.5


@pytest.fixture
async def site():
    """Any two VMs have room for all tasks of the job."""
    async with site_checks.open_site({'alpha': 3}) as stand_in:
        yield stand_in


class UnreachableWorker:
    """Client of a worker that no call reaches."""

    async def _call(self, *_arguments, **_fields):
        await asyncio.sleep(SILENCE_S)
        return platform_messages.OrderReply(
            outcome=platform_messages.OrderOutcome.UNKNOWN
        )

    renew_lease = start_run = stop_run = set_run_pace = _call

    async def close(self):
        """Close nothing."""


def create_worker_client(create, unreachable, entry):
    """Return the client of a worker, which may be unreachable."""
    if entry.worker_id == unreachable:
        return UnreachableWorker()
    return create(entry)


def list_running(site):
    return [run for run in site.ledger if run.ended_at_s is None]


async def start_partition(site, link):
    """Run a lasting job under an owner, then cut the owner off.

    It still reaches one worker, which has runs; the other node reaches the
    store and all other workers. So no worker can refuse the earlier owner.

    :returns: ``(next owner, tasks on the worker that it does not reach)``.
    """
    owner = await site.start_node('n1', store=f'127.0.0.1:{link.port}')
    await site_checks.wait_configured(owner)
    await site_checks.wait_owner(site)
    other = await site.start_node('n2')
    await site_checks.wait_configured(other)
    step = create_step(TASKS, cpu=2500, longRunning=True)
    status = await site.submit(
        'alpha', JOB, [step], spec='{"lasts": 1}', node=other
    )
    assert status == 200
    await wait_until(
        lambda: len(list_running(site)) == TASKS, what='all tasks run'
    )
    held_by_owner = list_running(site)[0].worker_id
    other.adapter.create_worker_client = functools.partial(
        create_worker_client,
        other.adapter.create_worker_client,
        held_by_owner,
    )
    for worker_id, worker_link in owner.node.leader.links.items():
        if worker_id != held_by_owner:
            worker_link.client = UnreachableWorker()
    # Neither the store nor the other node answers the owner.
    owner.node.peers.addresses = {}
    link.faults.drop_requests = link.faults.drop_answers = True
    return other, {
        run.task
        for run in list_running(site)
        if run.worker_id == held_by_owner
    }


async def test_partitioned_owner_runs_tasks_beside_the_next_owner(site, link):
    """Guards against TWICE (review/1).

    The owner went on extending leases, and started the tasks of the worker
    that it had lost, while the next owner started those of its workers.
    """
    other, tasks = await start_partition(site, link)
    await wait_until(lambda: other.is_owner, what='the other node is owner')
    term = other.node.leader.term
    begun_runs = term.epoch * term_module.RUNS_PER_EPOCH
    await wait_until(
        lambda: (
            tasks <= {run.task for run in site.ledger if run.run > begun_runs}
        ),
        what='the next owner has started the tasks that it has lost',
        timeout_s=2 * lease_bounds.compute_inherited_wait_s(term.lease_s),
    )
    # The earlier owner goes on.
    await asyncio.sleep(1.0)
    assert len({run.task for run in list_running(site)}) == TASKS
    site_checks.check_ledger(site.ledger)
