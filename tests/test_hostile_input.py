"""Malformed and hostile input gets a numbered error.

It must cause no traceback, leak no secret and leave the daemon serving.
"""

import asyncio
import contextlib
import json

import hypothesis
from hypothesis import strategies
import pytest

from tests import harness

MAX_FUZZ_CASES = 150


async def send_raw(port, data):
    """Send bytes; return what comes back within 0.2 s."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    parts = []
    try:
        writer.write(data)
        await writer.drain()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                while part := await reader.read(65536):
                    parts.append(part)
    except OSError:
        pass
    finally:
        writer.transport.abort()
    return b''.join(parts)


def get_port(address):
    return int(address.rsplit(':', 1)[1])


@pytest.mark.asyncio
async def test_malformed_requests_are_refused_and_run_nothing(fleet):
    (daemon,) = await harness.start_fleet(
        fleet,
        daemons=1,
        workers=1,
        limits={'body_bytes': 100_000, 'buffered_bytes': 20_000},
    )
    key = fleet.keys[('pesajes', 'auction')]

    async def ask(**options):
        return await fleet.request(daemon, 'records', key=key, **options)

    reply = await ask(data=b'x' * 200_000)
    assert reply.code == 104
    reply = await ask(headers={'Arbutusrock-Timeout': 'soon'})
    assert reply.code == 103
    reply = await ask(headers={'Arbutusrock-Timeout': 'nan'})
    assert reply.code == 103
    reply = await ask(headers={'Arbutusrock-Timeout': '-1'})
    assert reply.code == 103
    reply = await ask(headers={'Idempotency-Key': 'k' * 300})
    assert reply.code == 103
    reply = await fleet.request(daemon, 'nothing', key=key)
    assert reply.code == 105
    reply = await fleet.send('GET', f'{daemon.caller_url}/jobs/none')
    assert reply.code == 105
    reply = await fleet.send('GET', f'{daemon.caller_url}/else')
    assert reply.code == 105
    for scheme in ('Basic abc', 'Bearer', 'Bearer ' + 'x' * 4000, key):
        reply = await fleet.send(
            'POST',
            f'{daemon.caller_url}/services/records/',
            headers={'Authorization': scheme},
        )
        assert reply.code == 202

    port = get_port(daemon.caller_url)
    auth = f'Authorization: Bearer {key}\r\nHost: x\r\n'.encode()
    start = b'POST /services/records/ HTTP/1.1\r\n' + auth
    for data in (
        b'\x00\xff\x00\xff\r\n\r\n',
        b'GET / HTTP/9.9\r\n\r\n',
        b'POST /services/records/ HTTP/1.1\r\nA: ' + b'x' * 40_000,
        start + b'Content-Length: -5\r\n\r\n',
        start + b'Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello',
        start + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0',
        start + b'Transfer-Encoding: chunked\r\n\r\nzz\r\nxx\r\n0\r\n\r\n',
    ):
        answer = await send_raw(port, data)
        assert answer.startswith((b'HTTP/1.1 400', b'HTTP/1.0 400'))
        assert key.encode() not in answer
    # A request with a truncated body does not run.
    await send_raw(port, start + b'Content-Length: 500\r\n\r\nhalf')
    await asyncio.sleep(0.5)
    assert not [e for e in await fleet.read_ledger() if e.method == 'POST']


@pytest.mark.asyncio
async def test_slow_bodies_time_out_and_hold_no_permit(fleet):
    (daemon,) = await harness.start_fleet(
        fleet,
        daemons=1,
        workers=1,
        teams=[('auction', 1.0, 1)],
        limits={'body_timeout_s': 1.0},
    )
    key = fleet.keys[('pesajes', 'auction')]
    port = get_port(daemon.caller_url)
    head = (
        'POST /services/records/ HTTP/1.1\r\nHost: x\r\n'
        f'Authorization: Bearer {key}\r\nContent-Length: 100\r\n\r\npart'
    ).encode()
    slow = []
    for _ in range(20):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(head)
        slow.append((reader, writer))
    reply = await fleet.request(daemon, 'records', key=key)
    assert reply.status == 200
    for reader, writer in slow:
        answer = await reader.read(2000)
        assert b'408' in answer.split(b'\r\n')[0]
        assert b'"code":106' in answer
        writer.close()


@pytest.mark.asyncio
async def test_malformed_operator_documents_are_refused(fleet):
    (daemon,) = await harness.start_fleet(fleet, daemons=1, workers=1)

    async def apply(text, path='/v1/contracts'):
        return await fleet.try_call_api('PUT', path, data=text, match='*')

    for text in (
        '',
        '[]',
        'a: [',
        'customer: x\ncustomer: y',
        '&a [*a]',
        '? [1, 2]\n: 3',
        '!!python/object/apply:os.system [ls]',
        'customer: ' + '[' * 5000,
        json.dumps({'customer': 'x', 'teams': [], 'speed': 1}),
        json.dumps({'customer': 'x', 'teams': [{'team': 't', 'share': -1}]}),
        json.dumps(
            {
                'customer': 'x',
                'teams': [{'team': 't', 'share': 1, 'limit': 1}],
                'services': [{'service': 'records', 'pool': 'scales'}],
            }
        ),
        b'\xff\xfe\x00',
    ):
        reply = await apply(text)
        assert reply.code == 102, (text, reply)
    reply = await apply('pools: [{pool: a}, {pool: a}]', '/v1/fleet')
    assert reply.code == 102
    reply = await fleet.try_call_api('POST', '/v1/keys', data=b'{"a": 1')
    assert reply.code == 102
    reply = await fleet.send('GET', f'{daemon.operator_url}/v1/status')
    assert reply.code == 204
    reply = await fleet.try_call_api('DELETE', '/v1/keys/none')
    assert reply.code == 105
    reply = await fleet.try_call_api('GET', '/v1/versions/x')
    assert reply.code == 103


def test_daemon_serves_after_fuzzed_requests(tmp_path):
    """Random requests cause no traceback, and the daemon goes on serving."""

    async def run():
        from examples.standins import fleet as fleet_module

        async with fleet_module.Fleet(folder=tmp_path) as fleet:
            (daemon,) = await harness.start_fleet(fleet, daemons=1, workers=1)
            key = fleet.keys[('pesajes', 'auction')]
            for data in cases:
                port = get_port(daemon.caller_url)
                await send_raw(port, data.replace(b'KEY', key.encode()))
            reply = await fleet.request(daemon, 'records', key=key)
            assert reply.status == 200
            text = daemon.log.read_text()
            assert 'Traceback' not in text, text[-3000:]
            assert key not in text

    cases = generate_fuzz_cases()
    assert len(cases) >= MAX_FUZZ_CASES / 2
    asyncio.run(run())


def generate_fuzz_cases():
    """Return random requests of Hypothesis, the same in each run."""
    cases = []
    request_line = strategies.sampled_from(
        [
            b'POST /services/records/ HTTP/1.1',
            b'PUT /services/records/%00%ff?a=%zz HTTP/1.1',
            b'GET /services/../jobs/x HTTP/1.1',
            b'DELETE /jobs/%2e%2e HTTP/1.1',
            b'OPTIONS * HTTP/1.1',
            b'CONNECT x:1 HTTP/1.1',
            b'POST //services//records HTTP/1.0',
        ]
    )
    header = strategies.sampled_from(
        [
            b'Host: x',
            b'Authorization: Bearer KEY',
            b'Authorization: bearer KEY KEY',
            b'Prefer: respond-async',
            b'Idempotency-Key: a',
            b'Arbutusrock-Queue: ledgers',
            b'Arbutusrock-Task: forged',
            b'Arbutusrock-Timeout: 1e400',
            b'Content-Length: 3',
            b'Transfer-Encoding: chunked',
            b'Expect: 100-continue',
            b'Connection: upgrade',
            b'Upgrade: websocket',
            b'Content-Encoding: gzip',
        ]
    )
    random_header = strategies.binary(min_size=0, max_size=20).map(
        lambda data: b'X-N: ' + data
    )

    @hypothesis.settings(
        max_examples=MAX_FUZZ_CASES, derandomize=True, database=None
    )
    @hypothesis.given(
        request_line,
        strategies.lists(header | random_header, max_size=7),
        strategies.binary(max_size=60),
    )
    def collect(first, fields, body):
        cases.append(b'\r\n'.join([first, *fields]) + b'\r\n\r\n' + body)

    collect()
    return cases
