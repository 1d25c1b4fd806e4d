"""Workers as the owner knows them, and the resources that accounts use."""

import asyncio
import math

from arbutusrock.engine.workers.incarnations import END_BY_OUTCOME
from arbutusrock.engine.workers.incarnations import IncarnationEnd
from arbutusrock.scheduling import dark_workers
from arbutusrock.scheduling import Resources

__all__ = ['END_BY_OUTCOME', 'Fleet', 'IncarnationEnd', 'WorkerState']

# Runs that a log line about their worker names, the newest first.
MAX_LOGGED_RUNS = 20


class WorkerState:
    """One incarnation of a worker, and the runs on it.

    :param entry: :class:`platform_messages.WorkerEntry`.
    :param inherited_lease: :class:`dark_workers.InheritedLease`: until when
        an earlier owner's runs may be there although the worker has not
        answered yet; None when there are none.
    :param inherited_tasks: names of the tasks that it may run then; None when
        it may run any.
    :param cordons: container of the data centres that are evacuated now.
    :param withheld: container of the ids of the workers that get neither a
        longer lease nor runs now.
    """

    __slots__ = (
        'entry',
        'cordons',
        'withheld',
        'runs',
        'entry_read_at_s',
        'listed_capacity',
        'listed_at_s',
        '_smaller_capacity',
        'used_millicores',
        'used_memory_mb',
        'used_accelerators',
        'has_answered',
        'unresponsive',
        'last_reply_at_s',
        'report_clock_ms',
        'clock_ms',
        'clock_read_at_s',
        'lease_until_ms',
        'inherited_lease',
        'inherited_tasks',
        'ack_cursor',
        'last_completion',
        'pending_acks',
        'unregistered_since_s',
        'cordon_reason',
        'guarded_run',
        'uncleared_run',
        'held_until_s',
        'unresolved',
        'ended_at_s',
        'in_roster',
        'rivals',
        'flush_done',
    )

    def __init__(
        self,
        *,
        entry,
        now_s,
        inherited_lease=None,
        inherited_tasks=None,
        cordons=(),
        withheld=(),
    ):
        self.entry = entry
        self.cordons, self.withheld = cordons, withheld
        self.runs = {}
        self.entry_read_at_s = now_s
        # Capacity in the list of VMs, and when that list was requested.
        self.listed_capacity = None
        self.listed_at_s = now_s
        # The capacities last compared, and the smaller of their amounts.
        self._smaller_capacity = (None, None, None)
        self.used_millicores = self.used_memory_mb = 0
        self.used_accelerators = 0
        # Whether it has answered this owner, and has reported all the ends of
        # runs that it keeps; and whether it did not answer the last call.
        self.has_answered = self.unresponsive = False
        self.last_reply_at_s = now_s
        # Its steady clock at its last report of what runs there.
        self.report_clock_ms = None
        # Its steady clock at its last answer, and when that was received on
        # the owner's clock.
        self.clock_ms = None
        self.clock_read_at_s = now_s
        # Latest end of a lease that was ever sent, on its clock.
        self.lease_until_ms = None
        self.inherited_lease = inherited_lease or dark_workers.InheritedLease()
        self.inherited_tasks = inherited_tasks
        # Completions up to this number are durable and may be forgotten; and
        # the last one that was read.
        self.ack_cursor = self.last_completion = 0
        # Completions to acknowledge: (number, flush that makes it durable).
        self.pending_acks = []
        # When its registration was found missing; None while registered.
        self.unregistered_since_s = None
        # Why it gets no new runs; empty when it is not cordoned.
        self.cordon_reason = ''
        # Run of a suspect, beside which no run is started; None without one.
        self.guarded_run = None
        # The run of a suspect that was started apart, until it has outlived
        # the crashes under its task; others may start beside it before.
        self.uncleared_run = None
        # Until then it gets no runs, so that a suspect can be started there.
        self.held_until_s = 0.0
        # (task, UnresolvedRun) that may have crashed it, by (task name, run).
        self.unresolved = {}
        self.ended_at_s = None
        # Whether it is in the stored roster, as one that may hold runs.
        self.in_roster = False
        # Earlier workers on its VM, which are over once it has answered.
        self.rivals = ()
        # Set when a flush has made completions durable.
        self.flush_done = asyncio.Event()

    @property
    def worker_id(self):
        """Id of this incarnation."""
        return self.entry.worker_id

    @property
    def ended(self):
        """Whether this incarnation is over, so that nothing runs there."""
        return self.ended_at_s is not None

    @property
    def vm(self):
        """VM that it runs on; its own id when the VM is not known."""
        return self.entry.vm or self.entry.worker_id

    @property
    def capacity(self):
        """Capacity for runs.

        Where the list of VMs is newer than the registration, as while the
        store is unreachable, the smaller one counts.
        """
        registered, listed = self.entry.capacity, self.listed_capacity
        if listed is None or self.listed_at_s <= self.entry_read_at_s:
            return registered
        compared, with_listed, smaller = self._smaller_capacity
        if compared is not registered or with_listed is not listed:
            smaller = Resources(
                cpu=min(registered.cpu, listed.cpu),
                memory_mb=min(registered.memory_mb, listed.memory_mb),
                accelerators=min(registered.accelerators, listed.accelerators),
            )
            self._smaller_capacity = (registered, listed, smaller)
        return smaller

    def describe_runs(self):
        """Return its newest runs for a log line.

        :returns: for each run its task, its number, its state, and how long
            it had been running at the last answer of the worker (s); None
            when the start was not confirmed.
        """
        runs = sorted(self.runs.values(), key=lambda run: -run.ordered_at_s)
        return [
            [
                run.name,
                run.number,
                run.state.value,
                None
                if run.confirmed_at_s is None
                else round(self.clock_read_at_s - run.confirmed_at_s, 3),
            ]
            for run in runs[:MAX_LOGGED_RUNS]
        ]

    @property
    def free_millicores(self):
        """Free capacity in millicores."""
        return self.capacity.cpu - self.used_millicores

    @property
    def free_memory_mb(self):
        """Free memory in megabytes."""
        return self.capacity.memory_mb - self.used_memory_mb

    @property
    def free_accelerators(self):
        """Number of free accelerators."""
        return self.capacity.accelerators - self.used_accelerators

    @property
    def in_service(self):
        """Whether it is available, be it for runs or for a move of its VM.

        Unlike ``usable``, a cordoned worker counts.
        """
        return (
            self.has_answered
            and self.in_roster
            and not self.is_withheld
            and not self.unresponsive
            and not self.ended
            and not self.entry.draining
            and self.unregistered_since_s is None
        )

    @property
    def is_withheld(self):
        """Whether a stored heartbeat may name it as dark.

        The next owner relies on it that its lease is not extended then.
        """
        return self.worker_id in self.withheld

    @property
    def is_silent(self):
        """Whether it does not answer, or has not answered yet."""
        return not self.ended and (self.unresponsive or not self.has_answered)

    @property
    def in_evacuated_data_centre(self):
        """Whether its data centre is evacuated, so that it gets no new runs.

        Those that it has go on, unlike those of a worker with a
        ``cordon_reason``.
        """
        return self.entry.data_centre in self.cordons

    @property
    def usable(self):
        """Whether new runs may be started there."""
        return (
            self.in_service
            and not self.cordon_reason
            and not self.in_evacuated_data_centre
        )

    def estimate_clock_ms(self, now_s):
        """Return the worker's clock at ``now_s``; None when not known."""
        if self.clock_ms is None:
            return None
        return self.clock_ms + (now_s - self.clock_read_at_s) * 1000

    def take_rivals(self):
        """Return the earlier workers on its VM, once."""
        rivals, self.rivals = self.rivals, ()
        return rivals

    def record_report(self, clock_ms, now_s):
        """Record the clock and the time of a report of what runs there."""
        self.record_clock(clock_ms, now_s)
        self.report_clock_ms = clock_ms
        self.last_reply_at_s = now_s

    def record_clock(self, clock_ms, now_s):
        """Record the worker's clock from an answer.

        A reading below the last one comes from an older answer, and is
        ignored.
        """
        if clock_ms is None:
            return
        if self.clock_ms is None or clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_at_s = now_s

    def get_lease_left_s(self, now_s):
        """Return the time until all leases ever sent there have ended (s).

        Assumes the slowest clock that a worker may have.
        """
        left_s = max(0.0, self.inherited_lease.end_at_s - now_s)
        if self.lease_until_ms is None:
            return left_s
        return max(
            left_s,
            dark_workers.compute_lease_left_s(
                self.lease_until_ms,
                self.clock_ms,
                now_s - self.clock_read_at_s,
            ),
        )

    @property
    def is_loading(self):
        """Whether it answers, and this owner does not use its reports yet.

        Its lease is extended meanwhile.
        """
        return (
            not self.has_answered
            and not self.unresponsive
            and self.clock_ms is not None
        )

    def is_lease_expired(self, now_s):
        """Return whether all leases that were ever sent there have expired.

        Runs end with their lease, so nothing is running there then.
        """
        return not self.get_lease_left_s(now_s)


