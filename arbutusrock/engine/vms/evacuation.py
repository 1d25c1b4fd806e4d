"""Moves runs off workers that drain or are cordoned.

A worker drains when it is about to leave, as it announces itself. It is
cordoned when its VM is needed for maintenance or for another pool.
"""

import asyncio

from arbutusrock.engine.jobs import job_state
from arbutusrock import logs
from arbutusrock.scheduling import disruption
from arbutusrock.scheduling import placement
from arbutusrock.utils import clocks

__all__ = ['EvacuationController']

PASS_INTERVAL_S = 0.1
# Time for which a run that is neither serving nor filling may go on after its
# worker was cordoned.
EVICTION_GRACE_S = 3.0
# When a draining worker leaves in less than this, its serving tasks move
# although more tasks of their step are away than may be missed.
FORCED_MOVE_MS = 1500.0
# A worker that has not replied for this long may have lost its tasks; replies
# come each second.
UNRESPONSIVE_S = 2.0
LOG = logs.get_log('evacuation')


class EvacuationController:
    """Moves runs off draining and cordoned workers, by stopping them there.

    The tasks of stopped runs are queued again and start on other workers.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param run_controller: stops runs.
    """

    def __init__(self, *, term, run_controller):
        self.term = term
        self.run_controller = run_controller
        self._leaving_since_s = {}
        # By pool, which jobs may have runs out of reach, so that their tasks
        # cannot be started now.
        self._inherited_versions = {}

    async def run(self):
        """Reconcile in each interval until the ownership ends."""
        while True:
            await asyncio.sleep(PASS_INTERVAL_S)
            self.reconcile(clocks.now_s())

    def reconcile(self, now_s):
        """Stop the runs that have to leave their worker now."""
        if self.term.stopping:
            # Nothing is started any more; the next owner decides.
            return
        self._inherited_versions = self.term.fleet.find_inherited_versions(
            now_s
        )
        leaving = [
            worker
            for worker in self.term.fleet.workers.values()
            if (worker.entry.draining or worker.cordon_reason)
            and worker.has_answered
            and not worker.ended
        ]
        self._leaving_since_s = {
            worker.worker_id: self._leaving_since_s.get(
                worker.worker_id, now_s
            )
            for worker in leaving
        }
        # Draining workers come first: their tasks that move count as away when
        # the serving tasks of cordoned workers are looked at in the same pass.
        leaving.sort(key=lambda worker: not worker.entry.draining)
        for worker in leaving:
            self._evacuate_worker(worker, now_s)

    def _evacuate_worker(self, worker, now_s):
        waited_s = now_s - self._leaving_since_s[worker.worker_id]
        for run in list(worker.runs.values()):
            if run.task is None or run.state is job_state.RunState.STOPPING:
                continue
            plan = run.task.step.plan
            if plan.fills:
                self.run_controller.stop_run(run, 'its worker is evacuated')
            elif plan.long_running:
                self._move_serving_run(run, worker, now_s)
            elif self._must_stop(run, worker, waited_s):
                self.run_controller.stop_run(run, 'its worker is evacuated')

    def _move_serving_run(self, run, worker, now_s):
        forced = _leaves_soon(worker)
        step = run.task.step
        away = sum(
            1
            for task in step.tasks
            if task is not run.task and not is_ready(task, now_s)
        )
        allowed = disruption.may_disrupt(
            unavailable=away, may_miss=step.plan.may_miss
        )
        if not (allowed or forced):
            return
        if not self._fits_elsewhere(run):
            return
        if self._waits_if_stopped(run) and not forced:
            return
        LOG.info(
            'a serving task moves',
            task=run.name,
            worker=worker.worker_id,
            away=away,
            draining=worker.entry.draining,
        )
        self.run_controller.stop_run(run, 'its worker is evacuated')

    def _fits_elsewhere(self, run):
        """Return whether another worker of the pool can take the task."""
        step = run.task.step
        workers = [
            worker
            for worker in self.term.fleet.find_pool_workers(
                run.worker.entry.pool
            )
            if worker.usable
        ]
        request = placement.PlacementRequest(
            demand=step.plan.demand,
            label=step.plan.label,
            most_per_worker=step.plan.most_per_worker,
            runs_by_vm=step.runs_by_vm,
        )
        return placement.choose_worker(workers, request) is not None

    def _must_stop(self, run, worker, waited_s):
        """Return whether a run that is neither serving nor filling must stop.

        On a cordoned worker it must after ``EVICTION_GRACE_S``; on a
        draining one if it cannot finish before the worker leaves.
        """
        if not worker.entry.draining:
            return waited_s > EVICTION_GRACE_S
        leaves_ms = worker.entry.leaves_in_ms
        if leaves_ms is None:
            return False
        left_ms = run.task.step.plan.estimate_ms * (1 - run.percent / 100)
        if left_ms <= leaves_ms:
            return False
        return _leaves_soon(worker) or not self._waits_if_stopped(run)

    def _waits_if_stopped(self, run):
        """Return whether the task of a run could not be started again now."""
        job = run.task.step.job
        version = self._inherited_versions.get(run.worker.entry.pool, 0)
        return job.inherited and job.stored_version < version


def _leaves_soon(worker):
    leaves_ms = worker.entry.leaves_in_ms
    return (
        worker.entry.draining
        and leaves_ms is not None
        and leaves_ms < FORCED_MOVE_MS
    )


def is_ready(task, now_s):
    """Return whether a serving task has a run that is known to be ready.

    A run on a worker that has not replied lately does not count.
    """
    return any(
        run.state is job_state.RunState.RUNNING
        and run.percent >= 100
        and not run.worker.unresponsive
        and now_s - run.worker.last_reply_at_s < UNRESPONSIVE_S
        for run in task.runs
    )
