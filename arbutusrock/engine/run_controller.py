"""Follows runs on workers: orders, reports, ends."""

from arbutusrock.engine import job_state
from arbutusrock.engine import plans
from arbutusrock.engine import platform_messages
from arbutusrock.engine import term as term_module
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['RunController']

# A list of ends holds at most this many; more may follow.
COMPLETIONS_PER_PAGE = 500
# A new owner waits this long for the rows of jobs that workers name.
JOB_LOAD_GRACE_S = 2.0
LOG = logs.get_log('runs')


class RunController:
    """Applies what workers answer to the owner's state.

    :param term: :class:`term_module.Term`.
    :param state_writer: tells when an end is durable.
    """

    def __init__(self, *, term, state_writer):
        self.term = term
        self.state_writer = state_writer
        # Sends a stop order; set by the part that owns the connections.
        self.links = {}

    def stop_run(self, run, reason):
        """Stop a run, unless it is being stopped."""
        if run.state is job_state.RunState.STOPPING:
            return
        run.state = job_state.RunState.STOPPING
        run.stop_reason = reason
        link = self.links.get(run.worker.worker_id)
        if link is not None:
            link.send_stop(run)

    def stop_job(self, job, reason):
        """Stop all runs of a job that has ended."""
        for task in job.iterate_tasks():
            for run in list(task.runs):
                self.stop_run(run, reason)

    def handle_start_reply(self, run, reply):
        """Apply the reply to a start order.

        :raises term_module.OwnershipLost: another owner's token was seen.
        """
        outcome = reply.outcome
        worker, now_s = run.worker, clocks.now_s()
        worker.record_clock(reply.clock_ms, now_s)
        if outcome is platform_messages.OrderOutcome.FENCED:
            raise term_module.OwnershipLost(worker.worker_id)
        if worker.runs.get((run.name, run.number)) is not run:
            # Its end was seen before the reply.
            return
        match outcome:
            case platform_messages.OrderOutcome.DONE:
                if run.state is not job_state.RunState.STOPPING:
                    run.state = job_state.RunState.RUNNING
                run.confirmed_at_s = now_s
                if run.task is not None:
                    run.task.step.job.started = True
                return
            case platform_messages.OrderOutcome.UNKNOWN:
                worker.unresponsive = True
                if run.state is job_state.RunState.ORDERED:
                    run.state = job_state.RunState.IN_DOUBT
                    run.confirmed_at_s = now_s
                self._log_failed_start(run, outcome)
                return
            case platform_messages.OrderOutcome.GONE:
                self.end_incarnation(worker, 'another life answers')
                return
            case platform_messages.OrderOutcome.UNREACHABLE:
                worker.unresponsive = True
            case platform_messages.OrderOutcome.UNHEALTHY:
                self.term.vm_health.record_stall(worker.vm, now_s)
            case platform_messages.OrderOutcome.BAD_TICKET if (
                run.task is not None
            ):
                run.task.step.tickets.pop(worker.worker_id, None)
            case platform_messages.OrderOutcome.INVALID if (
                run.task is not None
            ):
                self._record_failed_attempt(run.task, run)
        self._log_failed_start(run, outcome)
        self._remove_and_requeue(run)

    @staticmethod
    def _log_failed_start(run, outcome):
        LOG.info(
            'a start order was not carried out',
            task=run.name,
            run=run.number,
            worker=run.worker.worker_id,
            outcome=outcome.value,
        )

    def _remove_and_requeue(self, run):
        """Take away a run that is not at work, and queue its task again."""
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
        """A gang without one member is stopped, then queued as a whole."""
        step = task.step
        members = [other for item in step.tasks for other in item.runs]
        for other in members:
            if other.number <= run.number:
                self.stop_run(other, 'a member of its gang has ended')
        if members or step.job.ended:
            return
        for item in step.tasks:
            self.term.job_registry.requeue(item, clocks.now_s())

    def end_incarnation(self, worker, reason):
        """All that ran on a worker has ended with it."""
        if worker.ended:
            return
        worker.ended_at_s = clocks.now_s()
        LOG.info(
            'a worker has ended',
            worker=worker.worker_id,
            vm=worker.vm,
            reason=reason,
            runs=len(worker.runs),
        )
        self._requeue_runs(worker)
        self.term.request_dispatch()
        self.term.request_flush()

    def handle_lease_expiry(self, worker):
        """All leases that were ever sent to a worker have ended."""
        if not worker.runs:
            return
        LOG.info(
            'the lease of a silent worker is over',
            worker=worker.worker_id,
            silent_s=round(clocks.now_s() - worker.last_reply_at_s, 2),
            runs=len(worker.runs),
        )
        self._requeue_runs(worker)

    def _requeue_runs(self, worker):
        for run in list(worker.runs.values()):
            if run.task is not None:
                self.term.job_registry.record_checkpoint(
                    run.task, run.checkpoint
                )
            self._remove_and_requeue(run)

    def handle_renewal(self, worker, reply, sent_at_s):
        """Apply the answer to a renewal that was sent at ``sent_at_s``."""
        now_s = clocks.now_s()
        born_ms = worker.entry.born_ms
        if born_ms and reply.born_ms and reply.born_ms != born_ms:
            self.end_incarnation(worker, 'it was born again')
            return
        worker.record_clock(reply.clock_ms, now_s)
        worker.last_reply_at_s = now_s
        if not worker.has_answered and self._has_unloaded_job(reply, now_s):
            return
        if not worker.has_answered or worker.unresponsive:
            self.term.request_dispatch()
        worker.has_answered = True
        worker.unresponsive = False
        for end in sorted(reply.ended, key=lambda item: item.number):
            if end.number > worker.last_completion:
                self._handle_completion(worker, end, now_s)
        listed = set()
        for item in reply.running:
            listed.add((item.task, item.run))
            self._handle_run_report(worker, item, now_s)
        if len(reply.ended) < COMPLETIONS_PER_PAGE:
            self._handle_missing_runs(worker, listed, sent_at_s)

    def _has_unloaded_job(self, reply, now_s):
        """Return whether a run belongs to a job that may be read yet.

        An earlier owner may have started it after this one read the jobs.
        """
        if now_s > self.term.began_at_s + JOB_LOAD_GRACE_S:
            return False
        for item in reply.running:
            parts = job_state.parse_task_name(item.task)
            if parts and self.term.job_registry.load_job(parts[0]) is None:
                return True
        return False

    def _handle_completion(self, worker, end, now_s):
        worker.last_completion = end.number
        run = worker.runs.get((end.task, end.run))
        task = run.task if run else self.term.job_registry.find_task(end.task)
        job = None if task is None else task.step.job
        if job is not None and not job.ended:
            self._apply_completion(worker, end, task, run, now_s)
        flush = self.state_writer.flushes_completed
        if job is not None and job.job_id in self.term.job_registry.dirty_jobs:
            flush = self.state_writer.get_next_flush_number()
            self.term.request_flush()
        worker.pending_acks.append((end.number, flush))
        if (
            flush == self.state_writer.flushes_completed
            and len(worker.pending_acks) == 1
        ):
            worker.ack_cursor = worker.pending_acks.pop()[0]
        if run is not None:
            self._remove_and_requeue(run)

    def _apply_completion(self, worker, end, task, run, now_s):
        match end.kind:
            case platform_messages.CompletionKind.DONE if (
                not task.step.plan.long_running
            ):
                self._record_duration(task, run, now_s)
                self.term.vm_health.record_success(worker.vm)
                self._complete_task(task, now_s)
            case platform_messages.CompletionKind.FAILED:
                self.term.vm_health.record_failure(
                    worker.vm, task.step.job.job_id, now_s
                )
                task.deprioritized_vms.add(worker.vm)
                LOG.info(
                    'a run failed',
                    task=end.task,
                    run=end.run,
                    worker=worker.worker_id,
                    attempts=len(task.failed_runs) + 1,
                )
                self._record_failed_attempt(task, end)
            case _:
                self.term.job_registry.record_checkpoint(task, end.checkpoint)

    def _record_duration(self, task, run, now_s):
        if run is None or run.confirmed_at_s is None or task.checkpoint:
            return
        task.run_duration_s = now_s - run.confirmed_at_s
        task.completed_on_vm = run.worker.vm
        job = task.step.job
        self.term.duration_estimator.record_task(
            job.submission.queue,
            job.job_id,
            task.step.plan.estimate_ms / 1000,
            task.run_duration_s,
        )

    def _record_failed_attempt(self, task, run):
        """Count a failed run; ``run`` has its number."""
        number = run.number if isinstance(run, job_state.Run) else run.run
        step, job = task.step, task.step.job
        counted = step.tasks[0] if step.plan.gang else task
        failed = self.term.job_registry.record_failed_run(
            counted,
            number,
            max_attempts=job.submission.max_attempts,
            wall_s=clocks.wall_time_s(),
        )
        if failed:
            LOG.info(
                'a job has failed',
                job=job.job_id,
                task=task.name,
                attempts=job.submission.max_attempts,
            )
            self.stop_job(job, 'the job has failed')

    def _complete_task(self, task, now_s):
        step, job = task.step, task.step.job
        done = step.tasks if step.plan.gang else [task]
        for item in done:
            completed = self.term.job_registry.mark_done(
                item, now_s, clocks.wall_time_s()
            )
            for other in list(item.runs):
                self.stop_run(other, 'the task is done')
        self.term.request_dispatch()
        if completed:
            self.term.duration_estimator.forget_job(job.job_id)
            LOG.info(
                'a job is completed',
                job=job.job_id,
                queue=job.submission.queue,
                age_s=round(clocks.wall_time_s() - job.accepted_unix_s, 3),
            )

    def _handle_run_report(self, worker, item, now_s):
        run = worker.runs.get((item.task, item.run))
        if run is None:
            run = self._adopt_or_stop(worker, item, now_s)
        if run.state in {
            job_state.RunState.ORDERED,
            job_state.RunState.IN_DOUBT,
        }:
            run.state = job_state.RunState.RUNNING
            run.confirmed_at_s = now_s
        if run.task is not None:
            run.task.step.job.started = True
        if item.percent > run.percent:
            run.last_progress_at_s = now_s
        run.percent = item.percent
        run.load = item.load
        if item.checkpoint:
            run.checkpoint = item.checkpoint
        if item.percent >= 100 and run.ready_at_s is None:
            run.ready_at_s = now_s

    def _adopt_or_stop(self, worker, item, now_s):
        """Take over a run that an earlier owner started, or stop it."""
        task = self.term.job_registry.find_task(item.task)
        wanted = (
            task is not None
            and not task.step.job.ended
            and self._should_adopt(task, item.run)
        )
        parts = job_state.parse_task_name(item.task)
        job = self.term.job_registry.load_job(parts[0]) if parts else None
        run = job_state.Run(
            number=item.run,
            name=item.task,
            task=task if wanted else None,
            account=job.submission.account if job else '',
            worker=worker,
            demand=_find_demand(job, parts, worker),
            now_s=now_s,
        )
        self.term.fleet.add_run(run)
        if wanted:
            run.state = job_state.RunState.RUNNING
            run.confirmed_at_s = now_s
            self.term.job_registry.mark_active(task)
        else:
            LOG.info(
                'a run that is not wanted is stopped',
                task=item.task,
                run=item.run,
                worker=worker.worker_id,
            )
            self.stop_run(run, 'not wanted')
        return run

    @staticmethod
    def _should_adopt(task, number):
        if task.step.plan.gang:
            others = [r for t in task.step.tasks for r in t.runs]
            return task.status is not job_state.TaskStatus.DONE and all(
                other.number == number for other in others
            )
        # A blocked one: the earlier owner saw ends that we have not seen yet.
        return task.status in {
            job_state.TaskStatus.BLOCKED,
            job_state.TaskStatus.WAITING,
        }

    def _handle_missing_runs(self, worker, listed, sent_at_s):
        """Settle runs that the worker no longer names."""
        for key, run in list(worker.runs.items()):
            if key in listed:
                continue
            match run.state:
                case job_state.RunState.RUNNING if (
                    run.confirmed_at_s < sent_at_s
                ):
                    LOG.warning(
                        'a run has vanished',
                        task=run.name,
                        run=run.number,
                        worker=worker.worker_id,
                    )
                    # It may have been an order of before a pause.
                    self.stop_run(run, 'vanished')
                case job_state.RunState.IN_DOUBT if (
                    run.confirmed_at_s < sent_at_s
                ):
                    self.stop_run(run, 'the order was not answered')
                case job_state.RunState.STOPPING if (
                    run.stop_answered_at_s is not None
                    and run.stop_answered_at_s < sent_at_s
                ):
                    self._remove_and_requeue(run)


def _find_demand(job, parts, worker):
    """Return what a run takes; all of the worker when that is not known."""
    if job is None:
        return worker.entry.capacity
    steps = job.plan.steps
    step = (
        steps[parts[2]] if parts[2] < len(steps) else plans.StepPlan(count=1)
    )
    return step.demand
