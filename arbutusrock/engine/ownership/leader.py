"""Runs all parts of the owner during one ownership of the unit.

The leader is the part of a node that runs while the node owns the unit.
"""

import asyncio
import collections
import functools
import math

import msgspec

from arbutusrock.engine.dispatch import dispatcher
from arbutusrock.engine.jobs import occurrence_estimates
from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ownership import inheritance
from arbutusrock.engine.ports import feeds
from arbutusrock.engine.ports import rows
from arbutusrock.engine.runs import pace_controller
from arbutusrock.engine.runs import run_controller
from arbutusrock.engine.runs import straggler_controller
from arbutusrock.engine.runs import worker_link
from arbutusrock.engine.state import possible_runs
from arbutusrock.engine.state import progress_layout
from arbutusrock.engine.state import retention
from arbutusrock.engine.state import state_writer
from arbutusrock.engine.term import term as term_module
from arbutusrock.engine.vms import cordon_controller
from arbutusrock.engine.vms import evacuation
from arbutusrock.engine.vms import vm_controller
from arbutusrock.engine.workers import registration_controller
from arbutusrock.engine.workers import tickets
from arbutusrock import logs
from arbutusrock.scheduling import pool_sizing
from arbutusrock.utils import clocks

__all__ = ['CANCEL_SUFFIX', 'Leader']

# The row of a cancellation has the key of its job with this suffix.
CANCEL_SUFFIX = '.c'
# How long the store may hold a watch call for jobs before it answers.
WATCH_TIMEOUT_S = 1.0
# Jobs are loaded in slices of this length. Each is followed by a pause of the
# same length, in which heartbeats, renewals and calls are served.
MAX_SLICE_S = 0.01
LAST_RANK = (True, math.inf)
# How often the process checks whether it stalled.
STALL_CHECK_INTERVAL_S = 0.1
LOG = logs.get_log('owner')


