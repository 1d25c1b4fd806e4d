"""Group commit: writes many independent small transactions in one call.

It keeps the number of calls to the table service low.
"""

import asyncio

from arbutusrock import errors
from arbutusrock.links import platform_client

__all__ = ['Batcher']

MAX_BATCH_TRANSACTIONS = 100


class _Entry:
    """One transaction that waits for its batch.

    :ivar future: gets the version of the written rows, or the error.
    """

    __slots__ = ('conditions', 'writes', 'future')

    def __init__(self, *, conditions, writes):
        self.conditions = conditions
        self.writes = writes
        self.future = asyncio.get_running_loop().create_future()


class Batcher:
    """Collects transactions for a short time and commits them together.

    When a condition does not hold, nothing of the batch is written; each
    transaction is then committed alone and gets its own result.

    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param delay_s: how long the first transaction of a batch waits for
        others.
    """

    def __init__(self, *, platform, delay_s):
        self.platform = platform
        self.delay_s = delay_s
        self._entries = []
        self._wake = asyncio.Event()

    async def commit(self, conditions, writes):
        """Add one transaction and wait for its result.

        :returns: version of the written rows.
        :raises Conflicted: when a condition did not hold.
        :raises errors.StoreUnavailable: when no answer came; the transaction
            may have taken effect.
        """
        entry = _Entry(conditions=conditions, writes=writes)
        self._entries.append(entry)
        self._wake.set()
        return await entry.future

    async def run(self):
        """Commit one batch after another until cancelled."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(self.delay_s)
            batch = self._entries[:MAX_BATCH_TRANSACTIONS]
            del self._entries[:MAX_BATCH_TRANSACTIONS]
            if not self._entries:
                self._wake.clear()
            await self._commit_batch(batch)

    async def _commit_batch(self, batch):
        conditions = [item for entry in batch for item in entry.conditions]
        writes = [item for entry in batch for item in entry.writes]
        try:
            version = await self.platform.commit(conditions, writes)
        except platform_client.Conflicted as exc:
            if len(batch) == 1:
                _fail(batch[0], exc)
                return
            for entry in batch:
                await self._commit_batch([entry])
        except errors.StoreUnavailable as exc:
            for entry in batch:
                _fail(entry, exc)
        else:
            for entry in batch:
                if not entry.future.done():
                    entry.future.set_result(version)


def _fail(entry, exc):
    if not entry.future.done():
        entry.future.set_exception(exc)
