"""Refused callers that come back, on stand-ins of the platform."""

import asyncio
import time
import types

import pytest

from arbutusrock.platform import ingress
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_owner
from tests.site_checks import wait_state

OUTAGE_S = 4.0
# How long after an outage a node may take until it serves callers again.
MAX_RECOVERY_S = 1.0
CALLERS = 12


@pytest.fixture
async def site():
    """One pool with three VMs."""
    async with site_checks.open_site({'alpha': 3}) as stand_in:
        yield stand_in


async def submit_until_stored(site, job, node):
    """Submit a job again and again; return when it was stored."""
    while True:
        status = await site.submit('alpha', job, [create_step(1)], node=node)
        if status == 200:
            return time.monotonic()
        assert status == 503
        await asyncio.sleep(0.1)


async def test_callers_are_served_soon_after_an_outage(site):
    """The store refuses all calls for longer than a configuration is valid.

    The nodes must not wait for a watch call to end before they serve again.
    """
    nodes = await start_nodes(site, 2)
    site.store.faults.busy = True
    calls = [
        asyncio.ensure_future(
            submit_until_stored(site, f'{number:016x}', nodes[number % 2])
        )
        for number in range(CALLERS)
    ]
    await asyncio.sleep(OUTAGE_S)
    assert not any(call.done() for call in calls)
    site.store.faults.clear()
    ended_at_s = time.monotonic()
    stored_at_s = await asyncio.gather(*calls)
    assert max(stored_at_s) - ended_at_s < MAX_RECOVERY_S
    for number in range(CALLERS):
        await wait_state(site, 'completed', f'{number:016x}')
    assert len(site.ledger) == CALLERS


async def test_owner_is_killed_between_refusal_and_return(site):
    """A refused job never runs; it runs once when its caller comes back."""
    await start_nodes(site, 2)
    site.store.faults.busy = True
    status = await site.submit('alpha', JOB, [create_step(1)])
    assert status == 503
    await site.kill_node(await wait_owner(site))
    site.store.faults.clear()
    await submit_until_stored(site, JOB, site.nodes[0])
    await wait_owner(site)
    await wait_state(site, 'completed')
    assert len(site.ledger) == 1


@pytest.mark.parametrize(
    ('header', 'least_s'), [('3000', 2.8), ('100', 0.05), ('', 2.8)]
)
def test_answer_margin_leaves_time_for_a_write(header, least_s):
    """The last try of a caller has a deadline below the usual margin.

    Such calls were refused without a write.
    """
    request = types.SimpleNamespace(headers={ingress.DEADLINE_HEADER: header})
    left_s = ingress.Ingress._get_timeout_s(request)
    assert least_s <= left_s < int(header or 3000) / 1000
