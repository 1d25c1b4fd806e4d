"""Workers that refuse start orders, for a while or for ever."""

import asyncio

import pytest

from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_state
from tests.site_checks import wait_until

ADVICE = {'decideMs': 20, 'eachMs': 5, 'validMs': 3000}
# Orders of one task within ``REFUSED_S`` while each of them is refused.
REFUSED_S, MAX_ORDERS = 3.0, 12


@pytest.fixture
async def site():
    """One pool with one VM."""
    async with site_checks.open_site({'alpha': 1}) as stand_in:
        yield stand_in


def set_refusal(site, reason):
    for worker in site.workers.values():
        worker.refusal = reason


def count_refused(site):
    return sum(worker.refused_starts for worker in site.workers.values())


class AllWorkers:
    """The policy allows each worker."""

    def __contains__(self, worker_id):
        return True


async def test_job_gets_no_tickets_once_its_route_is_dropped(site):
    """Guards against LOST: its next step was ordered without tickets."""
    site.queues['alpha'] = {'advice': ADVICE}
    site.advice_service.allowed_workers = AllWorkers()
    await site.configure()
    (node,) = await start_nodes(site, 1)
    set_refusal(site, 'ticket')
    steps = [create_step(2), create_step(2, after=[0])]
    assert await site.submit('alpha', JOB, steps, spec='{"ms": 600}') == 200
    await wait_until(lambda: len(site.ledger) == 2, what='step 0 runs')
    del site.queues['alpha']
    await site.configure()
    version = site.version
    await wait_until(
        lambda: node.node.configuration.current.version == version,
        what='the route is dropped',
    )
    await wait_until(
        lambda: [record.outcome for record in site.ledger] == ['done'] * 4,
        what='all tasks are done',
    )
    assert count_refused(site) == 0


@pytest.mark.parametrize('reason', ['ticket', 'room', 'late', 'old'])
async def test_worker_that_refuses_for_ever_gets_order_after_order(
    site, reason
):
    """Guards against 400 orders a second of one task."""
    site.advice_service.allowed_workers = AllWorkers()
    await start_nodes(site, 1)
    set_refusal(site, reason)
    assert await site.submit('alpha', JOB, [create_step(1)]) == 200
    await wait_until(lambda: count_refused(site), what='a start is refused')
    await asyncio.sleep(REFUSED_S)
    assert count_refused(site) <= MAX_ORDERS
    set_refusal(site, '')
    await wait_state(site, 'completed')
