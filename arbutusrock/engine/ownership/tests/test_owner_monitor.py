"""Tests of the monitor of the owner's process, with real connections.

Failure: the owner's process is killed; nodes waited 1.6 s for heartbeats that
could not come any more.
"""

import asyncio

import pytest

from arbutusrock.engine.ownership import owner_monitor
from arbutusrock.engine.ownership import ownership
from arbutusrock.engine.ownership.tests import test_ownership
from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import state_writer

TIMEOUT_S = 2.0
# Longer than the monitor takes to notice the end of a process.
GRACE_S = 0.3


class OwnerProcess:
    """A listener that accepts connections and answers nothing."""

    def __init__(self):
        self.writers = []
        self.connected = asyncio.Event()
        self.address = ''
        self._server = None

    async def listen(self):
        port = int(self.address.rpartition(':')[2] or 0)
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', port
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def _accept(self, _reader, writer):
        self.writers.append(writer)
        self.connected.set()

    def reset_connections(self):
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
        self.connected.clear()

    def end(self):
        self._server.close()
        self.reset_connections()


@pytest.fixture
async def process():
    owner = OwnerProcess()
    await owner.listen()
    yield owner
    owner.end()


@pytest.fixture
async def monitor(process):
    watcher = owner_monitor.OwnerMonitor(
        find_address=lambda _name: process.address
    )
    running = asyncio.ensure_future(watcher.run())
    yield watcher
    running.cancel()


async def _wait_until_connected(process):
    async with asyncio.timeout(TIMEOUT_S):
        await process.connected.wait()


async def test_monitor_notices_end_of_owner_process(process, monitor):
    monitor.follow('other', 4)
    await _wait_until_connected(process)
    process.end()
    async with asyncio.timeout(TIMEOUT_S):
        await monitor.wait_until_ended()
    monitor.follow('third', 5)
    assert not monitor.has_ended


async def test_monitor_ignores_reset_connections(process, monitor):
    monitor.follow('other', 4)
    for _ in range(3):
        await _wait_until_connected(process)
        process.reset_connections()
    await _wait_until_connected(process)
    await asyncio.sleep(GRACE_S)
    assert not monitor.has_ended


async def test_monitor_says_nothing_of_process_never_reached(process, monitor):
    process.end()
    monitor.follow('other', 4)
    await asyncio.sleep(2 * GRACE_S)
    assert not monitor.has_ended
    await process.listen()
    await _wait_until_connected(process)
    assert not monitor.has_ended


async def test_two_heartbeats_prove_that_the_owner_lives(process, monitor):
    """A listener that refused for a moment must not cost an owner its unit.

    One heartbeat may be a write that the store carried out late.
    """
    monitor.follow('other', 4)
    await _wait_until_connected(process)
    process.end()
    async with asyncio.timeout(TIMEOUT_S):
        await monitor.wait_until_ended()
    await process.listen()
    monitor.record_heartbeat()
    assert monitor.has_ended
    monitor.record_heartbeat()
    assert not monitor.has_ended
    await _wait_until_connected(process)
    process.end()
    async with asyncio.timeout(TIMEOUT_S):
        await monitor.wait_until_ended()


class SilentStore(test_ownership.UnresponsiveOwnerStore):
    """A store whose watch calls last, as without any change."""

    async def watch(self, _table, *, after, wait_s):
        await asyncio.sleep(wait_s)
        return [], after


async def start_election(process, store):
    """Start a node that follows a live owner.

    :returns: its elector, and the tasks of its monitor and of its election.
    """
    elector = ownership.OwnerElector(
        store=store,
        node='n1',
        cores=2.0,
        find_address=lambda _name: process.address,
    )
    loop = asyncio.get_running_loop()
    tasks = [
        loop.create_task(elector.monitor.run()),
        loop.create_task(elector.acquire()),
    ]
    await _wait_until_connected(process)
    return elector, tasks


async def test_acquire_claims_when_owner_process_ends(process):
    store = SilentStore(test_ownership.Clock())
    _, tasks = await start_election(process, store)
    loop = asyncio.get_running_loop()
    ended_at_s = loop.time()
    process.end()
    epoch, _ = await tasks[1]
    assert epoch == 5
    assert loop.time() - ended_at_s < ownership.HEARTBEAT_TIMEOUT_S / 2
    # The claim has the same conditions as any other one.
    expected, _ = store.claim_call
    assert {row.key for row in expected} == set(ownership.OWNER_KEYS)
    assert (expected[0].key, expected[0].version) == (
        state_writer.KEY_CLAIM,
        7,
    )
    tasks[0].cancel()


@pytest.mark.parametrize('address', ['h', 'h:x', 'h:99999', ':0', 'a..b:1'])
async def test_monitor_takes_no_malformed_address_for_an_end(
    monkeypatch, address
):
    """An error in the monitor made each node claim a unit that is owned."""
    monkeypatch.setattr(owner_monitor, 'RETRY_DELAY_S', 0.01)
    watcher = owner_monitor.OwnerMonitor(find_address=lambda _name: address)
    running = asyncio.ensure_future(watcher.run())
    watcher.follow('other', 4)
    await asyncio.sleep(0.1)
    assert not watcher.has_ended
    assert not running.done()
    running.cancel()


class RefusingStore(SilentStore):
    """A store that serves reads and refuses all transactions."""

    def __init__(self, clock):
        super().__init__(clock)
        self.claims = 0

    async def transact(self, *, expected, puts):
        self.claims += 1
        raise rows.StoreBusy('too many calls')


async def test_refused_claims_do_not_press_the_store(process):
    """Claims followed each other without a delay once a process had ended."""
    store = RefusingStore(test_ownership.Clock())
    elector, tasks = await start_election(process, store)
    process.end()
    async with asyncio.timeout(TIMEOUT_S):
        await elector.monitor.wait_until_ended()
    await asyncio.sleep(1.0)
    assert 1 <= store.claims <= 1.0 / ownership.RETRY_DELAY_S + 1
    for task in tasks:
        task.cancel()
