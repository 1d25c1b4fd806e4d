"""How long tasks take, learned from those that ended.

Load: declared durations are off by half, each job in its own way. The ratio
of observed to declared time is kept by queue, and by job where some of its
tasks have ended.
"""

__all__ = ['DurationEstimator']

# Weight of the newest task in the running mean of a queue.
EWMA_WEIGHT = 0.05
# Bounds of a learned ratio: one odd task must not turn the order around.
MIN_RATIO = 0.2
MAX_RATIO = 5.0
# Work of a job before any is known (core-seconds).
DEFAULT_WORK_CORE_S = 10.0


class DurationEstimator:
    """Observed durations and sizes."""

    __slots__ = ('_durations_by_queue', '_ratios_by_job', '_work_by_queue')

    def __init__(self):
        # Running means of (declared, observed) durations.
        self._durations_by_queue = {}
        self._ratios_by_job = {}
        self._work_by_queue = {}

    def record_task(self, queue, job_id, declared_s, observed_s):
        """Learn from a task that ended well."""
        if declared_s <= 0:
            return
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
        """Return observed over declared duration.

        That of a queue is the ratio of the means: the mean of the ratios is
        above it when declared durations are off both ways.
        """
        declared, observed = self._durations_by_queue.get(queue, (1.0, 1.0))
        usual = observed / declared
        count, total = self._ratios_by_job.get(job_id, (0, 0.0))
        # One prior observation of the queue's usual ratio.
        return (total + usual) / (count + 1)

    def record_work(self, queue, work):
        """Learn the declared work of an accepted job (core-seconds)."""
        before = self._work_by_queue.get(queue, work)
        self._work_by_queue[queue] = before + EWMA_WEIGHT * (work - before)

    def get_mean_work(self, queue):
        """Return the mean work of the queue's jobs (core-seconds)."""
        return max(self._work_by_queue.get(queue, DEFAULT_WORK_CORE_S), 1e-3)

    def forget_job(self, job_id):
        """Drop what was learned of an ended job."""
        self._ratios_by_job.pop(job_id, None)
