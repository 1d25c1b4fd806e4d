"""Which waiting job goes first.

Load: a queue in its burst brings up to twice what its pool holds for some
seconds. A job that ends in time is worth many times a late one, so those
that can still be in time go first, and among them those that earn most for
the work that is left. Late jobs fill what is left over; they are never
dropped.
"""

import enum

__all__ = ['JobSnapshot', 'Tier', 'rank_job']

# Past this multiple of its objective a job earns nothing any more.
MAX_LATE_FACTOR = 3.0
# Part of a job's value that does not depend on its size.
FIXED_VALUE_FRACTION = 0.3


class Tier(enum.IntEnum):
    """Order of groups of jobs; lower goes first."""

    SERVING = 0
    IN_TIME = 1
    LATE = 2
    HOPELESS = 3
    EXCESS = 4


class JobSnapshot:
    """What the order of a job depends on.

    :param serving: its tasks run until it is cancelled.
    :param excess: beyond what its account may send in a second.
    :param urgency: 0 is the most urgent.
    :param age_s: time since it was accepted.
    :param objective_s: time in which it should be completed.
    :param critical_path_left_s: longest chain of work that is left.
    :param work_core_s: work of the whole job (core-seconds).
    :param work_left_core_s: work that is left (core-seconds).
    :param mean_work_core_s: mean work of the queue's jobs (core-seconds).
    """

    __slots__ = (
        'serving',
        'excess',
        'urgency',
        'age_s',
        'objective_s',
        'critical_path_left_s',
        'work_core_s',
        'work_left_core_s',
        'mean_work_core_s',
    )

    def __init__(
        self,
        *,
        serving,
        excess,
        urgency,
        age_s,
        objective_s,
        critical_path_left_s,
        work_core_s,
        work_left_core_s,
        mean_work_core_s,
    ):
        self.serving = serving
        self.excess = excess
        self.urgency = urgency
        self.age_s = age_s
        self.objective_s = objective_s
        self.critical_path_left_s = critical_path_left_s
        self.work_core_s = work_core_s
        self.work_left_core_s = work_left_core_s
        self.mean_work_core_s = mean_work_core_s


def rank_job(job):
    """Return a sort key; the smallest goes first.

    :param job: :class:`JobSnapshot`.

    >>> def view(age_s, work_core_s):
    ...     return JobSnapshot(
    ...         serving=False, excess=False, urgency=0, age_s=age_s,
    ...         objective_s=2, critical_path_left_s=1,
    ...         work_core_s=work_core_s, work_left_core_s=work_core_s,
    ...         mean_work_core_s=10)
    >>> rank_job(view(0, 5)) < rank_job(view(0, 20)) < rank_job(view(1.5, 5))
    True
    """
    value = (
        FIXED_VALUE_FRACTION
        + (1 - FIXED_VALUE_FRACTION) * job.work_core_s / job.mean_work_core_s
    )
    density = value / max(job.work_left_core_s, 1e-3)
    return (find_tier(job), job.urgency, -density)


def find_tier(job):
    """Return the :class:`Tier` of a job."""
    if job.serving:
        return Tier.SERVING
    if job.excess:
        return Tier.EXCESS
    end_s = job.age_s + job.critical_path_left_s
    if end_s <= job.objective_s:
        return Tier.IN_TIME
    if end_s <= MAX_LATE_FACTOR * job.objective_s:
        return Tier.LATE
    return Tier.HOPELESS
