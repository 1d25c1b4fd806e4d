"""Tests of jobs while the table service does not answer."""

import asyncio
from unittest import mock

import pytest

from arbutusrock import errors
from arbutusrock.jobs import job_controller
from arbutusrock.jobs import job_rows
from arbutusrock.jobs import job_table
from arbutusrock.jobs import records
from arbutusrock.jobs import runner
from arbutusrock.links import platform_client
from arbutusrock.links import table
from arbutusrock.links import upstream_client
from arbutusrock.utils import documents

JOB = 'job-1'
OWNER = 'node-1-abc'
VM = mock.Mock(vm='w1')


class FakeStore(platform_client.PlatformClient):
    """Table service in memory that can be down.

    :ivar takes_effect: whether writes take effect while it is down.
    :ivar waiting_writes: number of writes that wait for an answer.
    """

    unresponsive = False

    def __init__(self):
        super().__init__(
            access=mock.Mock(retry_budget_s=6.0), metrics=mock.Mock()
        )
        self.rows = {}
        self.version = 0
        self.takes_effect = False
        self.waiting_writes = 0
        self.is_up = asyncio.Event()
        self.is_up.set()

    async def read_row(self, table_name, key):
        if not self.is_up.is_set():
            raise errors.StoreUnavailable('down')
        return self.rows.get((table_name, key))

    async def commit(self, conditions, writes):
        if self.is_up.is_set():
            return self._write(conditions, writes)
        if self.takes_effect:
            self._write(conditions, writes)
        self.waiting_writes += 1
        await self.is_up.wait()
        raise errors.StoreUnavailable('no answer')

    def _write(self, conditions, writes):
        for item in conditions:
            found = self.rows.get((item.table, item.key))
            if (found.version if found else 0) != item.version:
                raise platform_client.Conflicted([item])
        self.version += 1
        for item in writes:
            self.rows[(item.table, item.key)] = table.Row(
                key=item.key, version=self.version, value=item.value
            )
        return self.version

    def read_job(self):
        row = self.rows[(job_rows.JOB_TABLE, JOB)]
        return documents.decode_row(row.value, records.JobRow)


class FakeDispatcher:
    """Grants a slot to all work.

    :ivar held: number of slots that are held.
    :ivar granted: number of slots that were granted so far.
    """

    def __init__(self):
        self.held = 0
        self.granted = 0

    async def acquire(self, work):
        self.held += 1
        self.granted += 1
        work.vm = VM
        work.holds_slot = True
        return VM

    def record_running(self, work):
        self.held += 1
        work.holds_slot = True

    def release(self, work):
        self.held -= work.holds_slot
        work.holds_slot = False


@pytest.fixture
def short_delays(monkeypatch):
    """Shorten the delays between retries."""
    monkeypatch.setattr(job_controller, 'RETRY_DELAY_S', 0.01)
    monkeypatch.setattr(job_table, 'RETRY_DELAY_S', 0.01)


def create_controller(store, **fields):
    """Return a controller that owns one job, and its upstreams.

    :param fields: further fields of the job's row.
    """
    row = records.JobRow(
        job=JOB,
        customer='c',
        team='t',
        queue='ledgers',
        service='records',
        pool='scales',
        method='POST',
        target='/weigh',
        headers=[],
        key_id='',
        patient=True,
        accepted_at_s=0.0,
        owner=OWNER,
        **fields,
    )
    store._write([], [job_rows.create_job_write(row)])
    answered = upstream_client.Answered(status=200, headers=[], body=b'done')
    upstreams = mock.Mock(
        exchange=mock.AsyncMock(return_value=answered),
        resolve=mock.AsyncMock(return_value=answered),
    )
    members = mock.Mock(member_id=OWNER)
    configuration = mock.Mock(
        services={'records': (None, mock.Mock(pool='scales'))}
    )
    configuration.get.return_value = VM
    controller = job_controller.JobController(
        platform=store,
        batcher=store,
        job_table=job_table.JobTable(
            platform=store, batcher=store, members=members
        ),
        members=members,
        runner=runner.Runner(
            dispatcher=FakeDispatcher(),
            upstreams=upstreams,
            members=members,
            health=mock.Mock(),
            metrics=mock.Mock(),
        ),
        configuration=configuration,
        audit_trail=mock.Mock(),
    )
    return controller, upstreams


def start_attempts(controller):
    """Run the attempts of the job in a task of their own."""
    item = job_table.VersionedJob(
        row=controller.platform.read_job(), version=1
    )
    return asyncio.create_task(controller._run_attempts(item))


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('takes_effect', [False, True])
async def test_job_holds_no_slot_while_its_start_cannot_be_written(
    short_delays, takes_effect
):
    """Requests that need no store waited for the permits of such jobs.

    They got 6 to 13 answers in an outage of 8 s.
    """
    store = FakeStore()
    controller, upstreams = create_controller(store)
    store.takes_effect = takes_effect
    store.is_up.clear()
    dispatcher = controller.runner.dispatcher
    running = start_attempts(controller)
    await wait_until(lambda: store.waiting_writes)
    assert dispatcher.held == 1
    store.unresponsive = True
    await wait_until(lambda: not dispatcher.held)
    upstreams.exchange.assert_not_awaited()
    store.unresponsive = False
    store.is_up.set()
    await asyncio.wait_for(running, 5)
    assert store.read_job().state is records.JobState.DONE
    assert upstreams.exchange.await_count == 1
    assert not dispatcher.held


async def test_job_that_is_due_while_the_store_is_down_waits_without_slot(
    short_delays,
):
    """It was queued before; each permit that came free went to such jobs."""
    store = FakeStore()
    controller, upstreams = create_controller(store)
    store.is_up.clear()
    store.unresponsive = True
    dispatcher = controller.runner.dispatcher
    running = start_attempts(controller)
    await wait_until(lambda: dispatcher.granted)
    await wait_until(lambda: not dispatcher.held)
    assert not store.waiting_writes
    store.unresponsive = False
    store.is_up.set()
    await asyncio.wait_for(running, 5)
    assert store.read_job().state is records.JobState.DONE
    assert upstreams.exchange.await_count == 1


async def test_running_job_whose_body_cannot_be_read_is_not_sent_again(
    short_delays, monkeypatch
):
    """Its worker has to be asked first; it may run the job, or have run it."""
    store = FakeStore()
    read_body = mock.AsyncMock(
        side_effect=[errors.StoreUnavailable('no answer'), b'body']
    )
    monkeypatch.setattr(store, 'get_object', read_body)
    controller, upstreams = create_controller(
        store,
        state=records.JobState.RUNNING,
        worker='w1',
        body_object='bodies/job-1',
    )
    await asyncio.wait_for(start_attempts(controller), 5)
    upstreams.exchange.assert_not_awaited()
    assert upstreams.resolve.await_count == 1
    assert store.read_job().state is records.JobState.DONE
