"""Workers whose capacity shrinks and grows, on stand-ins of the platform."""

import asyncio

import pytest

from arbutusrock.engine.workers import registration_controller
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import OTHER_JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_state
from tests.site_checks import wait_until

# The registrations of all workers are read again within this time.
REPORT_S = 1.0


@pytest.fixture
async def site():
    """One pool with one VM of 8 cores."""
    async with site_checks.open_site({'alpha': 1}) as stand_in:
        yield stand_in


async def shrink(site, cores):
    """Change the capacity of the VM; wait until its worker has reported it."""
    site.set_millicores('m-alpha-0', cores * 1000)
    await asyncio.sleep(REPORT_S)


async def test_tasks_start_on_worker_that_shrank(site):
    await start_nodes(site, 1)
    await site.submit('alpha', JOB, [create_step(6)], spec='{"ms": 3000}')
    await wait_until(lambda: len(site.ledger) == 6, what='the job starts')
    await shrink(site, 4)
    await site.submit('alpha', OTHER_JOB, [create_step(4)], spec='{"ms": 50}')
    await asyncio.sleep(0.5)
    assert len(site.ledger) == 6
    await wait_state(site, 'completed', OTHER_JOB)
    first_end_s = min(run.ended_at_s for run in site.ledger)
    assert min(run.started_at_s for run in site.ledger[6:]) > first_end_s


async def test_tasks_start_on_worker_that_shrank_to_nothing(site):
    """The entry of such a worker must not be taken for an invalid one."""
    await start_nodes(site, 1)
    await shrink(site, 0)
    await site.submit('alpha', JOB, [create_step(1)])
    await asyncio.sleep(REPORT_S)
    assert not site.ledger
    site.set_millicores('m-alpha-0', 8000)
    await wait_state(site, 'completed')


async def test_tasks_start_on_worker_that_shrank_while_store_is_silent(site):
    """Its report cannot be read; the list of VMs shows the capacity too."""
    (node,) = await start_nodes(site, 1)
    steps = [create_step(1), create_step(4, after=[0])]
    await site.submit('alpha', JOB, steps, spec='{"ms": 4500}')
    await wait_until(lambda: site.ledger, what='step 0 starts')
    site.store.faults.unresponsive = True
    # A call that the store already holds would still be answered.
    await asyncio.sleep(registration_controller.WATCH_TIMEOUT_S + 0.5)
    await shrink(site, 2)
    registry = node.node.leader.vm_controller.vm_registry
    await wait_until(
        lambda: registry.vms['m-alpha-0'].entry.capacity.cpu == 2000,
        what='the list shows the capacity',
    )
    await wait_until(lambda: len(site.ledger) == 3, what='step 1 starts')
    await asyncio.sleep(0.5)
    assert len(site.ledger) == 3
    site.store.faults.clear()
    await wait_state(site, 'completed')
