"""Plays a small burst on the stand-ins of the users' platform.

Run as ``python -m examples.run_site``: three nodes, two pools with VMs that
follow the load, serving tasks, a wave, and the loss of the owner in the
middle. It prints what it saw and exits with 1 when a promise was broken.
"""

import asyncio
import random
import sys
import time

from arbutusrock import logs
from examples.standins.site import Site
from examples.standins.site.site import create_step

__all__ = ['main']

SEED = 20261204
JOBS = 60
BURST_S = 4.0
WAIT_TIMEOUT_S = 40.0
SERVING_JOB_ID = 'f' * 16


def find_violations(ledger):
    """Yield tasks that ran twice at once or again after they were done."""
    by_task = {}
    for line in sorted(ledger, key=lambda item: item.started_at_s):
        before = by_task.get(line.task)
        if before is not None:
            open_run = (
                before.ended_at_s is None
                or before.ended_at_s > line.started_at_s
            )
            if open_run or before.outcome == 'done':
                yield f'{line.task} was started again'
        by_task[line.task] = line


async def _submit_burst(site):
    draw = random.Random(SEED)  # noqa: S311
    names = [f'{number:016x}' for number in range(JOBS)]
    for name in names:
        steps = [
            create_step(draw.randint(1, 4), cpu=2000, estimateMs=200),
            create_step(2, cpu=1000, estimateMs=100, after=[0]),
        ]
        node = draw.choice(site.nodes)
        status = await site.submit(
            'alpha', name, steps, spec='{"ms": 150}', node=node
        )
        if status != 200:
            print(f'job {name} was answered {status}')
        await asyncio.sleep(BURST_S / JOBS)
    return names


async def _wait_completed(site, names):
    """Return the names that are not completed in time."""
    until_s = time.monotonic() + WAIT_TIMEOUT_S
    left = set(names)
    while left and time.monotonic() < until_s:
        for name in list(left):
            if await site.get_job_state('alpha', name) == 'completed':
                left.discard(name)
        await asyncio.sleep(0.1)
    return left


async def _wait_for(condition):
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def _run_scenario():
    site = Site(pools={'alpha': 2, 'beta': 3, 'spare': 3})
    await site.start()
    for number in range(3):
        await site.start_node(f'n{number}')
    await _wait_for(lambda: any(node.is_owner for node in site.nodes))
    serving = create_step(3, longRunning=True, mayMiss=1)
    await site.submit('beta', SERVING_JOB_ID, [serving], spec='{"lasts": 1}')
    names = [name for name in site.vm_service.vms if 'beta' in name]
    await site.order_wave(1, names, duration_s=20, max_down=1)
    burst = asyncio.ensure_future(_submit_burst(site))
    await asyncio.sleep(BURST_S / 2)
    owner = next(node for node in site.nodes if node.is_owner)
    print(f'{owner.node.settings.name} owned the unit and is killed')
    await site.kill_node(owner)
    left = await _wait_completed(site, await burst)
    await _wait_for(lambda: site.get_wave_state(1) == 'completed')
    broken = list(find_violations(site.ledger))
    broken += [f'job {name} is not completed' for name in sorted(left)]
    if site.vm_service.peak_down > 1:
        broken.append('two VMs of the wave were down at once')
    print(
        f'{JOBS} jobs, {len(site.ledger)} runs on '
        f'{len({line.worker_id for line in site.ledger})} workers, '
        f'{sum(order[0] == "move" for order in site.vm_service.orders)} '
        f'moves, wave {site.get_wave_state(1)}'
    )
    await site.stop()
    return broken


def main():
    """Play; return the exit status."""
    logs.configure_logs(level='error')
    broken = asyncio.run(_run_scenario())
    for line in broken:
        print(f'broken: {line}')
    print('no promise was broken' if not broken else 'promises were broken')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
