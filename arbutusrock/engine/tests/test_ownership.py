"""How soon a silent owner is replaced."""

import msgspec
import pytest

from arbutusrock.engine import journal
from arbutusrock.engine import ownership
from arbutusrock.engine import rows


class Clock:
    """Time that only the store's waits move on."""

    def __init__(self):
        self.now = 100.0

    def now_s(self):
        return self.now


class SilentOwnerStore:
    """A store in which another node's claim stands and no heartbeat comes."""

    def __init__(self, clock):
        self.clock = clock
        self.claimed = None
        self.waits_s = []

    async def read_range(self, table, **_options):
        claim = ownership.Claim(epoch=4, node='other', nonce=1)
        row = rows.Row(
            table=table,
            key=journal.KEY_CLAIM,
            value=msgspec.msgpack.encode(claim),
            version=7,
        )
        return [row], 7

    async def watch(self, _table, *, after, wait_s):
        self.waits_s.append(wait_s)
        self.clock.now += wait_s
        return [], after

    async def transact(self, *, expected, puts):
        self.claimed = (expected, puts)
        return 8


@pytest.mark.parametrize('cores', [2.0, 0.5])
async def test_a_silent_owner_is_replaced_as_soon_as_it_is_due(
    monkeypatch, cores
):
    """Seen on each takeover: all nodes claimed at once, 0.6 s late."""
    clock = Clock()
    monkeypatch.setattr(ownership.clocks, 'now_s', clock.now_s)
    store = SilentOwnerStore(clock)
    owner = ownership.Ownership(store=store, node='n1', cores=cores)
    began_s = clock.now
    epoch, version, _ = await owner.acquire()
    assert (epoch, version) == (5, 8)
    assert store.claimed[0][0].version == 7
    latest_s = ownership.TAKEOVER_S + ownership.SPREAD_S + owner.handicap_s
    taken_s = clock.now - began_s
    assert ownership.TAKEOVER_S <= taken_s <= latest_s + 0.02
    assert max(store.waits_s) <= ownership.WATCH_S
