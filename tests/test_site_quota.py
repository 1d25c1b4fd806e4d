"""The limit of an account across a change of owner."""

import pytest

from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import OTHER_JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_owner
from tests.site_checks import wait_state
from tests.site_checks import wait_until

LIMIT = 4
# A tenth above the limit, and one task more, may run for a moment.
MAX_RUNNING = int(LIMIT * 1.1) + 1


@pytest.fixture
async def site():
    """Two pools with a VM each, and an account that may use four cores."""
    async with site_checks.open_site({'alpha': 1, 'beta': 1}) as stand_in:
        maximum = {'cpu': 1000 * LIMIT, 'memMb': 0, 'gpus': 0}
        stand_in.accounts['acme']['maximum'] = maximum
        await stand_in.configure()
        yield stand_in


async def test_account_runs_its_limit_twice_after_a_change_of_owner(site):
    """Guards against QUOTA: the next owner does not reach a worker.

    It knows nothing of the runs there, whose leases have not ended.
    """
    await start_nodes(site, 2)
    await site.submit('alpha', JOB, [create_step(LIMIT)], spec='{"ms": 30000}')
    await wait_until(
        lambda: len(site.ledger) == LIMIT, what='the limit is used'
    )
    alpha = site.ledger[0].worker_id
    for worker in site.workers.values():
        worker.faults.unresponsive = worker.worker_id == alpha
    await site.kill_node(await wait_owner(site))
    await wait_owner(site)
    await site.submit('beta', OTHER_JOB, [create_step(LIMIT)])
    await wait_state(site, 'completed', OTHER_JOB, pool='beta')
    violations = list(
        site_checks.find_violations(
            site.ledger, limit_by_job={'': MAX_RUNNING}
        )
    )
    assert not violations
