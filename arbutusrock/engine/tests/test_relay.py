"""When a call goes through a peer, and when a node counts as turned away."""

import asyncio

import pytest

from arbutusrock.engine import relay
from arbutusrock.engine import rows
from arbutusrock import metrics
from arbutusrock.utils import http


class FakeStore:
    """A store that does what the test says."""

    def __init__(self):
        self.failure = None
        self.hanging = None

    async def transact(self, **_fields):
        if self.failure:
            raise self.failure
        return 7

    async def read_range(self, _table, **_fields):
        if self.hanging is not None:
            hanging, self.hanging = self.hanging, None
            await hanging.wait()
            raise rows.StoreSilent('late')
        if self.failure:
            raise self.failure
        return [], 7


class FakePeers:
    """One peer with a way to a store, or none."""

    node = 'n1'

    def __init__(self, *, other=None, without_store=()):
        self.other = other
        self.without_store = without_store
        self.calls = 0

    def choose(self, excluded):
        names = [*self.without_store, *(['n2'] if self.other else [])]
        return next((name for name in names if name not in excluded), None)

    async def call(self, name, body, *, timeout_s):
        self.calls += 1
        if name in self.without_store:
            return None
        data = await self.other.serve(body)
        if data == b'':
            raise http.NoAnswer('cut')
        return data

    async def close(self):
        pass


def create_failover_store(direct, other=None):
    return relay.FailoverStore(
        direct=direct, peers=FakePeers(other=other), metrics=metrics.Metrics()
    )


@pytest.fixture
async def stores():
    """The store of a node, its path, and the path of a sound peer."""
    direct = FakeStore()
    other = create_failover_store(FakeStore())
    path = create_failover_store(direct, other)
    yield direct, path, other
    await path.close()
    await other.close()


async def test_failover_store_relays_refused_call(stores):
    direct, path, _ = stores
    direct.failure = rows.StoreRefused('busy')
    assert await path.transact() == 7
    assert path.direct_path_down
    assert not path.is_unreachable
    assert await path.read_range('t') == ([], 7)
    assert path.peers.calls == 2


async def test_failover_store_does_not_repeat_unanswered_transaction(stores):
    direct, path, _ = stores
    direct.failure = rows.StoreSilent('lost')
    with pytest.raises(rows.StoreSilent):
        await path.transact()
    assert path.peers.calls == 0
    assert await path.read_range('t') == ([], 7)


async def test_failover_store_does_not_relay_busy_call(stores):
    direct, path, _ = stores
    direct.failure = rows.StoreBusy('429')
    with pytest.raises(rows.StoreBusy):
        await path.transact()
    assert path.peers.calls == 0
    assert not path.direct_path_down


async def test_failover_store_relays_after_only_429(stores, monkeypatch):
    """Seen on two days: the owner was replaced, callers were refused."""
    monkeypatch.setattr(relay, 'MAX_BUSY_S', 0.0)
    direct, path, _ = stores
    direct.failure = rows.StoreBusy('429')
    with pytest.raises(rows.StoreBusy):
        await path.transact()
    assert await path.transact() == 7
    assert path.direct_path_down
    # An answer in between means that the store is busy with all.
    direct.failure = None
    path._record_success()
    direct.failure = rows.StoreBusy('429')
    with pytest.raises(rows.StoreBusy):
        await path.transact()


async def test_failover_store_raises_conflict_from_peer(stores):
    direct, path, other = stores
    direct.failure = rows.StoreRefused('busy')
    row = rows.Row(table='t', key='k', value=b'v', version=3)
    other.direct.failure = rows.Conflicted([row])
    with pytest.raises(rows.Conflicted) as caught:
        await path.transact()
    (found,) = caught.value.rows
    assert (found.key, found.value, found.version) == ('k', b'v', 3)


async def test_serve_does_not_relay_when_direct_path_is_down(stores):
    direct, path, other = stores
    direct.failure = other.direct.failure = rows.StoreRefused('busy')
    for _ in range(3):
        with pytest.raises(rows.StoreRefused):
            await path.transact()
    # After one try no peer is asked for a while.
    assert path.peers.calls == 1
    assert path.unreachable_for_s >= 0


async def test_failover_store_excludes_peers_without_store(stores):
    """Seen on a day: a tenth of the calls met two such peers and failed."""
    direct, path, _ = stores
    path.peers.without_store = ('n8', 'n9')
    direct.failure = rows.StoreRefused('busy')
    assert await path.transact() == 7
    assert path.peers.calls == 3
    for _ in range(4):
        assert await path.transact() == 7
    assert path.peers.calls == 7


async def test_failover_store_ignores_failure_of_older_call(stores):
    """Seen in an incident: nodes were turned away again by old calls."""
    direct, path, _ = stores
    direct.hanging = hanging = asyncio.Event()
    old = asyncio.ensure_future(path.read_range('t'))
    await asyncio.sleep(0)
    assert await path.read_range('t') == ([], 7)
    hanging.set()
    assert await old == ([], 7)
    assert path.peers.calls == 1
    assert not path.direct_path_down
