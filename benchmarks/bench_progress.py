"""What the owner writes for each finished task of a job.

    python -m benchmarks.bench_progress --open-tasks 10 1000 20000

A job has so many open tasks, a tenth of which have a checkpoint. Ten tasks are
done in each flush. Prints bytes and milliseconds of the owner's process for
each of them; the time of the store is left out.
"""

import argparse
import asyncio
import logging
import time

import structlog

from arbutusrock.engine.jobs import plans
from arbutusrock.engine.state import state_writer
from arbutusrock.engine.tests import samples

__all__ = ['main']

TASKS_PER_FLUSH, FLUSHES = 10, 50
TASKS_PER_STEP = 20


class _Store:
    def __init__(self):
        self.bytes = self.longest = 0
        self.version = 10

    async def transact(self, *, expected=(), puts=(), removes=()):
        self.version += 1
        for row in puts:
            if row.table == 'arbutusrock-progress':
                self.bytes += len(row.value)
                self.longest = max(self.longest, len(row.value))
        return self.version


async def _play(open_tasks):
    """Return bytes and milliseconds for each task, and the longest row."""
    term, store = samples.create_term(epoch=1), _Store()
    writer = state_writer.StateWriter(
        term=term, store=store, on_heartbeat=lambda _heartbeat: None
    )
    submission = samples.create_submission()
    submission.plan.steps = tuple(
        plans.StepPlan(count=min(TASKS_PER_STEP, open_tasks))
        for _ in range(max(1, open_tasks // TASKS_PER_STEP))
    )
    registry = term.job_registry
    job = registry.add('0' * 16, submission)
    registry.start_due_occurrences(1e9, 0.0)
    tasks = list(job.iterate_tasks())
    for task in tasks[::10]:
        registry.record_checkpoint(task, '0' * 16)
    # The first half is done already.
    for task in tasks[: len(tasks) // 2]:
        registry.mark_done(task, 0.0, 0.0)
    await writer.flush()
    store.bytes, took_s, done = 0, 0.0, 0
    left = tasks[len(tasks) // 2 : -1]
    for _ in range(FLUSHES):
        finished, left = left[:TASKS_PER_FLUSH], left[TASKS_PER_FLUSH:]
        if not finished:
            break
        for task in finished:
            registry.mark_done(task, 0.0, 0.0)
        began_at_s = time.perf_counter()
        await writer.flush()
        took_s += time.perf_counter() - began_at_s
        done += len(finished)
    return store.bytes / done, took_s / done * 1000, store.longest


def main(arguments=None):
    """Print the figures for each number of open tasks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--open-tasks', type=int, nargs='+', default=[10, 1000, 20_000]
    )
    options = parser.parse_args(arguments)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for count in options.open_tasks:
        size, ms, longest = asyncio.run(_play(count))
        print(
            f'{count} open tasks: {size:.0f} bytes and {ms:.3f} ms a task; '
            f'longest row {longest}'
        )


if __name__ == '__main__':
    main()
