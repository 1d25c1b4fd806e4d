"""State of jobs, occurrences, steps, tasks and runs in the owner's memory."""

import enum

from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import platform_messages

__all__ = [
    'Job',
    'Occurrence',
    'Run',
    'RunState',
    'Step',
    'Task',
    'TaskStatus',
    'format_task_name',
    'parse_task_name',
]


# Delays before a task is ordered again that workers have refused twice and
# more often in a row.
MIN_REFUSAL_DELAY_S = 0.05
MAX_REFUSAL_DELAY_S = 2.0
# Refusals after which the delay does not grow any more.
MAX_REFUSALS = 8


class TaskStatus(enum.Enum):
    """Whether a task needs a run."""

    # Steps that its step depends on are not done.
    BLOCKED = 'blocked'
    # It can be dispatched.
    WAITING = 'waiting'
    # It has a run, or a run of it is ordered.
    ACTIVE = 'active'
    DONE = 'done'


class RunState(enum.Enum):
    """What the owner knows about a run."""

    ORDERED = 'ordered'
    # The start order is sent once the record of it is durable.
    RESERVED = 'reserved'
    # The start order was not answered; it may still be carried out.
    IN_DOUBT = 'in doubt'
    RUNNING = 'running'
    STOPPING = 'stopping'


def format_task_name(job_id, occurrence, step, index):
    """Return the name under which workers know a task.

    >>> format_task_name('5c0e7a21d94b36f8', 0, 1, 17)
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f'{job_id}.{occurrence}.{step}.{index}'


def parse_task_name(name):
    """Return ``(job_id, occurrence, step, index)`` of a task name, or None.

    >>> parse_task_name('5c0e7a21d94b36f8.0.1.17')
    ('5c0e7a21d94b36f8', 0, 1, 17)
    >>> parse_task_name('other')
    """
    parts = name.split('.')
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])


class Run:
    """One start of a task on a worker.

    :param task: :class:`Task`, or None for an unwanted run, which a worker
        reported and which has to stop.
    :param demand: resources that it takes on the worker.
    """

    __slots__ = (
        'number',
        'name',
        'task',
        'account',
        'worker',
        'counted_vm',
        'demand',
        'state',
        'ordered_at_s',
        'started_at_s',
        'confirmed_at_s',
        'survived_before_s',
        'stop_answered_at_s',
        'stop_reason',
        'revoked',
        'percent',
        'last_progress_at_s',
        'rise_s',
        'stall_recorded',
        'ready_at_s',
        'checkpoint',
        'load',
        'pace_percent',
        'pace_in_flight',
        'paced_at_s',
        'pace_in_doubt_until_s',
    )

    def __init__(self, *, number, name, task, account, worker, demand, now_s):
        self.number = number
        self.name = name
        self.task = task
        self.account = account
        self.worker = worker
        # VM for which it counts in ``Step.runs_by_vm``; empty while it does
        # not count.
        self.counted_vm = ''
        self.demand = demand
        self.state = RunState.ORDERED
        self.ordered_at_s = now_s
        # When its start order was answered; None when it is not known when
        # the run started.
        self.started_at_s = None
        # Since when it is known to run, or that it may.
        self.confirmed_at_s = None
        # How long it is known to have been running when it was confirmed.
        self.survived_before_s = 0.0
        self.stop_answered_at_s = None
        self.stop_reason = ''
        # Whether its start order went to an earlier incarnation of its worker.
        self.revoked = False
        self.percent = 0.0
        # When its reported percentage last rose.
        self.last_progress_at_s = now_s
        # Time that the last rise took for each percent.
        self.rise_s = 0.0
        # Whether its VM was excluded because of it.
        self.stall_recorded = False
        # Since when a serving task is ready; None before.
        self.ready_at_s = None
        self.checkpoint = ''
        self.load = 0.0
        # Share of its full speed at which it works; None when not known.
        self.pace_percent = 100
        # Whether a pace order has been sent whose outcome is not known yet.
        self.pace_in_flight = False
        # When the last pace order was sent, and until when an earlier one
        # that was not answered may be carried out.
        self.paced_at_s = now_s
        self.pace_in_doubt_until_s = now_s

    def confirm_start(self, now_s):
        """Record that its start order was carried out."""
        if self.state is not RunState.STOPPING:
            self.state = RunState.RUNNING
        self.started_at_s = self.confirmed_at_s = now_s
        if self.task is not None:
            self.task.step.job.started = True
            self.task.refused_starts = 0

    def record_percent(self, percent, now_s):
        """Record the percentage that the worker has reported."""
        if percent > self.percent:
            elapsed_s = now_s - self.last_progress_at_s
            self.rise_s = elapsed_s / (percent - self.percent)
            self.last_progress_at_s = now_s
        self.percent = percent

    @property
    def survived_s(self):
        """How long its worker's answers have shown it running."""
        if self.confirmed_at_s is None or self.state is RunState.IN_DOUBT:
            return 0.0
        seen_s = self.worker.clock_read_at_s - self.confirmed_at_s
        return self.survived_before_s + max(0.0, seen_s)


