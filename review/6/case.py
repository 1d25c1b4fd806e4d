"""LOST: the progress of one large job outgrows its row; nothing goes on."""

import asyncio
import json
import pathlib
import time

from examples.standins.site.site import create_step
from review.lab2 import lab as lab_module
from review.lab2 import workers

LARGE = 'a' * 16
STEPS = 1000
# Occurrences of the large job that overlap, with the disruption and without.
TIMES, FEW_TIMES = 9, 2
SMALL_JOBS = 8
# The first step of an occurrence takes longer than all others together.
SPEC = json.dumps({'ms': 10, 'step_ms': {'0': 60_000}})
# Time until the large job has done its short steps.
WORK_TIMEOUT_S = 45.0
# Bounds of the pages: finish_s after the end of the traffic, and 3 s in which
# a job has nothing running.
FINISH_S, IDLE_S = 14.0, 3.0
# Key of another tenant, whose jobs are small.
OTHER_KEY = 'key-2'
ACCOUNT = {'weight': 50, 'maximum': {'cpu': 400_000, 'memMb': 0, 'gpus': 0}}


def count_done(lab):
    return sum(item.outcome == 'done' for item in lab.get_runs(LARGE))


async def play(lab):
    lab.site.accounts = {
        'acme': {'apiKeys': [lab_module.API_KEY], **ACCOUNT},
        'other': {'apiKeys': [OTHER_KEY], **ACCOUNT},
    }
    times = TIMES if lab_module.is_trouble() else FEW_TIMES
    await lab.start()
    small = {
        'cpu': 20,
        'memMb': 0,
        'estimateMs': 10,
    }
    await lab.submit(
        'alpha',
        LARGE,
        [create_step(1, **small) for _ in range(STEPS)],
        spec=SPEC,
        times=times,
        startAtMs=time.time() * 1000,
        intervalMs=100,
    )
    ends_at_s = time.monotonic() + WORK_TIMEOUT_S
    done, since_s = 0, time.monotonic()
    while time.monotonic() < ends_at_s:
        await asyncio.sleep(1.0)
        now = count_done(lab)
        if now != done:
            done, since_s = now, time.monotonic()
            lab.note(f'{done} tasks of the large job are done')
        if time.monotonic() - since_s > 4:
            break
    lab.note(f'{done} of {times * (STEPS - 1)} short tasks are done')
    ids = [f'{number:016x}' for number in range(SMALL_JOBS)]
    for job_id in ids:
        await lab.submit('beta', job_id, [create_step(1)], key=OTHER_KEY)
    ended_at_s = time.monotonic()
    lab.note('the traffic ends')
    await asyncio.sleep(FINISH_S)
    await asyncio.sleep(IDLE_S + 1.0)
    on_beta = lab.find_pool_workers('beta')
    busy = lab.find_running(on_beta)
    lab.note(f'beta has {len(on_beta)} workers with {len(busy)} runs')
    broken = []
    for job_id in ids:
        state = await lab.get_state('beta', job_id, key=OTHER_KEY)
        if not lab.get_runs(job_id) and on_beta and not busy:
            broken.append(
                f'job {job_id} of another tenant has never run up to '
                f'{time.monotonic() - ended_at_s:.1f} s after the end of the '
                'traffic; all workers of its pool are idle'
            )
        elif state != 'completed':
            lab.note(f'job {job_id} is {state}')
    for line in lab.find_owner().lines[-6:]:
        lab.note(f'log: {json.dumps(line)[:300]}')
    for node in lab.nodes:
        for event in (
            'cannot write to the store; retrying',
            'this node owns the unit',
        ):
            found = [line for line in node.lines if line['event'] == event]
            lab.note(f'{node.name} logged {len(found)} times: {event}')
    lab.note_runs(limit=20)
    return broken


workers.install()
lab_module.run_case(
    play,
    folder=pathlib.Path(__file__).parent,
    pools={'alpha': 3, 'beta': 3},
)