class Fleet:
    """All workers by id, and the resources in use by account."""

    __slots__ = ('workers', 'usage_by_account', 'unwanted_runs', '_busy_count')

    def __init__(self):
        self.workers = {}
        self.usage_by_account = {}
        # Number of unwanted runs that may still be running, by the name of
        # their task.
        self.unwanted_runs = {}
        # Number of workers with runs.
        self._busy_count = 0

    def count_busy_workers(self):
        """Return the number of workers with runs."""
        return self._busy_count

    def find_pool_workers(self, pool):
        """Return the workers of a pool."""
        return [
            worker
            for worker in self.workers.values()
            if worker.entry.pool == pool
        ]

    def find_possible_run_holders(self, now_s):
        """Return the workers that may have runs or ends of an earlier owner.

        These have not answered this owner yet, or have not reported all of
        the ends that they keep.
        """
        return [
            worker
            for worker in self.workers.values()
            if not worker.has_answered
            and not worker.ended
            and (
                now_s < worker.inherited_lease.end_at_s
                or (
                    worker.last_completion
                    and not worker.is_lease_expired(now_s)
                )
            )
        ]

    def find_silent(self, now_s):
        """Return the workers that do not answer, for the next owner.

        The bound of one that has not answered this owner holds for the leases
        of all earlier ones (:mod:`arbutusrock.scheduling.lease_bounds`).

        :returns: ``(worker_id, silent_s, lease_left_s)`` of each.
        """
        return [
            (
                worker.worker_id,
                now_s - worker.last_reply_at_s
                if worker.entry.address
                # It is not registered, and cannot be asked.
                else math.inf,
                worker.get_lease_left_s(now_s),
            )
            for worker in self.workers.values()
            if worker.is_silent and not worker.is_loading
        ]

    def has_withheld(self):
        """Return whether a worker that answers again is still withheld."""
        return any(
            worker.is_withheld and not worker.is_silent and not worker.ended
            for worker in self.workers.values()
        )

    def find_inherited_versions(self, now_s):
        """Return which jobs may have runs of an earlier owner.

        :returns: version of the store by pool: only jobs stored before it
            may have such runs in the pool. Other pools have none.
        """
        versions = {}
        for worker in self.find_possible_run_holders(now_s):
            if worker.inherited_tasks is not None:
                continue
            pool = worker.entry.pool
            versions[pool] = max(
                versions.get(pool, 0), worker.inherited_lease.before_version
            )
        return versions

    def find_inherited_tasks(self, now_s):
        """Return the names of tasks that may run on workers out of reach.

        These are the ones that an earlier owner has listed; workers that it
        has not listed count for their pools.
        """
        found = set()
        for worker in self.find_possible_run_holders(now_s):
            found.update(worker.inherited_tasks or ())
        return found

    def list_possible_tasks(self, now_s):
        """Return which tasks may run where, for the next owner.

        :returns: names of tasks by worker; None where any may run.
        """
        holders = set(self.find_possible_run_holders(now_s))
        listed = {}
        for worker_id, worker in self.workers.items():
            names = {run.name for run in worker.runs.values()}
            if worker not in holders:
                listed[worker_id] = names
            elif worker.inherited_tasks is None:
                listed[worker_id] = None
            else:
                listed[worker_id] = names | worker.inherited_tasks
        return listed

    def add_run(self, run):
        """Add a run to its worker, and its demand to what its account uses."""
        worker = run.worker
        self._busy_count += not worker.runs
        worker.runs[(run.name, run.number)] = run
        self._update_usage(run, 1)
        if run.task is None:
            self.unwanted_runs[run.name] = (
                self.unwanted_runs.get(run.name, 0) + 1
            )
        else:
            run.task.runs.append(run)
            # A later registration may name another VM, or none.
            run.counted_vm = worker.vm
            counts = run.task.step.runs_by_vm
            counts[worker.vm] = counts.get(worker.vm, 0) + 1

    def remove_run(self, run):
        """Remove a run that has ended, and free its resources."""
        worker = run.worker
        if worker.runs.pop((run.name, run.number), None) is None:
            return
        if worker.guarded_run is run:
            worker.guarded_run = None
        if worker.uncleared_run is run:
            worker.uncleared_run = None
        self._busy_count -= not worker.runs
        self._update_usage(run, -1)
        if run.task is None:
            self.unwanted_runs[run.name] -= 1
            if not self.unwanted_runs[run.name]:
                del self.unwanted_runs[run.name]
        else:
            run.task.runs.remove(run)
            run.task.step.runs_by_vm[run.counted_vm] -= 1

    def move_run(self, run, worker):
        """Move a run to another worker."""
        self.remove_run(run)
        run.worker = worker
        self.add_run(run)

    def _update_usage(self, run, sign):
        demand, worker = run.demand, run.worker
        if run.task is None or not run.task.step.plan.fills:
            worker.used_millicores += sign * demand.cpu
        worker.used_memory_mb += sign * demand.memory_mb
        worker.used_accelerators += sign * demand.accelerators
        used = self.usage_by_account.get(run.account, Resources())
        self.usage_by_account[run.account] = used + demand * sign

    def get_usage(self, account):
        """Return the resources that the runs of an account use."""
        return self.usage_by_account.get(account, Resources())
