"""Finds runs that are too slow, and starts an extra run or moves them."""

import asyncio

from arbutusrock.engine.workers import run_speeds
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

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param run_controller: stops runs.
    :param dispatcher: starts extra runs, and knows the free capacity.
    """

    def __init__(self, *, term, run_controller, dispatcher):
        self.term = term
        self.run_controller = run_controller
        self.dispatcher = dispatcher

    async def run(self):
        """Check all runs in each interval until the ownership ends."""
        took_s = 0.0
        while True:
            await asyncio.sleep(
                self.term.load.compute_pause_s(PASS_INTERVAL_S, took_s)
            )
            if self.term.holds_orders:
                continue
            took_s = self.term.load.run_part(self.check, clocks.now_s())

    def check(self, now_s):
        """Check all runs once, after the speeds of their VMs."""
        min_age_s = 0.0
        if not self.term.settings.estimates_vm_speeds:
            # All VMs count as sound, so that younger runs are not judged.
            min_age_s = stragglers.MIN_AGE_S
        views = [
            (run, self._create_view(run, worker))
            for worker in self.term.fleet.workers.values()
            if worker.in_service
            for run in worker.runs.values()
            if run_speeds.is_comparable(run)
            and worker.last_reply_at_s - run.confirmed_at_s >= min_age_s
        ]
        if self.term.settings.estimates_vm_speeds:
            for run, view in views:
                run_speeds.record_progress(
                    self.term, run, view.expected_s, now_s
                )
            run_speeds.update(self.term, [run for run, _ in views], now_s)
        self._exclude_stalled_vms(views, now_s)
        # What runs that are stopped in this pass will take elsewhere.
        taken = {}
        for run, view in views:
            if run.worker.cordon_reason or not run_speeds.is_comparable(run):
                continue
            estimate = self.term.vm_speeds.get(run.worker.vm)
            view.vm_speed = estimate.speed
            view.vm_sound = estimate.known_sound
            remedy = stragglers.choose_remedy(view)
            if remedy is not stragglers.Remedy.NONE:
                self._apply_remedy(run, view, remedy, taken)

    def _create_view(self, run, worker):
        plan = run.task.step.plan
        durations_s = run_speeds.find_sibling_durations(run)
        expected_s = 0.0
        if self.term.settings.estimates_vm_speeds:
            expected_s = run_speeds.compute_expected_s(
                self.term, run.task.step, durations_s
            )
        return stragglers.RunView(
            age_s=worker.last_reply_at_s - run.confirmed_at_s,
            percent=run.percent,
            stalled_s=worker.last_reply_at_s - run.last_progress_at_s,
            estimate_s=plan.estimate_ms / 1000,
            rise_s=run.rise_s,
            starts=run.task.starts,
            sibling_durations_s=durations_s,
            speculative=plan.speculative,
            checkpointing=plan.checkpointing,
            expected_s=expected_s,
        )

    def _exclude_stalled_vms(self, views, now_s):
        """Exclude the VMs with runs that stall.

        One run alone excludes its VM once only: it may be a long one that
        cannot be moved, and other work must not wait for it.
        """
        by_vm = {}
        for run, view in views:
            by_vm.setdefault(run.worker.vm, []).append(
                (run, stragglers.is_stalled(view))
            )
        for vm, found in by_vm.items():
            stalled = [run for run, is_stalled in found if is_stalled]
            if len(stalled) == len(found) > 1 or any(
                not run.stall_recorded for run in stalled
            ):
                self.term.vm_health.record_stall(vm, now_s)
            for run in stalled:
                run.stall_recorded = True

    def _apply_remedy(self, run, view, remedy, taken):
        task = run.task
        if len(task.runs) > 1:
            return
        stalled = stragglers.is_stalled(view)
        task.deprioritized_vms.add(run.worker.vm)
        if remedy is stragglers.Remedy.COPY:
            started = self.dispatcher.start_extra_run(task)
        else:
            started = self.dispatcher.has_free_capacity(task, taken)
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
                vm_speed=round(view.vm_speed, 2),
                siblings=len(view.sibling_durations_s),
            )
