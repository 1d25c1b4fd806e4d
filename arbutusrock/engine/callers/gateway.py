"""Serves callers on any node: submits, reads and cancels jobs, counts them."""

import asyncio
from collections import OrderedDict

from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ownership import leader
from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import submitter
from arbutusrock import errors
from arbutusrock import logs
from arbutusrock.scheduling import return_times
from arbutusrock.utils import clocks

__all__ = ['Gateway']

# Delay before a failed or unanswered write is repeated, until the deadline of
# the caller.
RETRY_DELAY_S = 0.05
# Time-out of a status read, so that the caller asks another node instead of
# waiting longer. A slow store takes about 0.5 s for the two reads.
STATUS_TIMEOUT_S = 1.5
# Greatest age of the owner's count of waiting jobs.
MAX_COUNT_AGE_S = 2.0
# Calls are refused at once when the store has not confirmed the configuration
# for so long.
STORE_UNRESPONSIVE_S = 3.0
# Entries of the cache of job ids and of statuses that never change.
MAX_CACHED_JOBS = 20_000
LOG = logs.get_log('gateway')


class Gateway:
    """Serves callers from the configuration in force and from the store.

    :param store: client of the store.
    :param configuration: :class:`configuration_watcher.ConfigurationWatcher`.
    :param elector: :class:`ownership.OwnerElector`, which has the newest
        heartbeat of the owner.
    :param max_row_bytes: size of the largest value that a row takes.
    """

    def __init__(self, *, store, configuration, elector, max_row_bytes):
        self.store = store
        self.configuration = configuration
        self.elector = elector
        self.submitter = submitter.Submitter(
            store=store, max_row_bytes=max_row_bytes
        )
        # Final status by job, or None for a job that is only known to exist.
        self._status_cache = OrderedDict()

    def check_ready(self, **caller):
        """Raise unless this node can serve callers.

        :param caller: what is known of the caller, as for
            :func:`return_times.choose_retry_after_s`.
        """
        if self.configuration.current is None:
            raise errors.NodeNotServing(
                'no configuration yet',
                retry_after=return_times.choose_retry_after_s(
                    return_times.Trouble.NODE_NOT_READY, **caller
                ),
            )
        if (
            self.store.is_unreachable
            or self.configuration.age_s > STORE_UNRESPONSIVE_S
        ):
            raise errors.NodeNotServing(
                'the store is out of reach',
                retry_after=self._choose_retry_after_s(**caller),
            )

    def _choose_retry_after_s(self, **caller):
        """Return the Retry-After of a call that the store does not serve."""
        if self.store.unreachable_for_s:
            trouble = return_times.Trouble.STORE_AWAY
        elif self.store.direct_path_down:
            trouble = return_times.Trouble.NODE_CUT_OFF
        else:
            trouble = return_times.Trouble.STORE_BUSY
        return return_times.choose_retry_after_s(
            trouble, lasted_s=self.store.unreachable_for_s, **caller
        )

    def find_queue(self, host, path, key, **caller):
        """Return the queue of a call and the account of the caller.

        :param caller: as for :meth:`check_ready`.
        :returns: ``(queue, account)``; account is None when the queue is
            open to all and the call has no known key.
        :raises errors.NodeNotServing: this node has no configuration, or does
            not reach the store to confirm it.
        :raises errors.NotFound: there is no such queue.
        :raises errors.KeyRefused: the key is unknown or withdrawn.
        """
        self.check_ready(**caller)
        current = self.configuration.current
        queue = current.find_queue(host, path)
        if queue is None:
            raise errors.NotFound(f'no queue at {host}{path}')
        account = current.find_account(key) if key else None
        if account is None and not queue.open_to_all:
            raise errors.KeyRefused('the key is unknown or withdrawn')
        return queue, account

    async def submit(self, queue, account, job_id, plan, *, deadline_at_s):
        """Accept a job; one that this node has stored already, at once.

        :raises errors.BodyTooLarge: it does not fit into one row.
        :raises errors.InvalidRequest: the store never takes it.
        :raises errors.StoreUnavailable: it is not stored and never runs.
        :raises errors.StoreOutcomeUnknown: it may have been stored.
        """
        if job_id in self._status_cache:
            return
        submission = plans.Submission(
            queue=queue.name,
            pool=queue.pool,
            account=account.name if account else '',
            accepted_ms=clocks.wall_time_s() * 1000,
            plan=plan,
            max_attempts=queue.max_attempts,
            stretch=queue.stretch,
            objective_ms=queue.objective_ms,
            advice=queue.advice,
        )
        outcome = await self.submitter.submit(
            job_id,
            submission,
            deadline_at_s=deadline_at_s,
            weight=account.weight if account else 1.0,
        )
        LOG.info(
            'a job was submitted',
            job=job_id,
            queue=queue.name,
            account=submission.account,
            outcome=outcome.value,
            configuration=self.configuration.current.version,
        )
        match outcome:
            case submitter.StoreOutcome.REFUSED:
                raise errors.StoreUnavailable(
                    'the job was not stored',
                    retry_after=self._choose_retry_after_s(
                        left_s=deadline_at_s - clocks.now_s(), job_id=job_id
                    ),
                )
            case submitter.StoreOutcome.REJECTED:
                raise errors.InvalidRequest('the store does not take the job')
            case submitter.StoreOutcome.UNKNOWN:
                raise errors.StoreOutcomeUnknown(
                    'the job may have been stored'
                )
        self._cache_status(job_id, None)

    def may_be_stored(self, job_id):
        """Return whether an earlier call to this node may have stored a job.

        Such a job must not be called refused.
        """
        return job_id in self._status_cache or self.submitter.may_be_stored(
            job_id
        )

    def _cache_status(self, job_id, status):
        self._status_cache[job_id] = status
        self._status_cache.move_to_end(job_id)
        while len(self._status_cache) > MAX_CACHED_JOBS:
            self._status_cache.popitem(last=False)

    async def get_status(self, job_id):
        """Return the status of a job.

        :returns: a status of :class:`plans.JobStatus`, or None when there is
            no such job.
        :raises errors.StoreUnavailable: it cannot be read now.
        """
        cached_status = self._status_cache.get(job_id)
        if cached_status is not None:
            return cached_status
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                return await self._read_status(job_id)
        except TimeoutError as exc:
            raise errors.StoreUnavailable(
                'the store does not answer',
                retry_after=self._choose_retry_after_s(),
            ) from exc

    async def _read_status(self, job_id):
        row = await self._read_row(
            rows.TABLE_PROGRESS, job_id, rows.OWNER_PART
        )
        if row is not None:
            status = plans.decode_status(row.value)
            if status in plans.JobStatus.ENDED:
                self._cache_status(job_id, status)
            return status
        if not await self._exists(job_id):
            return None
        return plans.JobStatus.QUEUED

    async def _exists(self, job_id):
        if job_id in self._status_cache:
            return True
        row = await self._read_row(
            rows.TABLE_JOBS, job_id, rows.get_job_part(job_id)
        )
        if row is None:
            return False
        self._cache_status(job_id, None)
        return True

    async def _read_row(self, table, key, part):
        try:
            found, _ = await self.store.read_range(
                table, first=key, last=f'{key}\0', limit=1, part=part
            )
        except (rows.StoreRefused, rows.StoreSilent) as exc:
            raise errors.StoreUnavailable(
                str(exc), retry_after=self._choose_retry_after_s()
            ) from exc
        return found[0] if found else None

    async def cancel(self, job_id, *, deadline_at_s):
        """Cancel a job.

        :returns: False when there is no such job.
        :raises errors.StoreUnavailable: it was not cancelled.
        :raises errors.StoreOutcomeUnknown: it may have been cancelled.
        """
        try:
            async with asyncio.timeout(
                max(0.0, deadline_at_s - clocks.now_s())
            ):
                return await self._cancel(job_id, deadline_at_s)
        except TimeoutError as exc:
            raise errors.StoreOutcomeUnknown(
                'the store does not answer'
            ) from exc

    async def _cancel(self, job_id, deadline_at_s):
        if not await self._exists(job_id):
            return False
        put = rows.Row(
            table=rows.TABLE_JOBS,
            part=rows.get_job_part(job_id),
            key=job_id + leader.CANCEL_SUFFIX,
            value=b'1',
        )
        outcome_unknown = False
        while True:
            try:
                await self.store.transact(puts=[put])
            except rows.StoreRefused as exc:
                failure = exc
            except rows.StoreSilent as exc:
                failure, outcome_unknown = exc, True
            else:
                LOG.info('the cancellation of a job was stored', job=job_id)
                return True
            if clocks.now_s() + RETRY_DELAY_S > deadline_at_s:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        if outcome_unknown:
            raise errors.StoreOutcomeUnknown(str(failure))
        raise errors.StoreUnavailable(
            str(failure), retry_after=self._choose_retry_after_s(job_id=job_id)
        )

    def count_waiting(self, queue):
        """Return how many jobs of a queue have no started task.

        :raises errors.NodeNotServing: the owner's count is too old.
        """
        heartbeat = self.elector.heartbeat
        age_s = clocks.now_s() - self.elector.heartbeat_at_s
        if (
            heartbeat is None
            or age_s > MAX_COUNT_AGE_S
            or not heartbeat.waiting_known
        ):
            raise errors.NodeNotServing(
                'no count from the owner',
                retry_after=return_times.choose_retry_after_s(
                    return_times.Trouble.NO_OWNER,
                    lasted_s=age_s if heartbeat else 0.0,
                ),
            )
        return heartbeat.waiting.get(queue.name, 0)
