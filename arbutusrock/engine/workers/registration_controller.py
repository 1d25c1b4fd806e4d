"""Follows the registrations of workers in the store.

Workers that register are added to the fleet, and those whose registration
lapses are removed. An entry alone ends no incarnation: another program may
have written it, and the store may carry a report out late. That a worker was
restarted, or that its VM runs another one, is taken from the answer of the
incarnation that is there now.
"""

import asyncio

import msgspec

from arbutusrock.engine.ports import feeds
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.ports import rows
from arbutusrock.engine.workers import fleet as fleet_module
from arbutusrock import logs
from arbutusrock.scheduling import dark_workers
from arbutusrock.utils import clocks

__all__ = ['RegistrationController']

# Longest time that the store holds back its reply while nothing changes.
WATCH_TIMEOUT_S = 2.0
# Each worker writes about once a second, so changes within this time are read
# in one call.
BATCH_DELAY_S = 0.1
# Time until a worker without a registration counts as gone. A registration
# that lapsed while the store was unreachable is back within about two seconds.
UNREGISTERED_GRACE_S = 2.5
# A worker that still registers this many report intervals after its
# incarnation was taken as over is running after all.
REVIVAL_INTERVALS = 2
# Interval of the checks for unresponsive and unregistered workers.
SWEEP_INTERVAL_S = 0.25
LOG = logs.get_log('registry')


