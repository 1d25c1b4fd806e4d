"""The command-line tool against a real daemon."""

import asyncio
import json
import os
import sys

import pytest

from examples.standins import fleet as fleet_module
from tests import harness


async def run_tool(daemon, *arguments, key=''):
    """Run ``arbutusrock`` and return exit status, output and errors."""
    environment = {
        **os.environ,
        'ARBUTUSROCK_SERVER': daemon.operator_url,
        'ARBUTUSROCK_TOKEN': fleet_module.OPERATOR_TOKEN,
        'ARBUTUSROCK_CALLERS': daemon.caller_url,
        'ARBUTUSROCK_KEY': key,
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        'from arbutusrock.commands import main; main.main()',
        *arguments,
        cwd=fleet_module.ROOT,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    return process.returncode, out.decode(), err.decode()


@pytest.mark.asyncio
async def test_cli_manages_contract_key_job_and_vm(fleet, tmp_path):
    (daemon,) = await harness.start_fleet(fleet, daemons=1, workers=2)
    path = tmp_path / 'contract.yaml'
    contract = harness.create_contract([('auction', 2.0, 5)])
    path.write_text(json.dumps(contract))

    status, out, _ = await run_tool(daemon, 'contract', 'diff', str(path))
    assert status == 0
    assert '-  limit: 100' in out
    status, out, _ = await run_tool(
        daemon, 'contract', 'apply', str(path), '--wait', '--why', 'smaller'
    )
    assert (status, 'accepted as version' in out) == (0, True)
    status, out, _ = await run_tool(daemon, 'contract', 'show', 'pesajes')
    assert 'limit: 5' in out
    status, _, err = await run_tool(
        daemon, 'contract', 'apply', str(path), '--expect', '1'
    )
    assert (status, 'AR-701' in err) == (7, True)

    status, out, _ = await run_tool(
        daemon, 'key', 'grant', 'pesajes', 'auction', '--json', '--wait'
    )
    granted = json.loads(out)
    status, out, _ = await run_tool(
        daemon,
        'job',
        'submit',
        'records',
        '/x',
        '--json',
        key=granted['secret'],
    )
    job = json.loads(out)['job']
    status, out, _ = await run_tool(daemon, 'job', 'wait', job)
    assert (status, 'state: done' in out) == (0, True)
    status, out, _ = await run_tool(
        daemon, 'job', 'answer', job, key=granted['secret']
    )
    assert job in out
    status, _, err = await run_tool(daemon, 'job', 'cancel', job)
    assert (status, 'AR-604' in err) == (7, True)

    status, out, _ = await run_tool(
        daemon, 'key', 'withdraw', granted['key_id'], '--wait'
    )
    assert status == 0
    status, _, err = await run_tool(
        daemon, 'job', 'submit', 'records', '/', key=granted['secret']
    )
    assert (status, 'AR-202' in err) == (3, True)

    await check_drain_commands(daemon)
    await check_read_only_commands(daemon, job, granted['key_id'])


async def check_drain_commands(daemon):
    status, _, _ = await run_tool(daemon, 'vm', 'drain', 'w1')
    assert status == 0
    status, _, err = await run_tool(daemon, 'vm', 'drain', 'w2')
    assert (status, 'AR-702' in err) == (7, True)


async def check_read_only_commands(daemon, job, key_id):
    for command in (
        ('status',),
        ('pool', 'list'),
        ('vm', 'list', '--pool', 'scales'),
        ('key', 'list'),
        ('contract', 'list'),
        ('wave', 'list'),
        ('audit', '--vm', 'w1'),
        ('explain', 'vm', 'w1'),
        ('explain', 'team', 'pesajes/auction'),
        ('explain', 'job', job),
        ('explain', 'key', key_id),
    ):
        status, out, err = await run_tool(daemon, *command)
        assert (status, bool(out), err) == (0, True, ''), command


@pytest.mark.asyncio
async def test_cli_maps_errors_to_exit_statuses(fleet, tmp_path):
    (daemon,) = await harness.start_fleet(fleet, daemons=1, workers=1)
    path = tmp_path / 'contract.yaml'
    path.write_text('customer: x\nteams: [{team: t, share: 0, limit: 1}]\n')
    status, _, err = await run_tool(daemon, 'contract', 'apply', str(path))
    assert status == 2
    assert 'contract.yaml:2: teams[0].share' in err
    status, _, err = await run_tool(daemon, 'job', 'show', 'none')
    assert (status, 'AR-105' in err) == (2, True)
    status, _, err = await run_tool(
        daemon, 'status', '--server', 'http://127.0.0.1:1'
    )
    assert (status, 'no answer' in err) == (5, True)
    status, _, _ = await run_tool(daemon, 'contract', 'apply', 'nowhere.yaml')
    assert status == 2
