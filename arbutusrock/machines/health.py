"""Which workers refuse or fail work now.

A worker that fails everything looks idle and would draw all work. It is
ejected when it fails while the other workers of its pool do not, so that a
request that can never succeed ejects nobody.
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
    """Passive health of all workers, from the outcome of tasks.

    :param configuration: the configuration in force.
    """

    def __init__(self, *, configuration):
        self.configuration = configuration
        self.on_changed = []
        self.not_live = set()
        self._records = {}

    def record_success(self, vm):
        """Note that a task on a worker succeeded."""
        record = self._records.get(vm.vm)
        if record is None:
            return
        record.consecutive_failures = 0
        record.failure_rate *= 1 - EWMA_WEIGHT
        if record.failure_rate < EWMA_WEIGHT:
            del self._records[vm.vm]

    def record_failure(self, vm, reason):
        """Note that a worker failed a task; eject it when it is sick."""
        record = self._records.setdefault(vm.vm, _Record())
        record.consecutive_failures += 1
        record.failure_rate += EWMA_WEIGHT * (1 - record.failure_rate)
        sick = record.consecutive_failures >= FAILURES_TO_EJECT
        if sick and self._may_eject(vm):
            pause_s = min(
                MAX_EJECTION_S, BASE_EJECTION_S * 2**record.ejections
            )
            record.ejections += 1
            record.consecutive_failures = FAILURES_TO_EJECT - 1
            self._exclude(vm, record, pause_s, reason)
            LOG.warning(
                'a worker is ejected', vm=vm.vm, reason=reason, s=pause_s
            )

    def record_draining(self, vm):
        """Note that a worker refuses new tasks because it drains."""
        record = self._records.setdefault(vm.vm, _Record())
        self._exclude(vm, record, DRAINING_EXCLUSION_S, 'draining')

    def handle_vm_list(self, listed):
        """Take over the platform's list of VMs.

        :param listed: list of :class:`arbutusrock.links.table.ListedVM`.
        :returns: names of known VMs that are leaving or gone.
        """
        live = {item.vm for item in listed if item.state == 'live'}
        known = self.configuration.objects['vm']
        away = known.keys() - live if listed else set()
        self.set_not_live(away)
        return away

    def set_not_live(self, not_live):
        """Take over which VMs are leaving or gone."""
        if not_live != self.not_live:
            self.not_live = not_live
            self._notify_changed()

    def find_excluded(self, pool):
        """Return names of a pool's VMs that get no work now."""
        now = clocks.now_s()
        refused = {
            name
            for name, record in self._records.items()
            if record.exclusion_ends_at_s > now
        }
        return refused | self.not_live

    def find_unhealthy(self):
        """Return names of VMs that count as unavailable."""
        now = clocks.now_s()
        return self.not_live | {
            name
            for name, record in self._records.items()
            if record.exclusion_ends_at_s > now
        }

    def explain_exclusion(self, vm):
        """Return why a VM gets no work, or an empty string."""
        if vm in self.not_live:
            return 'the platform lists it as leaving or gone'
        record = self._records.get(vm)
        if record and record.exclusion_ends_at_s > clocks.now_s():
            return record.reason
        return ''

    def _exclude(self, vm, record, seconds, reason):
        record.exclusion_ends_at_s = clocks.now_s() + seconds
        record.reason = reason
        self._notify_changed()

    def _notify_changed(self):
        for handler in self.on_changed:
            handler()

    def _may_eject(self, vm):
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
