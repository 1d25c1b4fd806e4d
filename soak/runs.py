"""One run of the soak: load, faults, a calm end, checks."""

import asyncio
import pathlib
import tempfile
import time

from soak import load_generator
from soak import checks
from soak import schedule
from soak import world as world_module

__all__ = ['Result', 'play']

# Time after the last fault in which all accepted jobs must end
# (``finish_s``).
FINISH_S = 14.0
# How often a wave is looked at.
LOOK_S = 0.2


class Result:
    """What a run showed.

    :param broken: a line for each broken promise.
    :param ledger: what workers ran, one text a run.
    """

    def __init__(self, *, seed, faults, broken, jobs, ledger, logs):
        self.seed = seed
        self.faults = faults
        self.broken = broken
        self.jobs = jobs
        self.ledger = ledger
        self.logs = logs


async def play(seed, *, seconds, nodes):
    """Play one run.

    :param seconds: length of the load and of the faults.
    :returns: :class:`Result`.
    """
    faults = schedule.draw_faults(seed, seconds)
    with tempfile.TemporaryDirectory(prefix='soak-') as folder:
        world = world_module.World(nodes=nodes, folder=pathlib.Path(folder))
        try:
            await world.start()
            clients = load_generator.Callers(
                daemons=world.nodes, seed=seed, pools=['alpha', 'beta']
            )
            await _play_faults(world, clients, faults, seconds)
            broken = await _check(world, clients)
        finally:
            await world.close()
    return Result(
        seed=seed,
        faults=faults,
        broken=broken,
        jobs=len(clients.jobs),
        ledger=[_describe(line) for line in world.site.ledger],
        logs={node.name: node.lines for node in world.nodes},
    )


def _describe(line):
    times = (
        'none' if time_s is None else f'{time_s:.3f}'
        for time_s in (
            line.started_at_s,
            line.ended_at_s,
            line.acknowledged_at_s,
        )
    )
    return (
        f'{line.task} run {line.run} on {line.worker_id}, '
        f'begin, end, noted: {", ".join(times)}, {line.outcome}'
    )


async def _play_faults(world, clients, faults, seconds):
    load = asyncio.ensure_future(clients.run())
    began_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            wait_s = began_s + fault.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))
            group.create_task(world.apply(fault))
    await asyncio.sleep(max(0.0, began_s + seconds - time.monotonic()))
    clients.stop()
    # Jobs that are not over by then are found by the checks.
    _, late = await asyncio.wait({load}, timeout=FINISH_S)
    for task in late:
        task.cancel()
    await asyncio.gather(load, return_exceptions=True)


async def _check(world, clients):
    def done(number):
        return world.site.get_wave_state(number) == 'completed'

    broken = list(
        checks.find_broken(
            ledger=world.site.ledger,
            jobs=clients.jobs,
            calls=clients.calls,
            history=world.history,
            limits=(
                world_module.CORES * 1000,
                world_module.UPPER_LIMIT_CPU,
            ),
            orders=world.site.vm_service.orders,
        )
    )
    if world.site.vm_service.peak_down > 1:
        broken.append('LIMIT two VMs of a wave were down at once')
    for number, until_s in world.waves.items():
        last_s = until_s + FINISH_S
        while time.monotonic() < last_s and not done(number):  # noqa: ASYNC110
            await asyncio.sleep(LOOK_S)
        if not done(number):
            broken.append(f'MIXED wave {number} is not completed')
    return broken + world.find_failures()
