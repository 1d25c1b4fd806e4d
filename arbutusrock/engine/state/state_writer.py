"""Writes the owner's job progress, roster and heartbeat to the store."""

import asyncio

import msgspec

from arbutusrock.engine.ports import rows
from arbutusrock.engine.state.owner_heartbeat import OwnerHeartbeat
from arbutusrock.engine.state import owner_knowledge
from arbutusrock.engine.state import progress_rows as progress_rows_module
from arbutusrock.engine.state import refused_rows
from arbutusrock.engine.state import roster as roster_module
from arbutusrock.engine.state import write_batch
from arbutusrock.engine.term import term as term_module
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
# Entries of the call that removes rows: the claim and the rows.
MAX_REMOVED_ROWS = 90
MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.5
# How long heartbeats stay reduced after the store has rejected one.
REDUCED_S = 60.0
# Delay after a call that removes rows has failed.
REMOVE_RETRY_S = 2.0
LOG = logs.get_log('journal')


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
        # Rows that the store refuses for what they hold.
        self.refused = refused_rows.RefusedRows(metrics=term.metrics)
        self.progress_rows = progress_rows_module.ProgressRows(
            job_registry=term.job_registry,
            refused=self.refused,
            max_row_bytes=term.settings.store_row_bytes,
        )
        self._remove_after_s = 0.0
        # Until when heartbeats hold only what no later owner can do without.
        self._reduced_until_s = 0.0
        # Rows that other components have queued for the next flush.
        self._queued_rows = {}
        self._flush_completed = asyncio.Event()

    def remove_job(self, job_id):
        """Forget a job whose rows of progress were removed."""
        self.progress_rows.forget(job_id)

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
        due = self._collect_due_writes()
        retried = due.take_refused(self.refused)
        segments, progress = due.segments, due.progress
        queued_rows = due.others
        first = True
        while first or segments or progress or queued_rows:
            room = rows.BatchRoom(
                entries=rows.MAX_BATCH_ENTRIES - OWNER_ENTRIES
            )
            batch = write_batch.WriteBatch()
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
        for batch in retried:
            await self._commit_isolated(batch)
        self.flushes_completed = self.flushes_started
        self._flush_completed.set()
        self._acknowledge_completions()
        await self._remove_rows()

    def _collect_due_writes(self):
        """Return all that is to be written now, as one large batch."""
        now_s = clocks.now_s()
        # Workers that are new get no runs before they are in the roster.
        self.roster.update(self.term.fleet)
        held = {
            key: row
            for key, row in self._queued_rows.items()
            if self.refused.is_held(*key, now_s)
        }
        queued, self._queued_rows = self._queued_rows, held
        return write_batch.WriteBatch(
            segments=[
                write
                for write in self.roster.create_due_writes()
                if not self.refused.is_held(
                    write.row.table, write.row.key, now_s
                )
            ],
            progress=self.progress_rows.create_due_writes(now_s),
            others=[row for key, row in queued.items() if key not in held],
        )

    async def _remove_rows(self):
        """Remove rows of progress that are not needed any more.

        That is tried again later when the store does not do it now.
        """
        removable = self.progress_rows.get_removable()
        if not removable or clocks.now_s() < self._remove_after_s:
            return
        removed = removable[:MAX_REMOVED_ROWS]
        try:
            await self.remove_progress([key for _, key in removed])
        except (rows.StoreRefused, rows.StoreSilent, rows.Conflicted) as exc:
            LOG.info('rows are not removed yet', error=str(exc))
            self._remove_after_s = clocks.now_s() + REMOVE_RETRY_S
            return
        self.progress_rows.record_removed(removed)

    async def remove_progress(self, keys):
        """Remove rows of progress, on the condition of the claim.

        :raises rows.Conflicted: the claim has changed.
        """
        for first in range(0, len(keys), MAX_REMOVED_ROWS):
            await self.store.transact(
                expected=[self.create_claim_condition()],
                removes=[
                    rows.Row(table=rows.TABLE_PROGRESS, key=key)
                    for key in keys[first : first + MAX_REMOVED_ROWS]
                ],
            )

    def _create_owner_rows(self):
        self._heartbeat_count += 1
        now_s = clocks.now_s()
        names = self.term.dark_workers.name(
            self.term.fleet.find_silent(now_s), last=self.term.stopping
        )
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
        reduced = clocks.now_s() < self._reduced_until_s
        value = msgspec.msgpack.encode(heartbeat)
        max_bytes = self.term.settings.store_row_bytes
        # What grows with pools and queues can be learned or counted again.
        for left_out in (
            {'bursts': {}},
            {'waiting': {}, 'waiting_known': False},
        ):
            if len(value) > max_bytes or reduced:
                LOG.warning('a heartbeat is reduced', bytes=len(value))
                heartbeat = msgspec.structs.replace(heartbeat, **left_out)
                value = msgspec.msgpack.encode(heartbeat)
        self.on_heartbeat(heartbeat)
        puts = [
            rows.Row(table=rows.TABLE_OWNER, key=KEY_HEARTBEAT, value=value)
        ]
        if not reduced:
            puts += self.knowledge.create_due_rows()
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
        """Write a batch, but for the rows that the store refuses.

        :param first: whether it is the first batch of its flush.
        """
        try:
            await self._commit_whole(batch, first=first)
        except rows.WriteRejected as exc:
            LOG.warning(
                'the store rejects a transaction',
                writes=len(batch),
                error=str(exc),
            )
            # The ownership must not depend on what the batch holds.
            await self._commit_heartbeat()
            if len(batch):
                await self._commit_isolated(batch)

    async def _commit_heartbeat(self):
        """Write the heartbeat on its own.

        It is reduced for a while when the store rejects it.

        :raises term_module.OwnershipLost: the store rejects that, too.
        """
        try:
            await self._commit_whole(write_batch.WriteBatch(), first=True)
        except rows.WriteRejected as exc:
            LOG.error('the store rejects the heartbeat', error=str(exc))
            if clocks.now_s() < self._reduced_until_s:
                raise term_module.OwnershipLost(
                    'the heartbeat cannot be stored'
                ) from exc
            self._reduced_until_s = clocks.now_s() + REDUCED_S
            await self._commit_heartbeat()

    async def _isolate(self, batch, cause):
        """Write a batch that was rejected in halves, without a heartbeat.

        A heartbeat that comes due meanwhile is written on its own. A write
        that is rejected on its own is set aside.
        """
        if len(batch) == 1:
            self._set_aside(batch, cause)
            return
        for half in batch.split():
            await self._commit_isolated(half)

    async def _commit_isolated(self, batch):
        if self._is_heartbeat_due(batch, False, clocks.now_s()):
            await self._commit_heartbeat()
        try:
            await self._commit_whole(batch, first=False, isolated=True)
        except rows.WriteRejected as exc:
            await self._isolate(batch, str(exc))

    def _set_aside(self, batch, cause):
        now_s = clocks.now_s()
        if batch.progress:
            self.progress_rows.record_refused(batch.progress[0], cause, now_s)
        else:
            self.refused.record(batch.rows[0], cause, now_s)
        self.term.request_flush()
        for row in batch.others:
            # One that was queued meanwhile is newer.
            self._queued_rows.setdefault((row.table, row.key), row)

    async def _commit_whole(self, batch, *, first, isolated=False):
        """Write a batch, with a heartbeat when one is due.

        :param first: whether it is the first batch of its flush.
        :param isolated: whether the batch is written without a heartbeat.
        :raises rows.WriteRejected: the store never takes one of the rows.
        """
        # Read once, and before the choice: what is written then confirms the
        # ownership as of this time, however long the process stalls meanwhile.
        sent_at_s = clocks.now_s()
        with_heartbeat = not isolated and self._is_heartbeat_due(
            batch, first, sent_at_s
        )
        batch.progress = self.progress_rows.leave_out_outdated(batch.progress)
        expected = [
            self.create_claim_condition(),
            *batch.progress_rows,
            *(write.condition for write in batch.segments),
        ]
        puts = batch.rows
        if not (puts or with_heartbeat):
            return
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
        for write in batch.progress:
            self.progress_rows.record_written(write, version)
        for row in batch.rows:
            self.refused.clear(row)
        self.roster.record_durable(batch.segments, version)
        if with_heartbeat:
            self._heartbeat_sent_at_s = sent_at_s
            self._heartbeat_version = version
            self.term.dark_workers.record_durable(version)
        if with_heartbeat or batch.segments:
            self._mark_workers()
        if not isolated:
            self.term.record_confirmation(sent_at_s)

    def _is_heartbeat_due(self, batch, first, now_s):
        """Return whether a heartbeat is to be written with a batch.

        The ownership must never be confirmed for much longer than the last
        heartbeat is old: other nodes go by heartbeats, and the bound of the
        leases by confirmations (:mod:`arbutusrock.scheduling.lease_bounds`).
        """
        if now_s - self._heartbeat_sent_at_s > HEARTBEAT_INTERVAL_S / 2:
            return True
        if self.term.stopping:
            # The last ones name for the next owner who is silent now.
            return first
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
            except rows.WriteRejected:
                raise
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
            while (
                pending
                and pending[0][1] <= self.flushes_completed
                and pending[0][2] not in self.progress_rows.unrecorded
            ):
                worker.ack_cursor = pending.pop(0)[0]
            worker.flush_done.set()


def _find_heartbeat(found):
    return [row for row in found if row.key == KEY_HEARTBEAT]
