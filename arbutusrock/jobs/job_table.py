"""Reads and writes the rows of jobs in the table service.

Every write is conditional on the row's version, so a member that does not own
a job any more learns this before it acts.
"""

import asyncio

import msgspec

from arbutusrock import errors
from arbutusrock.jobs import job_rows
from arbutusrock.jobs import records
from arbutusrock.links import platform_client
from arbutusrock.links import table
from arbutusrock import logs
from arbutusrock.utils import documents

__all__ = ['ConcurrentUpdate', 'JobTable', 'VersionedJob']

RETRY_DELAY_S = 1.0
LOG = logs.get_log('jobs')


class ConcurrentUpdate(Exception):
    """The row changed: new owner, cancel, or an own write that came late."""


class VersionedJob:
    """The row of a job and its version in the table service.

    :ivar unconfirmed_start: the :class:`asyncio.Task` that still writes a
        start of which nothing was sent, or None.
    """

    __slots__ = ('row', 'version', 'unconfirmed_start')

    def __init__(self, *, row, version):
        self.row = row
        self.version = version
        self.unconfirmed_start = None


class JobTable:
    """The rows of all jobs.

    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param batcher: :class:`arbutusrock.links.batches.Batcher`.
    :param members: :class:`arbutusrock.machines.Members`.
    """

    def __init__(self, *, platform, batcher, members):
        self.platform = platform
        self.batcher = batcher
        self.members = members

    async def read(self, job):
        """Return ``(row, version)`` of a job; raise NotFound without one."""
        found = await self.platform.read_row(job_rows.JOB_TABLE, job)
        if found is None:
            raise errors.NotFound(f'job {job}')
        return documents.decode_row(found.value, records.JobRow), found.version

    async def commit(self, before, version, after):
        """Write a changed row along with its entry by owner.

        :returns: version of the written row.
        :raises Conflicted: when another change came first.
        """
        writes = [job_rows.create_job_write(after)]
        still_open = job_rows.is_open(after)
        if before.owner != after.owner or not still_open:
            writes.append(
                job_rows.create_open_job_write(before.owner, before.job, None)
            )
        if still_open and (
            before.owner != after.owner or not job_rows.is_open(before)
        ):
            writes.append(
                job_rows.create_open_job_write(after.owner, after.job, b'')
            )
        return await self.batcher.commit(
            [
                table.Condition(
                    table=job_rows.JOB_TABLE, key=after.job, version=version
                )
            ],
            writes,
        )

    async def update(self, item, **changes):
        """Write a changed row and keep its new version in ``item``.

        :param item: :class:`VersionedJob` of a job that this member owns.
        :raises ConcurrentUpdate: when another change came first.
        :raises errors.StoreUnavailable: when it certainly was not written.
        """
        after = msgspec.structs.replace(item.row, **changes)
        try:
            item.version = await self.commit(item.row, item.version, after)
        except platform_client.Conflicted:
            raise ConcurrentUpdate(item.row.job) from None
        except errors.StoreUnavailable:
            await self._read_back(item, after)
            return
        item.row = after

    async def record_start(self, item, vm, epoch):
        """Store the worker before the send, so that a new owner can ask it.

        The work holds a slot and a permit meanwhile, which other work could
        use without the store. So this gives up once the store is unresponsive,
        and :meth:`withdraw_start` has to follow.

        :raises ConcurrentUpdate: when another change came first.
        :raises errors.StoreUnavailable: when it is not known to be written.
        """
        self.platform.check_responsive()
        update = asyncio.create_task(
            self.update(
                item,
                state=records.JobState.RUNNING,
                worker=vm.vm,
                epoch=epoch,
                attempts=item.row.attempts + 1,
            )
        )
        item.unconfirmed_start = update
        try:
            await self.platform.wait_while_responsive(update)
        except asyncio.CancelledError:
            update.cancel()
            raise
        item.unconfirmed_start = None

    async def withdraw_start(self, item):
        """Wait for the store, and undo a start of which nothing was sent."""
        update, item.unconfirmed_start = item.unconfirmed_start, None
        try:
            await (update or self._read_back(item, item.row))
        except errors.StoreUnavailable as exc:
            LOG.info('no start to undo', job=item.row.job, reason=str(exc))
        await self.return_to_waiting(item)

    async def return_to_waiting(self, item):
        """Record that a started attempt did not run.

        Else it would count as running and its worker, maybe gone, be asked.
        """
        while item.row.state is records.JobState.RUNNING:
            try:
                await self.update(
                    item,
                    state=records.JobState.WAITING,
                    epoch=item.row.epoch + 1,
                )
            except errors.StoreUnavailable:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _read_back(self, item, after):
        """Find out whether a write without an answer took effect."""
        while True:
            try:
                row, version = await self.read(item.row.job)
                break
            except errors.StoreUnavailable:
                await asyncio.sleep(RETRY_DELAY_S)
        if row == after:
            item.row, item.version = row, version
            return
        if row.owner != self.members.member_id:
            raise ConcurrentUpdate(row.job)
        item.row, item.version = row, version
        raise errors.StoreUnavailable(f'job {row.job} was not written')
