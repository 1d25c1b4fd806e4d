"""Tracks the runs on workers: start and stop orders, reports, completions.

The controller updates the owner's state from what workers answer. It queues
tasks again whose runs were lost, and stops runs that are not to go on.
"""

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.runs import completions
from arbutusrock.engine.runs import crash_tracker
from arbutusrock.engine.runs import unanswered_orders
from arbutusrock.engine.term import term as term_module
from arbutusrock.engine.workers import fleet
from arbutusrock import logs
from arbutusrock.scheduling import crash_attribution
from arbutusrock.utils import clocks

__all__ = ['RunController']

# A renewal reply holds at most this many completions; a full one means that
# more may follow in the next reply.
COMPLETIONS_PER_PAGE = 500
# How long a new owner defers reports of a job whose row it has not loaded.
JOB_LOAD_GRACE_S = 2.0
LOG = logs.get_log('runs')


class RunController:
    """Updates the owner's state from the replies of workers.

    :param term: :class:`term_module.Term`.
    :param state_writer: :class:`state_writer.StateWriter`; numbers its
        flushes, so that a completion is acknowledged once it is durable.
    """

    def __init__(self, *, term, state_writer):
        self.term = term
        self.state_writer = state_writer
        self.crash_tracker = crash_tracker.CrashTracker(
            term=term, state_writer=state_writer, on_give_up=self._give_up
        )
        self.unanswered_orders = unanswered_orders.UnansweredOrders(
            term=term, run_controller=self
        )
        self.completions = completions.Completions(
            term=term, state_writer=state_writer, run_controller=self
        )
        # WorkerLink by worker id, for stop orders. The owner of the
        # connections sets it.
        self.links = {}

    def stop_run(self, run, reason):
        """Order a run to stop, unless it is being stopped already."""
        if run.state is job_state.RunState.STOPPING:
            return
        reserved = run.state is job_state.RunState.RESERVED
        run.state = job_state.RunState.STOPPING
        run.stop_reason = reason
        if reserved:
            # No order was sent, and none will be; the link removes the run.
            return
        link = self.links.get(run.worker.worker_id)
        if link is not None:
            link.send_stop(run)

    def release_reservation(self, run):
        """Remove a run whose start order was not sent."""
        self.crash_tracker.drop_run(run)
        self.requeue_run(run)

    def _give_up(self, task):
        """Fail the job of a task that crashes the workers that start it."""
        job = task.step.job
        LOG.info(
            'a job has failed: a task of it crashes workers',
            job=job.job_id,
            task=task.name,
            crashes=len(task.crashes),
            runs=[crash.run for crash in task.crashes],
        )
        self.term.job_registry.fail(job, clocks.wall_time_s())
        self.stop_job(job, 'the job has failed')

    def stop_job(self, job, reason):
        """Stop all runs of a job that has ended."""
        for task in job.iterate_tasks():
            for run in list(task.runs):
                self.stop_run(run, reason)

    def handle_start_reply(self, run, reply):
        """Handle the reply to a start order.

        :raises term_module.OwnershipLost: the worker has seen a higher
            fencing token, of another owner.
        """
        outcome = reply.outcome
        worker, now_s = run.worker, clocks.now_s()
        worker.record_clock(reply.clock_ms, now_s)
        if outcome is platform_messages.OrderOutcome.FENCED:
            raise term_module.OwnershipLost(worker.worker_id)
        if worker.runs.get((run.name, run.number)) is not run:
            # A renewal reply has reported the completion of the run already.
            return
        match outcome:
            case platform_messages.OrderOutcome.DONE:
                run.confirm_start(now_s)
                return
            case platform_messages.OrderOutcome.UNKNOWN:
                worker.unresponsive = True
                if run.state is job_state.RunState.ORDERED:
                    run.state = job_state.RunState.IN_DOUBT
                    run.confirmed_at_s = now_s
                self._log_failed_start(run, outcome)
                return
            case _ if outcome in fleet.END_BY_OUTCOME:
                self.end_incarnation(worker, fleet.END_BY_OUTCOME[outcome])
                return
            case platform_messages.OrderOutcome.UNREACHABLE:
                worker.unresponsive = True
            case platform_messages.OrderOutcome.UNHEALTHY:
                self.term.vm_health.record_stall(worker.vm, now_s)
            case platform_messages.OrderOutcome.BAD_TICKET if (
                run.task is not None
            ):
                run.task.step.record_bad_ticket(worker.worker_id)
            case platform_messages.OrderOutcome.INVALID if (
                run.task is not None
            ):
                self.completions.record_failed_attempt(run.task, run)
        self._log_failed_start(run, outcome)
        if run.task is not None and not worker.unresponsive:
            run.task.record_refusal(now_s)
        self.crash_tracker.drop_run(run)
        self.requeue_run(run)

    def _log_failed_start(self, run, outcome):
        self.term.metrics.count(
            'starts_refused', (('outcome', outcome.value),)
        )
        LOG.info(
            'a start order was not carried out',
            task=run.name,
            run=run.number,
            worker=run.worker.worker_id,
            outcome=outcome.value,
        )

    def requeue_run(self, run):
        """Remove a run that is no longer running, and queue its task again."""
        self.term.fleet.remove_run(run)
        self.term.request_dispatch()
        task = run.task
        if task is None:
            return
        if task.step.plan.gang:
            self._restart_gang(task, run)
        elif not task.step.job.ended:
            self.term.job_registry.requeue(task, clocks.now_s())

    def _restart_gang(self, task, run):
        """Stop the other members of a gang, then queue it again as a whole.

        The last member that ends queues the tasks; earlier ones only stop
        members of the same or an earlier start.
        """
        step = task.step
        members = [other for item in step.tasks for other in item.runs]
        for other in members:
            if other.number <= run.number:
                self.stop_run(other, 'another member of its gang has ended')
        if members or step.job.ended:
            return
        for item in step.tasks:
            self.term.job_registry.requeue(item, clocks.now_s())

    def end_incarnation(self, worker, cause):
        """Record that a worker's incarnation and all its runs have ended.

        After a restart under the same id, the runs whose start orders have no
        answer stay with it (:mod:`arbutusrock.engine.runs.unanswered_orders`).

        :param cause: :class:`fleet.IncarnationEnd`.
        """
        if worker.ended:
            return
        worker.ended_at_s = clocks.now_s()
        LOG.info(
            'a worker incarnation has ended',
            worker=worker.worker_id,
            vm=worker.vm,
            reason=cause.value,
            runs=len(worker.runs),
            tasks=worker.describe_runs(),
        )
        self.crash_tracker.record_end(worker, cause)
        kept = self.unanswered_orders.find_kept(worker, cause)
        self.requeue_runs(worker, kept)
        self.term.request_dispatch()
        self.term.request_flush()

    def handle_lease_expiry(self, worker):
        """Queue the tasks of an unresponsive worker again.

        Called once all leases ever sent to it have expired: nothing runs, if
        no next owner has extended them.
        """
        if not worker.runs or not self.term.is_confirmed_at(clocks.now_s()):
            return
        LOG.info(
            'the lease of an unresponsive worker has expired',
            worker=worker.worker_id,
            silent_s=round(clocks.now_s() - worker.last_reply_at_s, 2),
            runs=len(worker.runs),
            tasks=worker.describe_runs(),
        )
        self.crash_tracker.record_silence(worker)
        self.requeue_runs(worker)

    def requeue_runs(self, worker, kept=frozenset()):
        """Remove the runs of a worker, and queue their tasks again.

        :param kept: runs that stay.
        """
        for run in list(worker.runs.values()):
            if run in kept:
                continue
            if run.task is not None:
                self.term.job_registry.record_checkpoint(
                    run.task, run.checkpoint
                )
            self.requeue_run(run)

    def handle_renewal(self, worker, reply, sent_at_s):
        """Handle the reply to a renewal that was sent at ``sent_at_s``.

        Of a worker that has ended meanwhile only the completions count.
        """
        now_s = clocks.now_s()
        born_ms = worker.entry.born_ms
        if born_ms and reply.born_ms and reply.born_ms != born_ms:
            self.end_incarnation(worker, fleet.IncarnationEnd.RESTARTED)
            return
        worker.record_report(reply.clock_ms, now_s)
        if not self.term.jobs_loaded.is_set():
            # Its completions would be taken for those of unknown jobs.
            return
        if not worker.has_answered and self._has_unloaded_job(reply, now_s):
            return
        # Further reports may show as done what would be started again now.
        has_all_ends = len(reply.ended) < COMPLETIONS_PER_PAGE
        if has_all_ends and not worker.has_answered or worker.unresponsive:
            self.term.request_dispatch()
        if has_all_ends:
            self.term.phases.record_answer(worker)
        elif not worker.has_answered:
            LOG.info(
                'a worker has more ends of earlier runs than it reported',
                worker=worker.worker_id,
                pool=worker.entry.pool,
                reported=len(reply.ended),
                first=reply.ended[0].number,
            )
        for rival in worker.take_rivals():
            self.end_incarnation(rival, fleet.IncarnationEnd.REPLACED)
        worker.has_answered = worker.has_answered or has_all_ends
        worker.unresponsive = False
        for completion in sorted(reply.ended, key=lambda item: item.number):
            if completion.number > worker.last_completion:
                self.completions.handle(worker, completion, now_s)
        if worker.ended:
            # What it reports as running is gone. Runs that were added to it
            # now would never end.
            return
        reported = set()
        for report in reply.running:
            reported.add((report.task, report.run))
            self._handle_run_report(worker, report, now_s)
        if has_all_ends:
            self._handle_missing_runs(worker, reported, sent_at_s)
        self.crash_tracker.record_answer(worker)

    def _has_unloaded_job(self, reply, now_s):
        """Return whether a reported run belongs to a job not loaded yet.

        An earlier owner may have started the run after this owner loaded
        the jobs; the row of the job then arrives shortly. After
        ``JOB_LOAD_GRACE_S`` the job counts as unknown.
        """
        if now_s > self.term.began_at_s + JOB_LOAD_GRACE_S:
            return False
        for item in reply.running:
            parts = job_state.parse_task_name(item.task)
            if parts and self.term.job_registry.load_job(parts[0]) is None:
                return True
        return False

    def _handle_run_report(self, worker, report, now_s):
        self.unanswered_orders.record_seen(worker, report.task, report.run)
        run = worker.runs.get((report.task, report.run))
        if run is None:
            run = self._adopt_or_stop(worker, report, now_s)
        if run.state in {
            job_state.RunState.ORDERED,
            job_state.RunState.IN_DOUBT,
        }:
            run.state = job_state.RunState.RUNNING
            run.confirmed_at_s = now_s
        if run.task is not None:
            run.task.step.job.started = True
        run.record_percent(report.percent, now_s)
        run.load = report.load
        if report.checkpoint:
            run.checkpoint = report.checkpoint
        if report.percent >= 100 and run.ready_at_s is None:
            run.ready_at_s = now_s
        self.crash_tracker.record_progress(run)

    def _adopt_or_stop(self, worker, report, now_s):
        """Adopt a run that an earlier owner started, or stop an unwanted one.

        Either way the run counts on its worker until it has ended.
        """
        run = self.add_found_run(worker, report.task, report.run)
        if run.task is not None:
            run.state = job_state.RunState.RUNNING
            run.confirmed_at_s = now_s
            # It has outlived the change of the owner; one that lasts may have
            # been running for long.
            run.survived_before_s = (
                crash_attribution.MAX_SUSPECT_AGE_S
                if run.task.step.plan.long_running
                else crash_attribution.SETTLED_S
            )
        else:
            LOG.info(
                'an unwanted run is stopped',
                task=report.task,
                run=report.run,
                worker=worker.worker_id,
            )
            self.stop_run(run, 'unwanted run')
        return run

    def add_found_run(self, worker, name, number):
        """Add a run to a worker that has, or may have, begun there.

        It belongs to its task if that has no other run, and is unwanted
        otherwise. One of an unknown job counts as using all of the worker.

        :param name: of its task.
        :returns: :class:`job_state.Run`.
        """
        task = self.term.job_registry.find_task(name)
        adopted = (
            task is not None
            and not task.step.job.ended
            and task.may_adopt(number)
        )
        parts = job_state.parse_task_name(name)
        job = self.term.job_registry.load_job(parts[0]) if parts else None
        run = job_state.Run(
            number=number,
            name=name,
            task=task if adopted else None,
            account=job.submission.account if job else '',
            worker=worker,
            demand=job.plan.get_demand(parts[2]) if job else worker.capacity,
            now_s=clocks.now_s(),
        )
        self.term.fleet.add_run(run)
        if adopted:
            self.term.job_registry.mark_active(task)
        return run

    def _handle_missing_runs(self, worker, reported, sent_at_s):
        """Stop or remove runs that the worker does not report.

        Only runs that were confirmed, or whose stop was answered, before
        the renewal was sent: the reply need not show later changes.
        """
        for key, run in list(worker.runs.items()):
            if key in reported:
                continue
            match run.state:
                case job_state.RunState.RUNNING if (
                    run.confirmed_at_s < sent_at_s
                ):
                    LOG.warning(
                        'a run is missing from the report of its worker',
                        task=run.name,
                        run=run.number,
                        worker=worker.worker_id,
                    )
                    # The order may date from before a pause of the process,
                    # so the run is stopped instead of taken as ended.
                    self.stop_run(run, 'vanished')
                case job_state.RunState.IN_DOUBT if (
                    run.confirmed_at_s < sent_at_s
                ):
                    self.stop_run(run, 'the start order was not answered')
                case job_state.RunState.STOPPING if (
                    run.stop_answered_at_s is not None
                    and run.stop_answered_at_s < sent_at_s
                ):
                    self.requeue_run(run)
