"""Tests that permits never exceed the limit, by random schedules.

Three members share a store that can be down or lose answers after the write.
Messages between them are dropped, duplicated and delivered in any order.
"""

import asyncio
import random

import hypothesis
from hypothesis import strategies
import pytest

from arbutusrock import contracts
from arbutusrock.contracts import permit_rows
from arbutusrock.contracts import permits as permits_module
from arbutusrock import errors
from arbutusrock.links import messages
from arbutusrock.links import platform_client
from arbutusrock.links import table
from arbutusrock.utils import documents

TEAM_NAME = contracts.TeamName('c', 't')
MEMBERS = ('a', 'b', 'c')


class FakeStore:
    """Table service in memory; it can be down or lose the next answer."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.down = False
        self.lose_next_answer = False
        self.conflict_next = False

    @property
    def unresponsive(self):
        return self.down

    async def read_row(self, table_name, key):
        self._check()
        return self.rows.get((table_name, key))

    async def read(self, *ranges):
        self._check()
        return [
            [
                row
                for (name, _), row in sorted(self.rows.items())
                if name == item.table
            ]
            for item in ranges
        ]

    async def commit(self, conditions, writes):
        self._check()
        await asyncio.sleep(0)
        if self.conflict_next:
            self.conflict_next = False
            raise platform_client.Conflicted([])
        for item in conditions:
            found = self.rows.get((item.table, item.key))
            if (found.version if found else 0) != item.version:
                raise platform_client.Conflicted([item])
        self.version += 1
        for item in writes:
            self.rows[(item.table, item.key)] = table.Row(
                key=item.key, version=self.version, value=item.value
            )
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise errors.StoreUnavailable('the answer was lost')
        return self.version

    def _check(self):
        if self.down:
            raise errors.StoreUnavailable('down')


class FakeLink:
    """Link of a member to a peer, with the demand it reported last."""

    def __init__(self):
        self.demand = []
        self.digest = None
        self.heard_sequence = 0
        self.age_s = 0.0

    def get_max_age_s(self, echo):
        return self.age_s


class FakePeers:
    """Queues messages in the cluster until the schedule delivers them."""

    def __init__(self, cluster, own_id):
        self.cluster = cluster
        self.links = {item: FakeLink() for item in MEMBERS if item != own_id}

    def send(self, member_id, message):
        self.cluster.messages.append((member_id, message))

    def broadcast(self, message):
        for member_id in self.links:
            self.send(member_id, message)


class FakeMembers:
    """Membership as one member sees it; all three are always live."""

    def __init__(self, cluster, own_id):
        self.cluster = cluster
        self.member_id = own_id
        self.peers = FakePeers(cluster, own_id)

    def find_live(self):
        return list(MEMBERS)

    def are_transfers_settled(self, since_s):
        del since_s
        pending = any(
            isinstance(message, messages.PermitsGiven)
            for _, message in self.cluster.messages
        )
        return not pending and not any(
            node.count_unsettled_permits()
            for node in self.cluster.nodes.values()
        )


class FakeConfiguration:
    """One team with a limit."""

    def __init__(self, limit):
        self.limit = limit
        self.teams = {TEAM_NAME: None}

    def get_limit(self, name):
        return self.limit


class FakeCluster:
    """Three members, their store and the messages in flight."""

    def __init__(self, limit):
        self.store = FakeStore()
        self.messages = []
        self.configuration = FakeConfiguration(limit)
        self.limit = limit
        key = (permit_rows.PERMIT_TABLE, 'c/t')
        self.store.rows[key] = table.Row(
            key='c/t',
            version=1,
            value=documents.encode_row(permit_rows.PermitRow(limit=limit)),
        )
        self.store.version = 1
        self.nodes = {
            name: permits_module.PermitController(
                platform=self.store,
                members=FakeMembers(self, name),
                configuration=self.configuration,
            )
            for name in MEMBERS
        }

    def exchange_digests(self):
        """Tell every member the needs of the others."""
        for name, node in self.nodes.items():
            team = node._get_team(TEAM_NAME)
            row = messages.TeamDemand(
                pool='p',
                customer='c',
                team='t',
                running=team.running,
                urgent=max(0, team.need - team.running),
                patient=0,
                permits=team.local_permits,
                need=team.need,
                oldest_s=float(ord(name) - 96),
            )
            for other in self.nodes.values():
                link = other.members.peers.links.get(name)
                if link is not None:
                    link.demand = [row]

    def deliver(self, index, *, duplicate=False):
        """Deliver one message, or a copy of it."""
        if not self.messages:
            return
        index %= len(self.messages)
        receiver, message = self.messages[index]
        if not duplicate:
            del self.messages[index]
        node = self.nodes[receiver]
        if isinstance(message, messages.PermitsGiven):
            node.handle_permits_given(message)

    def check_invariants(self):
        """Assert that each task has a permit and the limit is kept."""
        held = [n.get_local_permits(TEAM_NAME) for n in self.nodes.values()]
        running = [n.get_running(TEAM_NAME) for n in self.nodes.values()]
        assert sum(held) <= self.limit, held
        assert all(r <= h for r, h in zip(running, held, strict=True))

    def read_row(self):
        row = self.store.rows[(permit_rows.PERMIT_TABLE, 'c/t')]
        return documents.decode_row(row.value, permit_rows.PermitRow)


STEPS = (
    'need',
    'start',
    'end',
    'settle',
    'settle together',
    'digest',
    'deliver',
    'double',
    'drop',
    'down',
    'up',
    'lose',
)


async def take_step(cluster, step, rng):
    """Take one step of a schedule at a random member."""
    node = cluster.nodes[rng.choice(MEMBERS)]
    match step:
        case 'need':
            running = node.get_running(TEAM_NAME)
            node.set_need(TEAM_NAME, max(running, rng.randrange(9)))
        case 'start':
            node.try_acquire(TEAM_NAME)
        case 'end':
            if node.get_running(TEAM_NAME):
                node.release(TEAM_NAME)
        case 'settle':
            await node._try_reconcile(TEAM_NAME)
        case 'settle together':
            await asyncio.gather(
                *(
                    item._try_reconcile(TEAM_NAME)
                    for item in cluster.nodes.values()
                )
            )
        case 'digest':
            cluster.exchange_digests()
        case 'deliver':
            cluster.deliver(rng.randrange(100))
        case 'double':
            cluster.deliver(rng.randrange(100), duplicate=True)
        case 'drop':
            if cluster.messages:
                cluster.messages.pop(rng.randrange(len(cluster.messages)))
        case 'down':
            cluster.store.down = True
        case 'up':
            cluster.store.down = False
        case 'lose':
            cluster.store.lose_next_answer = True


@hypothesis.settings(max_examples=200)
@hypothesis.given(
    strategies.integers(1, 7),
    strategies.lists(strategies.sampled_from(STEPS), max_size=120),
    strategies.integers(0, 10_000),
)
def test_permits_never_exceed_limit(limit, steps, seed):
    """Lost writes, and lost or duplicated transfers, must create no permit."""

    async def run():
        cluster = FakeCluster(limit)
        rng = random.Random(seed)  # noqa: S311
        for step in steps:
            await take_step(cluster, step, rng)
            cluster.check_invariants()
        await check_recovery(cluster)
        cluster.check_invariants()

    asyncio.run(run())


async def check_recovery(cluster):
    """Assert that no permit stays lost after the faults.

    The store is up, all messages were delivered and no task runs; then one
    member can get all permits of the team.
    """
    cluster.store.down = False
    cluster.store.lose_next_answer = False
    while cluster.messages:
        cluster.deliver(0)
    for node in cluster.nodes.values():
        team = node._get_team(TEAM_NAME)
        team.sent_at_s = -1000.0
        while node.get_running(TEAM_NAME):
            node.release(TEAM_NAME)
        node.set_need(TEAM_NAME, 0)
    node = cluster.nodes['a']
    node.set_need(TEAM_NAME, cluster.limit)
    for _ in range(6):
        cluster.exchange_digests()
        for item in cluster.nodes.values():
            await item._try_reconcile(TEAM_NAME)
        cluster.messages.clear()
        cluster.check_invariants()
    assert node.get_local_permits(TEAM_NAME) == cluster.limit
    assert cluster.read_row().held == {'a': cluster.limit}


async def create_idle_holder(limit, held):
    """Return a cluster in which a holds idle permits and b needs two."""
    cluster = FakeCluster(limit)
    holder, waiting = cluster.nodes['a'], cluster.nodes['b']
    holder.set_need(TEAM_NAME, held)
    await holder._try_reconcile(TEAM_NAME)
    holder.set_need(TEAM_NAME, 0)
    waiting.set_need(TEAM_NAME, 2)
    cluster.exchange_digests()
    return cluster, holder, waiting


def test_conflict_while_permits_are_given_up_loses_none():
    """Another member's write comes first, as when all give up at once.

    Four of 16 permits belonged to nobody then, and a member with 64 requests
    got none for a minute.
    """

    async def run():
        cluster, holder, waiting = await create_idle_holder(4, held=4)
        cluster.store.conflict_next = True
        for _ in range(3):
            for node in (holder, waiting):
                await node._try_reconcile(TEAM_NAME)
        assert waiting.get_local_permits(TEAM_NAME) == 2

    asyncio.run(run())


def test_idle_permits_reach_a_peer_while_the_store_is_down():
    """The free permits of the row, ten here, can't be had then.

    The holder kept its idle ones, as if the peer could take the free ones; the
    peer's requests waited for the whole outage.
    """

    async def run():
        cluster, holder, waiting = await create_idle_holder(12, held=2)
        cluster.store.down = True
        await holder._try_reconcile(TEAM_NAME)
        while cluster.messages:
            cluster.deliver(0)
        assert waiting.get_local_permits(TEAM_NAME) == 2
        assert waiting.try_acquire(TEAM_NAME)
        cluster.check_invariants()

    asyncio.run(run())


def test_check_invariants_detects_excess_permits():
    """Guards against a check that passes whatever the members hold."""

    async def run():
        cluster = FakeCluster(2)
        cluster.nodes['a']._get_team(TEAM_NAME).local_permits = 2
        cluster.nodes['b']._get_team(TEAM_NAME).local_permits = 1
        cluster.check_invariants()

    with pytest.raises(AssertionError):
        asyncio.run(run())


def test_handle_permits_given_ignores_late_message():
    """The sender may count a late transfer as lost and free its permits."""

    async def run():
        cluster = FakeCluster(4)
        node = cluster.nodes['a']
        node.members.peers.links['b'].age_s = 10.0
        node.handle_permits_given(
            messages.PermitsGiven(
                sender='b', customer='c', team='t', count=2, gift='x', echo=1
            )
        )
        assert node.get_local_permits(TEAM_NAME) == 0

    asyncio.run(run())
