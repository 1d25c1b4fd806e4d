"""Finds runs that are too slow, and starts an extra run or moves them."""

import asyncio

from arbutusrock.engine import job_state
from arbutusrock import logs
from arbutusrock.scheduling import stragglers
from arbutusrock.utils import clocks

__all__ = ['StragglerController']

PASS_INTERVAL_S = 0.25
LOG = logs.get_log('stragglers')


class StragglerController:
    """Checks the runs of workers in service for slow and stalled ones.

    Those of an evacuated data centre count, as their runs go on.

    Serving tasks and gangs are left alone.

    :param term: :class:`arbutusrock.engine.term.Term`.
    :param run_controller: stops runs.
    :param dispatcher: starts extra runs, and knows the free capacity.
    """

    def __init__(self, *, term, run_controller, dispatcher):
        self.term = term
        self.run_controller = run_controller
        self.dispatcher = dispatcher

    async def run(self):
        """Check all runs in each interval until the ownership ends."""
        while True:
            await asyncio.sleep(PASS_INTERVAL_S)
            if self.term.holds_orders:
                continue
            now_s = clocks.now_s()
            for worker in list(self.term.fleet.workers.values()):
                if worker.in_service and not worker.cordon_reason:
                    self._check_worker(worker, now_s)

    def _check_worker(self, worker, now_s):
        for run in list(worker.runs.values()):
            if run.state is not job_state.RunState.RUNNING or run.task is None:
                continue
            plan = run.task.step.plan
            if plan.long_running or plan.gang:
                continue
            view = self._create_view(run, worker)
            remedy = stragglers.choose_remedy(view)
            if remedy is not stragglers.Remedy.NONE:
                self._apply_remedy(run, view, remedy, now_s)

    @staticmethod
    def _create_view(run, worker):
        plan = run.task.step.plan
        return stragglers.RunView(
            age_s=worker.last_reply_at_s - run.confirmed_at_s,
            percent=run.percent,
            stalled_s=worker.last_reply_at_s - run.last_progress_at_s,
            sibling_durations_s=find_sibling_durations(run),
            speculative=plan.speculative,
            checkpointing=plan.checkpointing,
        )

    def _apply_remedy(self, run, view, remedy, now_s):
        task = run.task
        if len(task.runs) > 1:
            return
        stalled = stragglers.is_stalled(view)
        if stalled:
            self.term.vm_health.record_stall(run.worker.vm, now_s)
        task.deprioritized_vms.add(run.worker.vm)
        if remedy is stragglers.Remedy.COPY:
            started = self.dispatcher.start_extra_run(task)
        else:
            started = self.dispatcher.has_free_capacity(task)
            if started:
                self.run_controller.stop_run(run, 'it is too slow')
        if started:
            LOG.info(
                'a run is too slow',
                task=run.name,
                run=run.number,
                worker=run.worker.worker_id,
                stalled=stalled,
                remedy=remedy.value,
                percent=run.percent,
                age_s=round(view.age_s, 2),
                siblings=len(view.sibling_durations_s),
            )


def find_sibling_durations(run):
    """Return durations of the other tasks of a run's step on other VMs.

    The VM of the run itself may be what is slow. The duration of a task that
    is still running is extrapolated from its progress, if it is known when
    it started.
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
            ):
                continue
            age_s = worker.last_reply_at_s - other.started_at_s
            durations_s.append(age_s * 100 / other.percent)
    return durations_s