class Leader:
    """The part of a node that runs while the node owns the unit.

    It runs each of its parts in a task of its own. The ownership ends when
    one of them fails.

    :param term: :class:`term_module.Term`, the state that the parts share.
    :param store: client of the store.
    :param adapter: access to the platform, described at
        :class:`arbutusrock.engine.node.Node`.
    :param on_heartbeat: called with each heartbeat that was written.
    """

    def __init__(self, *, term, store, adapter, on_heartbeat):
        self.term = term
        self.store = store
        self.adapter = adapter
        self.links = {}
        self.state_writer = state_writer.StateWriter(
            term=term, store=store, on_heartbeat=on_heartbeat
        )
        self.run_controller = run_controller.RunController(
            term=term, state_writer=self.state_writer
        )
        self.run_controller.links = self.links
        self.registration_controller = (
            registration_controller.RegistrationController(
                term=term,
                store=store,
                decode=adapter.decode_worker,
                run_controller=self.run_controller,
                connect=self._connect,
            )
        )
        self.ticket_cache = tickets.TicketCache(
            term=term, client=adapter.advice_client, spawn=self.spawn
        )
        self.dispatcher = dispatcher.Dispatcher(
            term=term,
            links=self.links,
            ticket_cache=self.ticket_cache,
            crash_tracker=self.run_controller.crash_tracker,
        )
        self.evacuation = evacuation.EvacuationController(
            term=term, run_controller=self.run_controller
        )
        self.cordon_controller = cordon_controller.CordonController(term=term)
        self.retention = retention.Retention(
            term=term,
            store=store,
            state_writer=self.state_writer,
            cancel_suffix=CANCEL_SUFFIX,
        )
        self.straggler_controller = straggler_controller.StragglerController(
            term=term,
            run_controller=self.run_controller,
            dispatcher=self.dispatcher,
        )
        self.pace_controller = pace_controller.PaceController(
            term=term, links=self.links
        )
        self._jobs_version, self._leases_extended = 0, True
        self.vm_controller = None
        if adapter.vm_client is not None:
            self.vm_controller = vm_controller.VMController(
                term=term,
                state_writer=self.state_writer,
                run_controller=self.run_controller,
                store=store,
                adapter=adapter,
                spawn=self.spawn,
            )
        self._group = None

    def spawn(self, coroutine):
        """Start a task; its failure ends the ownership."""
        return self._group.create_task(coroutine)

    async def run(self):
        """Own the unit until another node does."""
        try:
            async with asyncio.TaskGroup() as self._group:
                # What operators have asked for since this node last read it
                # must be known before the first order.
                refreshed = self.spawn(self.term.configuration.refresh())
                jobs = self.spawn(self._read_jobs())
                workers_version = await self._load_workers()
                # Heartbeats and leases go on while the jobs are loaded,
                # however many there are.
                self.spawn(self.state_writer.run())
                self.spawn(self._detect_stalls())
                jobs_version = await self._load_jobs(*await jobs)
                await refreshed
                LOG.info(
                    'this node owns the unit',
                    epoch=self.term.epoch,
                    jobs=len(self.term.job_registry.open_jobs),
                    ended_jobs=len(self.term.job_registry.archived_rows),
                    workers=len(self.term.fleet.workers),
                    bursts=self.term.forecast.export_bursts(clocks.now_s()),
                    took_s=round(clocks.now_s() - self.term.began_at_s, 3),
                )
                for part in (
                    self.registration_controller.run(workers_version),
                    self.registration_controller.sweep(),
                    feeds.follow_table(
                        self.store,
                        rows.TABLE_JOBS,
                        apply=self._apply_job_rows,
                        parts=rows.JOB_PARTS,
                        wait_s=WATCH_TIMEOUT_S,
                        version=jobs_version,
                    ),
                    self.dispatcher.run(),
                    self.evacuation.run(),
                    self.cordon_controller.run(),
                    self.retention.run(),
                    self.straggler_controller.run(),
                    self.pace_controller.run(),
                ):
                    self.spawn(part)
                if self.vm_controller is not None:
                    self.spawn(self.vm_controller.run())
        except* term_module.OwnershipLost as group:
            LOG.info(
                'another node owns the unit',
                epoch=self.term.epoch,
                reason=str(group.exceptions[0]),
            )

    def _connect(self, worker):
        link = worker_link.WorkerLink(
            term=self.term,
            run_controller=self.run_controller,
            worker=worker,
            client=self.adapter.create_worker_client(worker.entry),
            spawn=self.spawn,
        )
        self.links[worker.worker_id] = link
        self.spawn(self._run_link(link))

    async def _run_link(self, link):
        await link.run()
        worker_id = link.worker.worker_id
        if self.links.get(worker_id) is link:
            del self.links[worker_id]

    async def _read_jobs(self):
        """Read the rows of all jobs, and those of their progress."""
        return await asyncio.gather(
            feeds.read_with_retries(
                self.store, rows.TABLE_JOBS, rows.JOB_PARTS
            ),
            feeds.read_with_retries(
                self.store, rows.TABLE_PROGRESS, (rows.OWNER_PART,)
            ),
        )

    async def _load_workers(self):
        """Load all workers, and have their leases renewed.

        What an earlier owner has learned is applied first, as it must not be
        replaced by the next heartbeat.

        :returns: version of the table of workers.
        """
        workers, roster, knowledge, tasks = await asyncio.gather(
            feeds.read_with_retries(self.store, rows.TABLE_WORKERS, ('',)),
            feeds.read_with_retries(
                self.store, rows.TABLE_ROSTER, (rows.OWNER_PART,)
            ),
            inheritance.read_knowledge(self.store),
            inheritance.read_possible_runs(self.store, self.term.handover),
        )
        self.state_writer.knowledge.restore(knowledge)
        worker_rows, workers_version = workers
        # Workers of the earlier owner, which may have runs.
        self.registration_controller.load(
            worker_rows,
            self.state_writer.roster.load(roster[0]),
            functools.partial(possible_runs.find_tasks, tasks=tasks),
        )
        if not self.state_writer.roster.is_complete:
            # Any worker may have runs that nobody knows of.
            waits = self.term.inherited_waits
            waits.starts_after_s = self.term.inherited_leases_end_at_s
        return workers_version

    async def _load_jobs(self, jobs, progress):
        """Add all jobs with their progress, in slices.

        Nothing is started and no completion is noted before all are known:
        the tasks must exist before workers report what they run.

        :returns: version of the table of jobs.
        """
        registry = self.term.job_registry
        job_rows, self._jobs_version = jobs
        stored = progress_layout.group_rows(progress[0])
        slice_began_at_s = clocks.now_s()
        outlines = {
            row.key: plans.read_outline(row.value)
            for row in job_rows
            if row.value and not row.key.endswith(CANCEL_SUFFIX)
        }
        self._count_waiting(outlines, stored)
        # Cancellations come last, as they name jobs.
        job_rows.sort(
            key=lambda row: (
                outlines[row.key].rank if outlines.get(row.key) else LAST_RANK
            )
        )
        for row in job_rows:
            self._apply_job_row(row, stored, inherited=True)
            # Creating the tasks takes most of the time.
            registry.start_job(row.key, clocks.wall_time_s(), clocks.now_s())
            slice_s = clocks.now_s() - slice_began_at_s
            if slice_s >= MAX_SLICE_S:
                await asyncio.sleep(slice_s)
                slice_began_at_s = clocks.now_s()
        await self._catch_up()
        self.state_writer.progress_rows.remove_orphans(
            stored, {row.key for row in job_rows}
        )
        registry.sort_ended_jobs()
        self.run_controller.crash_tracker.restore()
        self.term.jobs_loaded.set()
        self.term.phases.mark('rows_read')
        return self._jobs_version

    def _count_waiting(self, outlines, stored):
        """Count the jobs that wait, for callers that ask during the load.

        :param outlines: :class:`plans.Outline` or None, by job.
        :param stored: :class:`progress_layout.StoredProgress` by job.
        """
        waiting = collections.Counter(
            outline.queue
            for job_id, outline in outlines.items()
            if outline and not outline.plan.times
            if job_id not in stored
        )
        self.term.inherited_waiting = dict(waiting)

    async def _catch_up(self):
        """Apply what was stored while the jobs were loaded.

        A job that was cancelled meanwhile must not be started.
        """
        while True:
            try:
                found, version = await self.store.watch(
                    rows.TABLE_JOBS, after=self._jobs_version, wait_s=0.0
                )
                whole = False
            except rows.HistoryLost:
                found, version = await feeds.read_with_retries(
                    self.store, rows.TABLE_JOBS, rows.JOB_PARTS
                )
                whole = True
            except (rows.StoreRefused, rows.StoreSilent) as exc:
                LOG.info('changes of jobs cannot be read', error=str(exc))
                await asyncio.sleep(feeds.RETRY_DELAY_S)
                continue
            self._apply_job_rows(found, whole, version)
            return

    def _apply_job_row(self, row, stored, *, inherited=False):
        """Apply the row of a job or of a cancellation.

        :param stored: :class:`progress_layout.StoredProgress` by job.
        :param inherited: whether it was accepted under an earlier owner.
        """
        if row.value is None:
            return
        if row.key.endswith(CANCEL_SUFFIX):
            self._cancel(row.key.removesuffix(CANCEL_SUFFIX))
            return
        if (
            row.key in self.term.job_registry.jobs
            or row.key in self.term.job_registry.archived_rows
        ):
            return
        try:
            self._add_job(row, stored.get(row.key), inherited)
        except msgspec.DecodeError as exc:
            # One such row must not end the ownership of each node in turn.
            LOG.error(
                'the row of a job cannot be decoded; it is not run',
                job=row.key,
                version=row.version,
                error=str(exc),
            )
        except Exception:
            # The same holds for a job that some part does not cope with.
            self.term.metrics.count('jobs_set_aside')
            LOG.exception(
                'a job cannot be handled',
                job=row.key,
                version=row.version,
                is_run=row.key in self.term.job_registry.jobs,
            )

    def _add_job(self, row, stored, inherited):
        """Add the job of a row.

        :param stored: :class:`progress_layout.StoredProgress`, or None.
        :raises msgspec.DecodeError: when one of the rows is not valid.
        """
        progress, layout, head = None, None, stored and stored.head
        if stored is not None:
            self.state_writer.progress_rows.record_read(row.key, stored)
        if head is not None and plans.has_ended(head.value):
            self.term.job_registry.archive(row.key, row.value, head.value)
            return
        submission = plans.decode_submission(row.value)
        if stored is not None:
            progress, layout = stored.decode(submission.plan)
        job = self.term.job_registry.add(
            row.key,
            submission,
            progress=progress,
            layout=layout,
            inherited=inherited,
            read_at_s=0.0 if inherited else clocks.now_s(),
            stored_version=row.version,
        )
        job.started = head is not None
        job.excess = self._is_excess(submission)
        self._record_arrival(job)

    def _record_arrival(self, job):
        """Learn the declared work of a job, and forecast the demand of it.

        The forecast counts no jobs beyond the rate of their account, no
        long-running tasks and no jobs that run more than once.
        """
        submission, term = job.submission, self.term
        work_millicore_ms = sum(
            step.count * step.demand.cpu * step.estimate_ms
            for step in submission.plan.steps
        )
        term.duration_estimator.record_work(
            submission.queue, work_millicore_ms / 1e6
        )
        long_running = any(step.long_running for step in submission.plan.steps)
        if job.excess or long_running or submission.plan.times:
            return
        ratio = term.duration_estimator.get_duration_ratio(
            submission.queue, job.job_id
        )
        span_s = pool_sizing.plan_duration(
            critical_path_left_s=ratio
            * occurrence_estimates.compute_critical_path_s(submission.plan),
            time_left_s=occurrence_estimates.compute_objective_s(
                submission, ratio
            ),
        )
        age_s = max(0.0, clocks.wall_time_s() - job.accepted_unix_s)
        term.forecast.record_job(
            submission.pool,
            work_millicore_ms / 1e3 * ratio,
            clocks.now_s() - age_s,
            span_s,
        )

    def _is_excess(self, submission):
        """Return whether a job is beyond the rate of its account."""
        current = self.term.configuration.current
        account = current and current.accounts.get(submission.account)
        if not account:
            return False
        return self.term.rate_limiter.check_excess(
            account.name, submission.accepted_ms / 1000, account.weight
        )

    def _cancel(self, job_id):
        job = self.term.job_registry.jobs.get(job_id)
        if job is None or job.ended:
            return
        LOG.info('a job is cancelled', job=job_id)
        self.term.job_registry.cancel(job, clocks.wall_time_s())
        self.run_controller.stop_job(job, 'the job is cancelled')
        self.term.request_flush()

    def _apply_job_rows(self, found, whole, version):
        """Apply changes of the table of jobs, or the table read again.

        Rows of the whole table that were applied before are left out: that of
        a job that is not known any more was removed since it was read.
        """
        for row in found:
            if not whole or row.version > self._jobs_version:
                self._apply_job_row(row, {})
        self._jobs_version = version
        if found:
            self.term.request_dispatch()

    def _report_leases(self):
        """Log when leases are not extended any more, and when again."""
        extended = self.term.may_grant_leases
        if extended == self._leases_extended:
            return
        self._leases_extended = extended
        unconfirmed_s = round(clocks.now_s() - self.term.confirmed_at_s, 2)
        if extended:
            LOG.info('leases are extended again', epoch=self.term.epoch)
        else:
            LOG.warning(
                'the store does not confirm the ownership; nothing is started',
                epoch=self.term.epoch,
                unconfirmed_s=unconfirmed_s,
                released=self.term.released,
            )
        self.term.metrics.count(
            'lease_extensions', (('state', 'on' if extended else 'off'),)
        )

    async def _detect_stalls(self):
        """Detect stalls of the process.

        After a stall, orders wait until a flush confirms the ownership.
        """
        while True:
            due_at_s = clocks.now_s() + STALL_CHECK_INTERVAL_S
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            now_s = clocks.now_s()
            self.term.load.record_lateness(now_s - due_at_s, now_s)
            self.term.phases.report_due(self.term.epoch)
            self.term.inherited_waits.update()
            self._report_leases()
            if self.term.detect_stall():
                LOG.warning('the process stalled')
                self.term.request_flush()
