"""Loopback proxy of one address that can go silent in both directions."""

import asyncio

__all__ = ['SilentProxy']

HOST = '127.0.0.1'
CHUNK_BYTES = 65536


class SilentProxy:
    """Forwards connections to an address until it is cut.

    While it is cut, it accepts connections and answers nothing, as a
    partition does. What is held up meanwhile is dropped with its connection.

    :param target: ``host:port``.
    """

    def __init__(self, *, target):
        self.target = target
        self.is_cut = False
        self.address = ''
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'
        return self.address

    def cut(self):
        """Forward nothing from now on."""
        self.is_cut = True

    def heal(self):
        """Forward new connections; those from before the end are reset."""
        self.is_cut = False
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self):
        """Close the port and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        target_writer = None
        try:
            if self.is_cut:
                while await reader.read(CHUNK_BYTES):
                    pass
                return
            host, _, port = self.target.rpartition(':')
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(target_writer)
            await asyncio.gather(
                self._forward(reader, target_writer),
                self._forward(target_reader, writer),
            )
        except OSError:
            # One of the ends has closed.
            pass
        finally:
            for item in (writer, target_writer):
                if item is not None:
                    self._writers.discard(item)
                    item.close()

    async def _forward(self, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            if self.is_cut:
                continue
            writer.write(data)
            await writer.drain()
        if not self.is_cut:
            writer.close()
