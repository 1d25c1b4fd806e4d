"""How long large tasks and gangs wait for their start."""

from arbutusrock import logs
from arbutusrock.scheduling import reservations

__all__ = ['record_wait']

LOG = logs.get_log('lookahead')


def record_wait(metrics, task, worker, now_s):
    """Record how long a large task or one of a gang waited.

    One line is logged for a step, when all its tasks have started.
    """
    step = task.step
    plan = step.plan
    if (
        task.starts > 1
        or plan.long_running
        or not (
            plan.gang or reservations.is_large(plan.demand, worker.capacity)
        )
    ):
        return
    waits_s = step.start_waits_s
    waits_s.append(now_s - task.queued_at_s)
    metrics.observe(
        'large_task_wait_seconds',
        waits_s[-1],
        (('gang', str(plan.gang).lower()),),
    )
    if len(waits_s) == plan.count:
        LOG.info(
            'a step of large tasks started',
            task=task.name,
            queue=step.job.submission.queue,
            account=step.job.submission.account,
            tasks=plan.count,
            gang=plan.gang,
            millicores=plan.demand.cpu,
            memory_mb=plan.demand.memory_mb,
            mean_wait_s=round(sum(waits_s) / plan.count, 3),
            max_wait_s=round(max(waits_s), 3),
        )