class Task:
    """One task of a step."""

    __slots__ = (
        'step',
        'index',
        'name',
        'status',
        'runs',
        'starts',
        'refused_starts',
        'not_before_s',
        'failed_runs',
        'deprioritized_vms',
        'crashes_durable_at_flush',
        'checkpoint',
        'queued_at_s',
        'run_duration_s',
        'completed_on_vm',
    )

    def __init__(self, *, step, index):
        self.step = step
        self.index = index
        self.name = format_task_name(
            step.occurrence.job.job_id,
            step.occurrence.number,
            step.number,
            index,
        )
        self.status = TaskStatus.BLOCKED
        self.runs = []
        # Number of runs that this owner has ordered.
        self.starts = 0
        # Start orders in a row that workers have refused, and when the task
        # may be ordered again.
        self.refused_starts = 0
        self.not_before_s = 0.0
        self.failed_runs = set()
        # VMs on which a run of it failed or made no progress.
        self.deprioritized_vms = set()
        # Number of the flush that makes the crashes under it durable.
        self.crashes_durable_at_flush = 0
        self.checkpoint = ''
        self.queued_at_s = None
        # Duration of the run that completed the task, and its VM.
        self.run_duration_s = None
        self.completed_on_vm = ''

    @property
    def progress_key(self):
        """Key of the task in the progress row of its job."""
        return f'{self.step.key}.{self.index}'

    @property
    def unit(self):
        """The task with which its crashes are kept: the first of a gang."""
        return self.step.tasks[0] if self.step.plan.gang else self

    @property
    def crashes(self):
        """Each :class:`crash_attribution.CrashRecord` of its unit."""
        crashes = self.step.job.progress.crashes
        return crashes.get(self.unit.progress_key, ()) if crashes else ()

    def record_refusal(self, now_s):
        """Have the task wait, but for the first refusal of a start.

        A worker that has refused a start once may do so for ever.
        """
        if self.refused_starts:
            self.not_before_s = now_s + min(
                MAX_REFUSAL_DELAY_S,
                MIN_REFUSAL_DELAY_S * 2 ** (self.refused_starts - 1),
            )
        self.refused_starts = min(self.refused_starts + 1, MAX_REFUSALS)

    def may_adopt(self, number):
        """Return whether a run that an earlier owner started is wanted.

        :param number: of the run.
        """
        if self.step.plan.gang:
            others = [run for task in self.step.tasks for run in task.runs]
            return self.status is not TaskStatus.DONE and all(
                other.number == number for other in others
            )
        # A run of a blocked task is adopted too: the earlier owner has seen
        # completions of preceding tasks that have not reached this owner yet.
        return self.status in {TaskStatus.BLOCKED, TaskStatus.WAITING}


