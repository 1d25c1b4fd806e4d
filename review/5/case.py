"""Jobs are submitted to a deployment with many registered workers."""

import asyncio
import base64
import json
import pathlib
import time

from examples.standins.site.site import create_step
from review.common import idle
from review.common import lab

POOLS = {'alpha': 4, 'beta': 0}
# Idle workers of another pool, with and without the disruption.
MANY, FEW = 2999, 1499
JOBS = 5
WAIT_S = 30.0


async def register_idle_workers(site, count):
    """Register idle workers; return their server."""
    born_ms = int(time.time() * 1000)
    server, address = await idle.serve(born_ms)
    for number in range(count):
        entry = {
            'service': 'beta',
            'address': address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldRemainingMs': 0,
            'capacity': {'cpu': 32000, 'memMb': 65536, 'gpus': 0},
            'labels': ['a', f'r{number // 12}'],
            'machine': f'm-{number:06x}',
            'born': born_ms,
            'seq': 1,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        await site.store.put('servers', f'i-{number:010x}', value)
    return server


async def play(record, trouble):
    """Return the violations."""
    site = lab.Lab(record=record, pools=POOLS, home='z1')
    await site.start()
    server = None
    try:
        count = MANY if trouble else FEW
        server = await register_idle_workers(site, count)
        record.add(f'TROUBLE: {count} idle workers are registered')
        owner = await site.start_process('front-1', place='z1')
        await site.wait_owned(owner)
        other = await site.start_process('front-2', place='z1')
        await asyncio.sleep(3.0)
        accepted = []
        for number in range(JOBS):
            job_id = f'{0xA600000000000000 + number:016x}'
            status, _ = await site.request(
                'POST',
                'alpha',
                job_id,
                node=other,
                body={'spec': '{"ms": 100}', 'steps': [create_step(2)]},
            )
            if status == 200:
                accepted.append(job_id)
        await asyncio.sleep(WAIT_S)
        violations = []
        for job_id in accepted:
            status, answer = await site.request(
                'GET', 'alpha', job_id, node=other
            )
            started = any(run.task.startswith(job_id) for run in site.ledger)
            if answer != {'state': 'completed'}:
                violations.append(
                    f'LOST: job {job_id} was accepted and is {answer} after '
                    f'{WAIT_S:.0f} s; started: {started}'
                )
        site.add_runs()
        if not accepted:
            raise RuntimeError('no job was accepted')
        return violations
    finally:
        if server is not None:
            server.close()
        await site.stop()


if __name__ == '__main__':
    lab.run_case(play, pathlib.Path(__file__).parent)
