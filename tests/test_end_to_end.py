"""End to end: contracts, keys, requests, jobs, repeats, operators' views."""

import asyncio
import json

import pytest

from tests import harness
from tests import invariants


@pytest.mark.asyncio
async def test_request_job_and_repeat_work_across_nodes(fleet):
    daemons = await harness.start_fleet(fleet)
    load = harness.LoadGenerator(fleet=fleet)
    for daemon in daemons:
        assert (await load.send(daemon, data=b'crate 7')).status == 200
    key = fleet.keys[('pesajes', 'auction')]
    fields = {'Authorization': f'Bearer {key}'}

    accepted = await load.send(
        daemons[0], headers={'Prefer': 'respond-async'}, run_s=0.2
    )
    assert accepted.status == 202
    job = accepted.decode()['job']

    async def is_done():
        url = f'{daemons[1].caller_url}/jobs/{job}'
        reply = await fleet.send('GET', url, headers=fields)
        return reply.decode()['state'] == 'done'

    await invariants.wait_for(is_done)
    url = f'{daemons[2].caller_url}/jobs/{job}/answer'
    answer = await fleet.send('GET', url, headers=fields)
    assert answer.status == 200
    assert job.encode() in answer.body

    for daemon in daemons:
        reply = await fleet.request(
            daemon,
            'records',
            '/post',
            key=key,
            headers={'Idempotency-Key': 'lot-12', 'X-Mark': 'lot-12'},
            data=b'lot 12',
        )
        assert reply.status == 200
        first = reply.body
    assert first.endswith(b'lot 12')
    other = await fleet.request(
        daemons[0],
        'records',
        '/post',
        key=key,
        headers={'Idempotency-Key': 'lot-12'},
        data=b'lot 13',
    )
    assert other.code == 602
    ledger = await invariants.assert_invariants(
        fleet,
        load.replies,
        expected_fragments=None,
        limits={'pesajes/auction': 100},
    )
    assert len([e for e in ledger if e.mark == 'lot-12']) == 1


@pytest.mark.asyncio
async def test_idempotency_key_creates_one_job(fleet):
    daemons = await harness.start_fleet(fleet)
    load = harness.LoadGenerator(fleet=fleet)
    fields = {'Prefer': 'respond-async', 'Idempotency-Key': 'night-1'}
    key = fleet.keys[('pesajes', 'auction')]
    replies = await asyncio.gather(
        *(
            fleet.request(
                daemon, 'records', '/night', key=key, headers=fields, data=b'x'
            )
            for daemon in daemons
        )
    )
    jobs = {reply.decode()['job'] for reply in replies}
    assert len(jobs) == 1
    await invariants.assert_invariants(fleet, load.replies)


@pytest.mark.asyncio
async def test_queue_accepts_only_authorized_keys_unless_open(fleet):
    daemons = await harness.start_fleet(
        fleet, daemons=2, teams=[('auction', 3.0, 9), ('herd', 1.0, 9)]
    )
    contract = harness.create_contract([('auction', 3.0, 9), ('herd', 1.0, 9)])
    contract['queues'][1]['teams'] = ['herd']
    contract['queues'].append(
        {
            'queue': 'public',
            'service': 'records',
            'teams': ['herd'],
            'open': True,
        }
    )
    await fleet.apply_contract(contract)
    auction = fleet.keys[('pesajes', 'auction')]
    for key, queue, code in (
        (auction, 'ledgers', 203),
        (None, 'confirm', 201),
        ('wrong', 'public', 202),
        (auction, 'nothing', 105),
    ):
        reply = await fleet.request(
            daemons[0],
            'records',
            key=key,
            headers={'Arbutusrock-Queue': queue},
        )
        assert (reply.code, reply.run) == (code, 'not-run')
    expected_teams = {}
    for mark, key, queue, team in (
        ('m1', auction, 'confirm', 'pesajes/auction'),
        ('m2', None, 'public', 'pesajes/herd'),
        ('m3', auction, 'public', 'pesajes/herd'),
    ):
        reply = await fleet.request(
            daemons[1],
            'records',
            key=key,
            headers={'Arbutusrock-Queue': queue, 'X-Mark': mark},
        )
        assert reply.status == 200
        expected_teams[mark] = team
    ledger = await fleet.read_ledger()
    assert not invariants.check_request_teams(ledger, expected_teams)


@pytest.mark.asyncio
async def test_concurrent_contract_changes_accept_one(fleet):
    daemons = await harness.start_fleet(fleet)
    found = await fleet.call_api('GET', '/v1/objects/contract/pesajes')
    text = json.dumps(harness.create_contract([('auction', 5.0, 50)]))
    other = json.dumps(harness.create_contract([('auction', 7.0, 70)]))
    replies = await asyncio.gather(
        *(
            fleet.try_call_api(
                'PUT',
                '/v1/contracts',
                at=daemon,
                data=body,
                match=found['version'],
            )
            for daemon, body in zip(daemons, (text, other, text), strict=True)
        )
    )
    assert sorted(reply.code for reply in replies) == [0, 701, 701]
    winner = next(r.decode()['version'] for r in replies if not r.problem)
    await fleet.wait_in_force(winner)
    shares = set()
    for daemon in daemons:
        view = await fleet.call_api(
            'GET', '/v1/objects/contract/pesajes', at=daemon
        )
        shares.add(view['teams'][0]['share'])
    assert len(shares) == 1
    trail = await fleet.call_api(
        'GET', '/v1/audit', query={'subject': 'contract/pesajes'}
    )
    assert [entry['who'] for entry in trail] == ['ana', 'ana']
    assert trail[-1]['before'] != trail[-1]['after']
