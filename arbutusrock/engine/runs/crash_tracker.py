"""Keeps the crashes of workers under tasks, and gives deadly tasks up.

Which run crashed a worker is decided in
:mod:`arbutusrock.scheduling.crash_attribution`. The crashes under a task are
stored with the progress of its job, before the task is started again, so that
a later owner knows them. The runs that may be the cause are stored as soon as
a worker stops answering: a new owner cannot learn of them from the worker.
"""

import math

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.vms import vm_views
from arbutusrock.engine.workers import fleet as fleet_module
from arbutusrock import logs
from arbutusrock.scheduling import crash_attribution
from arbutusrock.scheduling import isolation
from arbutusrock.utils import clocks

__all__ = ['CrashTracker']

# Tasks of one job whose crashes or runs are kept, which bounds its row.
MAX_TASKS_PER_JOB = 100
# A VM that has a new worker after a longer time counts as newly started, not
# as one whose worker has crashed.
MAX_RECOVERY_S = 60.0
# A worker that has not answered an order after this time is dark.
MAX_ANSWER_S = 0.05
LOG = logs.get_log('crashes')


class CrashTracker:
    """Records crashes of workers with the tasks that may have caused them.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param state_writer:
        :class:`arbutusrock.engine.state.state_writer.StateWriter`.
    :param on_give_up: called with a task that is not to be started again.
    """

    def __init__(self, *, term, state_writer, on_give_up):
        self.term = term
        self.state_writer = state_writer
        self.on_give_up = on_give_up
        # Worker that was taken as gone, and when, by VM.
        self._gone_workers = {}
        # By account, when each task was last the only suspect in a crash.
        self.culprits = {}

    def is_durable(self, task):
        """Return whether the crashes under a task are stored."""
        return (
            task.unit.crashes_durable_at_flush
            <= self.state_writer.flushes_completed
        )

    def record_silence(self, worker):
        """Store the runs that may be why a worker does not answer.

        Called when it stops answering, and when its lease has expired.
        """
        if _leaves_as_planned(worker):
            return
        live = _find_live_runs(worker)
        records = _attribute(live)
        for run in live:
            record = records.get(run.task.unit)
            if record is not None and record.suspect:
                self._add_unresolved(run, record.survived_s, record.sole)

    def record_start(self, run):
        """Store that a suspect is about to be started.

        :returns: awaitable that is done when this is durable.
        """
        self._add_unresolved(run, 0.0, sole=True)
        return self.state_writer.wait_for_flush(
            self.state_writer.get_next_flush_number()
        )

    def _add_unresolved(self, run, survived_s, sole):
        task, worker = run.task, run.worker
        unresolved = task.step.job.progress.unresolved
        key = task.progress_key
        if key not in unresolved and len(unresolved) >= MAX_TASKS_PER_JOB:
            return
        self._drop(worker, (run.name, run.number))
        entry = crash_attribution.UnresolvedRun(
            run=run.number,
            worker_id=worker.worker_id,
            born_ms=worker.entry.born_ms,
            vm=worker.entry.vm,
            survived_s=survived_s,
            sole=sole,
        )
        unresolved.setdefault(key, []).append(entry)
        worker.unresolved[(run.name, run.number)] = (task, entry)
        self._request_flush(task)

    def _request_flush(self, task):
        self.term.job_registry.mark_changed(task)
        self.term.request_flush()

    def drop_run(self, run):
        """Forget a run that did not crash its worker."""
        self._drop(run.worker, (run.name, run.number))

    def _drop(self, worker, key):
        """Remove an unresolved run of a worker from the row of its job."""
        task, entry = worker.unresolved.pop(key, (None, None))
        if task is None:
            return
        unresolved = task.step.job.progress.unresolved
        kept = [
            item
            for item in unresolved.get(task.progress_key, ())
            if item.run != entry.run
        ]
        if kept:
            unresolved[task.progress_key] = kept
        else:
            unresolved.pop(task.progress_key, None)
        self._request_flush(task)

    def record_answer(self, worker):
        """Forget the unresolved runs of a worker that answers after all.

        Runs of suspects stay unresolved until they are cleared.
        """
        for key in list(worker.unresolved):
            run = worker.runs.get(key)
            if run is None or not crash_attribution.is_suspect(
                run.task.crashes if run.task else ()
            ):
                self._drop(worker, key)

    def record_progress(self, run):
        """Clear a task once a run of it has outlived all its crashes.

        Others may start beside it after a while in any case.
        """
        task, guarded = run.task, run.worker.guarded_run is run
        uncleared = run.worker.uncleared_run is run
        if task is None or not (guarded or uncleared or task.crashes):
            return
        cleared = crash_attribution.is_cleared(
            task.crashes, run.survived_s
        ) and (not task.step.plan.gang or _is_gang_cleared(task.step))
        if guarded and (cleared or run.survived_s >= isolation.MAX_GUARD_S):
            run.worker.guarded_run = None
            self.term.request_dispatch()
            # It is no longer alone there.
            self.drop_run(run)
        if not cleared:
            return
        if uncleared:
            run.worker.uncleared_run = None
        self.drop_run(run)
        if task.crashes:
            LOG.info(
                'a task is no longer suspected of crashing workers',
                task=task.name,
                run=run.number,
                worker=run.worker.worker_id,
                survived_s=round(run.survived_s, 3),
            )
            del task.step.job.progress.crashes[task.unit.progress_key]
            self._request_flush(task.unit)

    def record_end(self, worker, cause):
        """Record the end of an incarnation, before its runs are removed.

        A worker that an order of the owner or its own drain has ended did
        not crash. One that is no longer registered may have; the next worker
        on its VM tells.
        """
        match cause:
            case _ if _leaves_as_planned(worker):
                self._drop_all(worker)
            case fleet_module.IncarnationEnd.MOVED:
                self._drop_all(worker)
            case fleet_module.IncarnationEnd.UNREGISTERED:
                if worker.unresolved:
                    self._gone_workers[worker.vm] = (worker, clocks.now_s())
            case _:
                self._record_crash(worker)

    def _drop_all(self, worker):
        for key in list(worker.unresolved):
            self._drop(worker, key)

    def resolve_vm(self, entry):
        """Resolve the runs of a worker that was taken as gone.

        :param entry: :class:`platform_messages.WorkerEntry` of a worker that
            is registered on its VM.
        """
        worker, gone_at_s = self._gone_workers.pop(entry.vm, (None, 0.0))
        if worker is None:
            return
        same = _is_incarnation(worker.entry, entry)
        if same or clocks.now_s() - gone_at_s > MAX_RECOVERY_S:
            self._drop_all(worker)
        else:
            self._record_crash(worker)

    def restore(self):
        """Take over the unresolved runs that an earlier owner stored.

        Those on a worker whose VM runs another one by now have crashed it.
        """
        workers = self.term.fleet.workers
        former_workers = {}
        for job in list(self.term.job_registry.open_jobs.values()):
            if not job.progress.unresolved:
                continue
            for task in job.iterate_tasks():
                for run in job.progress.unresolved.get(task.progress_key, ()):
                    entry = _create_entry(run)
                    worker = workers.get(run.worker_id)
                    if (
                        worker is None
                        or worker.ended
                        or not _is_incarnation(worker.entry, entry)
                    ):
                        worker = former_workers.setdefault(
                            (run.worker_id, run.born_ms),
                            fleet_module.WorkerState(
                                entry=entry, now_s=clocks.now_s()
                            ),
                        )
                    worker.unresolved[(task.name, run.run)] = (task, run)
        current = {worker.vm for worker in workers.values()}
        for worker in former_workers.values():
            if worker.vm in current or worker.worker_id in workers:
                self._record_crash(worker)
            else:
                self._gone_workers[worker.vm] = (worker, clocks.now_s())

    def replace_worker(self, worker, successor):
        """Pass the unresolved runs on to a new state of the same worker."""
        born_ms = successor.entry.born_ms
        for key, (task, run) in list(worker.unresolved.items()):
            if run.born_ms in {0, born_ms}:
                del worker.unresolved[key]
                successor.unresolved[key] = (task, run)
        self._record_crash(worker)

    def _record_crash(self, worker):
        """Record a crash with all tasks that may have caused it."""
        live = _find_live_runs(worker)
        records = _attribute(live)
        keys = {(run.name, run.number) for run in live}
        for key, (task, entry) in list(worker.unresolved.items()):
            self._drop(worker, key)
            if key not in keys:
                records[task.unit] = crash_attribution.CrashRecord(
                    run=entry.run,
                    survived_s=entry.survived_s,
                    suspect=True,
                    sole=entry.sole,
                )
        for unit, record in records.items():
            self._add_crash(unit, record, worker)

    def _add_crash(self, unit, record, worker):
        job = unit.step.job
        known = job.progress.crashes
        key = unit.progress_key
        if (
            job.ended
            or unit.status is job_state.TaskStatus.DONE
            or (key not in known and len(known) >= MAX_TASKS_PER_JOB)
            or any(item.run == record.run for item in known.get(key, ()))
        ):
            return
        crashes = known.setdefault(key, [])
        crashes.append(record)
        crash_attribution.drop_needless(crashes)
        unit.crashes_durable_at_flush = (
            self.state_writer.get_next_flush_number()
        )
        self._request_flush(unit)
        if not record.suspect:
            return
        self.term.metrics.count('crash_suspects')
        if record.sole:
            self._record_culprit(unit)
        LOG.info(
            'a worker has crashed under a task',
            task=unit.name,
            run=record.run,
            worker=worker.worker_id,
            vm=worker.vm,
            survived_s=round(record.survived_s, 3),
            sole=record.sole,
            crashes=len(crashes),
        )
        if crash_attribution.should_give_up(
            crashes, lasting=unit.step.plan.long_running
        ):
            self.term.metrics.count('deadly_tasks')
            self.on_give_up(unit)

    def _record_culprit(self, unit):
        now_s = clocks.now_s()
        account = unit.step.job.submission.account
        culprits = {
            name: at_s
            for name, at_s in self.culprits.get(account, {}).items()
            if at_s > now_s - isolation.CONFINEMENT_S
        }
        self.culprits[account] = {**culprits, unit.name: now_s}
        if isolation.is_confined(self.culprits, account, now_s):
            LOG.info(
                'new tasks of an account are confined to a part of its pools',
                account=account,
                culprits=len(self.culprits[account]),
            )


