"""Tests of claims: when a node claims the unit and what it reads before."""

import asyncio

import msgspec
import pytest

from arbutusrock.engine.ownership import ownership
from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import possible_runs
from arbutusrock.engine.state import state_writer


class Clock:
    """Clock that moves on only while the store waits."""

    def __init__(self):
        self.now = 100.0

    def now_s(self):
        return self.now


class UnresponsiveOwnerStore:
    """A store with the claim of another node, which sends no heartbeat."""

    def __init__(self, clock, claim=None):
        self.clock = clock
        self.claim = claim or ownership.Claim(epoch=4, node='other', nonce=1)
        self.claim_call = None
        self.waits_s = []

    async def read_range(self, table, **_options):
        row = rows.Row(
            table=table,
            key=state_writer.KEY_CLAIM,
            value=msgspec.msgpack.encode(self.claim),
            version=7,
        )
        return [row], 7

    async def watch(self, _table, *, after, wait_s):
        self.waits_s.append(wait_s)
        self.clock.now += wait_s
        return [], after

    async def transact(self, *, expected, puts):
        self.claim_call = (expected, puts)
        return 8


class LateWriteStore(UnresponsiveOwnerStore):
    """A store in which the owner's last heartbeat is written before a claim.

    The claiming node has read its rows before that.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.owner_rows = {
            state_writer.KEY_HEARTBEAT: (
                state_writer.OwnerHeartbeat(node='other', number=1),
                5,
            ),
        }
        # Heartbeat that is written late, at version 9.
        self.late_heartbeat = None
        self.conflict_count = 0

    async def read_range(self, table, **options):
        found, version = await super().read_range(table, **options)
        found += [
            rows.Row(
                table=table,
                key=key,
                value=msgspec.msgpack.encode(value),
                version=row_version,
            )
            for key, (value, row_version) in self.owner_rows.items()
        ]
        return found, version

    async def transact(self, *, expected, puts):
        if not self.conflict_count:
            if self.late_heartbeat is None:
                self.conflict_count += 1
                raise rows.Conflicted([])
            self.owner_rows[state_writer.KEY_HEARTBEAT] = (
                self.late_heartbeat,
                9,
            )
        for row in expected:
            present = self.owner_rows.get(row.key, (None, 7))[1]
            if row.version != present:
                self.conflict_count += 1
                raise rows.Conflicted([])
        return await super().transact(expected=expected, puts=puts)


async def test_acquire_reads_names_written_just_before_claim(monkeypatch):
    """Guards against a claim with an old heartbeat.

    The lease of a worker that only the old one names may have been extended.
    """
    clock = Clock()
    monkeypatch.setattr(ownership.clocks, 'now_s', clock.now_s)
    store = LateWriteStore(clock)
    heartbeats = [
        state_writer.OwnerHeartbeat(
            node='other', number=number, dark=[4, {name: [2000, 3]}]
        )
        for number, name in enumerate(('i-1', 'i-2'))
    ]
    store.owner_rows[state_writer.KEY_HEARTBEAT] = (heartbeats[0], 5)
    store.late_heartbeat = heartbeats[1]
    elector = ownership.OwnerElector(store=store, node='n1')
    await elector.acquire()
    assert set(elector.named_leases) == {'i-2'}
    assert store.conflict_count == 1


@pytest.mark.parametrize('cores', [2.0, 0.5])
async def test_acquire_replaces_unresponsive_owner_when_due(
    monkeypatch, cores
):
    """Guards against a late takeover.

    When watch calls went on after the owner was due to be replaced, all nodes
    claimed at once, 0.6 s late, on each takeover.
    """
    clock = Clock()
    monkeypatch.setattr(ownership.clocks, 'now_s', clock.now_s)
    store = UnresponsiveOwnerStore(clock)
    elector = ownership.OwnerElector(store=store, node='n1', cores=cores)
    began_at_s = clock.now
    epoch, version = await elector.acquire()
    assert (epoch, version) == (5, 8)
    assert store.claim_call[0][0].version == 7
    latest_s = (
        ownership.HEARTBEAT_TIMEOUT_S
        + ownership.CLAIM_JITTER_S
        + elector.claim_delay_s
    )
    elapsed_s = clock.now - began_at_s
    assert ownership.HEARTBEAT_TIMEOUT_S <= elapsed_s <= latest_s + 0.02
    assert max(store.waits_s) <= ownership.WATCH_TIMEOUT_S


@pytest.mark.parametrize(
    ('dark', 'named'),
    [
        ([4, {'i-1': [2000, 3]}], {'i-1'}),
        # Of an owner before the last one.
        ([3, {'i-1': [2000, 3]}], set()),
        # From a version of the store that is still to come.
        ([4, {'i-1': [2000, 6]}], set()),
        ('unreadable', set()),
        (None, set()),
    ],
)
async def test_acquire_reads_names_of_dark_workers(monkeypatch, dark, named):
    """Their rest counts from when the heartbeat was read first."""
    clock = Clock()
    monkeypatch.setattr(ownership.clocks, 'now_s', clock.now_s)
    store = LateWriteStore(clock)
    heartbeat = state_writer.OwnerHeartbeat(node='other', number=1, dark=dark)
    store.owner_rows[state_writer.KEY_HEARTBEAT] = (heartbeat, 5)
    elector = ownership.OwnerElector(store=store, node='n1')
    read_at_s = clock.now
    await elector.acquire()
    # The first claim fails, and all rows are read again.
    assert store.conflict_count == 1
    assert elector.named_leases.keys() == named
    for lease in elector.named_leases.values():
        assert lease.end_at_s == read_at_s + 2.0 < clock.now + 2.0
        assert lease.before_version == 3


async def test_acquire_ignores_an_unknown_row_of_the_owner(monkeypatch):
    """A later version may store a row that this one does not know."""
    clock = Clock()
    monkeypatch.setattr(ownership.clocks, 'now_s', clock.now_s)
    store = LateWriteStore(clock)
    store.owner_rows['later'] = ({}, 3)
    elector = ownership.OwnerElector(store=store, node='n1')
    epoch, _ = await elector.acquire()
    assert epoch == 5


@pytest.mark.parametrize(
    ('unfinished', 'loaded_epoch', 'factor'),
    [(0, 0, 1), (1, 0, 2), (2, 0, 4), (9, 0, 8), (9, 3, 8), (9, 4, 1)],
)
async def test_acquire_waits_longer_after_owners_that_have_not_loaded(
    monkeypatch, unfinished, loaded_epoch, factor
):
    """Guards against LOST: each next owner was replaced while it loaded."""
    clock = Clock()
    began_at_s = clock.now
    monkeypatch.setattr(ownership.clocks, 'now_s', clock.now_s)
    store = UnresponsiveOwnerStore(clock)
    claim = ownership.Claim(
        epoch=4, node='other', nonce=1, unfinished=unfinished
    )
    heartbeat = state_writer.OwnerHeartbeat(
        node='other', number=1, loaded_epoch=loaded_epoch
    )

    async def read_range(table, **_options):
        return [
            rows.Row(
                table=table,
                key=key,
                value=msgspec.msgpack.encode(value),
                version=7,
            )
            for key, value in (
                (state_writer.KEY_CLAIM, claim),
                (state_writer.KEY_HEARTBEAT, heartbeat),
            )
        ], 7

    store.read_range = read_range
    elector = ownership.OwnerElector(store=store, node='n1', cores=2.0)
    await elector.acquire()
    elapsed_s = clock.now - began_at_s
    shortest_s = ownership.HEARTBEAT_TIMEOUT_S * factor
    longest_s = shortest_s + ownership.CLAIM_JITTER_S * factor
    assert shortest_s <= elapsed_s <= longest_s + 0.02
    put = msgspec.msgpack.decode(store.claim_call[1][0].value)
    assert put['unfinished'] == (0 if loaded_epoch == 4 else unfinished + 1)


@pytest.mark.parametrize(
    ('error', 'given_up'),
    [
        (None, True),
        (rows.StoreRefused('busy'), False),
        (rows.Conflicted([]), True),
        (rows.StoreSilent('no answer'), True),
    ],
)
async def test_release_without_answer_counts_as_not_given_up(
    monkeypatch, error, given_up
):
    """Guards against TWICE: leases were extended after such a release.

    The store may carry it out later, and the next owner then claims at once.
    """
    clock = Clock()
    monkeypatch.setattr(ownership.clocks, 'now_s', clock.now_s)
    store = UnresponsiveOwnerStore(clock)
    elector = ownership.OwnerElector(store=store, node='n1')
    _, version = await elector.acquire()
    if error is not None:

        async def transact(**_fields):
            raise error

        store.transact = transact
    assert await elector.release(version) is given_up


class ClaimStore:
    """A store that keeps the owner's rows."""

    def __init__(self, *, claim, heartbeat):
        self.version = 9
        self.rows = {
            state_writer.KEY_CLAIM: (msgspec.msgpack.encode(claim), 7),
            state_writer.KEY_HEARTBEAT: (msgspec.msgpack.encode(heartbeat), 5),
        }

    async def read_range(self, table, **_options):
        return [
            rows.Row(table=table, key=key, value=value, version=version)
            for key, (value, version) in self.rows.items()
        ], self.version

    async def transact(self, *, expected, puts):
        assert all(self.rows[row.key][1] == row.version for row in expected)
        self.version += 1
        for put in puts:
            self.rows[put.key] = (put.value, self.version)
        return self.version


