"""Memory and time that the backlog of one account takes of the owner.

    python -m benchmarks.bench_backlog --tasks 1000000

Jobs of five steps of 32 tasks wait in one queue. Prints what the process has
grown by, how long one look for due occurrences takes, and whether a job of
another queue of the account is brought into memory beside them.
"""

import argparse
import resource
import time

import msgspec

from arbutusrock.engine.jobs import job_registry
from arbutusrock.engine.jobs import plans
from arbutusrock.engine.tests import samples

__all__ = ['main']

STEPS, TASKS = 5, 32
PASSES = 20


def _measure_memory_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def _create_submission(queue, steps):
    return msgspec.structs.replace(
        samples.create_submission(),
        queue=queue,
        plan=plans.JobPlan(
            spec='x' * 200,
            steps=tuple(
                plans.StepPlan(count=TASKS, estimate_ms=5200.0)
                for _ in range(steps)
            ),
        ),
    )


def main(arguments=None):
    """Print the figures of one backlog."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--tasks', type=int, default=1_000_000)
    options = parser.parse_args(arguments)
    before_mb = _measure_memory_mb()
    row = plans.encode_row(_create_submission('large', STEPS))
    registry = job_registry.JobRegistry()
    for number in range(options.tasks // (STEPS * TASKS)):
        registry.add(f'{number:016x}', plans.decode_submission(row))
    probe = registry.add('f' * 16, _create_submission('small', 1))
    registry.start_due_occurrences(1e9, 0.0)
    began_at_s = time.perf_counter()
    for _ in range(PASSES):
        registry.start_due_occurrences(1e9, 0.0)
    pass_ms = (time.perf_counter() - began_at_s) / PASSES * 1000
    in_memory = sum(
        job.task_count for job in registry.jobs.values() if job.occurrences
    )
    print(
        f'{options.tasks} tasks in {len(registry.jobs)} jobs, {in_memory} of '
        f'them in memory; {_measure_memory_mb() - before_mb:.0f} MB; '
        f'{pass_ms:.3f} ms a look; the job of another queue '
        f'{"has begun" if probe.occurrences else "waits"}'
    )


if __name__ == '__main__':
    main()
