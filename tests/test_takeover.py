"""Jobs complete after their owner is gone or workers were unreachable."""

import asyncio
import time

import pytest

from arbutusrock.jobs import job_rows
from arbutusrock.jobs import records
from arbutusrock.links import platform_client
from arbutusrock import metrics
from arbutusrock import settings
from tests import harness
from tests import invariants
from tests import test_daemon_lifecycle


@pytest.mark.asyncio
async def test_job_of_owner_without_member_row_is_run(fleet):
    """A live node takes over the jobs of an owner that is no member."""
    await harness.start_fleet(fleet, daemons=2)
    access = settings.PlatformAccess(
        address='127.0.0.1', port=fleet.platform_port
    )
    platform = platform_client.PlatformClient(
        access=access, metrics=metrics.Metrics()
    )
    await platform.start()
    row = records.JobRow(
        job=records.create_job_id(),
        customer=harness.CUSTOMER,
        team='auction',
        queue='ledgers',
        service='records',
        pool='scales',
        method='POST',
        target='/night',
        headers=[],
        key_id='',
        patient=True,
        accepted_at_s=time.time(),
        owner='ghost-1',
    )
    try:
        await platform.commit(
            [],
            [
                job_rows.create_job_write(row),
                job_rows.create_open_job_write('ghost-1', row.job, b''),
            ],
        )
    finally:
        await platform.stop()
    await test_daemon_lifecycle.wait_jobs(fleet, [row.job], ['done'])
    ledger = await fleet.read_ledger()
    assert [entry.task for entry in ledger] == [row.job]


@pytest.mark.asyncio
async def test_jobs_wait_while_no_worker_can_be_reached(fleet):
    """It is known that they did not run: none is parked or run twice."""
    daemons = await harness.start_fleet(
        fleet, daemons=2, workers=2, behind_proxy=True
    )
    load = harness.LoadGenerator(fleet=fleet)
    for item in fleet.proxies.values():
        await item.close_port()
    jobs = await test_daemon_lifecycle.submit_jobs(load, daemons, 6)
    await asyncio.sleep(8)
    states = await test_daemon_lifecycle.find_job_states(fleet, jobs)
    assert set(states) <= {'waiting', 'running'}
    for item in fleet.proxies.values():
        await item.reopen_port()
    await test_daemon_lifecycle.wait_jobs(fleet, jobs, ['done'])
    ledger = await invariants.assert_invariants(fleet, load.replies)
    assert sorted(entry.task for entry in ledger) == sorted(jobs)
