"""Tests of what clients of a listener may hold."""

import asyncio
import contextlib

from aiohttp import web
import pytest

from arbutusrock import metrics as metrics_module
from arbutusrock import serving

LIMITS = serving.ConnectionLimits(
    connections=4,
    line_bytes=16_384,
    head_bytes=32_768,
    head_timeout_s=0.3,
    idle_timeout_s=60.0,
    answer_timeout_s=0.5,
    discarded_bytes=100_000,
    held_bytes=1 << 20,
)
# Larger than what the kernel takes for a connection.
LARGE_ANSWER_BYTES = 16 << 20
WAIT_S = 10.0
GET = b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n'


class Served:
    """A listener, and its address and counters."""

    def __init__(self, *, listener, metrics):
        self.listener = listener
        self.metrics = metrics

    async def connect(self):
        return await asyncio.open_connection(*self.listener.address)

    def count_ended(self, cause):
        return self.metrics.get_count(
            'connections_ended', (('listener', 'test'), ('cause', cause.value))
        )


@pytest.fixture
async def work():
    """Event that requests for ``/work`` wait for."""
    return asyncio.Event()


@pytest.fixture
async def served(work):
    """A listener that answers with the size of the body, or as asked."""

    async def handle(request):
        match request.path:
            case '/large':
                return web.Response(body=b'x' * LARGE_ANSWER_BYTES)
            case '/refused':
                return web.Response(status=404)
            case '/work':
                await work.wait()
        try:
            body = await serving.read_body(request, 600_000)
        except serving.BodyOverLimit:
            return web.Response(status=413)
        return web.Response(text=f'{request.path} {len(body)}')

    metrics = metrics_module.Metrics()
    listener = serving.Listener(
        runner=web.ServerRunner(web.Server(handle), shutdown_timeout=0.05),
        table=serving.ConnectionTable(
            listener='test', limits=LIMITS, metrics=metrics
        ),
    )
    await listener.start(serving.open_socket('127.0.0.1', 0))
    yield Served(listener=listener, metrics=metrics)
    await listener.cleanup()


def create_post(path, size):
    return (
        f'POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n'
    ).encode()


async def read_answer(reader):
    """Return ``(status, body)`` of the next answer."""
    async with asyncio.timeout(WAIT_S):
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        length = next(
            int(line.split(':')[1])
            for line in lines
            if line.lower().startswith('content-length')
        )
        body = await reader.readexactly(length)
        return int(lines[0].split()[1]), body.decode()


async def read_until_closed(reader):
    """Return what comes until the connection is closed."""
    parts = []
    async with asyncio.timeout(WAIT_S):
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(65_536):
                parts.append(part)
    return b''.join(parts)


async def wait_until(condition):
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError('the condition does not hold')


async def test_requests_behind_one_another_are_answered_in_order(served):
    """Those that arrive while another is served are kept, and served then."""
    reader, writer = await served.connect()
    for number in range(100):
        writer.write(GET % number)
    writer.write(create_post('/body', 500_000) + b'b' * 500_000 + GET % 100)
    for number in range(100):
        assert await read_answer(reader) == (200, f'/{number} 0')
    assert await read_answer(reader) == (200, '/body 500000')
    assert await read_answer(reader) == (200, '/100 0')
    writer.close()


@pytest.mark.parametrize('piece_bytes', [1, 7, 4096])
async def test_request_in_pieces_is_served(served, piece_bytes):
    reader, writer = await served.connect()
    data = create_post('/pieces', 300) + b'b' * 300 + GET % 1
    for start in range(0, len(data), piece_bytes):
        writer.write(data[start : start + piece_bytes])
        await asyncio.sleep(0)
    assert await read_answer(reader) == (200, '/pieces 300')
    assert await read_answer(reader) == (200, '/1 0')
    writer.close()


