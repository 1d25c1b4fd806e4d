"""Runs one seed: load with faults, time to finish without faults, checks."""

import asyncio
import pathlib
import tempfile
import time

from soak import checks
from soak import cluster
from soak import load_generator
from soak import schedule

__all__ = ['Result', 'run_seed']

# All accepted jobs must finish within this time after load and faults have
# ended, and each wave within this time after its deadline (``finish_s``).
COMPLETION_TIMEOUT_S = 14.0
WAVE_POLL_INTERVAL_S = 0.2
# Tasks of each pool that last, in a run with partitions.
LASTING_TASKS = 4


class Result:
    """Outcome of one seed.

    :param faults: each injected :class:`soak.schedule.Fault`.
    :param broken: a line for each violated guarantee.
    :param job_count: number of jobs of the load.
    :param ledger: a line for each run that a worker recorded.
    :param logs: log records of each node, by its name.
    """

    def __init__(self, *, seed, faults, broken, job_count, ledger, logs):
        self.seed = seed
        self.faults = faults
        self.broken = broken
        self.job_count = job_count
        self.ledger = ledger
        self.logs = logs


async def run_seed(seed, *, seconds, nodes, kind_set='all'):
    """Run the load and the faults of one seed and check the guarantees.

    :param seconds: duration of the load, in which all faults start.
    :param nodes: number of node processes.
    :param kind_set: one of :data:`schedule.KIND_SETS`.
    :returns: :class:`Result`.
    """
    faults = schedule.draw_faults(seed, seconds, kind_set)
    has_partitions = any(
        fault.kind == schedule.PARTITION_KIND for fault in faults
    )
    with tempfile.TemporaryDirectory(prefix='soak-') as folder:
        soak_cluster = cluster.SoakCluster(
            nodes=nodes,
            folder=pathlib.Path(folder),
            has_partitions=has_partitions,
        )
        try:
            await soak_cluster.start()
            generator = load_generator.LoadGenerator(
                nodes=soak_cluster.nodes,
                seed=seed,
                pools=['alpha', 'beta'],
                draws_deadly_jobs=lambda: soak_cluster.deadly_count > 0,
                lasting_tasks=LASTING_TASKS if has_partitions else 0,
            )
            await _run_load_and_faults(
                soak_cluster, generator, faults, seconds
            )
            broken = await _check(soak_cluster, generator)
        finally:
            await soak_cluster.close()
    return Result(
        seed=seed,
        faults=faults,
        broken=broken,
        job_count=len(generator.jobs),
        ledger=[_describe_run(run) for run in soak_cluster.site.ledger],
        logs={node.name: node.log_lines for node in soak_cluster.nodes},
    )


def _describe_run(run):
    times = (
        'none' if time_s is None else f'{time_s:.3f}'
        for time_s in (
            run.started_at_s,
            run.ended_at_s,
            run.acknowledged_at_s,
        )
    )
    return (
        f'{run.task} run {run.run} on {run.worker_id}, '
        f'begin, end, noted: {", ".join(times)}, {run.outcome}'
    )


async def _run_load_and_faults(soak_cluster, generator, faults, seconds):
    load = asyncio.ensure_future(generator.run())
    started_at_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            wait_s = started_at_s + fault.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))
            group.create_task(soak_cluster.inject_fault(fault))
    await asyncio.sleep(max(0.0, started_at_s + seconds - time.monotonic()))
    generator.stop()
    # The checks report jobs that are not finished by then.
    _, unfinished = await asyncio.wait({load}, timeout=COMPLETION_TIMEOUT_S)
    for task in unfinished:
        task.cancel()
    await asyncio.gather(load, return_exceptions=True)


async def _check(soak_cluster, generator):
    def done(wave):
        return soak_cluster.site.get_wave_state(wave) == 'completed'

    broken = list(
        checks.find_violations(
            ledger=soak_cluster.site.ledger,
            jobs=generator.jobs,
            calls=generator.calls,
            fault_intervals=soak_cluster.fault_intervals,
            limits=(
                cluster.CORES_PER_VM * 1000,
                cluster.UPPER_LIMIT_MILLICORES,
            ),
            orders=soak_cluster.site.vm_service.orders,
            crashes=soak_cluster.site.crashes,
            capacity_changes=soak_cluster.site.capacity_changes,
            evacuations=soak_cluster.site.evacuations,
            data_centre_by_worker=soak_cluster.site.data_centre_by_worker,
        )
    )
    if soak_cluster.site.vm_service.peak_down > 1:
        broken.append('LIMIT two VMs of a wave were down at once')
    for wave, deadline_at_s in soak_cluster.wave_deadlines.items():
        end_at_s = deadline_at_s + COMPLETION_TIMEOUT_S
        while time.monotonic() < end_at_s and not done(wave):  # noqa: ASYNC110
            await asyncio.sleep(WAVE_POLL_INTERVAL_S)
        if not done(wave):
            broken.append(f'MIXED wave {wave} is not completed')
    return broken + soak_cluster.find_failures()
