"""Tests of the errors of the HTTP client."""

import asyncio
import contextlib
import http.server
import threading
import time

import pytest
import uvloop

from arbutusrock.utils import http as http_client
from arbutusrock.utils import timeouts


async def test_http_client_call_raises_not_sent_after_close():
    """A node that was stopping crashed on a call with a closed client."""
    client = http_client.HTTPClient(
        base_url='http://127.0.0.1:9', max_connections=1
    )
    await client.close()
    with pytest.raises(http_client.NotSent):
        await client.call('GET', '/', timeout_s=1.0)


@contextlib.contextmanager
def serve(answer_after_s):
    """Run a server in a thread of its own; yield its address."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def do_GET(self):
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
        yield f'http://127.0.0.1:{server.server_port}'
    finally:
        server.shutdown()
        server.server_close()


@pytest.mark.parametrize(
    'loop_factory', [uvloop.new_event_loop, asyncio.new_event_loop]
)
@pytest.mark.parametrize(('answer_after_s', 'answers'), [(0.1, 2), (1.2, 0)])
def test_http_client_reads_answers_that_came_while_it_was_held_up(
    loop_factory, answer_after_s, answers
):
    """A busy owner took workers for silent that had answered it in time."""

    async def call_twice(base_url):
        client = http_client.HTTPClient(
            base_url=base_url,
            max_connections=2,
            create_timeout=timeouts.CallTimeout,
        )
        calls = [
            asyncio.ensure_future(client.call('GET', '/', timeout_s=0.3))
            for _ in range(2)
        ]
        await asyncio.sleep(0.05)
        asyncio.get_running_loop().call_soon(time.sleep, 0.6)
        results = await asyncio.gather(*calls, return_exceptions=True)
        await client.close()
        return [getattr(item, 'status', type(item)) for item in results]

    with (
        serve(answer_after_s) as base_url,
        asyncio.Runner(loop_factory=loop_factory) as runner,
    ):
        began_at_s = time.monotonic()
        results = runner.run(call_twice(base_url))
        assert time.monotonic() - began_at_s < 1.5
    missing = [http_client.NoAnswer] * (2 - answers)
    assert results == [200] * answers + missing
