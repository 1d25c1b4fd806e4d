"""Index of the owner's jobs, and the state changes of their tasks."""

import collections

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.jobs import plans
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['JobRegistry']

# Tasks of one account that are held in memory at once. Further occurrences
# start when earlier ones have finished.
MAX_OPEN_TASKS_PER_ACCOUNT = 20_000
# Tasks of an account that are held for each of its queues whatever the others
# hold, so that the backlog of one does not keep jobs of another from workers.
MIN_OPEN_TASKS_PER_QUEUE = 1000
# Longest checkpoint that is kept. Workers choose what they report.
MAX_CHECKPOINT_BYTES = 4096
LOG = logs.get_log('jobs')


class JobRegistry:
    """Jobs in memory.

    A change of a job's progress adds the job to ``dirty_jobs``, whose rows
    the state writer stores with its next flush.
    """

    def __init__(self):
        self.jobs = {}
        # Jobs that have not ended.
        self.open_jobs = {}
        # Encoded rows (submission, progress) of jobs that had ended before
        # this node became the owner; decoded only when they are needed.
        self.archived_rows = {}
        # When each ended job ended (Unix time in ms), the first one first.
        self.ended_jobs = {}
        # Those that may still have occurrences in memory.
        self._recently_ended = {}
        # Steps with waiting tasks: by pool, then by id of the step.
        self.waiting_steps = {}
        # Jobs whose progress row must be written.
        self.dirty_jobs = {}
        # Jobs with occurrences that have not started, by account and queue, in
        # the order in which they came.
        self._scheduled = {}
        # Number of tasks of the started occurrences of open jobs, by account,
        # and by account and queue.
        self._open_tasks = collections.Counter()

    def add(
        self,
        job_id,
        submission,
        *,
        progress=None,
        layout=None,
        inherited=False,
        read_at_s=0.0,
        stored_version=0,
    ):
        """Add an accepted job and return it; a known job stays unchanged."""
        job = self.jobs.get(job_id)
        if job is not None:
            return job
        job = job_state.Job(
            job_id=job_id,
            submission=submission,
            progress=progress or plans.JobProgress(),
            layout=layout,
            inherited=inherited,
            read_at_s=read_at_s,
            stored_version=stored_version,
        )
        self.jobs[job_id] = job
        if not job.ended:
            scheduled = self._scheduled.setdefault(_get_backlog(job), {})
            scheduled[job_id] = job
            self.open_jobs[job_id] = job
        return job

    def _is_scheduled(self, job):
        return job.job_id in self._scheduled.get(_get_backlog(job), ())

    def _unschedule(self, job):
        scheduled = self._scheduled.get(_get_backlog(job), {})
        scheduled.pop(job.job_id, None)
        if not scheduled:
            self._scheduled.pop(_get_backlog(job), None)

    def start_due_occurrences(self, wall_s, now_s):
        """Start the occurrences that are due.

        Those of an account and queue that do not fit into memory wait, the
        oldest first. Others do not wait for them.
        """
        for scheduled in list(self._scheduled.values()):
            for job_id in list(scheduled):
                if not self.start_job(job_id, wall_s, now_s):
                    break

    def start_job(self, job_id, wall_s, now_s):
        """Start the occurrences of one job that are due.

        :returns: False when one of them does not fit into memory.
        """
        job = self.jobs.get(job_id)
        while job is not None and self._is_scheduled(job):
            number = job.next_occurrence
            due_unix_s = self._get_due_unix_s(job, number)
            if due_unix_s > wall_s:
                break
            if not self._has_memory(job):
                return False
            self._start_occurrence(job, number, due_unix_s, now_s)
        return True

    @staticmethod
    def _get_due_unix_s(job, number):
        if not job.plan.times:
            return 0.0
        plan = job.plan
        return (plan.start_at_ms + number * plan.interval_ms) / 1000

    def _has_memory(self, job):
        of_queue = self._open_tasks[_get_backlog(job)]
        of_account = self._open_tasks[job.submission.account]
        return (
            not of_queue
            or of_queue + job.task_count <= MIN_OPEN_TASKS_PER_QUEUE
            or of_account + job.task_count <= MAX_OPEN_TASKS_PER_ACCOUNT
        )

    def _count_tasks(self, job, occurrences):
        for key in (job.submission.account, _get_backlog(job)):
            self._open_tasks[key] += occurrences * job.task_count

    def _start_occurrence(self, job, number, due_unix_s, now_s):
        job.next_occurrence += 1
        if job.next_occurrence >= max(1, job.plan.times):
            self._unschedule(job)
        if number in job.progress.finished:
            return
        occurrence = job_state.Occurrence(
            job=job,
            number=number,
            due_unix_s=due_unix_s or job.accepted_unix_s,
        )
        job.occurrences[number] = occurrence
        self._count_tasks(job, 1)
        for step in occurrence.steps:
            self._restore_step(step)
        self._unblock_steps(occurrence, now_s)
        if occurrence.done:
            # An earlier owner has stored the ends of its tasks only.
            self._finish_occurrence(occurrence, clocks.wall_time_s())

    @staticmethod
    def _restore_step(step):
        """Restore the state of a step's tasks from the progress row."""
        progress = step.job.progress
        done = progress.done.get(step.key, b'')
        for task in step.tasks:
            byte, bit = divmod(task.index, 8)
            if byte < len(done) and done[byte] >> bit & 1:
                task.status = job_state.TaskStatus.DONE
                step.done_count += 1
            key = task.progress_key
            task.failed_runs.update(progress.failed_runs.get(key, ()))
            task.checkpoint = progress.checkpoints.get(key, '')

    def _unblock_steps(self, occurrence, now_s):
        """Queue the tasks of steps whose earlier steps are all done."""
        for step in occurrence.steps:
            if step.unblocked or not all(
                occurrence.steps[number].done for number in step.plan.after
            ):
                continue
            step.unblocked = True
            for task in step.tasks:
                if task.status is job_state.TaskStatus.BLOCKED:
                    self._set_waiting(task, now_s)

    def _set_waiting(self, task, now_s):
        step = task.step
        task.status = job_state.TaskStatus.WAITING
        task.queued_at_s = now_s
        step.waiting[task.index] = task
        self._list_waiting(step)

    def _list_waiting(self, step):
        if step.waiting and not step.job.progress.suspended:
            pool = step.job.submission.pool
            self.waiting_steps.setdefault(pool, {})[id(step)] = step

    def _remove_waiting(self, task):
        step = task.step
        step.waiting.pop(task.index, None)
        if not step.waiting:
            self._unlist_waiting(step)

    def _unlist_waiting(self, step):
        pool = step.job.submission.pool
        self.waiting_steps.get(pool, {}).pop(id(step), None)

    def suspend(self, job):
        """Start nothing more of a job; its runs go on."""
        job.progress.suspended = True
        self._mark_job(job)
        for occurrence in job.occurrences.values():
            for step in occurrence.steps:
                self._unlist_waiting(step)

    def resume(self, job):
        """Start tasks of a suspended job again."""
        job.progress.suspended = False
        self._mark_job(job)
        for occurrence in job.occurrences.values():
            for step in occurrence.steps:
                self._list_waiting(step)

    def find_suspended(self):
        """Return the ids of the open jobs that are suspended."""
        return [
            job_id
            for job_id, job in self.open_jobs.items()
            if job.progress.suspended
        ]

    def mark_changed(self, task):
        """Record that the state of a task in its job's rows has changed."""
        step, job = task.step, task.step.job
        self.dirty_jobs[job.job_id] = job
        if job.layout is not None:
            job.layout.mark_task(
                step.occurrence.number, step.number, task.index
            )

    def _mark_job(self, job):
        """Record that the state of a job itself has changed."""
        self.dirty_jobs[job.job_id] = job
        if job.layout is not None:
            job.layout.head_changed = True

    def mark_active(self, task):
        """Record that a run of the task was ordered, or found on a worker."""
        if task.status is job_state.TaskStatus.WAITING:
            self._remove_waiting(task)
        task.status = job_state.TaskStatus.ACTIVE

    def requeue(self, task, now_s):
        """Queue a task again that has no run left."""
        if task.status is not job_state.TaskStatus.ACTIVE or task.runs:
            return
        if task.step.unblocked:
            self._set_waiting(task, now_s)
        else:
            task.status = job_state.TaskStatus.BLOCKED

    def mark_done(self, task, now_s, wall_s):
        """Record that a task is done, and unblock the steps that need it.

        :returns: whether this completes the job.
        """
        if task.status is job_state.TaskStatus.DONE:
            return False
        self._remove_waiting(task)
        task.status = job_state.TaskStatus.DONE
        step, job = task.step, task.step.job
        step.done_count += 1
        bits = bytearray(job.progress.done.get(step.key, b''))
        byte, bit = divmod(task.index, 8)
        bits.extend(bytes(max(0, byte + 1 - len(bits))))
        bits[byte] |= 1 << bit
        job.progress.done[step.key] = bytes(bits)
        for entries in (
            job.progress.checkpoints,
            job.progress.crashes,
            job.progress.unresolved,
        ):
            entries.pop(task.progress_key, None)
        self.mark_changed(task)
        if not step.done:
            return False
        if step.occurrence.done:
            return self._finish_occurrence(step.occurrence, wall_s)
        self._unblock_steps(step.occurrence, now_s)
        return False

    def _finish_occurrence(self, occurrence, wall_s):
        job = occurrence.job
        prefix = f'{occurrence.number}.'
        progress = job.progress
        progress.finished.add(occurrence.number)
        self.dirty_jobs[job.job_id] = job
        if job.layout is not None:
            job.layout.mark_finished(occurrence.number, progress.finished)
        for entries in (
            progress.done,
            progress.failed_runs,
            progress.crashes,
            progress.unresolved,
        ):
            for key in [key for key in entries if key.startswith(prefix)]:
                del entries[key]
        del job.occurrences[occurrence.number]
        self._count_tasks(job, -1)
        if len(progress.finished) < max(1, job.plan.times):
            return False
        self._end_job(job, plans.JobStatus.COMPLETED, wall_s)
        return True

    def record_failed_run(self, task, run, *, max_attempts, wall_s):
        """Record a failed run; runs of long-running tasks are not counted.

        :returns: whether this makes the job fail.
        """
        if task.step.plan.long_running:
            return False
        task.failed_runs.add(run)
        job = task.step.job
        runs = job.progress.failed_runs.setdefault(task.progress_key, [])
        if run not in runs:
            runs.append(run)
            self.mark_changed(task)
        if len(task.failed_runs) < max_attempts or job.ended:
            return False
        self.fail(job, wall_s)
        return True

    def fail(self, job, wall_s):
        """Record that a job has failed; an ended job stays unchanged."""
        if not job.ended:
            self._end_job(job, plans.JobStatus.FAILED, wall_s)

    def record_checkpoint(self, task, checkpoint):
        """Record where the next run can resume; a gang shares checkpoints.

        One that is too long is left out: the next run begins anew.
        """
        if not checkpoint or task.status is job_state.TaskStatus.DONE:
            return
        size = len(checkpoint.encode())
        if size > MAX_CHECKPOINT_BYTES:
            LOG.warning(
                'a checkpoint is too long and is not kept',
                task=task.name,
                bytes=size,
            )
            return
        task.checkpoint = checkpoint
        if task.step.plan.gang:
            for other in task.step.tasks:
                other.checkpoint = checkpoint
        task.step.job.progress.checkpoints[task.progress_key] = checkpoint
        self.mark_changed(task)

    def cancel(self, job, wall_s):
        """Record that a job is cancelled; an ended job stays unchanged."""
        if not job.ended:
            self._end_job(job, plans.JobStatus.CANCELLED, wall_s)

    def _end_job(self, job, status, wall_s):
        job.progress.status = status
        job.progress.ended_ms = wall_s * 1000
        self.ended_jobs[job.job_id] = job.progress.ended_ms
        self._recently_ended[job.job_id] = job
        self._mark_job(job)
        self._unschedule(job)
        self.open_jobs.pop(job.job_id, None)
        self._count_tasks(job, -len(job.occurrences))
        for task in job.iterate_tasks():
            self._remove_waiting(task)

    def archive(self, job_id, submission, progress):
        """Add a job that has ended under an earlier owner.

        :param submission: encoded row of the job.
        :param progress: encoded row of its progress, or the head of that.
        """
        self.archived_rows[job_id] = (submission, progress)
        self.ended_jobs[job_id] = plans.get_ended_ms(progress)

    def sort_ended_jobs(self):
        """Restore the order of the ended jobs after they were loaded."""
        self.ended_jobs = dict(
            sorted(self.ended_jobs.items(), key=lambda item: item[1])
        )

    def find_ended_jobs(self, before_ms, most):
        """Return the ids of jobs that ended before a time, the oldest first.

        :param before_ms: Unix time in ms.
        :param most: maximum number of jobs.
        """
        found = []
        for job_id, ended_ms in self.ended_jobs.items():
            if ended_ms >= before_ms or len(found) == most:
                break
            found.append(job_id)
        return found

    def drop_occurrences(self, before_ms):
        """Drop the occurrences of jobs that ended before a time.

        :param before_ms: Unix time in ms.
        """
        for job_id, job in list(self._recently_ended.items()):
            if job.progress.ended_ms >= before_ms:
                break
            job.occurrences.clear()
            del self._recently_ended[job_id]

    def load_job(self, job_id):
        """Return a job, decoding its archived rows if need be, or None."""
        row = self.archived_rows.pop(job_id, None)
        if row is not None:
            submission, progress = row
            self.add(
                job_id,
                plans.decode_submission(submission),
                progress=plans.JobProgress(
                    status=plans.decode_status(progress),
                    ended_ms=plans.get_ended_ms(progress),
                ),
                inherited=True,
            )
        return self.jobs.get(job_id)

    def find_task(self, name):
        """Return the task with a name as known to workers, or None.

        A worker that reports a task shows that an earlier owner has started
        its occurrence, which is then held in memory whatever there is.
        """
        parts = job_state.parse_task_name(name)
        job = self.jobs.get(parts[0]) if parts else None
        if job is None:
            return None
        self._start_reported(job, parts[1])
        occurrence = job.occurrences.get(parts[1])
        if occurrence is None or parts[2] >= len(occurrence.steps):
            return None
        tasks = occurrence.steps[parts[2]].tasks
        return tasks[parts[3]] if parts[3] < len(tasks) else None

    def _start_reported(self, job, number):
        wall_s, now_s = clocks.wall_time_s(), clocks.now_s()
        while (
            number >= job.next_occurrence
            and self._is_scheduled(job)
            and self._get_due_unix_s(job, number) <= wall_s
        ):
            earlier = job.next_occurrence
            due_unix_s = self._get_due_unix_s(job, earlier)
            self._start_occurrence(job, earlier, due_unix_s, now_s)

    def count_unstarted_jobs(self):
        """Return the number of jobs without a started task, by queue.

        Jobs with scheduled occurrences are not counted.
        """
        counts = {}
        for job in self.open_jobs.values():
            if not job.started and not job.plan.times:
                queue = job.submission.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def remove_job(self, job_id):
        """Remove a job whose rows were removed from the store."""
        self.jobs.pop(job_id, None)
        self.archived_rows.pop(job_id, None)
        self.ended_jobs.pop(job_id, None)
        self._recently_ended.pop(job_id, None)
        self.dirty_jobs.pop(job_id, None)


def _get_backlog(job):
    """Return the account and the queue of a job."""
    return job.submission.account, job.submission.queue
