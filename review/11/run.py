"""A start order is carried out late, by a worker that was down longer.

The worker gets a start order, which is not answered, and loses power. It is
off for longer than a lease lasts, so the task is started elsewhere. It comes
back under its id, as a new boot, and the order is carried out there.
"""

import asyncio
import json
import pathlib
import sys
import time

from aiohttp import web

from review.lab3 import lab as lab_module

# How long the first boots of the workers have been up when the job comes.
# Their clocks are then far ahead of the clock of a new boot.
UPTIME_S = 9.0
# How long the VM is off; the pages' site has crashes of up to 7.8 s.
DOWN_S = 7.0
# When the order is carried out after it was sent; the pages say 2 to 12 s.
LATE_S = 8.2
TASK_MS = 100
FINISH_S = 20.0
JOB = '5c0e7a21d94b3611'
# It keeps the VMs of the service switched on.
LASTING_JOB = '5c0e7a21d94b3610'
VMS = 3


class LateOrder:
    """Takes the first start order of the job; it is not answered."""

    def __init__(self, *, lab):
        self.lab = lab
        self.taken = asyncio.get_running_loop().create_future()

    def create_middleware(self, vm, worker):
        """Return the middleware of a worker."""

        @web.middleware
        async def take(request, handler):
            if request.path != '/api/run-start' or self.taken.done():
                return await handler(request)
            body = await request.json()
            if not body['task'].startswith(JOB):
                return await handler(request)
            self.lab.record(
                f'a start order for {body["task"]} run {body["run"]} reaches'
                f' {worker.worker_id} and gets no answer'
            )
            self.taken.set_result((vm, worker, body))
            await asyncio.sleep(30)
            return web.Response(status=503)

        return take


def hold_first_order(lab):
    """Have the workers leave the first order of the job unanswered."""
    late = LateOrder(lab=lab)
    for vm, worker in lab.site.workers.items():
        worker.faults.hook = late.create_middleware(vm, worker)
    return late.taken


async def trouble(lab, taken):
    """Switch the VM of the unanswered order off and on again."""
    async with asyncio.timeout(10):
        vm, worker, body = await taken
    lab.site.deliver_late(vm, worker.worker_id, body, LATE_S)
    await asyncio.sleep(0.1)
    worker_id, port = await lab.site.power_off(vm)
    await asyncio.sleep(DOWN_S)
    await lab.site.power_on(vm, worker_id=worker_id, port=port)


def find_repeats(runs):
    """Return a sentence for each two runs of one task that break the rule.

    They are at work at the same time, or the second one starts after the
    first one has ended ``done`` and this end was acknowledged.
    """
    found = []
    for index, first in enumerate(runs):
        for second in runs[index + 1 :]:
            if first.task != second.task:
                continue
            if (
                first.outcome == 'done'
                and first.acknowledged_at_s is not None
                and second.started_at_s >= first.ended_at_s
            ):
                found.append(
                    f'TWICE: {first.task} run {second.run} starts on'
                    f' {second.worker_id} after run {first.run} has ended'
                    f' done on {first.worker_id}; the second one ends'
                    f' {second.outcome}'
                )
            begin_s = max(first.started_at_s, second.started_at_s)
            end_s = min(
                first.ended_at_s or time.monotonic(),
                second.ended_at_s or time.monotonic(),
            )
            if begin_s < end_s:
                found.append(
                    f'TWICE: {first.task} runs as {first.run} on'
                    f' {first.worker_id} and as {second.run} on'
                    f' {second.worker_id}, for {end_s - begin_s:.3f} s at'
                    ' the same time'
                )
    return found


async def scenario(lab):
    """Play the case; return how the rule was broken."""
    demand = {'cpu': 1000, 'memMb': 100}
    lasting = {
        **demand,
        'count': VMS,
        'longRunning': True,
        'antiAffinity': 1,
        'estimateMs': 1000,
    }
    await lab.submit(
        'alpha', LASTING_JOB, [lasting], spec=json.dumps({'lasts': 1})
    )
    await asyncio.sleep(UPTIME_S)
    disruption = None
    if lab.trouble:
        disruption = asyncio.ensure_future(trouble(lab, hold_first_order(lab)))
    step = {**demand, 'count': 1, 'estimateMs': TASK_MS}
    await lab.submit('alpha', JOB, [step], spec=json.dumps({'ms': TASK_MS}))

    async def has_ended():
        return await lab.get_state('alpha', JOB) == 'completed'

    if disruption is not None:
        await disruption
    for _ in range(int(FINISH_S)):
        if await has_ended():
            break
        await asyncio.sleep(1.0)
    # What runs late is over then, too.
    await asyncio.sleep(3.0)
    return find_repeats(lab.find_runs(JOB))


if __name__ == '__main__':
    sys.exit(
        lab_module.main(
            scenario,
            folder=pathlib.Path(__file__).parent,
            pools={'alpha': VMS},
        )
    )
