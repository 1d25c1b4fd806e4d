"""Jobs of strange figures must neither end the ownership nor stall others."""

import pytest

from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import OTHER_JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_state

HUGE = 10**30
# Fields that differ from those of a usual job, or of its step.
HOSTILE_JOBS = {
    'cores': {'steps': [create_step(1, cpu=HUGE)]},
    'cores of 64 bits': {'steps': [create_step(1, cpu=2**64 - 1)]},
    'memory': {'steps': [create_step(1, memMb=2**63)]},
    'estimate': {'steps': [create_step(1, estimateMs=1e308)]},
    'two estimates': {
        'steps': [
            create_step(1, estimateMs=1e308),
            create_step(1, estimateMs=1e308, after=[0]),
        ]
    },
    'negative estimate': {'steps': [create_step(1, estimateMs=-1e300)]},
    'target': {'steps': [create_step(1, targetMs=1e308)]},
    'many occurrences': {
        'steps': [create_step(50)],
        'times': 1_000_000,
        'startAtMs': 1,
        'intervalMs': 1e-6,
    },
    'endless occurrences': {
        'steps': [create_step(1)],
        'times': HUGE,
        'startAtMs': 1,
        'intervalMs': 1e-300,
    },
    'late start': {
        'steps': [create_step(1)],
        'times': 2,
        'startAtMs': 1e308,
        'intervalMs': 1e308,
    },
    'negative limits': {
        'steps': [create_step(2, antiAffinity=-5, mayMiss=-5)]
    },
    'large limits': {'steps': [create_step(2, antiAffinity=HUGE)]},
    'large text': {'steps': [create_step(1, dataRack='r' * 100_000)]},
    'many steps': {
        'steps': [
            create_step(1, requires='x' * 90, after=list(range(number)))
            for number in range(60)
        ]
        * 3
    },
}


@pytest.fixture
async def site():
    """One pool with two VMs."""
    async with site_checks.open_site({'alpha': 2}) as stand_in:
        yield stand_in


@pytest.mark.parametrize('name', HOSTILE_JOBS)
async def test_one_job_ends_owner_after_owner(site, name):
    (node,) = await start_nodes(site, 1)
    epoch = node.node.leader.term.epoch
    body = {'spec': '', **HOSTILE_JOBS[name]}
    status, _ = await site.call('POST', 'alpha', JOB, body=body)
    assert status in {200, 400, 413}
    assert await site.submit('alpha', OTHER_JOB, [create_step(2)]) == 200
    await wait_state(site, 'completed', OTHER_JOB)
    assert node.node.leader.term.epoch == epoch
