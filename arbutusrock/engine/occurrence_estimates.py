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


def estimate_occurrence(estimator, occurrence):
    """Return the :class:`OccurrenceEstimate` of an occurrence.

    :param estimator:
        :class:`arbutusrock.scheduling.estimates.DurationEstimator`.
    """
    job = occurrence.job
    submission = job.submission
    ratio = estimator.get_duration_ratio(submission.queue, job.job_id)
    work_core_s, work_left_core_s = 0.0, 0.0
    for step in occurrence.steps:
        plan = step.plan
        task_core_s = plan.demand.cpu * plan.estimate_ms * ratio / 1e6
        work_core_s += task_core_s * plan.count
        work_left_core_s += task_core_s * (plan.count - step.done_count)
    return OccurrenceEstimate(
        long_running=any(step.plan.long_running for step in occurrence.steps),
        work_core_s=work_core_s,
        work_left_core_s=work_left_core_s,
        critical_path_left_s=ratio
        * compute_critical_path_s(
            job.plan,
            done={step.number for step in occurrence.steps if step.done},
        ),
        objective_s=compute_objective_s(submission, ratio),
    )


def compute_critical_path_s(plan, *, done=frozenset()):
    """Return the length of the critical path by declared durations.

    :param plan: :class:`arbutusrock.engine.plans.JobPlan`.
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
    critical_path_s = compute_critical_path_s(submission.plan) * ratio
    return (
        submission.stretch * critical_path_s + submission.objective_ms / 1000
    )
