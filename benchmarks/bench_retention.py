"""Rows and memory of an owner whose jobs end as fast as they are accepted.

    python -m benchmarks.bench_retention --hours 24 --rate 11

Plays hours of accepted jobs on a clock of its own: each second so many jobs
are added, done and written, and retention makes its passes at its own
intervals. Prints what the store and the process hold by the hour.
"""

import argparse
import asyncio
import logging
import resource
import types
from unittest import mock

import structlog

from arbutusrock.engine.state import retention
from arbutusrock.engine.state import state_writer
from arbutusrock.engine.tests import samples
from arbutusrock.utils import clocks

__all__ = ['Store', 'main', 'play']

STEP_S = 0.5


class Store:
    """Keys of the rows that the owner has written."""

    def __init__(self):
        self.keys = set()
        self.version = 10
        self.transactions = 0

    async def transact(self, *, expected=(), puts=(), removes=()):
        """Apply a transaction; conditions are not checked."""
        self.transactions += 1
        self.version += 1
        self.keys.update((row.table, row.key) for row in puts)
        self.keys.difference_update((row.table, row.key) for row in removes)
        return self.version


async def play(hours, rate, report):
    """Play hours of accepted jobs.

    :param rate: jobs a second.
    :param report: called each hour with the store and the registry.
    """
    now = types.SimpleNamespace(s=1e9)
    with mock.patch.multiple(
        clocks, wall_time_s=lambda: now.s, now_s=lambda: now.s
    ):
        await _play_hours(now, hours, rate, report)


async def _play_hours(now, hours, rate, report):
    term, store = samples.create_term(epoch=1), Store()
    writer = state_writer.StateWriter(
        term=term, store=store, on_heartbeat=lambda _heartbeat: None
    )
    removal = retention.Retention(
        term=term, store=store, state_writer=writer, cancel_suffix='.c'
    )
    registry, submission = term.job_registry, samples.create_submission()
    count, due_at_s, hour_ends_at_s = 0, now.s, now.s + 3600
    for _ in range(int(hours * 3600 / STEP_S)):
        now.s += STEP_S
        for _ in range(int(rate * STEP_S)):
            job_id = f'{count:016x}'
            count += 1
            job = registry.add(job_id, submission)
            store.keys.add(('arbutusrock-jobs', job_id))
            registry.start_job(job_id, now.s, now.s)
            (task,) = list(job.iterate_tasks())
            registry.mark_done(task, now.s, now.s)
        await writer.flush()
        if now.s >= due_at_s:
            removed = await removal.remove_expired()
            due_at_s = now.s + (
                retention.BUSY_INTERVAL_S
                if removed == retention.MAX_JOBS_PER_PASS
                else retention.PASS_INTERVAL_S
            )
        if now.s >= hour_ends_at_s:
            hour_ends_at_s += 3600
            report(store, registry)


def main(arguments=None):
    """Print what is held after each hour."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hours', type=float, default=24.0)
    parser.add_argument('--rate', type=float, default=11.0)
    options = parser.parse_args(arguments)

    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )

    def report(store, registry):
        memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        print(
            f'{len(store.keys)} rows, {len(registry.jobs)} jobs in memory, '
            f'{memory_mb:.0f} MB at most, {store.transactions} transactions',
            flush=True,
        )

    asyncio.run(play(options.hours, options.rate, report))


if __name__ == '__main__':
    main()
