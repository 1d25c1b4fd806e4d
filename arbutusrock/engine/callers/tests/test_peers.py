"""A node announces its address to the others."""

import asyncio

import pytest

from arbutusrock.engine.callers import peers
from arbutusrock.engine.ports import rows


class OverwrittenStore:
    """Shows an older address of ``n1`` until it is written again."""

    def __init__(self):
        self.writes = []

    async def transact(self, *, puts):
        self.writes.append(puts[0].value)
        return len(self.writes)

    async def read_range(self, table, **_fields):
        value = self.writes[-1] if len(self.writes) > 1 else b'h:1'
        return [rows.Row(table=table, key='n1', value=value, version=1)], 1


async def test_late_write_of_earlier_process_leaves_no_dead_address(
    monkeypatch,
):
    monkeypatch.setattr(peers, 'REFRESH_INTERVAL_S', 0.01)
    store = OverwrittenStore()
    known = peers.Peers(store=store, node='n1')
    known.announce('h:2')
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await known.run()
    assert store.writes == [b'h:2', b'h:2']


class MalformedStore:
    """Shows rows of other nodes that are no addresses, and a sound one."""

    async def transact(self, *, puts):
        return 1

    async def read_range(self, table, **_fields):
        values = {
            'n1': b'h:1',
            'n2': b'\xff\xfe',
            'n3': None,
            'n4': b'h:4',
            'n5': b'h:x',
        }
        return [
            rows.Row(table=table, key=key, value=value, version=1)
            for key, value in values.items()
        ], 1


async def test_malformed_address_is_left_out(monkeypatch):
    """One such row ended the process of each node that read it."""
    monkeypatch.setattr(peers, 'REFRESH_INTERVAL_S', 0.01)
    known = peers.Peers(store=MalformedStore(), node='n1')
    known.announce('h:1')
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await known.run()
    assert known.addresses == {'n4': 'h:4'}