class RegistrationController:
    """Keeps the workers of the fleet in step with the store's registrations.

    :param term: :class:`term_module.Term`.
    :param store: client of the store.
    :param decode: turns a row's value into
        :class:`platform_messages.WorkerEntry`.
    :param run_controller: removes the runs of workers that are gone.
    :param connect: called with each new :class:`fleet_module.WorkerState`.
    """

    def __init__(self, *, term, store, decode, run_controller, connect):
        self.term = term
        self.store = store
        self.decode = decode
        self.run_controller = run_controller
        self.connect = connect
        # Newest entry of a later incarnation by worker, while the known one is
        # not known to be over.
        self._later_entries = {}
        self._revival_delay_s = (
            REVIVAL_INTERVALS * term.settings.worker_report_s
        )

    def load(self, listed, roster, find_tasks=lambda _worker_ids: None):
        """Add all registered workers and those that the earlier owner used.

        :param listed: rows of all registrations, read after the claim.
        :param roster: workers that the earlier owner used: id to (pool, VM).
        :param find_tasks: returns the names of the tasks that may run on
            workers of the roster, or None for any.
        """
        entries = [self.decode(row.key, row.value) for row in listed]
        entries = [entry for entry in entries if entry is not None]
        may_hold_runs = find_possible_holders(entries, roster)
        for entry in entries:
            holders = may_hold_runs.get(entry.worker_id, ())
            self._add(
                entry,
                inherited_lease=self._find_inherited_lease(holders),
                inherited_tasks=find_tasks(holders),
                loaded=True,
            )
        self._add_unregistered(roster, find_tasks)
        self.term.phases.expect_workers(len(may_hold_runs))
        named = self.term.named_leases.keys() & roster.keys()
        LOG.info(
            'the roster of the earlier owner is read',
            roster=len(roster),
            registered=len(entries),
            may_hold_runs=len(may_hold_runs),
            named=len(named),
            waited_for=self.term.inherited_waits.begin(named),
            possible_tasks=len(
                self.term.fleet.find_inherited_tasks(clocks.now_s())
            ),
            unregistered=len(self.term.fleet.workers) - len(entries),
        )

    def _find_inherited_lease(self, worker_ids):
        return dark_workers.find_inherited_lease(
            worker_ids,
            self.term.named_leases,
            self.term.inherited_leases_end_at_s,
        )

    def _add_unregistered(self, roster, find_tasks):
        """Add workers of the earlier owner that are not registered.

        The runs that it started there may go on until their lease expires.
        """
        workers = self.term.fleet.workers
        vms = {worker.entry.vm for worker in workers.values()}
        for worker_id, (pool, vm) in roster.items():
            if worker_id in workers or (vm and vm in vms):
                continue
            entry = platform_messages.WorkerEntry(
                worker_id=worker_id, pool=pool, address='', vm=vm
            )
            unregistered = fleet_module.WorkerState(
                entry=entry,
                now_s=clocks.now_s(),
                inherited_lease=self._find_inherited_lease([worker_id]),
                inherited_tasks=find_tasks([worker_id]),
                cordons=self.term.cordons,
                withheld=self.term.dark_workers,
            )
            unregistered.unregistered_since_s = clocks.now_s()
            unregistered.unresponsive = True
            workers[worker_id] = unregistered

    def _add(
        self,
        entry,
        *,
        inherited_lease=None,
        inherited_tasks=None,
        loaded=False,
    ):
        worker = fleet_module.WorkerState(
            entry=entry,
            now_s=clocks.now_s(),
            inherited_lease=inherited_lease,
            inherited_tasks=inherited_tasks,
            cordons=self.term.cordons,
            withheld=self.term.dark_workers,
        )
        self.term.fleet.workers[entry.worker_id] = worker
        if not (inherited_lease or loaded):
            LOG.info(
                'a worker is registered',
                worker=entry.worker_id,
                pool=entry.pool,
                vm=entry.vm,
                draining=entry.draining,
            )
        self.run_controller.crash_tracker.resolve_vm(entry)
        self.term.request_flush()
        self.connect(worker)
        return worker

    async def run(self, version):
        """Apply changes until the ownership ends."""
        await feeds.follow_table(
            self.store,
            rows.TABLE_WORKERS,
            apply=self._apply_rows,
            parts=('',),
            wait_s=WATCH_TIMEOUT_S,
            version=version,
            batch_delay_s=BATCH_DELAY_S,
        )

    def _apply_rows(self, found, whole, _version):
        for row in found:
            self._apply_row(row)
        if not whole:
            return
        registered = {row.key for row in found}
        for worker_id in self.term.fleet.workers:
            if worker_id not in registered:
                self._record_unregistered(worker_id)

    def _apply_row(self, row):
        if row.value is None:
            self._record_unregistered(row.key)
            return
        entry = self.decode(row.key, row.value)
        if entry is None:
            return
        worker = self.term.fleet.workers.get(entry.worker_id)
        if worker is not None and not worker.entry.address:
            # Added from the roster, without an address, and now registered:
            # runs of an earlier owner may still be there.
            del self.term.fleet.workers[entry.worker_id]
            successor = self._add(
                entry,
                inherited_lease=worker.inherited_lease,
                inherited_tasks=worker.inherited_tasks,
            )
            self.run_controller.crash_tracker.replace_worker(worker, successor)
            return
        if worker is not None and not worker.ended:
            if self._is_of_incarnation(worker, entry):
                self._update(worker, entry)
            return
        if (
            worker is not None
            and entry.born_ms <= worker.entry.born_ms
            and clocks.now_s() - worker.ended_at_s < self._revival_delay_s
        ):
            # A late registration of an incarnation that is known to be over.
            return
        self._add_successor(entry, worker)

    def _add_successor(self, entry, worker):
        """Add a worker.

        :param worker: an earlier incarnation under its id, or None.
        """
        rivals = self._find_rivals(entry)
        successor = self._add(entry)
        successor.rivals = rivals
        self.run_controller.unanswered_orders.revoke(worker, successor)

    def _is_of_incarnation(self, worker, entry):
        """Return whether an entry is a report of a known incarnation.

        One of a later incarnation is kept until the worker itself shows that
        the known one is over.
        """
        known = worker.entry
        if entry.born_ms > known.born_ms:
            self._later_entries[entry.worker_id] = entry
        elif entry.born_ms == known.born_ms and (
            (entry.address, entry.pool) == (known.address, known.pool)
        ):
            return True
        LOG.info(
            'an entry is not of the incarnation that is known',
            worker=entry.worker_id,
            born_ms=entry.born_ms,
            known_born_ms=known.born_ms,
            pool=entry.pool,
            known_pool=known.pool,
        )
        return False

    def _update(self, worker, entry):
        if entry.draining and not worker.entry.draining:
            LOG.info(
                'a worker drains',
                worker=entry.worker_id,
                vm=entry.vm,
                leaves_in_ms=entry.leaves_in_ms,
                runs=len(worker.runs),
            )
        if worker.unregistered_since_s is not None:
            LOG.info('a worker is registered again', worker=entry.worker_id)
        worker.unregistered_since_s = None
        resized = entry.capacity != worker.entry.capacity
        if resized:
            LOG.info(
                'the capacity of a worker has changed',
                worker=entry.worker_id,
                vm=entry.vm,
                before=msgspec.structs.astuple(worker.entry.capacity),
                after=msgspec.structs.astuple(entry.capacity),
                used_millicores=worker.used_millicores,
            )
        drains = entry.draining != worker.entry.draining
        worker.entry = entry
        worker.entry_read_at_s = clocks.now_s()
        if drains or resized:
            self.term.request_dispatch()

    def _find_rivals(self, entry):
        """Return the earlier workers on the VM: it runs one at a time."""
        return [
            worker
            for worker in self.term.fleet.workers.values()
            if entry.vm
            and worker.entry.vm == entry.vm
            and not worker.ended
            and worker.entry.born_ms < entry.born_ms
        ]

    def _record_unregistered(self, worker_id):
        worker = self.term.fleet.workers.get(worker_id)
        if worker is not None and worker.unregistered_since_s is None:
            worker.unregistered_since_s = clocks.now_s()
            LOG.info('a worker is no longer registered', worker=worker_id)

    async def sweep(self):
        """Check all workers until the ownership ends.

        Removes workers that are gone, and queues the tasks of those whose
        lease has expired again.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = clocks.now_s()
            self.run_controller.unanswered_orders.drop_expired(now_s)
            for worker_id, worker in list(self.term.fleet.workers.items()):
                self._sweep_worker(worker_id, worker, now_s)

    def _sweep_worker(self, worker_id, worker, now_s):
        unregistered_since_s = worker.unregistered_since_s
        is_gone = (
            unregistered_since_s is not None
            and now_s - unregistered_since_s > UNREGISTERED_GRACE_S
        )
        if worker.ended:
            entry = self._later_entries.pop(worker_id, None)
            if entry is not None and entry.born_ms > worker.entry.born_ms:
                self._add_successor(entry, worker)
                return
            if is_gone or (unregistered_since_s and not worker.runs):
                self.run_controller.requeue_runs(worker)
                del self.term.fleet.workers[worker_id]
            return
        if not worker.unresponsive or not worker.is_lease_expired(now_s):
            return
        self.run_controller.handle_lease_expiry(worker)
        if is_gone and self.term.is_confirmed_at(now_s):
            self.run_controller.end_incarnation(
                worker, fleet_module.IncarnationEnd.UNREGISTERED
            )


def find_possible_holders(entries, roster):
    """Return the registered workers that may hold runs of earlier owners.

    A worker gets no run before it is in the stored roster, and leaves the
    roster only when its incarnation is over. So one that is not in it holds
    none, such as a worker that ended but is still registered. Where the roster
    has a worker that is not registered, all on its VM count, as they may hide
    it.

    :param entries: registrations, read after the claim.
    :param roster: the earlier owner's: worker id to (pool, VM).
    :returns: by id, the workers in the roster whose runs it may have.
    """
    registered = {entry.worker_id for entry in entries}
    hidden = {}
    for worker_id, (_, vm) in roster.items():
        if vm and worker_id not in registered:
            hidden.setdefault(vm, []).append(worker_id)
    found = {}
    for entry in entries:
        holders = list(hidden.get(entry.vm, ()))
        if entry.worker_id in roster:
            holders.append(entry.worker_id)
        if holders:
            found[entry.worker_id] = holders
    return found
