"""Tests of calls through a peer, and of when the direct path is down."""

import asyncio

import pytest

from arbutusrock.engine.callers import relay
from arbutusrock.engine.ports import rows
from arbutusrock import metrics
from arbutusrock.utils import http


class FakeStore:
    """A store that answers, fails or hangs as the test sets it."""

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
    """At most one peer that reaches a store, and peers that do not.

    :param other: store of the peer ``n2``, or None without that peer.
    :param without_store: names of peers that do not reach the store.
    """

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
    """The store of a node, its FailoverStore, and that of a working peer."""
    direct = FakeStore()
    other = create_failover_store(FakeStore())
    store = create_failover_store(direct, other)
    yield direct, store, other
    await store.close()
    await other.close()


async def test_failover_store_relays_refused_call(stores):
    direct, store, _ = stores
    direct.failure = rows.StoreRefused('busy')
    assert await store.transact() == 7
    assert store.direct_path_down
    assert not store.is_unreachable
    assert await store.read_range('t') == ([], 7)
    assert store.peers.calls == 2


async def test_failover_store_does_not_repeat_unanswered_transaction(stores):
    direct, store, _ = stores
    direct.failure = rows.StoreSilent('lost')
    with pytest.raises(rows.StoreSilent):
        await store.transact()
    assert store.peers.calls == 0
    assert await store.read_range('t') == ([], 7)


async def test_failover_store_does_not_relay_busy_call(stores):
    direct, store, _ = stores
    direct.failure = rows.StoreBusy('429')
    with pytest.raises(rows.StoreBusy):
        await store.transact()
    assert store.peers.calls == 0
    assert not store.direct_path_down


async def test_rejected_write_counts_as_a_failure_of_the_path(stores):
    """Guards against LOST: an owner with such a row used peers for all."""
    direct, store, other = stores
    direct.failure = rows.WriteRejected('400')
    with pytest.raises(rows.WriteRejected):
        await store.transact()
    assert store.peers.calls == 0
    assert not store.direct_path_down
    # The same through a peer.
    direct.failure = rows.StoreRefused('503')
    other.direct.failure = rows.WriteRejected('400')
    with pytest.raises(rows.WriteRejected):
        await store.transact()
    assert not other.direct_path_down


async def test_failover_store_relays_after_only_429(stores, monkeypatch):
    """Guards against a node that stays with a store that only answers 429.

    The owner was replaced because of that, and callers were refused.
    """
    monkeypatch.setattr(relay, 'MAX_BUSY_S', 0.0)
    direct, store, _ = stores
    direct.failure = rows.StoreBusy('429')
    with pytest.raises(rows.StoreBusy):
        await store.transact()
    assert await store.transact() == 7
    assert store.direct_path_down
    # An answer in between means that the store is busy for all nodes.
    direct.failure = None
    store._record_success()
    direct.failure = rows.StoreBusy('429')
    with pytest.raises(rows.StoreBusy):
        await store.transact()


async def test_failover_store_raises_conflict_from_peer(stores):
    direct, store, other = stores
    direct.failure = rows.StoreRefused('busy')
    row = rows.Row(table='t', key='k', value=b'v', version=3)
    other.direct.failure = rows.Conflicted([row])
    with pytest.raises(rows.Conflicted) as raised:
        await store.transact()
    (found,) = raised.value.rows
    assert (found.key, found.value, found.version) == ('k', b'v', 3)


async def test_read_leaves_silent_peer_when_direct_path_is_restored(stores):
    """A peer was killed during an outage of the store, which then ends.

    Nodes followed the configuration 1.3 s late, and refused callers so long.
    """
    direct, store, _ = stores
    direct.failure = rows.StoreRefused('busy')
    assert await store.read_range('t') == ([], 7)
    asked, released = asyncio.Event(), asyncio.Event()

    async def hang(_name, _body, *, timeout_s):
        asked.set()
        await released.wait()

    store.peers.call = hang
    reading = asyncio.ensure_future(store.read_range('t'))
    async with asyncio.timeout(5):
        await asked.wait()
        direct.failure = None
        store._record_success()
        assert await reading == ([], 7)


async def test_serve_does_not_relay_when_direct_path_is_down(stores):
    direct, store, other = stores
    direct.failure = other.direct.failure = rows.StoreRefused('busy')
    for _ in range(3):
        with pytest.raises(rows.StoreRefused):
            await store.transact()
    # After one attempt no peer is asked for a while.
    assert store.peers.calls == 1
    assert store.unreachable_for_s >= 0


async def test_failover_store_excludes_peers_without_store(stores):
    """Guards against calls offered only to peers without a direct path.

    A tenth of the calls met two such peers and failed.
    """
    direct, store, _ = stores
    store.peers.without_store = ('n8', 'n9')
    direct.failure = rows.StoreRefused('busy')
    assert await store.transact() == 7
    assert store.peers.calls == 3
    for _ in range(4):
        assert await store.transact() == 7
    assert store.peers.calls == 7


async def test_failover_store_ignores_failure_of_older_call(stores):
    """Guards against an old call that marks the direct path as down.

    A call sent before the last answer hung and failed later, and the node
    used its peers again although the store served it.
    """
    direct, store, _ = stores
    direct.hanging = hanging = asyncio.Event()
    older_call = asyncio.ensure_future(store.read_range('t'))
    await asyncio.sleep(0)
    assert await store.read_range('t') == ([], 7)
    hanging.set()
    assert await older_call == ([], 7)
    assert store.peers.calls == 1
    assert not store.direct_path_down


class ForeignPeers(FakePeers):
    """One peer whose address another process has taken."""

    async def call(self, name, body, *, timeout_s):
        return b'# HELP calls'


async def test_foreign_answer_of_peer_ends_no_call_with_decode_error():
    """Such an error ended tasks of the node, and with them its process."""
    direct = FakeStore()
    direct.failure = rows.StoreRefused('down')
    store = relay.FailoverStore(
        direct=direct,
        peers=ForeignPeers(other=FakeStore()),
        metrics=metrics.Metrics(),
    )
    # Whether the transaction was carried out is not known.
    with pytest.raises(rows.StoreSilent):
        await store.transact()
    # The peer is not asked again at once.
    assert store.peers.choose(store._excluded) is None
    store._excluded.clear()
    with pytest.raises(rows.StoreRefused):
        await store.read_range(rows.TABLE_JOBS)
    await store.close()
