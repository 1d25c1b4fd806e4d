"""Passive health checks: which workers are excluded from new tasks.

Load: a worker that fails each task at once looks idle and would attract all
tasks of its pool. It is ejected for some time when its tasks fail while those
of the other workers of its pool succeed. A request that can never succeed
fails on all workers, so it ejects none.
"""

from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['WorkerHealth']

FAILURES_TO_EJECT = 3
EWMA_WEIGHT = 0.2
MAX_POOL_FAILURE_RATE = 0.3
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 120.0
DRAINING_EXCLUSION_S = 5.0
MAX_EJECTED_FRACTION = 0.5
LOG = logs.get_log('health')


class _Record:
    """Recent failures and exclusion of one worker.

    :ivar failure_rate: moving average of outcomes; 1 is a failure.
    :ivar ejections: ejections since the record was created.
    :ivar exclusion_ends_at_s: instant on the boot clock; 0 if never excluded.
    :ivar reason: why it was excluded last.
    """

    __slots__ = (
        'failure_rate',
        'consecutive_failures',
        'ejections',
        'exclusion_ends_at_s',
        'reason',
    )

    def __init__(self):
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejections = 0
        self.exclusion_ends_at_s = 0.0
        self.reason = ''


class WorkerHealth:
    """Health of all workers, derived from the outcomes of their tasks.

    A worker without a record has no recent failures.

    :param configuration: the configuration in force.
    """

    def __init__(self, *, configuration):
        self.configuration = configuration
        self.on_changed = []
        self.not_live = set()
        self._records = {}

    def record_success(self, vm):
        """Record a successful task; drop the record after recovery."""
        record = self._records.get(vm.vm)
        if record is None:
            return
        record.consecutive_failures = 0
        record.failure_rate *= 1 - EWMA_WEIGHT
        if record.failure_rate < EWMA_WEIGHT:
            del self._records[vm.vm]

    def record_failure(self, vm, reason):
        """Record a failed task; eject the worker after several in a row.

        Each ejection of the same worker is twice as long as the last one, up
        to ``MAX_EJECTION_S``. After it, one more failure ejects it again.
        """
        record = self._records.setdefault(vm.vm, _Record())
        record.consecutive_failures += 1
        record.failure_rate += EWMA_WEIGHT * (1 - record.failure_rate)
        failing = record.consecutive_failures >= FAILURES_TO_EJECT
        if failing and self._may_eject(vm):
            ejection_s = min(
                MAX_EJECTION_S, BASE_EJECTION_S * 2**record.ejections
            )
            record.ejections += 1
            record.consecutive_failures = FAILURES_TO_EJECT - 1
            self._exclude(vm, record, ejection_s, reason)
            LOG.warning(
                'worker ejected after repeated failures',
                vm=vm.vm,
                reason=reason,
                s=ejection_s,
            )

    def record_draining(self, vm):
        """Exclude a worker that refused a task because it is draining."""
        record = self._records.setdefault(vm.vm, _Record())
        self._exclude(vm, record, DRAINING_EXCLUSION_S, 'draining')

    def handle_vm_list(self, listed):
        """Replace the set of VMs that are not live from the platform's list.

        An empty list is treated as missing information, not as a platform
        without VMs: all known VMs count as live.

        :param listed: list of :class:`arbutusrock.links.table.ListedVM`.
        :returns: names of known VMs that are leaving or gone.
        """
        live = {item.vm for item in listed if item.state == 'live'}
        known = self.configuration.objects['vm']
        not_live = known.keys() - live if listed else set()
        self.set_not_live(not_live)
        return not_live

    def set_not_live(self, not_live):
        """Replace the set of VMs that are leaving or gone.

        :param not_live: set of VM names.
        """
        if not_live != self.not_live:
            self.not_live = not_live
            self._notify_changed()

    def find_excluded(self, pool):
        """Return the names of a pool's VMs that get no new tasks now."""
        excluded = self.find_unhealthy()
        return {
            vm.vm
            for vm in self.configuration.pool_vms.get(pool, ())
            if vm.vm in excluded
        }

    def find_unhealthy(self):
        """Return the names of VMs that use up availability budgets."""
        now = clocks.now_s()
        return self.not_live | {
            name
            for name, record in self._records.items()
            if record.exclusion_ends_at_s > now
        }

    def explain_exclusion(self, vm):
        """Return why a VM gets no new tasks; an empty string if it does."""
        if vm in self.not_live:
            return 'the platform lists it as leaving or gone'
        record = self._records.get(vm)
        if record and record.exclusion_ends_at_s > clocks.now_s():
            return record.reason
        return ''

    def _exclude(self, vm, record, duration_s, reason):
        record.exclusion_ends_at_s = clocks.now_s() + duration_s
        record.reason = reason
        self._notify_changed()

    def _notify_changed(self):
        for handler in self.on_changed:
            handler()

    def _may_eject(self, vm):
        """Return whether the pool stays usable without this worker.

        The last worker of a pool is never ejected, and none is while the
        other workers fail as well, or when that would exclude more than
        ``MAX_EJECTED_FRACTION`` of the pool.
        """
        others = [
            item.vm
            for item in self.configuration.pool_vms.get(vm.pool, ())
            if item.vm != vm.vm
        ]
        if not others:
            return False
        rates = [
            self._records[name].failure_rate if name in self._records else 0.0
            for name in others
        ]
        if sum(rates) / len(rates) > MAX_POOL_FAILURE_RATE:
            return False
        ejected = self.find_excluded(vm.pool) & set(others)
        return len(ejected) + 1 <= MAX_EJECTED_FRACTION * (len(others) + 1)
