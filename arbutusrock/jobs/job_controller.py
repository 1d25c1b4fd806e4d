"""Durable jobs: accepted in the table service, run by the owning member.

A job has one owner. Every state change is conditional on the row's version,
so a member that does not own the job any more learns this before it acts.
"""

import asyncio
from collections import deque

import mode
import msgspec

from arbutusrock import contracts
from arbutusrock import errors
from arbutusrock.jobs import answers
from arbutusrock.jobs import job_rows
from arbutusrock.jobs import job_table
from arbutusrock.jobs import records
from arbutusrock.jobs import work_item
from arbutusrock.links import messages
from arbutusrock.links import platform_client
from arbutusrock.links import table
from arbutusrock.links import upstream_client
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['JobController']

# Jobs of this member beyond this number stay in the table service only.
MAX_ACTIVE_JOBS = 400
RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 30.0
# With the retry delays between them, these take about 100 minutes.
MAX_NOT_RUN_ATTEMPTS = 200
LOG = logs.get_log('jobs')


class JobController(mode.Service):
    """Accepts, runs and cancels the jobs that this member owns.

    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param batcher: :class:`arbutusrock.links.batches.Batcher`.
    :param job_table: :class:`arbutusrock.jobs.JobTable`.
    :param members: :class:`arbutusrock.machines.Members`.
    :param runner: :class:`arbutusrock.jobs.Runner`.
    :param configuration: the configuration in force.
    :param audit_trail: :class:`arbutusrock.audit.AuditTrail`.
    """

    def __init__(
        self,
        *,
        platform,
        batcher,
        job_table,
        members,
        runner,
        configuration,
        audit_trail,
    ):
        super().__init__()
        self.platform = platform
        self.batcher = batcher
        self.job_table = job_table
        self.members = members
        self.runner = runner
        self.configuration = configuration
        self.audit_trail = audit_trail
        self.closing = False
        self._backlog = deque()
        self._asyncio_tasks = {}
        self._rollbacks = set()
        self._wake = asyncio.Event()

    async def accept(self, row, body, *, conditions=(), writes=()):
        """Store a new job in the table service, owned by this member.

        :param row: :class:`records.JobRow` without body.
        :param body: request body in bytes.
        :returns: the row as stored.
        :raises errors.StoreUnavailable: when it is certainly not stored.
        :raises errors.StoreOutcomeUnknown: when it may be stored.
        """
        self.platform.check_responsive()
        if len(body) <= records.MAX_INLINE_BYTES:
            row = msgspec.structs.replace(row, body=body)
        else:
            name = f'bodies/{row.job}'
            await self.platform.put_object(name, body)
            row = msgspec.structs.replace(row, body_object=name)
        row = msgspec.structs.replace(row, owner=self.members.member_id)
        absent = table.Condition(
            table=job_rows.JOB_TABLE, key=row.job, version=table.ABSENT
        )
        try:
            await self.batcher.commit(
                [absent, *conditions],
                [
                    job_rows.create_job_write(row),
                    job_rows.create_open_job_write(row.owner, row.job, b''),
                    *writes,
                ],
            )
        except errors.StoreUnavailable as exc:
            self._schedule_rollback(row, exc.change_id)
            raise errors.StoreOutcomeUnknown(
                f'job {row.job} may be stored; it is cancelled in that case',
                retry_after=exc.retry_after,
            ) from None
        self.enqueue(row.job)
        return row

    def _schedule_rollback(self, row, change_id):
        task = asyncio.create_task(self._roll_back_accept(row, change_id))
        self._rollbacks.add(task)
        task.add_done_callback(self._rollbacks.discard)

    async def _roll_back_accept(self, row, change_id):
        """Undo an accept its caller was not told of: fence or cancel it."""
        while True:
            try:
                if not await self.platform.fence(change_id):
                    await self.cancel(row.job, 'its node: no answer in time')
                return
            except (errors.StoreUnavailable, platform_client.Conflicted):
                await asyncio.sleep(RETRY_DELAY_S)
            except errors.ArbutusrockError as exc:
                LOG.warning('accept not undone', job=row.job, reason=str(exc))
                return

    async def cancel(self, job, who):
        """Cancel an unfinished job; a running one is asked to stop."""
        while True:
            row, version = await self.job_table.read(job)
            if row.state in records.FINAL_STATES:
                raise errors.JobStateConflict(f'job {job} is {row.state}')
            after = msgspec.structs.replace(
                row,
                state=records.JobState.CANCELLED,
                reason=f'cancelled by {who}',
                finished_at_s=clocks.wall_time_s(),
            )
            try:
                await self.job_table.commit(row, version, after)
                break
            except platform_client.Conflicted:
                continue
        self._cancel_local(job)
        if row.owner and row.owner != self.members.member_id:
            self.members.peers.send(
                row.owner,
                messages.JobCancelled(sender=self.members.member_id, job=job),
            )
        return after

    async def retry(self, job, who):
        """Return a parked job to waiting, at an operator's request."""
        row, version = await self.job_table.read(job)
        if row.state is not records.JobState.PARKED:
            raise errors.JobStateConflict(f'job {job} is {row.state}')
        after = msgspec.structs.replace(
            row,
            state=records.JobState.WAITING,
            owner=self.members.member_id,
            epoch=row.epoch + 1,
            attempts=0,
            reason=f'retried by {who}',
        )
        await self.job_table.commit(row, version, after)
        self.enqueue(job)
        return after

    def enqueue(self, job):
        """Queue a job that this member now owns, to be run."""
        self._backlog.append(job)
        self._wake.set()

    def stop_starting_jobs(self):
        """Start no more jobs; return the ids of those that hold no slot."""
        self.closing = True
        waiting = list(self._backlog)
        self._backlog.clear()
        for job, task in list(self._asyncio_tasks.items()):
            if not self.runner.dispatcher.has_slot(job):
                task.cancel()
                waiting.append(job)
        return waiting

    def handle_cancel(self, message):
        """Stop a job that another member cancelled."""
        self._cancel_local(message.job)

    def _cancel_local(self, job):
        task = self._asyncio_tasks.get(job)
        if task is not None:
            task.cancel()

    @mode.Service.task
    async def _start_backlog(self):
        """Start jobs of the backlog, at most MAX_ACTIVE_JOBS at a time."""
        while not self.should_stop:
            await self._wake.wait()
            self._wake.clear()
            while (
                self._backlog
                and len(self._asyncio_tasks) < MAX_ACTIVE_JOBS
                and not self.closing
            ):
                self._start_job(self._backlog.popleft())

    def _start_job(self, job):
        task = asyncio.create_task(self._run_job(job))
        self._asyncio_tasks[job] = task
        task.add_done_callback(lambda _: self._handle_task_done(job))

    def _handle_task_done(self, job):
        self._asyncio_tasks.pop(job, None)
        self._wake.set()

    def count_open(self):
        """Return how many unfinished jobs this member has in memory."""
        return len(self._backlog) + len(self._asyncio_tasks)

    async def _run_job(self, job):
        while True:
            try:
                row, version = await self.job_table.read(job)
                await self._run_attempts(
                    job_table.VersionedJob(row=row, version=version)
                )
                return
            except (errors.StoreUnavailable, errors.NodeNotServing):
                await asyncio.sleep(RETRY_DELAY_S)
            except job_table.ConcurrentUpdate:
                # Read the row again: an own write may have come late.
                await asyncio.sleep(RETRY_DELAY_S)
            except (errors.NotFound, errors.JobStateConflict):
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                LOG.exception('a job could not be run', job=job)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _run_attempts(self, item):
        not_run_count = 0
        while True:
            row = item.row
            if (
                row.owner != self.members.member_id
                or row.state in records.FINAL_STATES
                or row.state is records.JobState.PARKED
            ):
                return
            try:
                if row.state is records.JobState.RUNNING:
                    done = await self._resolve_running_job(item)
                else:
                    done = await self._attempt(item)
                if done:
                    return
            except errors.OutcomeUnknown as exc:
                await self._park(item, f'outcome unknown: {exc.detail}')
                return
            except errors.StoreUnavailable:
                LOG.info('a job waits for the store', job=row.job)
                if row.state is not records.JobState.RUNNING:
                    await self.job_table.withdraw_start(item)
                # Else its worker is still to be asked, now or once more.
                await asyncio.sleep(RETRY_DELAY_S)
            except errors.ArbutusrockError as exc:
                if not _is_transient(exc):
                    await self._park(item, str(exc))
                    return
                await self.job_table.return_to_waiting(item)
                not_run_count += isinstance(exc, errors.UpstreamNotRun)
                if not_run_count >= MAX_NOT_RUN_ATTEMPTS:
                    await self._park(item, f'never ran: {exc.detail}')
                    return
                delay_s = max(
                    exc.retry_after or RETRY_DELAY_S, 2.0**not_run_count / 2
                )
                await asyncio.sleep(min(MAX_RETRY_DELAY_S, delay_s))

    async def _attempt(self, item):
        """Run a waiting job once; return whether it is finished."""
        work = await self._create_work(item.row)

        async def record_start(vm):
            await self.job_table.record_start(item, vm, work.epoch)

        answered = await self.runner.run(work, before_send=record_start)
        return await self._handle_answer(item, work, answered)

    async def _handle_answer(self, item, work, answered):
        try:
            body = await answers.read_body(answered)
        finally:
            if answered.stream is not None:
                self.runner.close_stream(work, answered)
        row = item.row
        if answered.status >= 500 and work.idempotent:
            queue = work.queue
            if row.attempts < queue.max_attempts:
                await self.job_table.update(
                    item,
                    state=records.JobState.WAITING,
                    epoch=work.epoch + 1,
                    reason=f'status {answered.status} from {row.worker}',
                )
                return False
        await self._finish(item, answered, body)
        return True

    async def _resolve_running_job(self, item):
        """Ask the worker about an earlier owner's run; return if finished."""
        row = item.row
        vm = self.configuration.get('vm', row.worker)
        work = await self._create_work(row)
        if vm is None:
            outcome = upstream_client.Unknown(reason=f'{row.worker} is gone')
        else:
            work.vm = vm
            self.runner.dispatcher.record_running(work)
            try:
                outcome = await self.runner.upstreams.resolve(
                    vm, work, 'its owner changed'
                )
            finally:
                self.runner.dispatcher.release(work)
        match outcome:
            case upstream_client.Answered():
                return await self._handle_answer(item, work, outcome)
            case upstream_client.Unknown() if not work.idempotent:
                raise errors.OutcomeUnknown(outcome.reason)
        await self.job_table.update(
            item, state=records.JobState.WAITING, epoch=row.epoch + 1
        )
        return False

    async def _create_work(self, row):
        body = row.body
        if row.body_object:
            body = await self.platform.get_object(row.body_object)
            if body is None:
                raise errors.NotFound(f'the body of job {row.job}')
        queue = self.configuration.find_queue(row.service, row.queue)
        if queue is None:
            raise errors.QueueRefused(
                f'queue {row.queue} of service {row.service} is gone'
            )
        _, service = self.configuration.services[row.service]
        return work_item.WorkItem(
            task_id=row.job,
            team_name=contracts.TeamName(row.customer, row.team),
            queue=queue,
            pool=service.pool,
            method=row.method,
            target=row.target,
            headers=row.headers,
            body=body,
            arrived_at_s=clocks.now_s()
            - max(0.0, clocks.wall_time_s() - row.accepted_at_s),
            deadline_at_s=None,
            patient=row.patient,
            epoch=row.epoch,
            key_id=row.key_id,
            durable=True,
        )

    async def _finish(self, item, answered, body):
        """Store the answer, with retries so that no finished work is lost."""
        failed = answered.status >= 500
        while True:
            try:
                stored = await answers.store_answer(
                    self.platform, f'answers/{item.row.job}', answered, body
                )
                await self.job_table.update(
                    item,
                    state=(
                        records.JobState.FAILED
                        if failed
                        else records.JobState.DONE
                    ),
                    answer=stored,
                    reason=f'status {answered.status}' if failed else '',
                    finished_at_s=clocks.wall_time_s(),
                )
                return
            except errors.StoreUnavailable:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _park(self, item, reason):
        LOG.warning('a job is parked', job=item.row.job, reason=reason)
        await self.job_table.update(
            item,
            state=records.JobState.PARKED,
            reason=reason,
            finished_at_s=clocks.wall_time_s(),
        )
        self.audit_trail.record(
            'job parked', f'job/{item.row.job}', why=reason
        )


def _is_transient(exc):
    """Return whether an error can go away by itself."""
    return isinstance(
        exc,
        errors.CapacityRefused | errors.Unavailable | errors.UpstreamNotRun,
    )
