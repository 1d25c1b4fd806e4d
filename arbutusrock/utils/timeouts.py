"""Time-outs of calls that allow for a busy event loop."""

import asyncio

__all__ = ['CallTimeout', 'create_call_timeout']

# A timer that fires later than this shows that the event loop was held up.
MAX_LATENESS_S = 0.02
# What came in meanwhile is read within this time.
CATCH_UP_S = 0.1
# Longest time beyond a time-out for which a loop that stays behind is waited
# for.
MAX_CATCH_UP_S = 2.0


class CallTimeout:
    """Asynchronous context manager that gives up a call after a time-out.

    The loop runs the timers that are due before the tasks whose answers it
    has just received. After it was held up, each call in flight would time
    out though its server has answered. So a timer that fires late leaves the
    loop :data:`CATCH_UP_S` to read what came in, and again while it stays
    behind.

    :param timeout_s: the time-out (s).
    :raises TimeoutError: when the block is left because of the time-out.
    """

    __slots__ = ('_timeout_s', '_inner', '_loop', '_latest_at_s', '_timer')

    def __init__(self, *, timeout_s):
        self._timeout_s = timeout_s
        self._inner = asyncio.timeout(None)

    async def __aenter__(self):
        await self._inner.__aenter__()
        self._loop = asyncio.get_running_loop()
        due_at_s = self._loop.time() + self._timeout_s
        self._latest_at_s = due_at_s + MAX_CATCH_UP_S
        self._schedule(due_at_s)
        return self

    async def __aexit__(self, *failure):
        self._timer.cancel()
        return await self._inner.__aexit__(*failure)

    def _schedule(self, due_at_s, last=False):
        self._timer = self._loop.call_at(
            due_at_s, self._expire, due_at_s, last
        )

    def _expire(self, due_at_s, last):
        now_s = self._loop.time()
        if last or now_s - due_at_s <= MAX_LATENESS_S:
            self._inner.reschedule(now_s)
        else:
            self._schedule(now_s + CATCH_UP_S, now_s > self._latest_at_s)


def create_call_timeout(timeout_s):
    """Return a :class:`CallTimeout`; it is called as ``asyncio.timeout``."""
    return CallTimeout(timeout_s=timeout_s)
