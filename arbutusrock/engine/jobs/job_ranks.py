"""Ranks of waiting jobs, from the estimates of the owner."""

from arbutusrock.engine.jobs import occurrence_estimates
from arbutusrock.scheduling import ordering
from arbutusrock.utils import clocks

__all__ = ['JobRanker']

# Ranks of jobs are cached for this time.
RANK_TTL_S = 0.2


class JobRanker:
    """Ranks waiting steps by their jobs, with a short-lived cache.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    """

    __slots__ = ('term', '_ranks', '_cleared_at_s')

    def __init__(self, *, term):
        self.term = term
        # Sort key by job id.
        self._ranks = {}
        self._cleared_at_s = 0.0

    def begin_pass(self, now_s):
        """Drop ranks that are too old for a pass at ``now_s``."""
        if now_s - self._cleared_at_s > RANK_TTL_S:
            self._ranks.clear()
            self._cleared_at_s = now_s

    def rank(self, step):
        """Return the sort key of a step; the smallest goes first."""
        job = step.job
        rank = self._ranks.get(job.job_id)
        if rank is None:
            rank = ordering.rank_job(self._create_job_snapshot(job, step))
            self._ranks[job.job_id] = rank
        return rank

    def _create_job_snapshot(self, job, step):
        submission, estimator = job.submission, self.term.duration_estimator
        queue = self.term.configuration.current.queues.get(submission.queue)
        estimate = occurrence_estimates.estimate_occurrence(
            estimator, step.occurrence
        )
        return ordering.JobSnapshot(
            serving=step.plan.long_running and not step.plan.fills,
            excess=job.excess,
            urgency=queue.urgency if queue else 0,
            age_s=clocks.wall_time_s() - step.occurrence.due_unix_s,
            objective_s=estimate.objective_s,
            critical_path_left_s=estimate.critical_path_left_s,
            work_core_s=estimate.work_core_s,
            work_left_core_s=estimate.work_left_core_s,
            mean_work_core_s=estimator.get_mean_work(submission.queue),
        )
