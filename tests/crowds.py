"""Crowds of clients that keep no rule, and what they do to one process.

A crowd opens its connections at once and sends bytes without end, or a few
and then nothing. It does not read what comes back. It has ended when all its
bytes are sent, when its connections are closed, or when none of them takes
more bytes; the connections that are still open stay so until it leaves.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import random

__all__ = ['FLOODS', 'Crowd', 'ProcessWatch', 'send_once']


CONNECTIONS = 48
TOTAL_BYTES = 400_000_000
CHUNK_BYTES = 65_536
# A crowd ends when none of its connections has taken bytes for this long.
STALL_S = 3.0
WATCH_INTERVAL_S = 0.05

REQUEST_LINE = b'GET /crowd HTTP/1.1\r\nHost: crowd.example\r\n'
POST_LINE = b'POST /crowd HTTP/1.1\r\nHost: crowd.example\r\n'


def _repeat(first, piece):
    """Yield ``first``, then ``piece`` without end, in chunks."""
    yield first
    chunk = piece * max(1, CHUNK_BYTES // len(piece))
    while True:
        yield chunk


def _count_names():
    """Yield a head whose field names are all different, without end."""
    yield REQUEST_LINE
    for number in itertools.count():
        yield b''.join(
            b'X-%d-%d: %s\r\n' % (number, line, b'v' * 1000)
            for line in range(64)
        )


def _choose_noise():
    """Yield bytes that are no HTTP, without end."""
    source = random.Random(53)  # noqa: S311
    chunk = source.randbytes(CHUNK_BYTES)
    while True:
        yield chunk


def send_once(data):
    """Return a function for :class:`Crowd` whose connections send little.

    :param data: what each connection sends before it falls silent.
    """
    return lambda: iter((data,))


# What each connection of a crowd sends without end, by the name of the crowd.
FLOODS = {
    'field-lines-without-end': lambda: _count_names(),
    'one-field-line-without-end': lambda: _repeat(
        REQUEST_LINE + b'X-Long: ', b'v'
    ),
    'one-field-name-without-end': lambda: _repeat(REQUEST_LINE, b'n'),
    'target-without-end': lambda: _repeat(b'GET /', b't'),
    'method-without-end': lambda: _repeat(b'', b'M'),
    'empty-lines-without-end': lambda: _repeat(b'', b'\r\n'),
    'noise': lambda: _choose_noise(),
    'chunk-extension-without-end': lambda: _repeat(
        POST_LINE + b'Transfer-Encoding: chunked\r\n\r\n5;e=', b'x'
    ),
    'tiny-chunks-without-end': lambda: _repeat(
        POST_LINE + b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\nx\r\n'
    ),
    'trailers-without-end': lambda: _repeat(
        POST_LINE + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-Trailer: ' + b'v' * 1000 + b'\r\n',
    ),
    'body-without-end': lambda: _repeat(
        POST_LINE + b'Content-Length: 1000000000000\r\n\r\n', b'b'
    ),
    'requests-without-reading-answers': lambda: _repeat(
        b'', REQUEST_LINE + b'\r\n'
    ),
    'bodies-behind-one-another': lambda: _repeat(
        b'',
        POST_LINE + b'Content-Length: 250000\r\n\r\n' + b'b' * 250_000,
    ),
    'upgrade-without-end': lambda: _repeat(
        REQUEST_LINE + b'Connection: upgrade\r\nUpgrade: websocket\r\n\r\n',
        b'u',
    ),
}


class Crowd:
    """Connections that send the same kind of bytes.

    :param address: ``(host, port)`` of the listener.
    :param create_bytes: returns an iterator of what one connection sends.
    :param connections: number of connections.
    :param total_bytes: what all of them send at most.
    """

    def __init__(
        self,
        *,
        address,
        create_bytes,
        connections=CONNECTIONS,
        total_bytes=TOTAL_BYTES,
    ):
        self.address = address
        self.create_bytes = create_bytes
        self.connections = connections
        self.share_bytes = total_bytes // connections
        self.sent_bytes = 0
        self._writers = []

    async def run(self):
        """Send until the crowd has ended; its connections stay open."""
        tasks = [
            asyncio.ensure_future(self._send())
            for _ in range(self.connections)
        ]
        before = -1
        while self.sent_bytes != before:
            before = self.sent_bytes
            _, pending = await asyncio.wait(tasks, timeout=STALL_S)
            if not pending:
                break
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send(self):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*self.address)
            self._writers.append(writer)
            writer.transport.pause_reading()
            left = self.share_bytes
            for chunk in self.create_bytes():
                if left <= 0 or writer.transport.is_closing():
                    return
                writer.write(chunk)
                await writer.drain()
                left -= len(chunk)
                self.sent_bytes += len(chunk)

    def leave(self):
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()


def count_unread_bytes(port):
    """Return the bytes received at a port that its process has not read."""
    unread = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(':')[2], 16) == port:
            unread += int(fields[4].partition(':')[2], 16)
    return unread


class ProcessWatch:
    """Watches descriptors and unread bytes of a process.

    :param pid: the process.
    :param port: where its clients connect.
    """

    def __init__(self, *, pid, port):
        self.pid = pid
        self.port = port
        self.max_descriptors = 0
        self.max_unread_bytes = 0
        self._task = None

    async def __aenter__(self):
        self._task = asyncio.ensure_future(self._watch())
        return self

    async def __aexit__(self, *_):
        self._task.cancel()

    async def _watch(self):
        while True:
            self.max_descriptors = max(
                self.max_descriptors, len(os.listdir(f'/proc/{self.pid}/fd'))
            )
            self.max_unread_bytes = max(
                self.max_unread_bytes, count_unread_bytes(self.port)
            )
            await asyncio.sleep(WATCH_INTERVAL_S)

    @property
    def peak_bytes(self):
        """Largest resident memory so far, and the most of unread bytes.

        On the platform, unread bytes count as memory of the process.
        """
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmHWM:'):
                resident_bytes = int(line.split()[1]) * 1024
                return resident_bytes + self.max_unread_bytes
        raise AssertionError(f'process {self.pid} has ended')
