"""The daemon as a separate process, on stand-ins of the platform."""

import asyncio
import json
import os
import signal
import sys

import pytest

from arbutusrock import errors
from arbutusrock.platform import listeners
from arbutusrock.platform import operator_rows
from arbutusrock.platform import settings_file
from examples.standins.site.site import create_step
from tests import site_checks

JOB = site_checks.JOB


@pytest.fixture
async def site():
    """One pool with two VMs."""
    async with site_checks.open_site({'alpha': 2}) as stand_in:
        yield stand_in


class Process:
    """A node in a separate process, and the lines that it has logged."""

    def __init__(self, *, process):
        self.process = process
        self.lines = []
        self.reader = asyncio.ensure_future(self._read())

    async def _read(self):
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def find(self, event):
        return next(
            (line for line in self.lines if line['event'] == event), None
        )

    async def wait_for(self, event):
        return await site_checks.wait_until(
            lambda: self.find(event), what=f'the log says {event!r}'
        )


async def start_process(tmp_path, settings_text, *arguments):
    """Start a node with a settings file of this text."""
    path = tmp_path / 'boot.conf'
    path.write_text(settings_text)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'arbutusrock.platform',
        *arguments,
        env={**os.environ, listeners.PATH_VARIABLE: str(path)},
        stdout=asyncio.subprocess.PIPE,
    )
    return Process(process=process)


async def fetch(site, address, path):
    async with site.session.get(f'http://{address}{path}') as reply:
        return reply.status, await reply.text()


async def test_process_serves_shows_its_state_and_stops(site, tmp_path):
    node = await start_process(tmp_path, site.create_settings_text())
    try:
        serving = await node.wait_for('serving')
        await node.wait_for('this node owns the unit')
        node.address = serving['callers']
        status = await site.submit('alpha', JOB, [create_step(2)], node=node)
        assert status == 200

        async def is_completed():
            return await site.get_job_state('alpha', JOB, node) == 'completed'

        await site_checks.wait_until(is_completed, what='the job is completed')
        assert (await fetch(site, serving['readiness'], '/api/ready'))[
            0
        ] == 200
        _, text = await fetch(site, serving['metrics'], '/status')
        view = json.loads(text)
        assert (view['node'], view['owner'], view['epoch']) == ('n1', 'n1', 1)
        assert {pool['pool'] for pool in view['pools']} == {'alpha', 'spare'}
        _, text = await fetch(site, serving['metrics'], '/configuration')
        entries = operator_rows.decode_entries(text.encode())
        assert [queue.pool for queue in entries.queues] == ['alpha']
        keys = [key for account in entries.accounts for key in account.keys]
        assert keys and all(key.startswith('sha256:') for key in keys)
        _, text = await fetch(site, serving['metrics'], '/metrics')
        assert 'arbutusrock_calls{' in text
        assert 'arbutusrock_call_seconds_bucket{' in text
        node.process.send_signal(signal.SIGTERM)
        await node.wait_for('graceful shutdown begins')
        status, _ = await fetch(site, serving['readiness'], '/api/ready')
        assert status == 503
        assert await node.process.wait() == 0
        await node.reader
        assert node.find('the unit is released')
        assert node.lines[-1]['event'] == 'stopped'
    finally:
        if node.process.returncode is None:
            node.process.kill()


async def connect(port):
    """Connect as soon as something listens on a port."""

    async def try_once():
        try:
            return await asyncio.open_connection('127.0.0.1', port)
        except ConnectionRefusedError:
            return None

    return await site_checks.wait_until(try_once, what='the node listens')


async def test_early_caller_is_answered(site, tmp_path):
    """A caller that connects before the node can serve is not refused."""
    with listeners.open_listener('127.0.0.1', 0) as probe:
        port = probe.getsockname()[1]
    text = site.create_settings_text()
    lines = [
        f'listen.frontend=127.0.0.1:{port}'
        if line.startswith('listen.frontend=')
        else line
        for line in text.splitlines()
    ]
    node = await start_process(tmp_path, '\n'.join(lines))
    try:
        reader, writer = await connect(port)
        assert node.find('serving') is None
        writer.write(b'GET /none HTTP/1.1\r\nHost: a\r\n\r\n')
        async with asyncio.timeout(10):
            answer = await reader.readline()
        assert answer.split()[1] == b'404'
        serving = await node.wait_for('serving')
        assert serving['configured']
        assert serving['loading_cpu_s'] > 0
        writer.close()
    finally:
        node.process.kill()
        await node.process.wait()


async def test_check_option_names_invalid_setting(site, tmp_path):
    text = site.create_settings_text().replace('portRange=0,0', 'portRange=x')
    node = await start_process(tmp_path, text, '--check')
    assert await node.process.wait() == 2
    await node.reader
    assert 'portRange must be two ports' in node.lines[0]['error']


@pytest.mark.parametrize(
    ('line', 'message'),
    [
        ('bounds.graceS=soon', 'bounds.graceS must be a number'),
        ('bounds.maxHoldMs=-1', 'bounds.maxHoldMs must be a number'),
        ('platform.address=nowhere', 'platform.address must be host:port'),
    ],
)
async def test_load_node_settings_names_invalid_field(
    site, tmp_path, line, message
):
    path = tmp_path / 'boot.conf'
    path.write_text(f'{site.create_settings_text()}{line}\n')
    with pytest.raises(errors.InvalidSettings, match=message):
        settings_file.load_node_settings(path)
