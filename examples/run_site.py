"""Runs a small burst on the stand-ins of the users' platform.

Run as ``python -m examples.run_site``: three nodes, two pools whose number of
VMs follows the load, serving tasks and a maintenance wave; in the middle of
the burst, the node that owns the unit is killed. It prints a summary and
exits with 1 when a guarantee was violated.
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
    """Yield a sentence for each task that was wrongly started again.

    A task may not have two runs at once, nor a run after one that is done.
    """
    by_task = {}
    for run_record in sorted(ledger, key=lambda item: item.started_at_s):
        previous = by_task.get(run_record.task)
        if previous is not None:
            overlaps = (
                previous.ended_at_s is None
                or previous.ended_at_s > run_record.started_at_s
            )
            if overlaps or previous.outcome == 'done':
                yield f'{run_record.task} was started again'
        by_task[run_record.task] = run_record


async def _submit_burst(site):
    rng = random.Random(SEED)  # noqa: S311
    job_ids = [f'{number:016x}' for number in range(JOBS)]
    for job_id in job_ids:
        steps = [
            create_step(rng.randint(1, 4), cpu=2000, estimateMs=200),
            create_step(2, cpu=1000, estimateMs=100, after=[0]),
        ]
        node = rng.choice(site.nodes)
        status = await site.submit(
            'alpha', job_id, steps, spec='{"ms": 150}', node=node
        )
        if status != 200:
            print(f'job {job_id} was answered {status}')
        await asyncio.sleep(BURST_S / JOBS)
    return job_ids


async def _wait_completed(site, job_ids):
    """Return the ids of the jobs that are not completed in time."""
    deadline_at_s = time.monotonic() + WAIT_TIMEOUT_S
    unfinished = set(job_ids)
    while unfinished and time.monotonic() < deadline_at_s:
        for job_id in list(unfinished):
            if await site.get_job_state('alpha', job_id) == 'completed':
                unfinished.discard(job_id)
        await asyncio.sleep(0.1)
    return unfinished


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
    serving_step = create_step(3, longRunning=True, mayMiss=1)
    await site.submit(
        'beta', SERVING_JOB_ID, [serving_step], spec='{"lasts": 1}'
    )
    vms = [name for name in site.vm_service.vms if 'beta' in name]
    await site.order_wave(1, vms, duration_s=20, max_down=1)
    burst = asyncio.ensure_future(_submit_burst(site))
    await asyncio.sleep(BURST_S / 2)
    owner = next(node for node in site.nodes if node.is_owner)
    print(f'{owner.node.settings.name} owned the unit and is killed')
    await site.kill_node(owner)
    unfinished = await _wait_completed(site, await burst)
    await _wait_for(lambda: site.get_wave_state(1) == 'completed')
    violations = list(find_violations(site.ledger))
    violations += [
        f'job {name} is not completed' for name in sorted(unfinished)
    ]
    if site.vm_service.peak_down > 1:
        violations.append('two VMs of the wave were down at once')
    print(
        f'{JOBS} jobs, {len(site.ledger)} runs on '
        f'{len({line.worker_id for line in site.ledger})} workers, '
        f'{sum(order[0] == "move" for order in site.vm_service.orders)} '
        f'moves, wave {site.get_wave_state(1)}'
    )
    await site.stop()
    return violations


def main():
    """Run the scenario; return the exit status."""
    logs.configure_logs(level='error')
    violations = asyncio.run(_run_scenario())
    for violation in violations:
        print(f'broken: {violation}')
    print(
        'no promise was broken' if not violations else 'promises were broken'
    )
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