class Step:
    """One step of one occurrence of a job."""

    __slots__ = (
        'occurrence',
        'number',
        'plan',
        'tasks',
        'waiting',
        'done_count',
        'unblocked',
        'key',
        'tickets',
        'needs_tickets',
        'runs_by_vm',
        'start_waits_s',
    )

    def __init__(self, *, occurrence, number, plan):
        self.occurrence = occurrence
        self.number = number
        self.plan = plan
        self.key = f'{occurrence.number}.{number}'
        self.tasks = [Task(step=self, index=i) for i in range(plan.count)]
        # Waiting tasks by index, in the order in which they were queued.
        self.waiting = {}
        self.done_count = 0
        self.unblocked = False
        # Answers of the policy service by worker, kept by TicketCache.
        self.tickets = {}
        # Whether a worker has refused a start of it without a ticket.
        self.needs_tickets = False
        # Number of runs by VM, for StepPlan.most_per_worker.
        self.runs_by_vm = {}
        # How long its tasks waited for their first runs, where recorded.
        self.start_waits_s = []

    def record_bad_ticket(self, worker_id):
        """Record that a worker has refused a start for its ticket."""
        if self.tickets.pop(worker_id, None) is None:
            self.needs_tickets = True

    @property
    def job(self):
        """The job that the step belongs to."""
        return self.occurrence.job

    @property
    def done(self):
        """Whether all its tasks are done."""
        return self.done_count == self.plan.count


class Occurrence:
    """One execution of all steps of a job."""

    __slots__ = ('job', 'number', 'due_unix_s', 'steps', 'declared_work')

    def __init__(self, *, job, number, due_unix_s):
        self.job = job
        self.number = number
        # Unix time at which it is due.
        self.due_unix_s = due_unix_s
        self.steps = [
            Step(occurrence=self, number=i, plan=plan)
            for i, plan in enumerate(job.plan.steps)
        ]
        # occurrence_estimates.DeclaredWork as of its last estimate.
        self.declared_work = None

    @property
    def done(self):
        """Whether all its steps are done."""
        return all(step.done for step in self.steps)


class Job:
    """An accepted job.

    :param submission: :class:`plans.Submission`.
    :param progress: :class:`plans.JobProgress`.
    :param layout: :class:`arbutusrock.engine.state.progress_layout.Layout` of
        its rows; None while its progress is one row.
    :param inherited: whether it was accepted before this node became the
        owner.
    :param read_at_s: when this owner read it; 0 for an inherited job.
    :param stored_version: version of the store at which it was stored.
    """

    __slots__ = (
        'job_id',
        'submission',
        'progress',
        'layout',
        'inherited',
        'read_at_s',
        'stored_version',
        'occurrences',
        'next_occurrence',
        'started',
        'run_ordered',
        'excess',
        'accepted_unix_s',
    )

    def __init__(
        self,
        *,
        job_id,
        submission,
        progress,
        inherited,
        layout=None,
        read_at_s=0.0,
        stored_version=0,
    ):
        self.job_id = job_id
        self.submission = submission
        self.progress = progress
        self.layout = layout
        self.inherited = inherited
        self.read_at_s = read_at_s
        self.stored_version = stored_version
        # Occurrences that have started and are not finished, by number.
        self.occurrences = {}
        self.next_occurrence = 0
        # Whether a worker has confirmed a run of it.
        self.started = False
        # Whether a run of it was ever ordered.
        self.run_ordered = False
        # Submitted above the rate per second that the account may use.
        self.excess = False
        self.accepted_unix_s = submission.accepted_ms / 1000

    @property
    def plan(self):
        """The :class:`plans.JobPlan` that was submitted."""
        return self.submission.plan

    @property
    def status(self):
        """State of the job, a constant of :class:`plans.JobStatus`."""
        return self.progress.status

    @property
    def ended(self):
        """Whether it is completed, failed or cancelled; no run starts."""
        return self.progress.status in plans.JobStatus.ENDED

    @property
    def task_count(self):
        """Number of tasks of one occurrence."""
        return sum(step.count for step in self.plan.steps)

    def iterate_tasks(self):
        """Yield all tasks of the occurrences in progress."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                yield from step.tasks


# Kinds of completion after which the task needs another run, and which do
# not count as a failed attempt.
RERUN_KINDS = frozenset(
    {
        platform_messages.CompletionKind.STOPPED,
        platform_messages.CompletionKind.LAPSED,
        platform_messages.CompletionKind.BROKEN,
        platform_messages.CompletionKind.ALONE,
    }
)
