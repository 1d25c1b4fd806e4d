"""Removes the rows of jobs that ended long ago."""

import asyncio

from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import rows
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['Retention']

PASS_INTERVAL_S = 5.0
# The status of an ended job is kept longer than promised to callers, by this
# factor.
RETENTION_FACTOR = 1.25
# Occurrences of an ended job, with their steps and tasks, are dropped from
# memory sooner.
OCCURRENCES_KEPT_S = 30.0
# Most jobs removed in one pass, and so in one transaction; each job has three
# rows.
MAX_JOBS_PER_PASS = 30
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
        while True:
            await asyncio.sleep(PASS_INTERVAL_S)
            try:
                await self._remove_expired()
            except (
                rows.StoreRefused,
                rows.StoreSilent,
                rows.Conflicted,
            ) as exc:
                # The next pass finds the same jobs.
                LOG.info(
                    'rows of ended jobs are not removed yet', error=str(exc)
                )

    async def _remove_expired(self):
        now_ms = clocks.wall_time_s() * 1000
        kept_ms = self.term.settings.status_s * RETENTION_FACTOR * 1000
        expired = []
        for job in self.term.job_registry.jobs.values():
            if not job.ended:
                continue
            age_ms = now_ms - job.progress.ended_ms
            if age_ms > OCCURRENCES_KEPT_S * 1000:
                job.occurrences.clear()
            if age_ms > kept_ms and len(expired) < MAX_JOBS_PER_PASS:
                expired.append(job.job_id)
        for job_id, (
            _,
            progress,
        ) in self.term.job_registry.archived_rows.items():
            if len(expired) == MAX_JOBS_PER_PASS:
                break
            if now_ms - plans.get_ended_ms(progress) > kept_ms:
                expired.append(job_id)
        if not expired:
            return
        await self._remove_jobs(expired)
        await self._remove_progress(expired)
        for job_id in expired:
            self.term.job_registry.remove_job(job_id)
            self.state_writer.remove_job(job_id)
        LOG.info('ended jobs are removed', jobs=len(expired))

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
        for removes in by_part.values():
            await self.store.transact(removes=removes)

    async def _remove_progress(self, job_ids):
        await self.state_writer.remove_progress(
            [
                key
                for job_id in job_ids
                for key in self.state_writer.progress_rows.get_keys(job_id)
            ]
        )
