"""Reads of a store that is silent, refuses calls, or serves some parts."""

import asyncio

import pytest

from arbutusrock.engine.ports import feeds
from arbutusrock.engine.ports import rows


class Store:
    """Answers each read of a part with the next of its outcomes.

    An outcome is a version, an exception to raise, or None for no answer.
    """

    def __init__(self, **outcomes):
        self.outcomes = outcomes
        self.open_reads = 0

    async def read_range(self, _table, *, part):
        outcome = self.outcomes[part].pop(0)
        self.open_reads += 1
        try:
            if outcome is None:
                await asyncio.sleep(3600)
            if isinstance(outcome, Exception):
                raise outcome
        finally:
            self.open_reads -= 1
        return [f'{part}-{outcome}'], outcome


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    monkeypatch.setattr(feeds, 'HEDGE_DELAY_S', 0.02)
    monkeypatch.setattr(feeds, 'RETRY_DELAY_S', 0.01)


@pytest.mark.parametrize(
    ('outcomes', 'found', 'version'),
    [
        ({'a': [3], 'b': [2]}, ['a-3', 'b-2'], 2),
        # The store is back, but never answers what was sent before.
        ({'a': [None, None, 5]}, ['a-5'], 5),
        # A part that was refused is read again, and the other one is not.
        (
            {'a': [4], 'b': [rows.StoreRefused('503'), 6]},
            ['a-4', 'b-6'],
            4,
        ),
        ({'a': [rows.StoreSilent('late'), 7]}, ['a-7'], 7),
        ({'a': [None, rows.StoreRefused('503'), 8]}, ['a-8'], 8),
    ],
)
async def test_read_with_retries(outcomes, found, version):
    store = Store(**outcomes)
    async with asyncio.timeout(5):
        answer = await feeds.read_with_retries(store, 't', tuple(outcomes))
    assert answer == (found, version)
    await asyncio.sleep(0)
    assert store.open_reads == 0
    assert not any(store.outcomes.values())


async def test_cancelled_read_leaves_no_attempts():
    store = Store(a=[None] * 100)
    reading = asyncio.ensure_future(
        feeds.read_with_retries(store, 't', ('a',))
    )
    await asyncio.sleep(0.1)
    assert store.open_reads > 1
    reading.cancel()
    with pytest.raises(asyncio.CancelledError):
        await reading
    await asyncio.sleep(0)
    assert store.open_reads == 0
