"""Writes the owner's job progress, roster and heartbeat to the store."""

import asyncio

import msgspec

from arbutusrock.engine import owner_knowledge
from arbutusrock.engine import plans
from arbutusrock.engine import roster as roster_module
from arbutusrock.engine import rows
from arbutusrock.engine import term as term_module
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = [
    'HEARTBEAT_INTERVAL_S',
    'KEY_CLAIM',
    'KEY_HEARTBEAT',
    'OwnerHeartbeat',
    'StateWriter',
]

KEY_HEARTBEAT = 'beat'
KEY_CLAIM = 'claim'
# Other nodes take over when several heartbeats in a row are missing.
HEARTBEAT_INTERVAL_S = 0.5
# Time in which completions are collected into one transaction.
BATCH_DELAY_S = 0.02
# Rows of each kind in one transaction.
MAX_BATCH_ROWS = 30
# Entries of the owner's own rows in a transaction: the claim, the heartbeat,
# which may be expected and written, and the knowledge.
OWNER_ENTRIES = 4
MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.5
LOG = logs.get_log('journal')


class OwnerHeartbeat(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Heartbeat row of the owner, with figures that other nodes use.

    :param waiting: number of jobs without a started task, by queue.
    :param bursts: learned properties of the bursts, by pool.
    :param loaded_epoch: epoch of the owner once it has loaded its jobs; 0
        before.
    :param dark: names of silent workers for the next owner, as of
        :meth:`arbutusrock.scheduling.dark_workers.DarkWorkers.name`.
    """

    node: str
    number: int
    waiting: dict[str, int] = {}
    bursts: dict[str, tuple[float, float]] = {}
    loaded_epoch: int = 0
    dark: object = None


class _Batch:
    """Rows of one transaction.

    :ivar segments: :class:`roster_module.SegmentWrite` of each changed one.
    :ivar progress: rows of jobs.
    :ivar others: rows that other components have queued.
    """

    __slots__ = ('segments', 'progress', 'others')


class StateWriter:
    """Writes the owner's rows in one task.

    Each transaction has the condition that the claim is unchanged, so that a
    node that has lost the ownership cannot write.

    :param term: :class:`term_module.Term`.
    :param store: client of the store.
    :param on_heartbeat: called with each :class:`OwnerHeartbeat`.
    """

    def __init__(self, *, term, store, on_heartbeat):
        self.term = term
        self.store = store
        self.on_heartbeat = on_heartbeat
        # Its row is written beside heartbeats.
        self.knowledge = owner_knowledge.create_knowledge(term)
        # Numbers of flushes started and completed. A change is durable when
        # the flush that follows the one under way has completed.
        self.flushes_started = 0
        self.flushes_completed = 0
        self.roster = roster_module.Roster(
            row_bytes=term.settings.store_row_bytes
        )
        self._heartbeat_version = term.heartbeat_version
        self._heartbeat_count = 0
        self._heartbeat_sent_at_s = 0.0
        self._versions = {}
        # Rows that other components have queued for the next flush.
        self._queued_rows = {}
        self._flush_completed = asyncio.Event()

    def set_version(self, job_id, version):
        """Record the version of a progress row that was read."""
        self._versions[job_id] = version

    def remove_job(self, job_id):
        """Forget the version of a progress row that was removed."""
        self._versions.pop(job_id, None)

    def enqueue_row(self, row):
        """Queue a row for the next flush."""
        self._queued_rows[(row.table, row.key)] = row
        self.term.request_flush()

    def get_next_flush_number(self):
        """Return the number of the flush that will write current changes."""
        return self.flushes_started + 1

    async def run(self):
        """Flush until the ownership ends.

        :raises term_module.OwnershipLost: when the claim has changed.
        """
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self.term.flush_due.wait()
                await asyncio.sleep(BATCH_DELAY_S)
            except TimeoutError:
                # The heartbeat is due.
                pass
            await self.flush()

    async def wait_until_durable(self):
        """Wait until all current changes are durable."""
        self.term.request_flush()
        await self.wait_for_flush(self.get_next_flush_number())

    async def wait_for_flush(self, flush):
        """Wait until the flush with a number has completed."""
        while self.flushes_completed < flush:
            self._flush_completed.clear()
            await self._flush_completed.wait()

    async def flush(self):
        """Write all changed rows, and the heartbeat when it is due."""
        self.term.flush_due.clear()
        self.flushes_started += 1
        jobs = list(self.term.job_registry.dirty_jobs.values())
        self.term.job_registry.dirty_jobs.clear()
        progress = [self._create_progress(job) for job in jobs]
        queued_rows = list(self._queued_rows.values())
        self._queued_rows.clear()
        # Workers that are new get no runs before they are in the roster.
        self.roster.update(self.term.fleet)
        segments = self.roster.create_due_writes()
        first = True
        while first or segments or progress or queued_rows:
            room = rows.BatchRoom(
                entries=rows.MAX_BATCH_ENTRIES - OWNER_ENTRIES
            )
            batch = _Batch()
            batch.segments, segments = room.take(
                segments, entries_each=2, most=MAX_BATCH_ROWS
            )
            # Each of them is expected and written.
            batch.progress, progress = room.take(
                progress, entries_each=2, most=MAX_BATCH_ROWS
            )
            batch.others, queued_rows = room.take(
                queued_rows, entries_each=1, most=MAX_BATCH_ROWS
            )
            await self._commit(batch, first=first)
            first = False
        self.flushes_completed = self.flushes_started
        self._flush_completed.set()
        self._acknowledge_completions()

    def _create_progress(self, job):
        return rows.Row(
            table=rows.TABLE_PROGRESS,
            key=job.job_id,
            value=plans.encode_progress(
                job.progress, self.term.settings.store_row_bytes
            ),
            version=self._versions.get(job.job_id, 0),
        )

    def _create_owner_rows(self):
        self._heartbeat_count += 1
        now_s = clocks.now_s()
        names = self.term.dark_workers.name(self.term.fleet.find_silent(now_s))
        heartbeat = OwnerHeartbeat(
            node=self.term.settings.name,
            number=self._heartbeat_count,
            waiting=self.term.count_waiting_jobs(),
            bursts=self.term.forecast.export_bursts(now_s),
            loaded_epoch=(
                self.term.epoch if self.term.jobs_loaded.is_set() else 0
            ),
            dark=names or None,
        )
        value = msgspec.msgpack.encode(heartbeat)
        if len(value) > self.term.settings.store_row_bytes:
            # They grow with the pools, and can be learned again.
            LOG.warning('a heartbeat is too long', bytes=len(value))
            heartbeat = msgspec.structs.replace(heartbeat, bursts={})
            value = msgspec.msgpack.encode(heartbeat)
        self.on_heartbeat(heartbeat)
        puts = [
            rows.Row(table=rows.TABLE_OWNER, key=KEY_HEARTBEAT, value=value),
            *self.knowledge.create_due_rows(),
        ]
        return puts, bool(names)

    def create_claim_condition(self):
        """Return the condition that holds while this node owns the unit."""
        return rows.Row(
            table=rows.TABLE_OWNER,
            key=KEY_CLAIM,
            version=self.term.claim_version,
        )

    @staticmethod
    def _create_condition(key, version):
        """Return the condition that a row is as this node left it.

        An attempt without an answer may be carried out after a newer row was
        written. After such a heartbeat that names workers a later owner would
        not know of longer leases.
        """
        return rows.Row(table=rows.TABLE_OWNER, key=key, version=version)

    async def _commit(self, batch, *, first):
        """Write a batch, with a heartbeat when one is due.

        :param first: whether it is the first batch of its flush.
        """
        # Read once, and before the choice: what is written then confirms the
        # ownership as of this time, however long the process stalls meanwhile.
        sent_at_s = clocks.now_s()
        with_heartbeat = self._is_heartbeat_due(batch, first, sent_at_s)
        expected = [
            self.create_claim_condition(),
            *batch.progress,
            *(write.condition for write in batch.segments),
        ]
        puts = [
            *batch.progress,
            *batch.others,
            *(write.row for write in batch.segments),
        ]
        if with_heartbeat:
            owner_rows, names = self._create_owner_rows()
            puts += owner_rows
            if names:
                expected.append(
                    self._create_condition(
                        KEY_HEARTBEAT, self._heartbeat_version
                    )
                )
        version = await self._write(expected, puts)
        for row in batch.progress:
            self._versions[row.key] = version
        self.roster.record_durable(batch.segments, version)
        if with_heartbeat:
            self._heartbeat_sent_at_s = sent_at_s
            self._heartbeat_version = version
            self.term.dark_workers.record_durable(version)
        if with_heartbeat or batch.segments:
            self._mark_workers()
        self.term.record_confirmation(sent_at_s)

    def _is_heartbeat_due(self, batch, first, now_s):
        """Return whether a heartbeat is to be written with a batch.

        The ownership must never be confirmed for much longer than the last
        heartbeat is old: other nodes go by heartbeats, and the bound of the
        leases by confirmations (:mod:`arbutusrock.scheduling.lease_bounds`).
        """
        if now_s - self._heartbeat_sent_at_s > HEARTBEAT_INTERVAL_S / 2:
            return True
        if not first:
            return False
        # Between heartbeats a flush writes only progress, unless the roster
        # has changed: new workers get no runs before they are in it. The same
        # holds for workers that were dark.
        return (
            not batch.progress
            or bool(batch.segments)
            or (self.term.dark_workers and self.term.fleet.has_withheld())
        )

    def _mark_workers(self):
        """Release the workers that are in the stored roster."""
        for worker_id, worker in self.term.fleet.workers.items():
            if not worker.in_roster and worker_id in self.roster:
                worker.in_roster = True
                self.term.request_dispatch()

    async def _write(self, expected, puts):
        """Repeat a transaction until its result is certain.

        If an attempt took effect but its answer was lost, the next attempt
        conflicts with the rows that this node wrote itself.
        """
        retry_delay_s, failing = MIN_RETRY_S, False
        while True:
            try:
                version = await self.store.transact(
                    expected=expected, puts=puts
                )
            except rows.Conflicted as exc:
                version = self._resolve_conflict(expected, puts, exc.rows)
                if version:
                    return version
            except (rows.StoreRefused, rows.StoreSilent) as exc:
                if not failing:
                    LOG.warning(
                        'cannot write to the store; retrying', error=str(exc)
                    )
                failing = True
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(MAX_RETRY_S, retry_delay_s * 2)
            else:
                if failing:
                    LOG.info(
                        'writes to the store succeed again', version=version
                    )
                return version

    def _resolve_conflict(self, expected, puts, found):
        """Return the version of rows that an earlier attempt wrote.

        :returns: 0 when none did, and the transaction is to be repeated as a
            late attempt has replaced the heartbeat by an older one.
        :raises term_module.OwnershipLost: when the claim has changed.
        """
        by_key = {(row.table, row.key): row for row in found}
        claim = by_key.get((rows.TABLE_OWNER, KEY_CLAIM))
        if claim is None or claim.version != self.term.claim_version:
            raise term_module.OwnershipLost('the claim has changed')
        stored = by_key.get((rows.TABLE_OWNER, KEY_HEARTBEAT))
        for condition in _find_heartbeat(expected if stored else ()):
            if stored.value in [put.value for put in _find_heartbeat(puts)]:
                return stored.version
            if stored.version != condition.version:
                condition.version = stored.version
                return 0
        for put in puts:
            row = by_key.get((put.table, put.key))
            if row is not None and row.value == put.value:
                return row.version
        keys = [row.key for row in expected[1:]]
        raise RuntimeError(f'progress rows {keys} changed by another writer')

    def _acknowledge_completions(self):
        """Advance the workers' cursors past completions that are durable."""
        for worker in self.term.fleet.workers.values():
            pending = worker.pending_acks
            while pending and pending[0][1] <= self.flushes_completed:
                worker.ack_cursor = pending.pop(0)[0]
            worker.flush_done.set()


def _find_heartbeat(found):
    return [row for row in found if row.key == KEY_HEARTBEAT]
