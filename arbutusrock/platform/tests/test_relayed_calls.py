"""Calls that anyone may send to the address for other nodes."""

import asyncio

from aiohttp import web
import msgspec
import pytest

from arbutusrock.engine.callers import relay
from arbutusrock import metrics as metrics_module
from arbutusrock.platform import store as store_module

READ = ['read', 't' * 300, '', '', '', 10]
WATCH = ['watch', 'op', 10**15, 3600.0]
WRITE = ['transact', [], [['op', 'config', b'{}', 0, '']], []]


class NoPeers:
    """A node that knows no others."""

    node = 'n1'

    def choose(self, _excluded):
        return None

    async def close(self):
        pass


@pytest.fixture
async def open_store():
    """Return a function that connects to a store with this handler."""
    runners, stores = [], []

    async def open_store(handler):
        runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.05)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        runners.append(runner)
        metrics = metrics_module.Metrics()
        client = store_module.StoreClient(
            address=f'127.0.0.1:{runner.addresses[0][1]}',
            timeout_s=2.0,
            metrics=metrics,
        )
        store = relay.FailoverStore(
            direct=client, peers=NoPeers(), metrics=metrics
        )
        stores.append((store, client))
        return store

    yield open_store
    for store, client in stores:
        await store.close()
        await client.close()
    for runner in runners:
        await runner.cleanup()


@pytest.mark.parametrize('status', [400, 403, 413])
@pytest.mark.parametrize(
    'call', [READ, WATCH, WRITE], ids=['read', 'watch', 'write']
)
async def test_call_of_a_stranger_takes_the_store_path_down(
    open_store, call, status
):
    """The store rejects what the call asks for, and serves this node."""

    async def handle(_request):
        return web.Response(status=status)

    store = await open_store(handle)
    answer = await store.serve(msgspec.msgpack.encode(call))
    assert msgspec.msgpack.decode(answer)[0] in {
        'ReadRejected',
        'WriteRejected',
    }
    assert not store.direct_path_down


async def test_waits_of_strangers_hold_up_own_calls(open_store):
    """As many as there are connections to the store, each an hour long."""
    waits = []

    async def handle(request):
        if request.path == store_module.FEED_PATH:
            waits.append(int(request.query['waitMs']))
            await asyncio.sleep(60)
        return web.json_response({'rows': [], 'ver': 3})

    store = await open_store(handle)
    calls = [
        asyncio.ensure_future(store.serve(msgspec.msgpack.encode(WATCH)))
        for _ in range(100)
    ]
    assert await store.read_range('t') == ([], 3)
    assert waits and max(waits) <= 30_000
    assert sum(call.done() for call in calls) > 50
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
