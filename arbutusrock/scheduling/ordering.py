"""The order in which waiting jobs are started.

Load: for some seconds a bursting queue receives more than its pool can run
until further VMs have arrived. A job that is completed in time is worth many
times a late one, so jobs that can still be in time go before late ones, which
use the capacity that is left over; none is dropped. Jobs that can be in time
start in the order of their arrival. By value per remaining work a stream of
small jobs keeps the large ones waiting until they are late; by slack, which
depends on declared durations, all jobs of an overload end a little late.
"""

import enum

__all__ = ['JobSnapshot', 'Tier', 'rank_job']

# A job completed after this multiple of its objective is worth nothing.
MAX_LATE_FACTOR = 3.0
# Part of the value of a job that does not depend on its work.
FIXED_VALUE_FRACTION = 0.3


class Tier(enum.IntEnum):
    """Priority class of a job; lower values go first.

    IN_TIME jobs can still be completed within their objective, LATE jobs
    within :data:`MAX_LATE_FACTOR` times the objective, HOPELESS jobs only
    later. EXCESS jobs exceed the rate of their account.
    """

    SERVING = 0
    IN_TIME = 1
    LATE = 2
    HOPELESS = 3
    EXCESS = 4


class JobSnapshot:
    """The properties of a job that determine its rank.

    :param serving: its tasks run until the job is cancelled.
    :param excess: it exceeds the number of jobs per second of its account.
    :param urgency: 0 is the most urgent.
    :param age_s: time since the job was accepted.
    :param objective_s: time within which it should be completed, counted from
        its acceptance.
    :param critical_path_left_s: remaining time on the critical path.
    :param work_core_s: work of the whole job (core-seconds).
    :param work_left_core_s: remaining work (core-seconds).
    :param mean_work_core_s: mean work of the jobs of its queue
        (core-seconds).
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
    """Return a sort key: tier, urgency, then age or value.

    The job with the smallest key goes first. Jobs that can be in time are
    ordered by age, the others by value per remaining work.

    :param job: :class:`JobSnapshot`.

    >>> def view(age_s, work_core_s):
    ...     return JobSnapshot(
    ...         serving=False, excess=False, urgency=0, age_s=age_s,
    ...         objective_s=2, critical_path_left_s=1,
    ...         work_core_s=work_core_s, work_left_core_s=work_core_s,
    ...         mean_work_core_s=10)
    >>> rank_job(view(0.5, 20)) < rank_job(view(0, 5)) < rank_job(view(1.5, 5))
    True
    """
    tier = find_tier(job)
    if tier is Tier.IN_TIME:
        return (tier, job.urgency, -job.age_s)
    value = (
        FIXED_VALUE_FRACTION
        + (1 - FIXED_VALUE_FRACTION) * job.work_core_s / job.mean_work_core_s
    )
    density = value / max(job.work_left_core_s, 1e-3)
    return (tier, job.urgency, -density)


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
