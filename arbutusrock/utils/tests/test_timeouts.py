"""Time-outs of calls while the process itself is busy."""

import asyncio
import time

import pytest

from arbutusrock.utils import timeouts

TIMEOUT_S = 0.1


async def test_call_timeout_ends_on_time_while_loop_is_idle():
    began_at_s = time.monotonic()
    with pytest.raises(TimeoutError):
        async with timeouts.CallTimeout(TIMEOUT_S):
            await asyncio.sleep(5.0)
    assert TIMEOUT_S <= time.monotonic() - began_at_s < 2 * TIMEOUT_S


async def test_call_timeout_is_bounded_while_loop_stays_busy():
    async def block():
        while True:
            await asyncio.sleep(0)
            time.sleep(TIMEOUT_S / 2)  # noqa: ASYNC251

    blocker = asyncio.create_task(block())
    began_at_s = time.monotonic()
    with pytest.raises(TimeoutError):
        async with timeouts.CallTimeout(TIMEOUT_S):
            await asyncio.sleep(60.0)
    blocker.cancel()
    took_s = time.monotonic() - began_at_s
    assert took_s < TIMEOUT_S + timeouts.MAX_CATCH_UP_S + 0.5


async def test_call_timeout_lets_cancellation_through():
    async def wait():
        async with timeouts.CallTimeout(5.0):
            await asyncio.sleep(5.0)

    task = asyncio.create_task(wait())
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
