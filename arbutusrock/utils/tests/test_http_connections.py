"""Tests of persistent connections: what may have been carried out, and when.

Each server is a function that is called with the streams of one connection.
"""

import asyncio
import contextlib
import socket
import struct
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest
import uvloop

from arbutusrock.utils import http
from arbutusrock.utils import http_connections

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'1;x=y\r\no\r\n1\r\nk\r\n0\r\nDigest: z\r\n\r\n'
)
INTERIM = b'HTTP/1.1 100 Continue\r\nLink: a\r\n\r\n'


@pytest.fixture(
    params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy]
)
def event_loop_policy(request):
    return request.param()


class Server:
    """Server whose connections are served by a function of the test.

    :param serve: called with the server and the streams of a connection.
    """

    def __init__(self, serve):
        self.serve = serve
        self.requests = []
        self.connections = self.ended = 0

    async def read_request(self, reader):
        """Read one request; None when the client closed the connection."""
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            length = int(head.lower().split(b'content-length:')[1].split()[0])
            self.requests.append((head, await reader.readexactly(length)))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return self.requests[-1][1]

    async def accept(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        try:
            await self.serve(self, reader, writer)
        except ConnectionError:
            pass
        finally:
            self.ended += 1
            writer.close()


@contextlib.asynccontextmanager
async def serving(serve, **fields):
    server = Server(serve)
    listener = await asyncio.start_server(server.accept, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    client = http_connections.PersistentClient(
        address=f'127.0.0.1:{port}', **{'max_connections': 1, **fields}
    )
    try:
        yield client, server
    finally:
        await client.close()
        listener.close()


def call(client, body=b'{}', timeout_s=5.0):
    return client.call('POST', '/p', body=body, timeout_s=timeout_s)


async def echo(server, reader, writer):
    """Answer each request with its body, late if that is asked for."""
    while (body := await server.read_request(reader)) is not None:
        if body == b'late':
            await asyncio.sleep(0.2)
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'
            % (len(body), body)
        )


def answer_with(*parts, then_close=False):
    async def serve(server, reader, writer):
        while await server.read_request(reader) is not None:
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
            if then_close:
                return

    return serve


async def wait_for(condition):
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.001)


async def test_calls_reuse_a_connection_without_delayed_packets():
    async with serving(echo, headers={'Instance': 'wörker'}) as (
        client,
        server,
    ):
        answers = [await call(client, b'%d' % i) for i in range(3)]
        assert [answer.body for answer in answers] == [b'0', b'1', b'2']
        assert answers[0].status == 200
        assert answers[0].headers['content-length'] == '1'
        assert server.connections == 1
        (connection,) = client._connections
        assert connection._transport.get_extra_info('socket').getsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY
        )
    head, _ = server.requests[0]
    assert head.decode().splitlines() == [
        'POST /p HTTP/1.1',
        f'Host: {client.address}',
        'Content-Type: application/json',
        'Instance: wörker',
        'Content-Length: 1',
        '',
    ]


@pytest.mark.parametrize(
    'parts',
    [
        [b'%c' % byte for byte in INTERIM + ANSWER],
        [b'%c' % byte for byte in CHUNKED],
        [INTERIM * 2 + CHUNKED],
    ],
)
async def test_answer_in_parts_leaves_the_connection_open(parts):
    async with serving(answer_with(*parts)) as (client, server):
        for _ in range(2):
            answer = await call(client)
            assert (answer.status, answer.body) == (200, b'ok')
            assert 'link' not in answer.headers
        assert server.connections == 1


@hypothesis.given(
    answer=strategies.sampled_from([ANSWER, CHUNKED, INTERIM + ANSWER]),
    cuts=strategies.lists(strategies.integers(1, 120), max_size=12),
)
def test_any_split_of_an_answer_gives_the_same(answer, cuts):
    async def run():
        connection = http_connections._Connection(
            address='h:1', forget=lambda _: None
        )
        connection.connection_made(mock.Mock(is_closing=lambda: False))
        for _ in range(2):
            future = connection.send(b'')
            ends = sorted({*cuts, len(answer)})
            for start, end in zip([0, *ends], ends, strict=False):
                if answer[start:end]:
                    assert not future.done()
                    connection.data_received(answer[start:end])
            assert future.result().body == b'ok'
            assert connection.is_open()

    asyncio.run(run())


