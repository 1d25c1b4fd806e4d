"""Time-outs of calls while the process itself is busy."""

import asyncio
import contextlib
import http.server
import threading
import time

import pytest
import uvloop

from arbutusrock.utils import http as http_errors
from arbutusrock.utils import http_connections
from arbutusrock.utils import timeouts

TIMEOUT_S = 0.1


@contextlib.contextmanager
def serve(answer_after_s, received):
    """Run a server in a thread of its own; yield its address.

    :param received: semaphore that is released when a call has arrived.
    """

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def do_POST(self):
            received.release()
            time.sleep(answer_after_s)
            self.send_response(200)
            self.send_header('Content-Length', '2')
            self.end_headers()
            self.wfile.write(b'ok')

        def log_message(self, *_args):
            pass

    server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, args=(0.01,)).start()
    try:
        yield f'127.0.0.1:{server.server_port}'
    finally:
        server.shutdown()
        server.server_close()


@pytest.mark.parametrize(
    'loop_factory', [uvloop.new_event_loop, asyncio.new_event_loop]
)
@pytest.mark.parametrize(('answer_after_s', 'answers'), [(0.1, 2), (1.2, 0)])
def test_answers_of_workers_are_read_that_came_while_owner_was_held_up(
    loop_factory, answer_after_s, answers
):
    """A busy owner took workers for silent that had answered it in time."""
    received = threading.Semaphore(0)

    async def call_twice(address):
        client = http_connections.PersistentClient(
            address=address,
            max_connections=2,
            create_timeout=timeouts.create_call_timeout,
        )
        calls = [
            asyncio.ensure_future(client.call('POST', '/', timeout_s=0.3))
            for _ in range(2)
        ]
        for _ in calls:
            await asyncio.to_thread(received.acquire)
        asyncio.get_running_loop().call_soon(time.sleep, 0.6)
        results = await asyncio.gather(*calls, return_exceptions=True)
        await client.close()
        return [getattr(item, 'status', type(item)) for item in results]

    with (
        serve(answer_after_s, received) as address,
        asyncio.Runner(loop_factory=loop_factory) as runner,
    ):
        began_at_s = time.monotonic()
        results = runner.run(call_twice(address))
        assert time.monotonic() - began_at_s < 1.5
    missing = [http_errors.NoAnswer] * (2 - answers)
    assert results == [200] * answers + missing


async def test_call_timeout_ends_on_time_while_loop_is_idle():
    began_at_s = time.monotonic()
    with pytest.raises(TimeoutError):
        async with timeouts.CallTimeout(timeout_s=TIMEOUT_S):
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
        async with timeouts.CallTimeout(timeout_s=TIMEOUT_S):
            await asyncio.sleep(60.0)
    blocker.cancel()
    took_s = time.monotonic() - began_at_s
    assert took_s < TIMEOUT_S + timeouts.MAX_CATCH_UP_S + 0.5


async def test_call_timeout_lets_cancellation_through():
    async def wait():
        async with timeouts.CallTimeout(timeout_s=5.0):
            await asyncio.sleep(5.0)

    task = asyncio.create_task(wait())
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
