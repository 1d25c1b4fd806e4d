"""Serves HTTP requests on one address, within the limits of a table."""

import asyncio
import socket

from arbutusrock.serving import connection

__all__ = ['RECEIVE_BUFFER_BYTES', 'Listener', 'open_socket']

# What the kernel keeps for a connection that is not read for a while.
RECEIVE_BUFFER_BYTES = 65_536
# The server stops reading a body when so much of it waits to be processed.
READ_BUFFER_BYTES = 65_536


def open_socket(host, port):
    """Return a socket that is bound to an address.

    :param host: IP address, of version 4 or 6.
    :param port: port; 0 lets the kernel choose one.
    :raises OSError: the address cannot be used.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


class Listener:
    """Listening socket whose connections are served by a runner of aiohttp.

    :param runner: runner of an application or of a handler; it is set up, and
        cleaned up at the end.
    :param table: :class:`arbutusrock.serving.ConnectionTable`.
    :param auto_decompress: whether compressed bodies are decompressed.
    :ivar address: ``(host, port)`` in use.
    """

    def __init__(self, *, runner, table, auto_decompress=False):
        self.runner = runner
        self.table = table
        self.auto_decompress = auto_decompress
        self.address = None
        self._server = None

    async def start(self, sock, *, backlog=128):
        """Listen on a socket.

        :param backlog: connections that wait to be accepted (count).
        """
        # Connections get it from the socket that accepts them.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        await self.runner.setup()
        self._server = await asyncio.get_running_loop().create_server(
            self._create_connection, sock=sock, backlog=backlog
        )
        self.address = sock.getsockname()[:2]

    def _create_connection(self):
        limits = self.table.limits
        return connection.Connection(
            self.runner.server,
            table=self.table,
            loop=asyncio.get_running_loop(),
            access_log=None,
            auto_decompress=self.auto_decompress,
            max_line_size=limits.line_bytes,
            max_field_size=limits.line_bytes,
            keepalive_timeout=limits.idle_timeout_s,
            read_bufsize=READ_BUFFER_BYTES,
        )

    async def cleanup(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        await self.runner.cleanup()
