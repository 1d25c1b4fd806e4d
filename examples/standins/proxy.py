"""Fault-injecting TCP proxy for tests.

Each :class:`FaultProxy` forwards one port. Faults are named steps of an
exchange; connections that stand keep the faults they were opened with, new
ones take the present ones.
"""

import asyncio
import dataclasses

__all__ = ['FaultProxy', 'LinkFaults']

CHUNK_BYTES = 65536
SWAP_TIMEOUT_S = 10


@dataclasses.dataclass(slots=True, kw_only=True)
class LinkFaults:
    """Faults of connections.

    :param refuse: close new connections at once.
    :param delay_s: delay of every chunk of the answer.
    :param drop_answers: swallow the answer, keep the connection open.
    :param drop_requests: swallow the request, keep the connection open.
    :param reset_after_request_bytes: reset when that many bytes went up.
    :param reset_after_answer_bytes: reset when that many bytes came down.
    :param swap_answers: swap the answers of two connections that follow each
        other.
    :param connections_left: how many new connections take the faults; -1 for
        all.
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
    """Forwards a listening port to ``target_port`` on loopback."""

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
        """Close everything."""
        self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close_port(self):
        """Close the port, so that connecting fails."""
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
            up_reader, upstream = await asyncio.open_connection(
                '127.0.0.1', self.target_port
            )
            self._writers.add(upstream)
            if faults.swap_answers:
                up_reader = await self._swap(up_reader)
            await self._forward(reader, writer, up_reader, upstream, faults)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            for item in (writer, upstream):
                if item is not None:
                    self._writers.discard(item)
                    item.transport.abort()
            self._tasks.discard(task)

    async def _swap(self, up_reader):
        """Wait for a second connection and exchange the answer sides."""
        if self._unpaired is None or self._unpaired[1].done():
            other = asyncio.get_running_loop().create_future()
            self._unpaired = (up_reader, other)
            async with asyncio.timeout(SWAP_TIMEOUT_S):
                return await other
        first_reader, waiter = self._unpaired
        self._unpaired = None
        waiter.set_result(up_reader)
        return first_reader

    async def _forward(self, reader, writer, up_reader, upstream, faults):
        up = asyncio.create_task(
            _pump(
                reader,
                upstream,
                lambda: faults.drop_requests,
                faults.reset_after_request_bytes,
                0.0,
            )
        )
        down = asyncio.create_task(
            _pump(
                up_reader,
                writer,
                lambda: faults.drop_answers,
                faults.reset_after_answer_bytes,
                faults.delay_s,
            )
        )
        try:
            await asyncio.wait({up, down}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            up.cancel()
            down.cancel()


async def _pump(reader, writer, is_dropping, reset_after_bytes, delay_s):
    """Copy bytes one way until the end or the cut."""
    left = reset_after_bytes
    while True:
        data = await reader.read(CHUNK_BYTES)
        if not data:
            return
        if delay_s:
            await asyncio.sleep(delay_s)
        if is_dropping():
            continue
        if reset_after_bytes >= 0 and len(data) >= left:
            writer.write(data[:left])
            await writer.drain()
            await asyncio.sleep(0.02)
            return
        left -= len(data)
        writer.write(data)
        await writer.drain()
