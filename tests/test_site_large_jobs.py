"""Jobs whose progress outgrows a row harm no others, and lose nothing."""

import time

import pytest

from arbutusrock.engine.ports import rows
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import OTHER_JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_owner
from tests.site_checks import wait_state
from tests.site_checks import wait_until

# Limit of the store for a value in base64, and the value that fits.
ROW_CHARACTERS, ROW_BYTES = 2048, 1536
OCCURRENCES, SHORT_STEPS = 60, 4


@pytest.fixture
async def site():
    """Two pools; the store takes short rows."""
    async with site_checks.open_site({'alpha': 2, 'beta': 1}) as stand_in:
        stand_in.store.max_value_characters = ROW_CHARACTERS
        yield stand_in


async def submit_large_job(site):
    """Submit a job whose occurrences overlap and never finish."""
    blocked = create_step(1, requires='no-such-label')
    steps = [create_step(1, cpu=20) for _ in range(SHORT_STEPS)]
    status = await site.submit(
        'alpha',
        JOB,
        [*steps, blocked],
        spec='{"ms": 10}',
        times=OCCURRENCES,
        startAtMs=time.time() * 1000 - 2000,
        intervalMs=10,
    )
    assert status == 200


async def wait_short_tasks(site):
    tasks = OCCURRENCES * SHORT_STEPS
    await wait_until(
        lambda: (
            sum(
                record.outcome == 'done' and record.task.startswith(JOB)
                for record in site.ledger
            )
            >= tasks
        ),
        what='all tasks that can run are done',
    )


async def test_progress_that_outgrows_its_row_stops_all_jobs(site):
    """Guards against LOST: no owner could write anything any more."""
    (node,) = await start_nodes(site, 1, store_row_bytes=ROW_BYTES)
    epoch = node.node.leader.term.epoch
    await submit_large_job(site)
    await wait_short_tasks(site)
    assert await site.submit('beta', OTHER_JOB, [create_step(2)]) == 200
    await wait_state(site, 'completed', OTHER_JOB, pool='beta')
    assert node.node.leader.term.epoch == epoch
    assert not site.store.call_counts.get('rejected')


async def test_done_tasks_of_large_job_run_again_under_next_owner(site):
    """Guards against TWICE: the ends are acknowledged and must be stored."""
    await start_nodes(site, 2, store_row_bytes=ROW_BYTES)
    await submit_large_job(site)
    await wait_short_tasks(site)
    owner = await wait_owner(site)
    await wait_until(
        lambda: all(
            not worker.pending_acks
            for worker in owner.node.leader.term.fleet.workers.values()
        ),
        what='all ends are acknowledged',
    )
    runs = len(site.ledger)
    await site.kill_node(owner)
    await wait_owner(site)
    assert await site.submit('alpha', OTHER_JOB, [create_step(2)]) == 200
    await wait_state(site, 'completed', OTHER_JOB)
    assert len(site.ledger) == runs + 2


async def test_refused_row_of_one_job_stops_all_jobs(site):
    """Guards against LOST: the owner repeated the refused write for ever."""
    site.store.rejected_rows = {(rows.TABLE_PROGRESS, JOB)}
    (node,) = await start_nodes(site, 1)
    leader = node.node.leader
    epoch = leader.term.epoch
    await site.submit(
        'alpha',
        JOB,
        [create_step(1)],
        times=2,
        startAtMs=time.time() * 1000,
        intervalMs=1500,
    )
    assert await site.submit('beta', OTHER_JOB, [create_step(2)]) == 200
    await wait_state(site, 'completed', OTHER_JOB, pool='beta')
    await wait_until(
        lambda: len(leader.state_writer.refused),
        what='the row is set aside',
    )
    url = f'http://{node.internal_address}/status'
    async with site.session.get(url) as reply:
        view = await reply.json()
    assert view['suspended_jobs'] == [JOB]
    assert view['refused_rows'][0]['key'] == JOB
    rejected = site.store.call_counts['rejected']
    third_job = '00000000000000c3'
    assert await site.submit('alpha', third_job, [create_step(2)]) == 200
    await wait_state(site, 'completed', third_job)
    assert site.store.call_counts['rejected'] < rejected + 5
    job = leader.term.job_registry.jobs[JOB]
    await wait_until(
        lambda: len(job.occurrences) == 1, what='the second occurrence is due'
    )
    assert sum(record.task.startswith(JOB) for record in site.ledger) == 1
    site.store.rejected_rows = set()
    await wait_state(site, 'completed', JOB)
    assert leader.term.epoch == epoch
