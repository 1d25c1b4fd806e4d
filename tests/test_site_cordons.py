"""Evacuations of data centres, on stand-ins of the platform."""

import asyncio

import pytest

from arbutusrock.engine.callers import status
from arbutusrock.engine.ports import rows
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_owner
from tests.site_checks import wait_state
from tests.site_checks import wait_until

# The stand-in store answers at once, so that an evacuation is in force soon.
MAX_DELAY_S = 1.0
TASKS_PER_JOB = 6
LASTING_SPEC = '{"lasts": 1}'


@pytest.fixture
async def site():
    """Two pools and two VMs that are off, in two data centres."""
    async with site_checks.open_site(
        {'alpha': 4, 'beta': 4, 'spare': 4}, data_centres=('z1', 'z2')
    ) as stand_in:
        yield stand_in
        site_checks.check_evacuations(stand_in, MAX_DELAY_S)


async def wait_known(node, names):
    await wait_until(
        lambda: node.node.configuration.cordons.names == names,
        what=f'the node knows of the evacuation of {names}',
    )


async def submit_burst(site, first, count=8):
    """Submit jobs that need more than a pool has; return their ids."""
    jobs = [f'{first + number:016x}' for number in range(count)]
    for job in jobs:
        status = await site.submit(
            'alpha',
            job,
            [create_step(TASKS_PER_JOB, cpu=4000, estimateMs=600)],
            spec='{"ms": 600}',
        )
        assert status == 200
    return jobs


def count_starts(site, data_centre):
    return sum(
        site.data_centre_by_worker[line.worker_id] == data_centre
        for line in site.ledger
    )


async def test_evacuated_data_centre_gets_no_starts_until_taken_back(site):
    """A burst takes its room from the other data centre meanwhile."""
    (node,) = await start_nodes(site, 1)
    await submit_burst(site, 0)
    await site.evacuate('z1')
    await wait_known(node, ['z1'])
    shown = status.describe_node(node.node, ready=True)
    assert shown.evacuated == ['z1']
    assert sum(pool.evacuated for pool in shown.pools) > 0
    status.collect_gauges(node.node, node.node.metrics)
    assert node.node.metrics.get_gauge('data_centres_evacuated') == 1
    # Runs begin there only on orders that were under way.
    await asyncio.sleep(MAX_DELAY_S)
    before = count_starts(site, 'z1')
    jobs = await submit_burst(site, 100)
    await wait_until(
        lambda: any(
            action == 'move' and site.vm_service.vms[vm]['pool'] == 'alpha'
            for action, vm, *_ in site.vm_service.orders
        ),
        what='VMs join the pool',
    )
    for job in jobs:
        await wait_state(site, 'completed', job)
    assert count_starts(site, 'z1') == before
    await site.take_back('z1')
    await wait_known(node, [])
    for job in await submit_burst(site, 200):
        await wait_state(site, 'completed', job)
    assert count_starts(site, 'z1') > before


async def test_serving_tasks_go_on_in_evacuated_data_centre(site):
    (node,) = await start_nodes(site, 1)
    step = create_step(4, longRunning=True, mayMiss=1)
    await site.submit('alpha', JOB, [step], spec=LASTING_SPEC)
    await wait_until(lambda: len(site.ledger) == 4, what='all tasks start')
    await site.evacuate('z1')
    await site.evacuate('z2')
    await wait_known(node, ['z1', 'z2'])
    await asyncio.sleep(MAX_DELAY_S)
    assert [line.outcome for line in site.ledger] == [None] * 4


async def test_work_waits_while_all_data_centres_are_evacuated(site):
    (node,) = await start_nodes(site, 1)
    await site.evacuate('z1')
    await site.evacuate('z2')
    await wait_known(node, ['z1', 'z2'])
    jobs = await submit_burst(site, 0)
    await asyncio.sleep(2 * MAX_DELAY_S)
    assert not site.ledger
    assert await site.get_job_state('alpha', jobs[0]) == 'queued'
    await site.take_back('z1')
    for job in jobs:
        await wait_state(site, 'completed', job)
    assert not count_starts(site, 'z2')


async def test_new_owner_knows_evacuation_that_its_feed_has_missed(site):
    """A node takes over while its feed of operators' requests is silent."""
    first, second = await start_nodes(site, 2)
    owner = await wait_owner(site)
    # Keeps all VMs of the pool on.
    step = create_step(4, longRunning=True, mayMiss=1, antiAffinity=1)
    await site.submit('alpha', JOB, [step], spec=LASTING_SPEC)
    await wait_until(lambda: len(site.ledger) == 4, what='all tasks start')
    other = second if owner is first else first
    store, stalled = other.adapter.store, asyncio.Event()
    watch = store.watch

    async def watch_or_stall(table, **options):
        if table == rows.TABLE_OPERATOR:
            stalled.set()
            await asyncio.Event().wait()
        return await watch(table, **options)

    store.watch = watch_or_stall
    await stalled.wait()
    await site.evacuate('z1')
    await wait_known(owner, ['z1'])
    jobs = await submit_burst(site, 0)
    await asyncio.sleep(MAX_DELAY_S)
    assert not other.node.configuration.cordons.names
    await site.kill_node(owner)
    await wait_until(lambda: other.is_owner, what='the other node takes over')
    # Without the feed the node refuses callers, so the ledger is asked.
    await wait_until(
        lambda: (
            len({line.task for line in site.ledger if line.outcome == 'done'})
            == len(jobs) * TASKS_PER_JOB
        ),
        what='all tasks are done',
    )


async def test_evacuation_holds_after_lost_history_and_late_removal(site):
    """The table is read as a whole, with a value that cannot be read."""
    (node,) = await start_nodes(site, 1)
    await site.evacuate('z1', b'not a document')
    await wait_known(node, ['z1'])
    site.store.min_feed_version = site.store.version + 1
    await asyncio.sleep(MAX_DELAY_S)
    for job in await submit_burst(site, 0, count=2):
        await wait_state(site, 'completed', job)
    assert not count_starts(site, 'z1')
    await site.take_back('z1')
    site.store.min_feed_version = site.store.version
    await wait_known(node, [])
