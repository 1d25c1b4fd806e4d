"""When runs are expected to have ended."""

from arbutusrock.engine.jobs import job_state

__all__ = ['estimate_end_s']

# A run that is being stopped has ended after this time.
STOP_S = 0.3
# Margin on ends that are extrapolated from progress.
PROGRESS_MARGIN = 1.1
# A run whose end is overdue is expected to end after this time.
OVERDUE_S = 0.1


def estimate_end_s(estimator, run, now_s, fraction):
    """Return when a run is expected to have ended; None if it may last.

    :param estimator:
        :class:`arbutusrock.scheduling.estimates.DurationEstimator`.
    :param fraction: quantile of its duration.
    """
    if run.state is job_state.RunState.STOPPING:
        return now_s + STOP_S if run.task is not None else None
    if run.task is None or run.task.step.plan.long_running:
        return None
    began_at_s = run.started_at_s or run.confirmed_at_s or run.ordered_at_s
    if run.percent > 0 and run.started_at_s and not run.task.checkpoint:
        age_s = run.worker.last_reply_at_s - began_at_s
        end_s = began_at_s + age_s * PROGRESS_MARGIN * 100 / run.percent
    else:
        step = run.task.step
        end_s = began_at_s + estimator.get_duration_quantile(
            step.job.submission.queue,
            step.job.job_id,
            step.plan.estimate_ms / 1000,
            fraction,
            survived_s=now_s - began_at_s,
        )
    return max(end_s, now_s + OVERDUE_S)