@pytest.mark.parametrize(
    'reply',
    [
        b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok',
        b'HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok',
        b'HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n'
        b'Content-Length: 2\r\n\r\nok',
        ANSWER + b'HTTP/1.1 200 OK\r\n',
        ANSWER + b'x',
    ],
)
async def test_connection_that_must_end_is_not_used_again(reply):
    async with serving(answer_with(reply)) as (client, server):
        for count in (1, 2):
            assert (await call(client)).body == b'ok'
            assert server.connections == count


async def test_body_that_ends_with_its_connection_is_complete():
    serve = answer_with(b'HTTP/1.1 200 OK\r\n\r\no', b'k', then_close=True)
    async with serving(serve) as (client, server):
        for count in (1, 2):
            assert (await call(client)).body == b'ok'
            assert server.connections == count


@pytest.mark.parametrize(
    'reply',
    [
        b'',
        ANSWER[:-1],
        CHUNKED[:-2],
        INTERIM,
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok',
        b'HTTP/1.1 101 Switching\r\n\r\n' + ANSWER,
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok',
        b'\x16\x03\x01 no HTTP',
    ],
)
async def test_broken_answer_is_no_answer_and_is_not_asked_for_again(reply):
    """A second start order would start the same work twice."""
    async with serving(answer_with(reply, then_close=True)) as (
        client,
        server,
    ):
        with pytest.raises(http.NoAnswer):
            await call(client)
        assert not client._connections
        assert len(server.requests) == 1


@pytest.mark.parametrize(
    'reply',
    [
        b'HTTP/1.1 200 OK\r\nX: ' + b'x' * 1000,
        b'HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n' + b'x' * 5000,
        INTERIM * 100,
    ],
)
async def test_answer_that_is_too_long_closes_the_connection(
    reply, monkeypatch
):
    monkeypatch.setattr(http_connections, 'MAX_HEAD_BYTES', 900)
    monkeypatch.setattr(http_connections, 'MAX_ANSWER_BYTES', 4000)
    async with serving(answer_with(reply)) as (client, _):
        with pytest.raises(http.NoAnswer, match='too long'):
            await call(client)
        assert not client._connections


async def test_connection_closed_by_the_server_while_idle_is_not_used():
    serve = answer_with(ANSWER, then_close=True)
    async with serving(serve) as (client, server):
        for count in (1, 2):
            await call(client)
            await wait_for(lambda: not client._connections)
            assert server.connections == count


async def test_connection_closed_after_the_request_is_no_answer():
    """The request was on its way to a connection that was being closed."""

    async def serve(server, reader, _writer):
        await server.read_request(reader)
        _writer.write(ANSWER)
        await server.read_request(reader)

    async with serving(serve) as (client, server):
        await call(client)
        with pytest.raises(http.NoAnswer):
            await call(client)
        assert len(server.requests) == 2


@pytest.mark.parametrize('end', ['eof_received', 'connection_lost'])
async def test_connection_known_to_be_closed_is_not_open(end):
    connection = http_connections._Connection(
        address='h:1', forget=lambda _: None
    )
    connection.connection_made(mock.Mock(is_closing=lambda: False))
    assert connection.is_open()
    getattr(connection, end)(*[None] * (end == 'connection_lost'))
    assert not connection.is_open()


async def test_reset_connection_is_no_answer():
    async def serve(server, reader, writer):
        await server.read_request(reader)
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        # With no end of the body known, a reset is not taken for one.
        writer.write(b'HTTP/1.1 200 OK\r\n\r\no')
        await asyncio.sleep(0.02)
        writer.transport.abort()

    async with serving(serve) as (client, _):
        with pytest.raises(http.NoAnswer):
            await call(client)
        assert not client._connections


async def test_rest_of_a_request_is_not_written_after_its_time_out():
    received = asyncio.get_running_loop().create_future()

    async def serve(_server, reader, _writer):
        await asyncio.sleep(0.2)
        received.set_result(len(await reader.read(-1)))

    async with serving(serve) as (client, _):
        body = b'x' * 30_000_000
        with pytest.raises(http.NoAnswer):
            await call(client, body, timeout_s=0.05)
        assert await received < len(body)


async def test_unexpected_data_close_an_idle_connection():
    """They would be taken for the answer to the next call."""

    async def serve(server, reader, writer):
        await server.read_request(reader)
        writer.write(ANSWER)
        await asyncio.sleep(0.02)
        writer.write(ANSWER)
        await server.read_request(reader)

    async with serving(serve) as (client, _):
        await call(client)
        await wait_for(lambda: not client._connections)