async def test_head_of_the_largest_size_is_served(served):
    reader, writer = await served.connect()
    head = b'GET /large-head HTTP/1.1\r\nHost: a\r\nX-A: '
    line = b'a' * (LIMITS.line_bytes - 10)
    rest = b'\r\nX-B: '
    end = b'\r\n\r\n'
    second = LIMITS.head_bytes - len(head + line + rest + end)
    writer.write(head + line + rest + b'b' * second + end)
    assert await read_answer(reader) == (200, '/large-head 0')
    writer.close()


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'GET / HTTP/1.1\r\n' + b'X-A: %b\r\n' % (b'a' * 8000) * 9, b'431'),
        (b'\r\n' * 40_000, b'431'),
        (b'GET / HTTP/1.1\r\nX-A: ' + b'a' * 40_000, b'400'),
        (b'\x16\x03\x01' * 20_000, b'400'),
    ],
    ids=['many lines', 'empty lines', 'long line', 'no HTTP'],
)
async def test_head_without_end_is_refused(served, data, status):
    """What the client has sent does not come back in the answer."""
    reader, writer = await served.connect()
    writer.write(data)
    answer = await read_until_closed(reader)
    assert answer.startswith(b'HTTP/1.') and answer[9:12] == status
    assert len(answer) < 1000
    writer.close()


async def test_head_that_comes_too_slowly_is_refused(served):
    reader, writer = await served.connect()
    writer.write(b'GET / HT')
    assert (await read_until_closed(reader)).startswith(b'HTTP/1.1 408')
    assert served.count_ended(serving.Ending.HEAD_TIMEOUT) == 1
    writer.close()


async def test_answer_that_is_not_read_is_given_up(served):
    reader, writer = await served.connect()
    writer.transport.pause_reading()
    writer.write(b'GET /large HTTP/1.1\r\nHost: a\r\n\r\n')
    table = served.listener.table
    await wait_until(lambda: len(table))
    await wait_until(lambda: not len(table))
    assert served.count_ended(serving.Ending.ANSWER_NOT_READ) == 1
    writer.close()


async def test_body_of_a_refused_request_is_read_to_a_limit(served):
    """A client that sends a body within the limit gets its answer."""
    reader, writer = await served.connect()
    writer.write(create_post('/refused', 90_000) + b'b' * 90_000 + GET % 1)
    assert await read_answer(reader) == (404, '')
    assert await read_answer(reader) == (200, '/1 0')
    writer.write(create_post('/refused', 10**12) + b'b' * 3_000_000)
    await read_until_closed(reader)
    assert served.count_ended(serving.Ending.BODY_AFTER_REFUSAL) == 1
    writer.close()


async def test_oldest_connection_without_request_gives_way(served, work):
    """Connections at work, and then those that were answered, stay."""
    at_work = await served.connect()
    at_work[1].write(b'GET /work HTTP/1.1\r\nHost: a\r\n\r\n')
    answered = await served.connect()
    answered[1].write(GET % 1)
    assert (await read_answer(answered[0]))[0] == 200
    idle = [await served.connect() for _ in range(6)]
    for reader, _ in idle[:4]:
        assert not await read_until_closed(reader)
    work.set()
    for reader, writer in (at_work, answered, *idle[4:]):
        writer.write(GET % 2)
        assert (await read_answer(reader))[0] == 200
    assert served.count_ended(serving.Ending.TOO_MANY) == 4
    for _, writer in (at_work, answered, *idle):
        writer.close()


async def test_requests_at_work_refuse_further_connections(served, work):
    writers = []
    for _ in range(LIMITS.connections):
        _, writer = await served.connect()
        writer.write(b'GET /work HTTP/1.1\r\nHost: a\r\n\r\n')
        writers.append(writer)
    await asyncio.sleep(0.1)
    reader, writer = await served.connect()
    assert not await read_until_closed(reader)
    for item in (*writers, writer):
        item.close()


async def test_body_that_does_not_go_on_gives_way(served):
    held = []
    for _ in range(LIMITS.connections):
        reader, writer = await served.connect()
        writer.write(create_post('/held', 100) + b'b')
        held.append((reader, writer))
    await asyncio.sleep(0.1)
    reader, writer = await served.connect()
    writer.write(GET % 1)
    assert (await read_answer(reader))[0] == 200
    await read_until_closed(held[0][0])
    for _, item in (*held, (reader, writer)):
        item.close()


async def test_bodies_without_end_give_way_to_others(served):
    """The body that has come in for the longest time is given up first."""
    held = []
    for _ in range(3):
        reader, writer = await served.connect()
        writer.write(create_post('/held', 600_000) + b'b' * 500_000)
        held.append((reader, writer))
        await asyncio.sleep(0.05)
    await read_until_closed(held[0][0])
    assert served.count_ended(serving.Ending.MEMORY) >= 1
    reader, writer = await served.connect()
    writer.write(create_post('/other', 1000) + b'b' * 1000)
    assert await read_answer(reader) == (200, '/other 1000')
    for _, item in (*held, (reader, writer)):
        item.close()