@pytest.mark.parametrize('released', [False, True])
@pytest.mark.parametrize('unused', [0, 1, 2])
async def test_owner_that_does_nothing_leaves_what_it_found(unused, released):
    """Guards against waits that begin anew.

    Nodes were told to stop while their claims were under way.
    """
    handover = possible_runs.Handover(epoch=4, row_count=2)
    store = ClaimStore(
        claim=ownership.Claim(
            epoch=4,
            node='n1',
            nonce=1,
            unfinished=1,
            released=released,
            handover=handover,
        ),
        heartbeat=state_writer.OwnerHeartbeat(
            node='n1', number=1, dark=[4, {'i-1': [2000, 3]}], loaded_epoch=4
        ),
    )
    for _ in range(unused):
        elector = ownership.OwnerElector(store=store, node='n1')
        _, version = await elector.acquire()
        await elector.release_unused(version)
    elector = ownership.OwnerElector(store=store, node='n1')
    epoch, version = await elector.acquire()
    assert epoch == 5 + unused
    assert set(elector.named_leases) == {'i-1'}
    claim = msgspec.msgpack.decode(store.rows[state_writer.KEY_CLAIM][0])
    assert claim['unfinished'] == 0
    # A list of an owner that has not released the unit is not whole.
    assert elector.handover == (
        handover if released else possible_runs.Handover()
    )
    # One that has acted vouches for nothing that it has found.
    await elector.release(version)
    elector = ownership.OwnerElector(store=store, node='n1')
    await elector.acquire()
    assert not elector.named_leases
    assert not elector.handover.row_count