def _find_live_runs(worker):
    """Return the runs of a worker that may be why it does not answer.

    Those whose start order was not sent to this incarnation are left out, and
    those that were ordered after another one that has no answer: the worker
    was dark then.
    """
    live = [
        run
        for run in worker.runs.values()
        if run.task is not None
        and run.state is not job_state.RunState.RESERVED
        and not run.revoked
    ]
    unanswered_at_s = [
        run.ordered_at_s
        for run in live
        if run.state is job_state.RunState.IN_DOUBT
    ]
    dark_at_s = min(unanswered_at_s, default=math.inf) + MAX_ANSWER_S
    return [
        run
        for run in live
        if run.state is not job_state.RunState.IN_DOUBT
        or run.ordered_at_s <= dark_at_s
    ]


def _is_gang_cleared(step):
    """Return whether a run of each member has outlived all crashes.

    The worker of one of them may have crashed while the others run on.
    """
    return all(
        any(
            crash_attribution.is_cleared(task.crashes, run.survived_s)
            for run in task.runs
        )
        for task in step.tasks
    )


def _attribute(runs):
    return crash_attribution.attribute_crash(
        [
            crash_attribution.CrashedRun(
                number=run.number,
                unit=run.task.unit,
                survived_s=run.survived_s,
                crashes=run.task.crashes,
            )
            for run in runs
        ]
    )


def _create_entry(run):
    """Return the entry of the worker of a stored run."""
    return platform_messages.WorkerEntry(
        worker_id=run.worker_id,
        pool='',
        address='',
        vm=run.vm,
        born_ms=run.born_ms,
    )


def _is_incarnation(entry, other):
    """Return whether two entries are of one incarnation of a worker.

    A worker that an earlier owner used has no start in its entry while it is
    not registered.
    """
    return entry.worker_id == other.worker_id and (
        entry.born_ms == other.born_ms or 0 in {entry.born_ms, other.born_ms}
    )


def _leaves_as_planned(worker):
    """Return whether a worker drains or its VM has an order of the owner."""
    return (
        worker.entry.draining or worker.cordon_reason == vm_views.CORDON_ORDER
    )
