"""A worker loses power for a moment in a burst and returns under its id."""

import asyncio
import pathlib

from examples.standins.site.site import create_step
from review.common import lab

POOLS = {'alpha': 7}
JOBS = 80
JOB_INTERVAL_S = 0.05
TASKS = 12
TASK_MS = 200
# The machine is down for this time.
DOWN_S = 0.6
SETTLE_S = 10.0


async def submit_jobs(site, node):
    """Submit jobs at a steady rate; return the ids of those accepted."""
    accepted = []
    for number in range(JOBS):
        job_id = f'{0xE400000000000000 + number:016x}'
        status, _ = await site.request(
            'POST',
            'alpha',
            job_id,
            node=node,
            body={
                'spec': f'{{"ms": {TASK_MS}}}',
                'steps': [create_step(TASKS, cpu=100, estimateMs=TASK_MS)],
            },
        )
        if status == 200:
            accepted.append(job_id)
        await asyncio.sleep(JOB_INTERVAL_S)
    return accepted


def find_latest(site):
    """Return the machine of the worker that started a task last."""
    started = {run.worker_id: run.started_at_s for run in site.ledger}
    return max(
        site.workers,
        key=lambda vm: started.get(site.workers[vm].worker_id, 0.0),
    )


async def play(record, trouble):
    """Return the violations."""
    site = lab.Lab(record=record, pools=POOLS, home='z1', cores=32)
    site.map_address = site.map_machine
    await site.start()
    try:
        owner = await site.start_process('front-1', place='z1')
        await site.wait_owned(owner)
        other = await site.start_process('front-2', place='z1')
        submitting = asyncio.ensure_future(submit_jobs(site, other))
        await asyncio.sleep(2.0)
        if trouble:
            await site.power_cycle(find_latest(site), DOWN_S)
        accepted = await submitting
        await asyncio.sleep(SETTLE_S)
        states = [
            (await site.request('GET', 'alpha', job_id, node=other))[1]
            for job_id in accepted
        ]
        site.add_runs()
        completed = sum(state == {'state': 'completed'} for state in states)
        record.add(f'{completed} of {len(accepted)} jobs are completed')
        return lab.find_overlaps(site.ledger) + lab.find_repeats(site.ledger)
    finally:
        await site.stop()


if __name__ == '__main__':
    lab.run_case(play, pathlib.Path(__file__).parent)
