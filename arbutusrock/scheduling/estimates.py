"""Task durations, learned from completed tasks.

Load: declared durations are wrong by half, with a different error for each
job. The ratio of observed to declared duration is therefore kept by queue,
and also by job as soon as some of its tasks have completed.
"""

import math

from arbutusrock.scheduling import durations
from arbutusrock.scheduling import knowledge_ageing

__all__ = ['DurationEstimator']

# Weight of the newest value in the exponentially weighted means of a queue.
EWMA_WEIGHT = 0.05
# Bounds on an observed ratio: one outlier must not reverse the job order.
MIN_RATIO = 0.2
MAX_RATIO = 5.0
# Age at which what an earlier owner learned of a queue counts by half.
RATIO_HALF_LIFE_S = 120.0
# Mean work of a job while no job of the queue is known (core-seconds).
DEFAULT_WORK_CORE_S = 10.0


class DurationEstimator:
    """Learns task durations and the mean work of jobs."""

    __slots__ = (
        '_durations_by_queue',
        '_ratios_by_job',
        '_work_by_queue',
        '_spreads_by_queue',
    )

    def __init__(self):
        # By queue, weighted means of (declared, observed) durations.
        self._durations_by_queue = {}
        # By job, (count, sum) of observed over declared duration.
        self._ratios_by_job = {}
        # By queue, weighted mean of the work of a job (core-seconds).
        self._work_by_queue = {}
        # By queue, distribution of observed over expected durations.
        self._spreads_by_queue = {}

    def record_task(self, queue, job_id, declared_s, observed_s):
        """Learn from a task that completed successfully."""
        if declared_s <= 0:
            return
        expected_s = declared_s * self.get_duration_ratio(queue, job_id)
        self._get_spread(queue).record(observed_s / expected_s)
        ratio = observed_s / declared_s
        ratio = min(MAX_RATIO, max(MIN_RATIO, ratio))
        observed_s = ratio * declared_s
        declared, observed = self._durations_by_queue.get(
            queue, (declared_s, observed_s)
        )
        self._durations_by_queue[queue] = (
            declared + EWMA_WEIGHT * (declared_s - declared),
            observed + EWMA_WEIGHT * (observed_s - observed),
        )
        count, total = self._ratios_by_job.get(job_id, (0, 0.0))
        self._ratios_by_job[job_id] = (count + 1, total + ratio)

    def get_duration_ratio(self, queue, job_id):
        """Return the expected ratio of observed to declared duration.

        For a queue it is the ratio of the mean durations. The mean of the
        ratios would be too high, because declared durations are wrong in both
        directions.
        """
        declared, observed = self._durations_by_queue.get(queue, (1.0, 1.0))
        queue_ratio = observed / declared
        count, total = self._ratios_by_job.get(job_id, (0, 0.0))
        # The ratio of the queue counts as one observation of the job.
        return (total + queue_ratio) / (count + 1)

    def _get_spread(self, queue):
        spread = self._spreads_by_queue.get(queue)
        if spread is None:
            spread = durations.RatioDistribution()
            self._spreads_by_queue[queue] = spread
        return spread

    def get_duration_quantile(
        self, queue, job_id, declared_s, fraction, *, survived_s=0.0
    ):
        """Return the time that a fraction of such tasks do not exceed.

        :param declared_s: declared duration of the task.
        :param survived_s: how long a run of it has lasted already.
        :returns: seconds from the start of a run.
        """
        expected_s = max(
            declared_s * self.get_duration_ratio(queue, job_id), 1e-3
        )
        return expected_s * self._get_spread(queue).get_quantile(
            fraction, beyond=survived_s / expected_s
        )

    def record_work(self, queue, work):
        """Learn from the declared work of an accepted job (core-seconds)."""
        mean_work = self._work_by_queue.get(queue, work)
        self._work_by_queue[queue] = mean_work + EWMA_WEIGHT * (
            work - mean_work
        )

    def get_mean_work(self, queue):
        """Return the mean work of the jobs of a queue (core-seconds)."""
        return max(self._work_by_queue.get(queue, DEFAULT_WORK_CORE_S), 1e-3)

    def export(self):
        """Return what was learned of the queues, for the next owner.

        :returns: by queue, mean ``(declared, observed)`` durations (s).
        """
        return {
            queue: (round(declared, 3), round(observed, 3))
            for queue, (declared, observed) in self._durations_by_queue.items()
        }

    def restore(self, data, age_s):
        """Restore what an earlier owner has exported.

        The older it is, the closer to 1 are the ratios taken. Queues that are
        known already, and values that cannot be, are left out.

        :param data: as returned by :meth:`export`.
        :param age_s: time since it was exported.
        """
        weight = knowledge_ageing.weigh_by_age(age_s, RATIO_HALF_LIFE_S)
        for queue, (declared_s, observed_s) in data.items():
            valid = math.isfinite(declared_s) and math.isfinite(observed_s)
            if not valid or declared_s <= 0 or observed_s <= 0:
                continue
            ratio = min(MAX_RATIO, max(MIN_RATIO, observed_s / declared_s))
            ratio = 1 + (ratio - 1) * weight
            self._durations_by_queue.setdefault(
                queue, (declared_s, ratio * declared_s)
            )

    def forget_job(self, job_id):
        """Drop what was learned from a job that has ended."""
        self._ratios_by_job.pop(job_id, None)
