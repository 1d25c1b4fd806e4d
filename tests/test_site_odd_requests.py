"""Requests with odd or very large fields, inside and beyond their limits."""

import asyncio
import json

import pytest
import structlog

from arbutusrock.scheduling import configuration
from examples.standins.site import site as site_module
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_state

LIMITS = configuration.RequestLimits()


@pytest.fixture
async def site():
    """One pool with two VMs."""
    async with site_checks.open_site({'alpha': 2}) as stand_in:
        yield stand_in


async def send(node, method, path, headers=(), body=b''):
    """Send one request as bytes; return status line and headers, body."""
    host, _, port = node.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = {
        'Host': 'alpha.example',
        'Arbutusrock-Key': site_module.API_KEY,
        'Content-Length': str(len(body)),
        'Connection': 'close',
        **dict(headers),
    }
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)
    async with asyncio.timeout(10):
        answer = await reader.read(-1)
    writer.close()
    head, _, text = answer.partition(b'\r\n\r\n')
    return head.decode(), text.decode()


def create_body(size):
    """Return a job body of exactly this size."""
    data = json.dumps({'spec': '', 'steps': [create_step(2)]}).encode()
    return data[:-1] + b' ' * (size - len(data)) + b'}'


@pytest.mark.parametrize('piece', [500, 15_800])
async def test_request_at_the_limits_is_refused(site, piece):
    """Head and body of the largest size that a configuration allows."""
    (node,) = await start_nodes(site, 1)
    filler = {f'X-{number}': 'v' * piece for number in range(15_800 // piece)}
    head, _ = await send(
        node,
        'POST',
        f'/jobs/{JOB}',
        filler,
        create_body(LIMITS.body_bytes),
    )
    assert head.startswith('HTTP/1.1 200')
    assert len(head) < LIMITS.header_bytes
    await wait_state(site, 'completed')


@pytest.mark.parametrize(
    'deadline',
    ['²', '9' * 5000, '9' * 300, '-1', '', '0x10', '1e9'],
    ids=[
        'superscript',
        '5000-digits',
        '300-digits',
        '-1',
        'empty',
        'hex',
        'e',
    ],
)
async def test_odd_deadline_is_an_error_of_the_node(site, deadline):
    (node,) = await start_nodes(site, 1)
    head, _ = await send(
        node,
        'POST',
        f'/jobs/{JOB}',
        {'Arbutusrock-Deadline-Ms': deadline},
        create_body(300),
    )
    assert head.startswith('HTTP/1.1 200')
    await wait_state(site, 'completed')


async def test_words_of_callers_fill_logs_and_metrics(site):
    """What a caller writes is cut in a log, and names no series."""
    (node,) = await start_nodes(site, 1)
    with structlog.testing.capture_logs() as lines:
        for method in ('GET', 'LOCK', 'MKCOL', 'PURGE', 'SEARCH'):
            await send(
                node,
                method,
                '/' + 'p' * 7000,
                {'Arbutusrock-Deadline-Ms': 'd' * 7000},
            )
    refusals = [
        line for line in lines if line['event'] == 'a call was refused'
    ]
    assert len(refusals) == 5
    assert max(len(json.dumps(line, default=str)) for line in refusals) < 2000
    host, _, port = node.internal_address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
    )
    text = (await reader.read(-1)).decode()
    writer.close()
    series = [
        line
        for line in text.splitlines()
        if line.startswith('arbutusrock_calls{')
    ]
    assert series and len(series) <= 2
