"""Stores new jobs in batches, each job exactly once.

Load: the store is slow, and a part takes one transaction after the other.
Each part has a writer task of its own, which collects the jobs that arrive
while a transaction is under way and sends them in the next one.
"""

import asyncio
from collections import OrderedDict
import enum

from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import rows
from arbutusrock import errors
from arbutusrock import logs
from arbutusrock.scheduling import batch_order
from arbutusrock.scheduling import return_times
from arbutusrock.utils import clocks

__all__ = ['StoreOutcome', 'Submitter']

# Time in which jobs are collected into one transaction.
BATCH_DELAY_S = 0.004
# Jobs in one transaction; the store takes 100 entries.
MAX_BATCH_JOBS = 40
# A job is refused to its callers after this many refused transactions, and
# not before it has waited as long for a busy store as its caller can afford.
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.03
# The delay is doubled this often while the store gets too many calls.
MAX_DELAY_DOUBLINGS = 2
# A job that has been in doubt for this time is given up with an unknown
# outcome: the store does not answer this node, but another node may reach it.
# Shorter than the time-out of one call, longer than a call takes whose
# connection is reset.
MAX_IN_DOUBT_S = 1.0
# Ids of jobs with an unknown outcome that are remembered for later calls.
MAX_REMEMBERED_JOBS = 20_000
# Time-out of the check whether a job that the store refused is stored already.
CHECK_TIMEOUT_S = 0.3
LOG = logs.get_log('submit')


class StoreOutcome(enum.Enum):
    """Result of storing a job, as far as it is known."""

    STORED = 'stored'
    # It is not stored and never will be.
    REFUSED = 'refused'
    # As above, and the store would not take it at any time.
    REJECTED = 'rejected'
    # It may be stored already, or may be later.
    UNKNOWN = 'unknown'


class _PendingJob:
    """A job that waits to be stored, and the result for its callers."""

    __slots__ = (
        'job_id',
        'value',
        'account',
        'weight',
        'deadline_at_s',
        'busy_until_s',
        'attempts',
        'first_sent_at_s',
        'in_doubt',
        'waiters',
        'result',
    )

    def __init__(
        self, *, job_id, value, account, weight, deadline_at_s, in_doubt
    ):
        now_s = clocks.now_s()
        self.job_id = job_id
        self.value = value
        self.account = account
        self.weight = weight
        self.deadline_at_s = deadline_at_s
        # Until when it may wait for a store that refuses it for its rate.
        self.busy_until_s = now_s + return_times.choose_busy_wait_s(
            deadline_at_s - now_s
        )
        self.attempts = 0
        # When a transaction with it was first sent.
        self.first_sent_at_s = None
        # Number of callers that wait for the result.
        self.waiters = 0
        # Whether an earlier transaction with it was not answered.
        self.in_doubt = in_doubt
        self.result = asyncio.get_running_loop().create_future()

    def resolve(self, result):
        if not self.result.done():
            self.result.set_result(result)


class Submitter:
    """Stores the jobs that callers submit to this node.

    :param store: client of the store.
    :param max_row_bytes: size of the largest value that a row takes.
    """

    def __init__(self, *, store, max_row_bytes):
        self.max_row_bytes = max_row_bytes
        # Ids whose outcome was unknown: a later call with such an id may be
        # refused only by an unknown outcome again.
        self._unknown_ids = OrderedDict()
        self._writers = {
            part: _PartWriter(store=store, part=part)
            for part in rows.JOB_PARTS
        }

    def may_be_stored(self, job_id):
        """Return whether an earlier call may have stored a job."""
        return job_id in self._unknown_ids

    async def submit(self, job_id, submission, *, deadline_at_s, weight=1.0):
        """Store a job, unless a job with this id is stored already.

        :param deadline_at_s: when the caller gives up.
        :param weight: share of its account when many jobs wait.
        :returns: :class:`StoreOutcome`.
        :raises errors.BodyTooLarge: the job does not fit into one row.
        """
        value = plans.encode_submission(submission, self.max_row_bytes)
        if len(value) > self.max_row_bytes:
            raise errors.BodyTooLarge(
                f'the job takes {len(value)} bytes, over {self.max_row_bytes}'
            )
        writer = self._writers[rows.get_job_part(job_id)]
        outcome = await writer.submit(
            job_id,
            value,
            account=submission.account,
            weight=weight,
            deadline_at_s=deadline_at_s,
            in_doubt=self.may_be_stored(job_id),
        )
        if outcome is StoreOutcome.UNKNOWN:
            self._unknown_ids[job_id] = None
            while len(self._unknown_ids) > MAX_REMEMBERED_JOBS:
                self._unknown_ids.popitem(last=False)
        return outcome

    async def run(self):
        """Write jobs until cancelled."""
        async with asyncio.TaskGroup() as group:
            for writer in self._writers.values():
                group.create_task(writer.run())


