"""One run of the soak: load, faults, a calm end, checks."""

import asyncio
import pathlib
import tempfile
import time

from soak import checks
from soak import cluster
from soak import load_generator
from soak import schedule

__all__ = ['Result', 'run_seed']

# Time after the last fault in which all accepted jobs must end
# (``finish_s``).
COMPLETION_TIMEOUT_S = 14.0
# How often a wave is looked at.
WAVE_POLL_INTERVAL_S = 0.2


class Result:
    """What a run showed.

    :param broken: a line for each broken promise.
    :param ledger: what workers ran, one text a run.
    """

    def __init__(self, *, seed, faults, broken, job_count, ledger, logs):
        self.seed = seed
        self.faults = faults
        self.broken = broken
        self.job_count = job_count
        self.ledger = ledger
        self.logs = logs


async def run_seed(seed, *, seconds, nodes):
    """Play one run.

    :param seconds: length of the load and of the faults.
    :returns: :class:`Result`.
    """
    faults = schedule.draw_faults(seed, seconds)
    with tempfile.TemporaryDirectory(prefix='soak-') as folder:
        soak_cluster = cluster.SoakCluster(
            nodes=nodes, folder=pathlib.Path(folder)
        )
        try:
            await soak_cluster.start()
            clients = load_generator.LoadGenerator(
                nodes=soak_cluster.nodes, seed=seed, pools=['alpha', 'beta']
            )
            await _run_load_and_faults(soak_cluster, clients, faults, seconds)
            broken = await _check(soak_cluster, clients)
        finally:
            await soak_cluster.close()
    return Result(
        seed=seed,
        faults=faults,
        broken=broken,
        job_count=len(clients.jobs),
        ledger=[_describe(line) for line in soak_cluster.site.ledger],
        logs={node.name: node.log_lines for node in soak_cluster.nodes},
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


async def _run_load_and_faults(soak_cluster, clients, faults, seconds):
    load = asyncio.ensure_future(clients.run())
    began_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            wait_s = began_s + fault.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))
            group.create_task(soak_cluster.inject_fault(fault))
    await asyncio.sleep(max(0.0, began_s + seconds - time.monotonic()))
    clients.stop()
    # Jobs that are not over by then are found by the checks.
    _, late = await asyncio.wait({load}, timeout=COMPLETION_TIMEOUT_S)
    for task in late:
        task.cancel()
    await asyncio.gather(load, return_exceptions=True)


async def _check(soak_cluster, clients):
    def done(number):
        return soak_cluster.site.get_wave_state(number) == 'completed'

    broken = list(
        checks.find_violations(
            ledger=soak_cluster.site.ledger,
            jobs=clients.jobs,
            calls=clients.calls,
            fault_intervals=soak_cluster.fault_intervals,
            limits=(
                cluster.CORES_PER_VM * 1000,
                cluster.UPPER_LIMIT_MILLICORES,
            ),
            orders=soak_cluster.site.vm_service.orders,
        )
    )
    if soak_cluster.site.vm_service.peak_down > 1:
        broken.append('LIMIT two VMs of a wave were down at once')
    for number, until_s in soak_cluster.wave_deadlines.items():
        last_s = until_s + COMPLETION_TIMEOUT_S
        while time.monotonic() < last_s and not done(number):  # noqa: ASYNC110
            await asyncio.sleep(WAVE_POLL_INTERVAL_S)
        if not done(number):
            broken.append(f'MIXED wave {number} is not completed')
    return broken + soak_cluster.find_failures()
