"""Workers as the owner sees them, and what each account has running."""

import asyncio

from arbutusrock.scheduling import Resources

__all__ = ['Fleet', 'MIN_CLOCK_RATE', 'WorkerState']

# A worker's steady clock may be 2% slow.
MIN_CLOCK_RATE = 0.98
# Beyond the computed end of a lease: delays of timers and of the network.
LEASE_MARGIN_S = 0.3


class WorkerState:
    """One life of a worker.

    :param entry: :class:`platform_messages.WorkerEntry`.
    :param inherited_leases_end_at_s: until then an earlier owner's runs
        may be there although the worker has not answered yet.
    """

    __slots__ = (
        'entry',
        'runs',
        'used_millicores',
        'used_memory_mb',
        'used_accelerators',
        'has_answered',
        'unresponsive',
        'last_reply_at_s',
        'clock_ms',
        'clock_read_at_s',
        'lease_until_ms',
        'inherited_leases_end_at_s',
        'ack_cursor',
        'last_completion',
        'pending_acks',
        'unregistered_since_s',
        'cordon_reason',
        'ended_at_s',
        'in_roster',
        'flush_done',
    )

    def __init__(self, *, entry, now_s, inherited_leases_end_at_s=0.0):
        self.entry = entry
        self.runs = {}
        self.used_millicores = 0
        self.used_memory_mb = 0
        self.used_accelerators = 0
        # Whether it has answered this owner.
        self.has_answered = False
        self.unresponsive = False
        self.last_reply_at_s = now_s
        # Its steady clock when it last answered, and when we heard it.
        self.clock_ms = None
        self.clock_read_at_s = now_s
        # Latest end of lease ever sent, on its clock.
        self.lease_until_ms = None
        self.inherited_leases_end_at_s = inherited_leases_end_at_s
        # Ends up to this number may be forgotten by the worker.
        self.ack_cursor = 0
        self.last_completion = 0
        # (end number, flush that makes it durable).
        self.pending_acks = []
        # Since when it is not registered.
        self.unregistered_since_s = None
        # Why it gets no more runs, or empty.
        self.cordon_reason = ''
        self.ended_at_s = None
        # Whether a later owner would know that it may hold runs.
        self.in_roster = False
        # Set when ends were made durable.
        self.flush_done = asyncio.Event()

    @property
    def worker_id(self):
        """Id of this life."""
        return self.entry.worker_id

    @property
    def ended(self):
        """Whether its life is over: nothing runs there."""
        return self.ended_at_s is not None

    @property
    def vm(self):
        """VM that it runs on."""
        return self.entry.vm or self.entry.worker_id

    @property
    def free_millicores(self):
        """Thousandths of a core that are free."""
        return self.entry.capacity.cpu - self.used_millicores

    @property
    def free_memory_mb(self):
        """Megabytes that are free."""
        return self.entry.capacity.memory_mb - self.used_memory_mb

    @property
    def free_accelerators(self):
        """Accelerators that are free."""
        return self.entry.capacity.accelerators - self.used_accelerators

    @property
    def in_service(self):
        """Whether it is in service, for runs or for moves."""
        return (
            self.has_answered
            and self.in_roster
            and not self.unresponsive
            and not self.ended
            and not self.entry.draining
            and self.unregistered_since_s is None
        )

    @property
    def usable(self):
        """Whether new runs may be sent there."""
        return self.in_service and not self.cordon_reason

    def estimate_clock_ms(self, now_s):
        """Return what the worker's clock shows now, or None."""
        if self.clock_ms is None:
            return None
        return self.clock_ms + (now_s - self.clock_read_at_s) * 1000

    def record_clock(self, clock_ms, now_s):
        """Take over the clock of an answer, unless an older one."""
        if clock_ms is None:
            return
        if self.clock_ms is None or clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_at_s = now_s

    def is_lease_expired(self, now_s):
        """Return whether all that was ever started there has ended."""
        if now_s < self.inherited_leases_end_at_s:
            return False
        if self.lease_until_ms is None:
            return True
        least_ms = (
            self.clock_ms
            + (now_s - self.clock_read_at_s) * 1000 * MIN_CLOCK_RATE
        )
        return least_ms > self.lease_until_ms + LEASE_MARGIN_S * 1000


class Fleet:
    """All workers, and the resources in use by account."""

    __slots__ = ('workers', 'usage_by_account', 'unwanted_runs', '_busy_count')

    def __init__(self):
        self.workers = {}
        self.usage_by_account = {}
        # Names of tasks with runs that are not wanted and may still be at
        # work, and how many.
        self.unwanted_runs = {}
        # Workers with runs.
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

    def may_have_inherited_runs(self, pool, now_s):
        """Return whether an earlier owner's runs may be hidden in a pool."""
        return any(
            not worker.has_answered
            and not worker.ended
            and now_s < worker.inherited_leases_end_at_s
            for worker in self.find_pool_workers(pool)
        )

    def add_run(self, run):
        """Count a run on its worker and for its account."""
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
            counts = run.task.step.runs_by_vm
            counts[worker.vm] = counts.get(worker.vm, 0) + 1

    def remove_run(self, run):
        """Stop counting a run that has ended."""
        worker = run.worker
        if worker.runs.pop((run.name, run.number), None) is None:
            return
        self._busy_count -= not worker.runs
        self._update_usage(run, -1)
        if run.task is None:
            self.unwanted_runs[run.name] -= 1
            if not self.unwanted_runs[run.name]:
                del self.unwanted_runs[run.name]
        else:
            run.task.runs.remove(run)
            run.task.step.runs_by_vm[worker.vm] -= 1

    def _update_usage(self, run, sign):
        demand, worker = run.demand, run.worker
        if run.task is None or not run.task.step.plan.fills:
            worker.used_millicores += sign * demand.cpu
        worker.used_memory_mb += sign * demand.memory_mb
        worker.used_accelerators += sign * demand.accelerators
        used = self.usage_by_account.get(run.account, Resources())
        self.usage_by_account[run.account] = Resources(
            cpu=used.cpu + sign * demand.cpu,
            memory_mb=used.memory_mb + sign * demand.memory_mb,
            accelerators=used.accelerators + sign * demand.accelerators,
        )

    def get_usage(self, account):
        """Return what an account has running."""
        return self.usage_by_account.get(account, Resources())