@pytest.mark.parametrize('cancel', [False, True])
async def test_late_answer_is_not_given_to_the_next_call(cancel):
    async with serving(echo) as (client, server):
        task = asyncio.create_task(
            call(client, b'late', timeout_s=5.0 if cancel else 0.05)
        )
        await wait_for(lambda: server.requests)
        if cancel:
            task.cancel()
        with pytest.raises(
            asyncio.CancelledError if cancel else http.NoAnswer
        ):
            await task
        assert (await call(client, b'next')).body == b'next'
        assert server.connections == 2


async def test_calls_beyond_the_connections_wait_in_order():
    async with serving(echo, max_connections=2) as (client, server):
        tasks = [
            asyncio.create_task(call(client, body))
            for body in (b'late', b'late', b'1', b'2', b'3')
        ]
        await wait_for(lambda: len(server.requests) == 2)
        # One waiter leaves and one call under way as well.
        tasks[3].cancel()
        tasks[0].cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        assert [getattr(r, 'body', None) for r in results] == [
            None,
            b'late',
            b'1',
            None,
            b'3',
        ]
        assert [body for _, body in server.requests[2:]] == [b'1', b'3']
        assert len(client._connections) <= 2
        assert client._free_slots == 2


async def test_waiting_for_a_connection_counts_in_the_time_out():
    async with serving(echo) as (client, server):
        first = asyncio.create_task(call(client, b'late'))
        await wait_for(lambda: server.requests)
        with pytest.raises(http.NoAnswer):
            await call(client, timeout_s=0.01)
        await first
        assert client._free_slots == 1
        assert len(server.requests) == 1


async def test_slot_passed_to_a_cancelled_call_is_passed_on():
    async with serving(echo) as (client, _):

        async def call_and_cancel_the_next():
            await call(client)
            waiting[0].cancel()

        first = asyncio.create_task(call_and_cancel_the_next())
        await asyncio.sleep(0)
        waiting = [asyncio.create_task(call(client)) for _ in range(2)]
        await asyncio.wait([first, *waiting])
        assert waiting[0].cancelled()
        assert waiting[1].result().status == 200
        assert client._free_slots == 1


async def test_close_tells_what_was_sent_and_closes_all_connections():
    async with serving(echo, max_connections=2) as (client, server):
        tasks = [asyncio.create_task(call(client, b'late')) for _ in range(3)]
        await wait_for(lambda: len(server.requests) == 2)
        await client.close()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        assert [type(result) for result in results] == [
            http.NoAnswer,
            http.NoAnswer,
            http.NotSent,
        ]
        assert not client._connections
        with pytest.raises(http.NotSent):
            await call(client)


async def test_close_while_connecting_is_not_sent():
    async with serving(echo) as (client, server):
        task = asyncio.create_task(call(client))
        await asyncio.sleep(0)
        await client.close()
        with pytest.raises(http.NotSent):
            await task
        # The server may see the connection, which must not stay open.
        await asyncio.sleep(0.02)
        await wait_for(lambda: server.ended == server.connections)
        assert not server.requests


async def test_cancellation_while_connecting_leaves_no_connection():
    async with serving(echo) as (client, server):
        for turns in range(6):
            task = asyncio.create_task(call(client))
            for _ in range(turns):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])
            assert client._free_slots == 1
            assert len(client._connections) == len(client._idle)
        await wait_for(lambda: server.ended >= server.connections - 1)
        assert (await call(client)).status == 200


@pytest.mark.parametrize(
    'address',
    ['127.0.0.1:1', '127.0.0.1:70000', 'a..b:80', 'h:\u00b2', 'h:1\r\nx', ''],
)
async def test_call_without_a_connection_is_not_sent(address):
    client = http_connections.PersistentClient(
        address=address, max_connections=1
    )
    for _ in range(2):
        with pytest.raises(http.NotSent):
            await call(client)
    await client.close()


async def test_header_or_path_with_a_line_end_is_refused():
    async with serving(echo) as (client, server):
        for path, name, value in [
            ('/p', 'X', 'a\r\nY: b'),
            ('/p', 'X\r\nY', 'a'),
            ('/p', 'X: a', 'b'),
            ('p', 'X', 'a'),
            ('/p', 'Content-Length', '7'),
            ('/p HTTP/1.1\r\nX: y', 'X', 'a'),
        ]:
            with pytest.raises(ValueError):
                await client.call(
                    'POST', path, headers={name: value}, timeout_s=1.0
                )
        with pytest.raises(ValueError):
            http_connections.PersistentClient(
                address='h:1', max_connections=1, headers={'X': 'a\nb'}
            )
        assert client._free_slots == 1
        assert not server.requests


async def test_large_body_is_written_whole():
    async with serving(echo) as (client, _):
        body = b'x' * 3_000_000
        assert (await call(client, body)).body == body
