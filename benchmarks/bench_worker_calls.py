"""Processor time of a call to a worker, with the client in use and before.

    python -m benchmarks.bench_worker_calls

Both clients send start orders to the same server in another process, over as
many connections as a worker has. The bound is a ratio, so it holds on any
machine: the owner of the incident spent over a third of its processor time on
these calls, and half of that had to go.
"""

import argparse
import asyncio
import contextlib
import multiprocessing
import statistics
import sys
import time

import uvloop

from arbutusrock.platform import workers
from arbutusrock.utils import http
from arbutusrock.utils import http_connections

__all__ = ['measure_clients', 'main']

# Greatest processor time of a call, as a part of that with aiohttp.
MAX_RATIO = 0.5
CALLS_PER_RUN = 4000
DEFAULT_RUNS = 5
TIMEOUT_S = 10.0
BODY = (
    b'{"task":"job-0123456789/step-1/17","run":3,"spec":"{\\"ms\\":40}",'
    b'"deadlineMs":1796416123456,"fenceToken":12}'
)
REPLY_BODY = b'{"clockMs":1796416120000.25}'
REPLY = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json; charset=utf-8\r\n'
    b'Content-Length: %d\r\nDate: Fri, 04 Dec 2026 20:00:00 GMT\r\n'
    b'Server: Python/3.11 aiohttp/3.14.5\r\n\r\n%b'
) % (len(REPLY_BODY), REPLY_BODY)
HEADERS = {workers.INSTANCE_HEADER: 'worker-0123456789'}


class ReplyProtocol(asyncio.Protocol):
    """Replies to each request once its body is there."""

    def connection_made(self, transport):
        self.transport = transport
        self.received = b''

    def data_received(self, data):
        self.received += data
        if self.received.endswith(BODY):
            self.received = b''
            self.transport.write(REPLY)


def serve(pipe):
    """Serve until the process is ended; send the port through ``pipe``."""

    async def run():
        server = await asyncio.get_running_loop().create_server(
            ReplyProtocol, '127.0.0.1', 0
        )
        pipe.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    uvloop.run(run())


async def measure_client(client, headers):
    """Return the processor time of a call (s), and close the client."""

    async def make_calls(count):
        for _ in range(count):
            answer = await client.call(
                'POST',
                '/api/run-start',
                body=BODY,
                headers=headers,
                timeout_s=TIMEOUT_S,
            )
            if answer.body != REPLY_BODY:
                raise RuntimeError('the answer is not that of the server')

    async def make_calls_side_by_side(count):
        await asyncio.gather(
            *(
                make_calls(count // workers.MAX_CONNECTIONS)
                for _ in range(workers.MAX_CONNECTIONS)
            )
        )

    await make_calls_side_by_side(CALLS_PER_RUN // 10)
    before_s = time.process_time()
    await make_calls_side_by_side(CALLS_PER_RUN)
    spent_s = time.process_time() - before_s
    await client.close()
    return spent_s / CALLS_PER_RUN


async def measure_clients(port, runs):
    """Measure both clients alternately.

    :param runs: how often each is measured.
    :returns: ``(new_s, old_s)``: medians of the processor time of a call.
    """
    new, old = [], []
    for _ in range(runs):
        client = http.HTTPClient(
            base_url=f'http://127.0.0.1:{port}',
            max_connections=workers.MAX_CONNECTIONS,
        )
        old.append(await measure_client(client, HEADERS))
        client = http_connections.PersistentClient(
            address=f'127.0.0.1:{port}',
            max_connections=workers.MAX_CONNECTIONS,
            headers=HEADERS,
        )
        new.append(await measure_client(client, None))
    return statistics.median(new), statistics.median(old)


@contextlib.contextmanager
def start_server():
    """Run the server in a process of its own; yield its port."""
    context = multiprocessing.get_context('spawn')
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=serve, args=(sender,), daemon=True)
    process.start()
    try:
        yield receiver.recv()
    finally:
        process.terminate()
        process.join()


def main(arguments=None):
    """Print the times; return 1 when the bound is exceeded."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--runs', type=int, default=DEFAULT_RUNS)
    options = parser.parse_args(arguments)
    exceeded = False
    with start_server() as port:
        for name, run in (('uvloop', uvloop.run), ('asyncio', asyncio.run)):
            new_s, old_s = run(measure_clients(port, options.runs))
            print(
                f'{name:8} processor time of a call: {new_s * 1e6:.0f} us, '
                f'with aiohttp {old_s * 1e6:.0f} us; ratio '
                f'{new_s / old_s:.2f}, bound {MAX_RATIO:.2f}'
            )
            exceeded = exceeded or new_s > MAX_RATIO * old_s
    return int(exceeded)


if __name__ == '__main__':
    sys.exit(main())