@pytest.mark.parametrize('successor', ['n1', 'n2', ''])
async def test_unit_is_left_to_the_chosen_successor_for_a_while(
    monkeypatch, successor
):
    clock = Clock()
    delays_s = []

    async def sleep(delay_s):
        delays_s.append(delay_s)
        clock.now += delay_s

    monkeypatch.setattr(ownership.clocks, 'now_s', clock.now_s)
    monkeypatch.setattr(ownership.asyncio, 'sleep', sleep)
    claim = ownership.Claim(
        epoch=4, node='n0', nonce=1, released=True, successor=successor
    )
    store = UnresponsiveOwnerStore(clock, claim)
    elector = ownership.OwnerElector(store=store, node='n1')
    began_at_s = clock.now
    await elector.acquire()
    elapsed_s = clock.now - began_at_s
    match successor:
        case 'n1':
            assert elapsed_s == 0.0
        case 'n2':
            assert sum(store.waits_s) == pytest.approx(
                ownership.SUCCESSOR_WAIT_S
            )
            assert elapsed_s > ownership.SUCCESSOR_WAIT_S
        case _:
            assert not store.waits_s
            assert elapsed_s >= elector.claim_delay_s


class ReleasedStore(UnresponsiveOwnerStore):
    """A store in which other nodes claim the unit and release it at once.

    :param claims: how many claims are lost to them.
    """

    def __init__(self, clock, *, claims):
        super().__init__(clock)
        self.claims, self.version = claims, 7
        self.claim_calls = 0

    async def read_range(self, table, **_options):
        claim = ownership.Claim(
            epoch=self.version - 3,
            node='other',
            nonce=self.version,
            released=True,
        )
        row = rows.Row(
            table=table,
            key=state_writer.KEY_CLAIM,
            value=msgspec.msgpack.encode(claim),
            version=self.version,
        )
        return [row], self.version

    async def transact(self, *, expected, puts):
        self.claim_calls += 1
        if self.claims:
            self.claims -= 1
            self.version += 1
            raise rows.Conflicted([])
        return await super().transact(expected=expected, puts=puts)


async def test_acquire_claims_a_unit_that_was_released_meanwhile(monkeypatch):
    """Guards against a pause of .8 s beside each claim that is given back.

    The node read the released claim when its own was not accepted, and then
    waited for a change.
    """
    clock = Clock()
    monkeypatch.setattr(ownership.clocks, 'now_s', clock.now_s)
    store = ReleasedStore(clock, claims=3)
    elector = ownership.OwnerElector(store=store, node='n1')
    assert await elector.acquire()
    assert store.claim_calls == 4
    assert not store.waits_s


@pytest.mark.parametrize('delayed', [False, True])
async def test_acquire_claims_nothing_once_the_node_stops(
    monkeypatch, delayed
):
    """Guards against owners that last for a moment in a rolling restart.

    :param delayed: the node is told to stop while it delays its claim.
    """
    clock = Clock()
    monkeypatch.setattr(ownership.clocks, 'now_s', clock.now_s)
    store = ReleasedStore(clock, claims=0)
    elector = ownership.OwnerElector(store=store, node='n1')
    if delayed:
        asyncio.get_running_loop().call_later(0.01, elector.stop)
    else:
        elector.stop()
    async with asyncio.timeout(1.0):
        assert await elector.acquire() is None
    assert not store.claim_calls
