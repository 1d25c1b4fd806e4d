"""The last report of a worker that crashed is stored after it is back."""

import asyncio
import pathlib

from examples.standins.site.site import create_step
from review.common import lab

POOLS = {'alpha': 7}
FIRST_JOB = 'e5' * 8
JOB = 'f5' * 8
TASKS = 6
TASK_MS = 9000
DOWN_S = 0.8
# The last report is stored with the first report of the present life that
# comes this long after it was sent.
LATE_S = 4.2


async def submit(site, node, job_id, task_ms):
    """Submit a job with tasks for most workers."""
    status, _ = await site.request(
        'POST',
        'alpha',
        job_id,
        node=node,
        body={
            'spec': f'{{"ms": {task_ms}}}',
            'steps': [create_step(TASKS, cpu=2000, estimateMs=task_ms)],
        },
    )
    if status != 200:
        raise RuntimeError(f'the job was answered {status}')


def find_running(site, job_id):
    """Return the runs of a job that are in progress."""
    return [
        run
        for run in site.ledger
        if run.task.startswith(job_id) and not run.ended_at_s
    ]


async def play(record, trouble):
    """Return the violations."""
    site = lab.Lab(record=record, pools=POOLS, home='z1')
    site.map_address = site.map_machine
    await site.start()
    try:
        owner = await site.start_process('front-1', place='z1')
        await site.wait_owned(owner)
        other = await site.start_process('front-2', place='z1')
        await submit(site, other, FIRST_JOB, 1000)
        await asyncio.sleep(3.0)
        vm = sorted(site.workers)[0]
        worker_id = site.workers[vm].worker_id
        if trouble:
            late = asyncio.ensure_future(site.store_report_late(vm, LATE_S))
            await site.power_cycle(vm, DOWN_S)
        await asyncio.sleep(2.0)
        await submit(site, other, JOB, TASK_MS)
        await site.wait_until(
            lambda: len(find_running(site, JOB)) == TASKS, 'all tasks run'
        )
        on_worker = [
            run
            for run in find_running(site, JOB)
            if run.worker_id == worker_id
        ]
        record.add(f'{worker_id} has {len(on_worker)} of these runs')
        if trouble:
            await late
        await asyncio.sleep(4.0)
        site.add_runs()
        return lab.find_overlaps(site.ledger) + lab.find_repeats(site.ledger)
    finally:
        await site.stop()


if __name__ == '__main__':
    lab.run_case(play, pathlib.Path(__file__).parent)
