"""Removes the rows of jobs that ended long ago."""

import asyncio

from arbutusrock.engine import plans
from arbutusrock.engine import rows
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['Retention']

PASS_S = 5.0
# Callers may ask for a state this much longer than promised.
RETENTION_FACTOR = 1.25
# Steps and tasks of an ended job leave memory sooner.
OCCURRENCES_KEPT_S = 30.0
# Jobs removed in one pass and in one transaction (three rows each).
MAX_JOBS_PER_PASS = 30
LOG = logs.get_log('retention')


class Retention:
    """One task that forgets ended jobs, in memory and in the store.

    :param term: :class:`arbutusrock.engine.term.Term`.
    :param store: client of the store.
    :param state_writer: knows the claim and the versions of rows.
    :param cancel_suffix: what the key of a cancellation ends with.
    """

    def __init__(self, *, term, store, state_writer, cancel_suffix):
        self.term = term
        self.store = store
        self.state_writer = state_writer
        self.cancel_suffix = cancel_suffix

    async def run(self):
        """Make passes until the ownership ends."""
        while True:
            await asyncio.sleep(PASS_S)
            try:
                await self._remove_old()
            except (
                rows.StoreRefused,
                rows.StoreSilent,
                rows.Conflicted,
            ) as exc:
                # The next pass finds the same jobs.
                LOG.info('rows are not removed yet', error=str(exc))

    async def _remove_old(self):
        now_ms = clocks.wall_time_s() * 1000
        kept_ms = self.term.settings.status_s * RETENTION_FACTOR * 1000
        old = []
        for job in self.term.job_registry.jobs.values():
            if not job.ended:
                continue
            age_ms = now_ms - job.progress.ended_ms
            if age_ms > OCCURRENCES_KEPT_S * 1000:
                job.occurrences.clear()
            if age_ms > kept_ms and len(old) < MAX_JOBS_PER_PASS:
                old.append(job.job_id)
        for job_id, (
            _,
            progress,
        ) in self.term.job_registry.archived_rows.items():
            if len(old) == MAX_JOBS_PER_PASS:
                break
            if now_ms - plans.get_ended_ms(progress) > kept_ms:
                old.append(job_id)
        if not old:
            return
        await self._remove_jobs(old)
        await self._remove_progress(old)
        for job_id in old:
            self.term.job_registry.remove_job(job_id)
            self.state_writer.remove_job(job_id)
        LOG.info('ended jobs are forgotten', jobs=len(old))

    async def _remove_jobs(self, job_ids):
        """Remove first what a new owner would take for an open job."""
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
        await self.store.transact(
            expected=[self.state_writer.create_claim_condition()],
            removes=[
                rows.Row(table=rows.TABLE_PROGRESS, key=job_id)
                for job_id in job_ids
            ],
        )
