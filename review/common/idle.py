"""Idle workers, many in one process: they answer lease renewals only."""

import asyncio
import json
import time

__all__ = ['serve']

HOST = '127.0.0.1'


class _Connection(asyncio.Protocol):
    """One connection of a caller, which sends one call after the other."""

    def __init__(self, *, born_ms):
        self.born_ms = born_ms
        self.began_at_s = time.monotonic()
        self.transport = None
        self.data = b''

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.data += data
        head, separator, body = self.data.partition(b'\r\n\r\n')
        if not separator:
            return
        size = 0
        for line in head.split(b'\r\n')[1:]:
            name, _, value = line.partition(b':')
            if name.lower() == b'content-length':
                size = int(value)
        if len(body) < size:
            return
        self.data = body[size:]
        wait_ms = json.loads(body[:size] or b'{}').get('waitMs', 0)
        asyncio.get_running_loop().call_later(wait_ms / 1000, self._answer)

    def _answer(self):
        clock_ms = int((time.monotonic() - self.began_at_s) * 1000) + 60_000
        body = json.dumps(
            {
                'clockMs': clock_ms,
                'running': [],
                'ended': [],
                'born': self.born_ms,
            }
        ).encode()
        if not self.transport.is_closing():
            self.transport.write(
                b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
            )


async def serve(born_ms):
    """Serve idle workers on a free port; return the server and its address."""
    server = await asyncio.get_running_loop().create_server(
        lambda: _Connection(born_ms=born_ms), HOST, 0, backlog=4096
    )
    port = server.sockets[0].getsockname()[1]
    return server, f'{HOST}:{port}'
