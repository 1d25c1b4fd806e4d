"""Tests that a node follows the store again as soon as it serves."""

import asyncio

from arbutusrock.engine.ports import feeds
from arbutusrock.engine.ports import rows


class RefusingStore:
    """A store that refuses the first watch calls and records their waits."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.waits_s = []
        self.served_twice = asyncio.Event()

    async def watch(self, _table, *, after, wait_s):
        await asyncio.sleep(0)
        self.waits_s.append(wait_s)
        if len(self.waits_s) <= self.refusals:
            raise rows.StoreRefused('503')
        if len(self.waits_s) > self.refusals + 1:
            self.served_twice.set()
        return [], after


async def test_follow_asks_without_wait_while_calls_fail(monkeypatch):
    """A call that the store holds would confirm the configuration late.

    A node refuses its callers until then: for 1.2 to 2.5 s after an outage.
    """
    monkeypatch.setattr(feeds, 'RETRY_DELAY_S', 0.0)
    store = RefusingStore(refusals=2)
    applied = []
    following = asyncio.ensure_future(
        feeds.follow_table(
            store,
            rows.TABLE_OPERATOR,
            apply=lambda found, _whole, _version: applied.append(found),
            parts=('',),
            wait_s=1.2,
            version=1,
        )
    )
    async with asyncio.timeout(5):
        await store.served_twice.wait()
    following.cancel()
    assert store.waits_s[:4] == [1.2, 0.0, 0.0, 1.2]
    assert applied
