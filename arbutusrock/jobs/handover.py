"""Moves jobs between owners: takeover after a failure, handover at a stop."""

import asyncio

import msgspec

from arbutusrock import contracts
from arbutusrock import errors
from arbutusrock.jobs import job_rows
from arbutusrock.jobs import records
from arbutusrock.links import platform_client
from arbutusrock.links import table
from arbutusrock import logs
from arbutusrock.machines import member_rows

__all__ = ['Handover']

MAX_BATCH_JOBS = 200
RETRY_DELAY_S = 1.0
# The character after '/', which separates owner and job in keys: a read from
# owner + this character on skips all entries of that owner.
SEPARATOR_SUCCESSOR = '0'
LOG = logs.get_log('jobs')


class Handover:
    """Moves jobs between owners.

    :param job_controller: :class:`arbutusrock.jobs.JobController` of this
        member.
    :param job_table: :class:`arbutusrock.jobs.JobTable`.
    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param members: :class:`arbutusrock.machines.Members`.
    :param permits: :class:`arbutusrock.contracts.permits.PermitController`.
    """

    def __init__(
        self, *, job_controller, job_table, platform, members, permits
    ):
        self.job_controller = job_controller
        self.job_table = job_table
        self.platform = platform
        self.members = members
        self.permits = permits

    async def take_over(self, owner):
        """Take over the open jobs of a member that cannot act any more.

        :param owner: member id, or an empty string for jobs that were handed
            over and have no owner.
        :returns: number of jobs that this member took over.
        """
        prefix = f'{owner or job_rows.UNOWNED}/'
        taken = 0
        while not self.job_controller.closing:
            (entries,) = await self.platform.read(
                table.Range(
                    table=job_rows.OPEN_JOB_TABLE,
                    first=prefix,
                    last=prefix + '\U0010ffff',
                    limit=MAX_BATCH_JOBS,
                )
            )
            jobs = [row.key.removeprefix(prefix) for row in entries]
            results = await asyncio.gather(
                *(self._take_over_job(job, owner) for job in jobs)
            )
            taken += sum(results)
            if not any(results):
                break
        return taken

    async def find_missing_owners(self):
        """Return the owners of open jobs that have no member row any more.

        Such a job is left when the last write of a stopped member takes
        effect late.
        """
        owners = []
        cursor = ''
        while True:
            (rows,) = await self.platform.read(
                table.Range(
                    table=job_rows.OPEN_JOB_TABLE, first=cursor, limit=1
                )
            )
            if not rows:
                break
            owner = rows[0].key.partition('/')[0]
            owners.append(owner)
            cursor = owner + SEPARATOR_SUCCESSOR
        # Members are read after the owners, so an owner without a row here is
        # gone for good.
        (rows,) = await self.platform.read(
            table.Range(table=member_rows.MEMBER_TABLE)
        )
        present = {row.key for row in rows} | {job_rows.UNOWNED}
        return [owner for owner in owners if owner not in present]

    async def _take_over_job(self, job, owner):
        """Take over one open job; return whether it was still the owner's."""
        try:
            row, version = await self.job_table.read(job)
        except errors.NotFound:
            return False
        if row.owner != owner or not job_rows.is_open(row):
            return False
        after = msgspec.structs.replace(row, owner=self.members.member_id)
        try:
            await self.job_table.commit(row, version, after)
        except platform_client.Conflicted:
            return False
        team_name = contracts.TeamName(row.customer, row.team)
        if row.state is records.JobState.RUNNING and owner:
            await self._adopt_permit(team_name, owner)
        self.job_controller.enqueue(job)
        return True

    async def _adopt_permit(self, team_name, owner):
        """Move the permit of a running task to this member, like its job."""
        while True:
            try:
                await self.permits.adopt(team_name, owner)
                return
            except errors.StoreUnavailable:
                await asyncio.sleep(RETRY_DELAY_S)

    async def hand_over(self):
        """Release the jobs that have not started to other members."""
        waiting = self.job_controller.stop_starting_jobs()
        # Lets the cancelled asyncio tasks run first.
        await asyncio.sleep(0)
        results = await asyncio.gather(
            *(self._release_job(job) for job in waiting),
            return_exceptions=True,
        )
        failures = [item for item in results if item is not None]
        LOG.info(
            'waiting jobs are handed over',
            jobs=len(waiting),
            failures=len(failures),
        )

    async def _release_job(self, job):
        row, version = await self.job_table.read(job)
        if (
            row.owner != self.members.member_id
            or row.state is not records.JobState.WAITING
        ):
            return
        await self.job_table.commit(
            row, version, msgspec.structs.replace(row, owner='')
        )
