"""Ended jobs are removed as fast as jobs are accepted."""

import types

from arbutusrock.engine.jobs import plans
from arbutusrock.engine.state import retention
from arbutusrock.engine.state import state_writer
from arbutusrock.engine.tests import samples
from arbutusrock.utils import clocks

# Four times the rate of the sheets.
JOBS_PER_S = 44
PLAYED_S = 1200
# What is kept: jobs that ended lately, and those of a pass or two.
MAX_KEPT_S = 120 * retention.RETENTION_FACTOR + 30.0


class Store:
    """Keys of the rows that were written, and what a transaction holds."""

    def __init__(self):
        self.keys = set()
        self.version = 10

    async def transact(self, *, expected=(), puts=(), removes=()):
        assert len(expected) + len(puts) + len(removes) <= 100
        self.version += 1
        self.keys.update(row.key for row in puts)
        self.keys.difference_update(row.key for row in removes)
        return self.version


async def test_rows_of_ended_jobs_grow_until_memory_is_full(monkeypatch):
    """They were removed at 6 a second at most."""
    now = types.SimpleNamespace(s=1e9)
    monkeypatch.setattr(clocks, 'wall_time_s', lambda: now.s)
    monkeypatch.setattr(clocks, 'now_s', lambda: now.s)
    intervals = []

    async def sleep(seconds):
        intervals.append(seconds)
        await accept_jobs(seconds)

    monkeypatch.setattr(retention.asyncio, 'sleep', sleep)
    term, store = samples.create_term(epoch=1), Store()
    writer = state_writer.StateWriter(
        term=term, store=store, on_heartbeat=lambda _heartbeat: None
    )
    registry, submission = term.job_registry, samples.create_submission()

    class Ended(Exception):
        """The time that is played is over."""

    async def accept_jobs(seconds):
        for _ in range(int(seconds * JOBS_PER_S)):
            job = registry.add(f'{len(seen):016x}', submission)
            seen.append(job.job_id)
            store.keys.add(job.job_id)
            registry.start_job(job.job_id, now.s, now.s)
            (task,) = list(job.iterate_tasks())
            registry.mark_done(task, now.s, now.s)
        now.s += seconds
        await writer.flush()
        kept.append(len(registry.jobs))
        if now.s > 1e9 + PLAYED_S:
            raise Ended

    seen, kept = [], []
    removal = retention.Retention(
        term=term, store=store, state_writer=writer, cancel_suffix='.c'
    )
    try:
        await removal.run()
    except Ended:
        pass
    assert len(seen) > PLAYED_S * JOBS_PER_S * 0.9
    assert max(kept) <= MAX_KEPT_S * JOBS_PER_S
    assert len(store.keys) <= MAX_KEPT_S * JOBS_PER_S + 2
    # Passes that left jobs are not held back.
    assert min(intervals) >= retention.BUSY_INTERVAL_S


async def test_ended_jobs_that_were_loaded_are_removed_oldest_first():
    term = samples.create_term(epoch=1)
    registry = term.job_registry
    for number, ended_ms in enumerate([3.0, 1.0, 2.0]):
        progress = plans.encode_row(plans.JobProgress(ended_ms=ended_ms))
        registry.archive(f'{number:016x}', b'', progress)
    registry.sort_ended_jobs()
    assert registry.find_ended_jobs(2.5, 9) == [f'{1:016x}', f'{2:016x}']
    assert registry.find_ended_jobs(9.0, 1) == [f'{1:016x}']
