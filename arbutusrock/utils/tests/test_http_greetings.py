"""Tests of calls that begin a new connection with a greeting."""

import asyncio
import contextlib

import pytest

from arbutusrock.utils import http
from arbutusrock.utils import http_connections
from arbutusrock.utils.tests import test_http_connections


async def greet(send):
    answer = await send('POST', '/hello', b'"hello"')
    if answer.status != 200:
        raise http_connections.GreetingRefused(answer=answer)


async def greet_instead(send):
    return await send('POST', '/hello', b'"hello"')


@contextlib.asynccontextmanager
async def serving(serve=test_http_connections.echo, **fields):
    async with test_http_connections.serving(serve, **fields) as found:
        yield found


def call(client, body=b'1', greet=greet, timeout_s=5.0):
    return client.call(
        'POST', '/p', body=body, timeout_s=timeout_s, greet=greet
    )


def list_bodies(server):
    return [body for _, body in server.requests]


async def test_each_new_connection_begins_with_a_greeting():
    async with serving(max_connections=2) as (client, server):
        for _ in range(2):
            assert (await call(client)).body == b'1'
        assert list_bodies(server) == [b'"hello"', b'1', b'1']
        await asyncio.gather(call(client, b'late'), call(client, b'late'))
        assert list_bodies(server).count(b'"hello"') == 2
        assert server.connections == 2


async def test_greeting_may_take_the_place_of_the_call():
    async with serving() as (client, server):
        for body in (b'"hello"', b'1'):
            assert (await call(client, greet=greet_instead)).body == body
        assert server.connections == 1


async def refuse(server, reader, writer):
    while await server.read_request(reader) is not None:
        writer.write(b'HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n')


async def break_off(server, reader, _writer):
    await server.read_request(reader)


async def close_after_greeting(server, reader, writer):
    await server.read_request(reader)
    writer.write(
        b'HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
    )


@pytest.mark.parametrize('serve', [refuse, break_off, close_after_greeting])
async def test_call_is_not_written_after_a_failed_greeting(serve):
    """It would reach a process that is not the one that is meant."""
    async with serving(serve) as (client, server):
        for _ in range(2):
            with pytest.raises(http.NotSent):
                await call(client)
        assert list_bodies(server) == [b'"hello"', b'"hello"']
        assert not client._connections
        assert client._free_slots == 1


async def test_time_out_tells_whether_the_call_was_written():
    async def never_answer(server, reader, _writer):
        await server.read_request(reader)
        await server.read_request(reader)

    async with serving(never_answer) as (client, server):
        with pytest.raises(http_connections.NothingWritten):
            await call(client, timeout_s=0.1)
        assert list_bodies(server) == [b'"hello"']
        with pytest.raises(http.NoAnswer) as raised:
            await call(client, timeout_s=0.1, greet=None)
        assert raised.type is http.NoAnswer
