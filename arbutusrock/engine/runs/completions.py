"""Applies the ends of runs that workers report, and acknowledges them."""

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.workers import run_speeds
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['Completions']

LOG = logs.get_log('runs')


class Completions:
    """Updates tasks and jobs from the ends of their runs.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param state_writer: numbers its flushes, so that an end is acknowledged
        once it is durable.
    :param run_controller:
        :class:`arbutusrock.engine.runs.run_controller.RunController`.
    """

    def __init__(self, *, term, state_writer, run_controller):
        self.term = term
        self.state_writer = state_writer
        self.run_controller = run_controller

    def handle(self, worker, completion, now_s):
        """Apply a completion, and queue its acknowledgement.

        Ends of unwanted runs count, too: the task is done, or has failed once
        more, whichever run it was.

        It may be acknowledged after the flush that makes it durable. One
        that changes no job row is acknowledged at once, unless an earlier
        one is still pending.
        """
        worker.last_completion = completion.number
        self.run_controller.unanswered_orders.record_seen(
            worker, completion.task, completion.run
        )
        run = worker.runs.get((completion.task, completion.run))
        task = self.term.job_registry.find_task(completion.task)
        job = None if task is None else task.step.job
        if job is not None and not job.ended:
            self._apply(worker, completion, task, run, now_s)
        flush_number = self.state_writer.flushes_completed
        if job is not None and job.job_id in self.term.job_registry.dirty_jobs:
            flush_number = self.state_writer.get_next_flush_number()
            self.term.request_flush()
        worker.pending_acks.append(
            (completion.number, flush_number, job.job_id if job else '')
        )
        if (
            flush_number == self.state_writer.flushes_completed
            and len(worker.pending_acks) == 1
        ):
            worker.ack_cursor = worker.pending_acks.pop()[0]
        if run is not None:
            self.run_controller.requeue_run(run)

    def _apply(self, worker, completion, task, run, now_s):
        match completion.kind:
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
                    task=completion.task,
                    run=completion.run,
                    worker=worker.worker_id,
                    attempts=len(task.failed_runs) + 1,
                )
                self.record_failed_attempt(task, completion)
            case _ if run is None or run.task is not None:
                self.term.job_registry.record_checkpoint(
                    task, completion.checkpoint
                )

    def _record_duration(self, task, run, now_s):
        """Record the duration of a task, for estimates and its siblings.

        A run that resumed, or that an earlier owner started, does not count.
        """
        run_speeds.record_end(self.term, run, now_s)
        if run is None or run.started_at_s is None or task.checkpoint:
            return
        task.run_duration_s = now_s - run.started_at_s
        task.completed_on_vm = run.worker.vm
        job = task.step.job
        self.term.duration_estimator.record_task(
            job.submission.queue,
            job.job_id,
            task.step.plan.estimate_ms / 1000,
            task.run_duration_s,
        )

    def record_failed_attempt(self, task, run):
        """Count a failed attempt; the last one fails the job and stops it.

        The attempts of a gang are counted on its first task.

        :param run: the failed :class:`job_state.Run`, or its completion
            report.
        """
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
            self.run_controller.stop_job(job, 'the job has failed')

    def _complete_task(self, task, now_s):
        step, job = task.step, task.step.job
        done_tasks = step.tasks if step.plan.gang else [task]
        for item in done_tasks:
            completed = self.term.job_registry.mark_done(
                item, now_s, clocks.wall_time_s()
            )
            for other in list(item.runs):
                self.run_controller.stop_run(other, 'the task is done')
        self.term.request_dispatch()
        if completed:
            self.term.duration_estimator.forget_job(job.job_id)
            LOG.info(
                'a job is completed',
                job=job.job_id,
                queue=job.submission.queue,
                age_s=round(clocks.wall_time_s() - job.accepted_unix_s, 3),
            )
