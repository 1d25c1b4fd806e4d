"""Estimates of an occurrence's work, from declared and learned durations."""

__all__ = [
    'OccurrenceEstimate',
    'compute_critical_path_s',
    'compute_objective_s',
    'estimate_occurrence',
]


class OccurrenceEstimate:
    """Estimate of one occurrence of a job.

    :param long_running: whether some of its tasks run until the job is
        cancelled.
    :param work_core_s: declared work, corrected by the learned ratio of
        observed to declared durations (core-seconds).
    :param work_left_core_s: the part of it that is not done.
    :param critical_path_left_s: critical path through the steps that are not
        done.
    :param objective_s: time from acceptance in which it should be completed.
    """

    __slots__ = (
        'long_running',
        'work_core_s',
        'work_left_core_s',
        'critical_path_left_s',
        'objective_s',
    )

    def __init__(
        self,
        *,
        long_running,
        work_core_s,
        work_left_core_s,
        critical_path_left_s,
        objective_s,
    ):
        self.long_running = long_running
        self.work_core_s = work_core_s
        self.work_left_core_s = work_left_core_s
        self.critical_path_left_s = critical_path_left_s
        self.objective_s = objective_s


class DeclaredWork:
    """What is left of an occurrence by its declared durations alone.

    It is kept with the occurrence until more of its tasks are done, as the
    owner estimates each open job several times a second.

    :param occurrence: :class:`arbutusrock.engine.jobs.job_state.Occurrence`.
    :param done_counts: numbers of tasks done, by step.
    """

    __slots__ = (
        'done_counts',
        'long_running',
        'work_core_s',
        'work_left_core_s',
        'critical_path_s',
        'critical_path_left_s',
    )

    def __init__(self, *, occurrence, done_counts):
        plan = occurrence.job.plan
        self.done_counts = done_counts
        self.long_running = any(
            step.plan.long_running for step in occurrence.steps
        )
        self.work_core_s, self.work_left_core_s = 0.0, 0.0
        for step in occurrence.steps:
            task_core_s = step.plan.demand.cpu * step.plan.estimate_ms / 1e6
            self.work_core_s += task_core_s * step.plan.count
            self.work_left_core_s += task_core_s * (
                step.plan.count - step.done_count
            )
        self.critical_path_s = compute_critical_path_s(plan)
        self.critical_path_left_s = compute_critical_path_s(
            plan,
            done={step.number for step in occurrence.steps if step.done},
        )


def estimate_occurrence(estimator, occurrence):
    """Return the :class:`OccurrenceEstimate` of an occurrence.

    :param estimator:
        :class:`arbutusrock.scheduling.estimates.DurationEstimator`.
    """
    job = occurrence.job
    submission = job.submission
    ratio = estimator.get_duration_ratio(submission.queue, job.job_id)
    done_counts = [step.done_count for step in occurrence.steps]
    declared = occurrence.declared_work
    if declared is None or declared.done_counts != done_counts:
        declared = occurrence.declared_work = DeclaredWork(
            occurrence=occurrence, done_counts=done_counts
        )
    return OccurrenceEstimate(
        long_running=declared.long_running,
        work_core_s=ratio * declared.work_core_s,
        work_left_core_s=ratio * declared.work_left_core_s,
        critical_path_left_s=ratio * declared.critical_path_left_s,
        objective_s=_compute_objective_s(
            submission, ratio * declared.critical_path_s
        ),
    )


def compute_critical_path_s(plan, *, done=frozenset()):
    """Return the length of the critical path by declared durations.

    :param plan: :class:`arbutusrock.engine.jobs.plans.JobPlan`.
    :param done: numbers of steps that count as zero.
    :returns: seconds.
    """
    ends = []
    for number, step in enumerate(plan.steps):
        begin_s = max((ends[earlier] for earlier in step.after), default=0)
        length_s = 0.0 if number in done else step.estimate_ms / 1000
        ends.append(begin_s + length_s)
    return max(ends)


def compute_objective_s(submission, ratio):
    """Return the time in which a job should be completed.

    :param ratio: ratio of observed to declared durations.
    :returns: seconds from its acceptance.
    """
    return _compute_objective_s(
        submission, compute_critical_path_s(submission.plan) * ratio
    )


def _compute_objective_s(submission, critical_path_s):
    return (
        submission.stretch * critical_path_s + submission.objective_ms / 1000
    )
