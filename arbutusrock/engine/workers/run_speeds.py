"""Feeds the estimates of the speeds of VMs from what workers report."""

import statistics

from arbutusrock.engine.jobs import job_state
from arbutusrock import logs
from arbutusrock.scheduling import stragglers

__all__ = [
    'compute_expected_s',
    'find_sibling_durations',
    'is_comparable',
    'record_end',
    'record_progress',
    'update',
]

# A run is observed from this time after its start was confirmed, as starting
# and restoring a checkpoint take some.
SETTLING_S = 0.3
# VMs that one pass logs at most, slow and sound ones each.
MAX_LOGGED_VMS = 5
LOG = logs.get_log('speeds')


def is_comparable(run):
    """Return whether the progress of a run depends on its VM and task alone.

    That of gangs depends on others, that of filling tasks on their pace, and
    serving tasks have none.
    """
    if run.state is not job_state.RunState.RUNNING or run.task is None:
        return False
    plan = run.task.step.plan
    return not (plan.long_running or plan.gang)


def compute_expected_s(term, step, sibling_durations_s=()):
    """Return the duration that is expected of a task (s).

    It is the median of its siblings or, without them, what was declared,
    corrected by what was learned.
    """
    if len(sibling_durations_s) >= stragglers.MIN_SIBLINGS:
        return statistics.median_high(sibling_durations_s)
    ratio = term.duration_estimator.get_duration_ratio(
        step.job.submission.queue, step.job.job_id
    )
    return step.plan.estimate_ms / 1000 * ratio


def find_sibling_durations(run):
    """Return durations of the other tasks of a run's step on other VMs.

    The VM of the run itself may be what is slow. The duration of a task that
    is still running is extrapolated from its progress, if it is known when
    it started, and if it did not resume.
    """
    durations_s = []
    for task in run.task.step.tasks:
        if (
            task.run_duration_s is not None
            and task.completed_on_vm != run.worker.vm
        ):
            durations_s.append(task.run_duration_s)
        for other in task.runs:
            worker = other.worker
            if (
                worker.vm == run.worker.vm
                or other.started_at_s is None
                or other.percent <= 0
                or task.checkpoint
            ):
                continue
            age_s = worker.last_reply_at_s - other.started_at_s
            durations_s.append(age_s * 100 / other.percent)
    return durations_s


def _describe(run):
    """Return what identifies a run, its VM and its step."""
    step = run.task.step
    return {
        'vm': run.worker.vm,
        'run': (run.name, run.number),
        'step': (step.job.job_id, step.key),
    }


def record_progress(term, run, expected_s, now_s):
    """Record how far a run was at the last report of its worker."""
    worker = run.worker
    if (
        worker.report_clock_ms is None
        or run.task.step.plan.fills
        or worker.last_reply_at_s < run.confirmed_at_s + SETTLING_S
    ):
        return
    term.vm_speeds.record_progress(
        done=run.percent / 100,
        expected_s=expected_s,
        clock_s=worker.report_clock_ms / 1000,
        now_s=now_s,
        **_describe(run),
    )


def record_end(term, run, now_s):
    """Record that a run has ended as done.

    :param run: None for one that this owner does not know.
    """
    if not term.settings.estimates_vm_speeds:
        return
    if run is None or not is_comparable(run):
        return
    if run.worker.report_clock_ms is None:
        return
    term.vm_speeds.record_end(
        expected_s=compute_expected_s(
            term, run.task.step, find_sibling_durations(run)
        ),
        clock_s=run.worker.report_clock_ms / 1000,
        now_s=now_s,
        **_describe(run),
    )


def update(term, runs, now_s):
    """Bring the estimates up to date, and log which VMs have changed.

    :param runs: runs that go on.
    """
    slow, sound = term.vm_speeds.update(
        {(run.name, run.number) for run in runs}, now_s
    )
    for vm in sorted(slow)[:MAX_LOGGED_VMS]:
        estimate = term.vm_speeds.get(vm)
        LOG.info(
            'a VM is judged slow',
            vm=vm,
            speed=round(estimate.speed, 2),
            sureness=round(estimate.sureness, 2),
            slow_vms=len(term.vm_speeds.slow_vms),
        )
    for vm in sorted(sound)[:MAX_LOGGED_VMS]:
        LOG.info(
            'a VM is sound again',
            vm=vm,
            slow_vms=len(term.vm_speeds.slow_vms),
        )
    if slow:
        # Work that avoids them may fit elsewhere.
        term.request_dispatch()
