"""Fault-injecting TCP proxy for tests.

Each :class:`FaultProxy` forwards one port. When its ``faults`` are replaced,
open connections keep those that they were opened with; only new connections
take the new ones.
"""

import asyncio
import dataclasses

__all__ = ['FaultProxy', 'LinkFaults']

CHUNK_BYTES = 65536
SWAP_TIMEOUT_S = 10


@dataclasses.dataclass(slots=True, kw_only=True)
class LinkFaults:
    """Faults of the connections through a proxy.

    :param refuse: reset new connections at once.
    :param delay_s: delay of each chunk of the answer.
    :param drop_answers: discard the answer and keep the connection open.
    :param drop_requests: discard the request and keep the connection open.
    :param reset_after_request_bytes: reset the connection after that many
        bytes of the request; -1 for never.
    :param reset_after_answer_bytes: reset the connection after that many
        bytes of the answer; -1 for never.
    :param swap_answers: give each of two successive connections the answer
        of the other.
    :param connections_left: number of new connections that take these
        faults; -1 for all.
    """

    refuse: bool = False
    delay_s: float = 0.0
    drop_answers: bool = False
    drop_requests: bool = False
    reset_after_request_bytes: int = -1
    reset_after_answer_bytes: int = -1
    swap_answers: bool = False
    connections_left: int = -1


class FaultProxy:
    """Listens on a port and forwards to ``target_port`` on loopback."""

    def __init__(self, *, target_port):
        self.target_port = target_port
        self.faults = LinkFaults()
        self.port = 0
        self._server = None
        self._tasks = set()
        self._writers = set()
        self._unpaired = None

    async def start(self):
        """Listen on a port that the kernel chooses."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        """Close the port and reset all connections."""
        self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close_port(self):
        """Close the port, so that connecting fails, and reset connections."""
        self._server.close()
        self.reset_all()

    async def reopen_port(self):
        """Listen on the same port again."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', self.port
        )

    def reset_all(self):
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def _take_faults(self):
        faults = self.faults
        if faults.connections_left == 0:
            return LinkFaults()
        if faults.connections_left > 0:
            faults.connections_left -= 1
            return dataclasses.replace(faults)
        return faults

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        upstream = None
        try:
            faults = self._take_faults()
            if faults.refuse:
                return
            upstream_reader, upstream = await asyncio.open_connection(
                '127.0.0.1', self.target_port
            )
            self._writers.add(upstream)
            if faults.swap_answers:
                upstream_reader = await self._swap(upstream_reader)
            await self._forward(
                reader, writer, upstream_reader, upstream, faults
            )
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            for open_writer in (writer, upstream):
                if open_writer is not None:
                    self._writers.discard(open_writer)
                    open_writer.transport.abort()
            self._tasks.discard(task)

    async def _swap(self, upstream_reader):
        """Pair this connection with the next; return the other's reader.

        The first connection of a pair waits until the second is open.
        """
        if self._unpaired is None or self._unpaired[1].done():
            partner_reader = asyncio.get_running_loop().create_future()
            self._unpaired = (upstream_reader, partner_reader)
            async with asyncio.timeout(SWAP_TIMEOUT_S):
                return await partner_reader
        first_reader, first_partner = self._unpaired
        self._unpaired = None
        first_partner.set_result(upstream_reader)
        return first_reader

    async def _forward(
        self, reader, writer, upstream_reader, upstream, faults
    ):
        request_pump = asyncio.create_task(
            _pump(
                reader,
                upstream,
                lambda: faults.drop_requests,
                faults.reset_after_request_bytes,
                0.0,
            )
        )
        answer_pump = asyncio.create_task(
            _pump(
                upstream_reader,
                writer,
                lambda: faults.drop_answers,
                faults.reset_after_answer_bytes,
                faults.delay_s,
            )
        )
        try:
            await asyncio.wait(
                {request_pump, answer_pump},
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            request_pump.cancel()
            answer_pump.cancel()


async def _pump(reader, writer, is_dropping, reset_after_bytes, delay_s):
    """Copy bytes one way until the end of the stream or the reset.

    :param is_dropping: function that says whether to discard bytes now.
    :param reset_after_bytes: number of bytes to copy at most; negative for
        all of them.
    :param delay_s: delay of each chunk.
    """
    remaining_bytes = reset_after_bytes
    while True:
        data = await reader.read(CHUNK_BYTES)
        if not data:
            return
        if delay_s:
            await asyncio.sleep(delay_s)
        if is_dropping():
            continue
        if reset_after_bytes >= 0 and len(data) >= remaining_bytes:
            writer.write(data[:remaining_bytes])
            await writer.drain()
            await asyncio.sleep(0.02)
            return
        remaining_bytes -= len(data)
        writer.write(data)
        await writer.drain()