class _PartWriter:
    """One task that writes the jobs of one part."""

    def __init__(self, *, store, part):
        self.store = store
        self.part = part
        self._pending = {}
        self._has_pending = asyncio.Event()
        # Transactions in a row that the store refused for its rate.
        self._busy_count = 0

    async def submit(self, job_id, value, *, deadline_at_s, **fields):
        job = self._pending.get(job_id)
        if job is None:
            job = _PendingJob(
                job_id=job_id,
                value=value,
                deadline_at_s=deadline_at_s,
                **fields,
            )
            self._pending[job_id] = job
            self._has_pending.set()
        job.waiters += 1
        try:
            async with asyncio.timeout(
                max(0.0, deadline_at_s - clocks.now_s())
            ):
                # Shielded: a caller that times out must not cancel the result
                # for the other callers of the same job.
                return await asyncio.shield(job.result)
        except TimeoutError:
            return self._handle_caller_timeout(job)
        finally:
            job.waiters -= 1

    def _handle_caller_timeout(self, job):
        """Return the outcome for a caller whose deadline has passed.

        The last caller of a job that was never sent withdraws it.
        """
        if job.first_sent_at_s is not None or job.waiters > 1:
            return StoreOutcome.UNKNOWN
        self._pending.pop(job.job_id, None)
        outcome = _get_refusal(job)
        job.resolve(outcome)
        return outcome

    async def run(self):
        while True:
            await self._has_pending.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            pending = batch_order.order_jobs(self._pending.values())
            batch, _ = rows.BatchRoom().take(
                pending, entries_each=2, most=MAX_BATCH_JOBS
            )
            if batch:
                await self._write(batch)
            for job in batch:
                if job.result.done():
                    self._pending.pop(job.job_id, None)
            if not self._pending:
                self._has_pending.clear()

    async def _write(self, batch):
        expected = [
            rows.Row(table=rows.TABLE_JOBS, part=self.part, key=job.job_id)
            for job in batch
        ]
        puts = [
            rows.Row(
                table=rows.TABLE_JOBS,
                part=self.part,
                key=job.job_id,
                value=job.value,
            )
            for job in batch
        ]
        for job in batch:
            job.first_sent_at_s = job.first_sent_at_s or clocks.now_s()
        try:
            await self.store.transact(expected=expected, puts=puts)
        except rows.Conflicted as exc:
            present = {row.key for row in exc.rows if row.version}
            for job in batch:
                if job.job_id in present:
                    job.resolve(StoreOutcome.STORED)
        except rows.WriteRejected as exc:
            await self._isolate(batch, exc)
        except rows.StoreRefused as exc:
            await self._handle_refusal(batch, exc)
        except rows.StoreSilent as exc:
            LOG.warning('the store did not answer', error=str(exc))
            for job in batch:
                job.in_doubt = True
            self._expire_overdue(batch)
        else:
            self._busy_count = 0
            for job in batch:
                job.resolve(StoreOutcome.STORED)

    async def _isolate(self, batch, exc):
        """Store the jobs of a rejected batch that the store does take."""
        if len(batch) == 1:
            await self._resolve_refused(
                batch[0], exc, outcome=StoreOutcome.REJECTED
            )
            return
        middle = len(batch) // 2
        await self._write(batch[:middle])
        await self._write(batch[middle:])

    async def _handle_refusal(self, batch, exc):
        now_s = clocks.now_s()
        is_busy = isinstance(exc, rows.StoreBusy)
        self._busy_count = self._busy_count + 1 if is_busy else 0
        for job in batch:
            job.attempts += 1
        # A job in doubt may be stored by an earlier attempt.
        refused = [
            job
            for job in batch
            if job.attempts >= MAX_ATTEMPTS
            and not job.in_doubt
            and not (is_busy and now_s < job.busy_until_s)
        ]
        await asyncio.gather(
            *(self._resolve_refused(job, exc) for job in refused)
        )
        self._expire_overdue(batch)
        await asyncio.sleep(
            RETRY_DELAY_S * 2 ** min(MAX_DELAY_DOUBLINGS, self._busy_count)
        )

    async def _resolve_refused(
        self, job, exc, *, outcome=StoreOutcome.REFUSED
    ):
        """Resolve a job that the store refused, as far as this node knows.

        A call with the same id at another node may have stored it before.

        :param outcome: of a job that is not stored.
        """
        stored = await self._is_stored(job.job_id)
        LOG.info(
            'the store refused a job',
            job=job.job_id,
            stored_before=stored,
            error=str(exc),
        )
        job.resolve(StoreOutcome.STORED if stored else outcome)

    async def _is_stored(self, job_id):
        """Return whether a job is stored; None when the store is no help."""
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                found, _ = await self.store.read_range(
                    rows.TABLE_JOBS,
                    first=job_id,
                    last=f'{job_id}\0',
                    limit=1,
                    part=self.part,
                )
        except (rows.StoreRefused, rows.StoreSilent, TimeoutError):
            return None
        return bool(found)

    @staticmethod
    def _expire_overdue(batch):
        """Resolve jobs in doubt for too long, and jobs past their deadline."""
        now_s = clocks.now_s()
        for job in batch:
            if job.result.done():
                continue
            if job.in_doubt and now_s > job.first_sent_at_s + MAX_IN_DOUBT_S:
                job.resolve(StoreOutcome.UNKNOWN)
            elif now_s > job.deadline_at_s:
                job.resolve(_get_refusal(job))


def _get_refusal(job):
    """Return the outcome of a job that this call gives up."""
    return StoreOutcome.UNKNOWN if job.in_doubt else StoreOutcome.REFUSED
