"""Starts tasks that may crash their worker, each apart from other tasks."""

from arbutusrock.engine.jobs import job_state
from arbutusrock.scheduling import crash_attribution
from arbutusrock.scheduling import isolation
from arbutusrock.utils import clocks

__all__ = [
    'GuardedStarter',
    'PoolState',
    'is_available',
    'is_suspect',
]

# A worker that is held for a suspect gets no other runs for this time.
HOLD_S = 1.0


def is_suspect(task):
    """Return whether a task may crash the worker that starts it.

    That is so after a crash that it may have caused, and while it is not
    known whether the worker of an earlier run has crashed.
    """
    progress = task.step.job.progress
    if not (progress.crashes or progress.unresolved):
        return False
    return task.progress_key in progress.unresolved or (
        crash_attribution.is_suspect(task.crashes)
    )


def is_likely(task):
    """Return whether a task was the only suspect in a crash."""
    return crash_attribution.count_sole_crashes(task.crashes) > 0


def has_waited_for_isolation(task, now_s):
    """Return whether a task has waited its time to be started apart."""
    return now_s - task.queued_at_s >= isolation.MAX_ISOLATION_WAIT_S


def is_available(worker, now_s):
    """Return whether runs may start on a worker beside those it has."""
    return worker.guarded_run is None and worker.held_until_s <= now_s


class PoolState:
    """The workers of a pool, and whose work it has, during one pass.

    :param workers: all workers of the pool, including those that get no runs
        now.
    :param waiting_steps: its steps with waiting tasks.
    """

    __slots__ = ('workers', '_waiting_steps', '_accounts')

    def __init__(self, *, workers, waiting_steps):
        self.workers = workers
        self._waiting_steps = waiting_steps
        self._accounts = None

    def is_shared(self, account):
        """Return whether accounts other than ``account`` have work there."""
        if self._accounts is None:
            self._accounts = {
                run.account
                for worker in self.workers
                for run in worker.runs.values()
            } | {step.job.submission.account for step in self._waiting_steps}
        return bool(self._accounts - {account})


class GuardedStarter:
    """Starts suspects where a crash costs least and tells who caused it.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param crash_tracker:
        :class:`arbutusrock.engine.runs.crash_tracker.CrashTracker`.
    """

    def __init__(self, *, term, crash_tracker):
        self.term = term
        self.crash_tracker = crash_tracker

    def must_isolate(self, task, now_s):
        """Return whether a waiting task must be started apart from others."""
        if not is_suspect(task):
            return False
        if not self.crash_tracker.is_durable(task):
            return True
        # The users of a serving task miss it while it waits, and most of its
        # kind are lost with their workers rather than the cause of a crash.
        bounded = task.step.plan.long_running or not is_likely(task)
        return not (bounded and has_waited_for_isolation(task, now_s))

    def choose_workers(self, pool, tasks, workers, request):
        """Return a worker for each task, or None if they have to wait.

        Workers that it would take once they have fewer runs are held.

        :param pool: :class:`PoolState`.
        :param tasks: a suspect, or all tasks of a gang.
        :param workers: workers of the pool that may get runs.
        :param request: :class:`arbutusrock.scheduling.placement.
            PlacementRequest` of the tasks.
        """
        now_s = clocks.now_s()
        if not (
            self.crash_tracker.is_durable(tasks[0])
            and self.term.is_confirmed_at(now_s)
            and self._fits_account(pool, tasks[0])
        ):
            return None
        choice = isolation.choose_isolated_workers(
            [
                self._describe_worker(worker)
                for worker in workers
                if worker.guarded_run is None
            ],
            request,
            len(tasks),
            waited_s=now_s - tasks[0].queued_at_s,
        )
        for worker in choice.hold:
            worker.held_until_s = now_s + HOLD_S
        return choice.workers

    def reserve(self, run):
        """Reserve the worker of a run for it.

        :returns: awaitable that is done when the order may be sent.
        """
        run.state = job_state.RunState.RESERVED
        run.worker.guarded_run = run.worker.uncleared_run = run
        run.worker.held_until_s = 0.0
        return self.crash_tracker.record_start(run)

    @staticmethod
    def _describe_worker(worker):
        return isolation.IsolationCandidate(
            worker=worker,
            runs=len(worker.runs),
            settled=all(
                run.state is job_state.RunState.STOPPING
                or (
                    crash_attribution.is_settled(run.survived_s)
                    and not (run.task and run.task.crashes)
                )
                for run in worker.runs.values()
            ),
        )

    def limit_workers(self, pool, step, workers, now_s):
        """Return the workers that waiting tasks of a step may get.

        All of them, unless its account is confined. A serving step is
        confined as long only as its tasks may have to wait to start apart.

        :param pool: :class:`PoolState`.
        """
        account = step.job.submission.account
        culprits = self.crash_tracker.culprits
        if account not in culprits or not isolation.is_confined(
            culprits, account, now_s
        ):
            return workers
        first = next(iter(step.waiting.values()))
        if step.plan.long_running and has_waited_for_isolation(first, now_s):
            return workers
        risked, own_runs = set(), {}
        for worker in pool.workers:
            for run in worker.runs.values():
                if run.account != account:
                    continue
                own_runs[worker.worker_id] = (
                    own_runs.get(worker.worker_id, 0) + 1
                )
                if not crash_attribution.is_settled(run.survived_s):
                    risked.add(worker.worker_id)
        return isolation.limit_workers(
            workers,
            pool_size=len(pool.workers),
            risked=risked,
            own_runs=own_runs,
            shared=pool.is_shared(account),
        )

    @staticmethod
    def _fits_account(pool, task):
        """Return whether the account may risk one more worker of the pool."""
        account = task.step.job.submission.account
        guarded = [
            worker.uncleared_run
            for worker in pool.workers
            if worker.uncleared_run is not None
            and worker.uncleared_run.account == account
        ]
        return isolation.may_risk_worker(
            workers=len(pool.workers),
            guarded=[
                run.task is not None and is_likely(run.task) for run in guarded
            ],
            likely=is_likely(task),
            shared=pool.is_shared(account),
        )
