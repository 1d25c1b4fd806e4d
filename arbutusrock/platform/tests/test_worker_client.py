"""The client of a worker speaks to one incarnation of it only."""

import asyncio
import contextlib

from aiohttp import web
import pytest

from arbutusrock.engine.ports import platform_messages
from arbutusrock import metrics
from arbutusrock.platform import workers
from examples.standins.site import workers as standins

Outcome = platform_messages.OrderOutcome
# Ends that the earlier incarnation has listed, and the end of its lease.
CURSOR, LEASE_MS = 40, 60_000.0


@contextlib.asynccontextmanager
async def serving(worker, port=0):
    """Serve a worker; yield its port."""
    runner = web.AppRunner(worker.create_app(), shutdown_timeout=0.05)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


def create_worker():
    return standins.StandInWorker(worker_id='w', ledger=[])


def create_client(port, born_ms):
    return workers.WorkerClient(
        address=f'127.0.0.1:{port}',
        worker_id='w',
        born_ms=born_ms,
        metrics=metrics.Metrics(),
    )


def renew(client):
    return client.renew_lease(
        epoch=1, cursor=CURSOR, lease_until_ms=LEASE_MS, wait_s=0
    )


def start(client):
    return client.start_run(
        platform_messages.RunOrder(
            task='a.0.0.0',
            run=1,
            spec='',
            lease_until_ms=LEASE_MS,
            epoch=1,
        )
    )


CALLS = {
    'start': start,
    'stop': lambda client: client.stop_run('a.0.0.0', 1, 1),
    'pace': lambda client: client.set_run_pace('a.0.0.0', 1, 50, 1),
    'renew': renew,
}


@pytest.mark.parametrize('call', CALLS.values(), ids=CALLS)
async def test_calls_do_not_reach_a_later_incarnation(call):
    """Guards against TWICE: its ends were acknowledged unread."""
    worker = create_worker()
    async with serving(worker) as port:
        client = create_client(port, worker.started_unix_ms)
        assert (await start(client)).outcome is Outcome.DONE
        await renew(client)
    successor = create_worker()
    successor.started_unix_ms = worker.started_unix_ms + 1
    successor.completions.append([1, 'b.0.0.0', 1, 'done', ''])
    async with serving(successor, port):
        replies = [await call(client) for _ in range(3)]
        assert replies[-1].outcome is Outcome.RESTARTED
        assert successor.completions
        assert not successor.lease_until_ms
        assert not successor.ledger
        assert not successor.last_closed_run
        assert not successor.pace_percents
        await client.close()


@pytest.mark.parametrize('born_ms', [0, None])
async def test_first_renewal_extends_no_lease_and_acknowledges_nothing(
    born_ms,
):
    worker = create_worker()
    worker.completions.append([1, 'b.0.0.0', 1, 'done', ''])
    async with serving(worker) as port:
        client = create_client(
            port, worker.started_unix_ms if born_ms is None else born_ms
        )
        assert len((await renew(client)).ended) == 1
        assert not worker.lease_until_ms
        assert not (await renew(client)).ended
        assert worker.lease_until_ms == LEASE_MS
        await client.close()


async def test_order_that_waits_for_a_connection_is_not_in_doubt():
    worker = create_worker()
    worker.faults.unresponsive = True
    async with serving(worker) as port:
        client = create_client(port, worker.started_unix_ms)
        replies = await asyncio.gather(*(start(client) for _ in range(6)))
        assert {reply.outcome for reply in replies} == {Outcome.UNREACHABLE}
        await client.close()
