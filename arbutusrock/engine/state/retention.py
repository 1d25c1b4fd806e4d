"""Removes the rows of jobs that ended long ago.

Load: for hours, jobs end as fast as they are accepted. What is removed more
slowly than that piles up in the store and in the owner's memory. A pass is
followed by the next one at once when it has left jobs; each is short, so that
the rows of running jobs are written in between.
"""

import asyncio

from arbutusrock.engine.ports import rows
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['Retention']

PASS_INTERVAL_S = 5.0
# The same while there are more jobs to remove.
BUSY_INTERVAL_S = 0.5
# The status of an ended job is kept longer than promised to callers, by this
# factor.
RETENTION_FACTOR = 1.25
# Occurrences of an ended job, with their steps and tasks, are dropped from
# memory sooner.
OCCURRENCES_KEPT_S = 30.0
# Most jobs removed in one pass.
MAX_JOBS_PER_PASS = 60
# Most rows in one transaction that removes jobs of one part of the store.
MAX_REMOVED_ROWS = 90
LOG = logs.get_log('retention')


class Retention:
    """One task that removes ended jobs from memory and from the store.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param store: client of the store.
    :param state_writer:
        :class:`arbutusrock.engine.state.state_writer.StateWriter`,
        which has the claim and the versions of progress rows.
    :param cancel_suffix: suffix of the key of a cancellation.
    """

    def __init__(self, *, term, store, state_writer, cancel_suffix):
        self.term = term
        self.store = store
        self.state_writer = state_writer
        self.cancel_suffix = cancel_suffix

    async def run(self):
        """Make passes until the ownership ends."""
        interval_s = PASS_INTERVAL_S
        while True:
            await asyncio.sleep(interval_s)
            interval_s = PASS_INTERVAL_S
            try:
                if await self.remove_expired() == MAX_JOBS_PER_PASS:
                    interval_s = min(interval_s, BUSY_INTERVAL_S)
            except (
                rows.StoreRefused,
                rows.StoreSilent,
                rows.Conflicted,
            ) as exc:
                # The next pass finds the same jobs.
                LOG.info(
                    'rows of ended jobs are not removed yet', error=str(exc)
                )

    async def remove_expired(self):
        """Make one pass; return the number of jobs that were removed."""
        now_ms, registry = clocks.wall_time_s() * 1000, self.term.job_registry
        registry.drop_occurrences(now_ms - OCCURRENCES_KEPT_S * 1000)
        kept_ms = self.term.settings.status_s * RETENTION_FACTOR * 1000
        expired = registry.find_ended_jobs(now_ms - kept_ms, MAX_JOBS_PER_PASS)
        if not expired:
            return 0
        await self._remove_jobs(expired)
        await self._remove_progress(expired)
        for job_id in expired:
            registry.remove_job(job_id)
            self.state_writer.remove_job(job_id)
            self.term.duration_estimator.forget_job(job_id)
        self.term.metrics.count('jobs_removed', amount=len(expired))
        LOG.info(
            'ended jobs are removed',
            jobs=len(expired),
            left=len(registry.ended_jobs),
        )
        return len(expired)

    async def _remove_jobs(self, job_ids):
        """Remove the rows of jobs and of their cancellations.

        They go before the progress rows: a new owner would take a job row
        without progress for an open job.
        """
        by_part = {}
        for job_id in job_ids:
            part = rows.get_job_part(job_id)
            for key in (job_id, job_id + self.cancel_suffix):
                by_part.setdefault(part, []).append(
                    rows.Row(table=rows.TABLE_JOBS, part=part, key=key)
                )
        await asyncio.gather(
            *(
                self.store.transact(
                    removes=removes[first : first + MAX_REMOVED_ROWS]
                )
                for removes in by_part.values()
                for first in range(0, len(removes), MAX_REMOVED_ROWS)
            )
        )

    async def _remove_progress(self, job_ids):
        await self.state_writer.remove_progress(
            [
                key
                for job_id in job_ids
                for key in self.state_writer.progress_rows.get_keys(job_id)
            ]
        )
