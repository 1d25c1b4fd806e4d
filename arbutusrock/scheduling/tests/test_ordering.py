"""The order of the jobs of an overloaded pool."""

import heapq
import random

from arbutusrock.scheduling import ordering

SEED = 20261204
CORES = 8


def create_snapshot(job, now_s, mean_work_core_s):
    arrived_s, work = job
    return ordering.JobSnapshot(
        serving=False,
        excess=False,
        urgency=0,
        age_s=now_s - arrived_s,
        objective_s=0.6 + 1.6 * work,
        critical_path_left_s=work,
        work_core_s=work,
        work_left_core_s=work,
        mean_work_core_s=mean_work_core_s,
    )


def replay(choose):
    """Run a burst of twice the capacity; return the value of the jobs done."""
    draw = random.Random(SEED)
    jobs = []
    for second in range(12):
        rate = 24 if 2 <= second < 8 else 2
        jobs += [
            (second + draw.random(), draw.uniform(0.2, 1.2))
            for _ in range(rate)
        ]
    jobs.sort()
    mean_work = sum(work for _, work in jobs) / len(jobs)
    free_at_s, now_s, waiting, earned = [0.0] * CORES, 0.0, [], 0.0
    while jobs or waiting:
        now_s = max(now_s, heapq.heappop(free_at_s))
        while jobs and jobs[0][0] <= now_s:
            waiting.append(jobs.pop(0))
        if not waiting:
            now_s = jobs[0][0]
            heapq.heappush(free_at_s, now_s)
            continue
        job = choose(waiting, now_s, mean_work)
        waiting.remove(job)
        end_s = now_s + job[1]
        heapq.heappush(free_at_s, end_s)
        value = ordering.FIXED_VALUE_FRACTION + 0.7 * job[1] / mean_work
        late = end_s - job[0] > 0.6 + 1.6 * job[1]
        earned += value * (0.07 if late else 1.0)
    return earned


def test_rank_job_earns_more_than_first_come_first_served():
    def by_rank(waiting, now_s, mean_work):
        return min(
            waiting,
            key=lambda job: ordering.rank_job(
                create_snapshot(job, now_s, mean_work)
            ),
        )

    first_come_value = replay(lambda waiting, _now, _mean_work: waiting[0])
    assert replay(by_rank) > 1.3 * first_come_value


def test_rank_job_orders_tiers():
    base = {
        'urgency': 0,
        'objective_s': 2.0,
        'critical_path_left_s': 1.0,
        'work_core_s': 1.0,
        'work_left_core_s': 1.0,
        'mean_work_core_s': 1.0,
    }
    snapshots = [
        ordering.JobSnapshot(serving=True, excess=False, age_s=9, **base),
        ordering.JobSnapshot(serving=False, excess=False, age_s=0, **base),
        ordering.JobSnapshot(serving=False, excess=False, age_s=2, **base),
        ordering.JobSnapshot(serving=False, excess=False, age_s=9, **base),
        ordering.JobSnapshot(serving=False, excess=True, age_s=0, **base),
    ]
    ranks = [ordering.rank_job(snapshot) for snapshot in snapshots]
    assert ranks == sorted(ranks)
    assert [rank[0] for rank in ranks] == list(ordering.Tier)
