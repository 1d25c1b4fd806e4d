"""Moves VMs between pools, and carries out orders to VMs."""

import asyncio

import msgspec

from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.term import term as term_module
from arbutusrock.engine.vms import vm_registry
from arbutusrock.engine.vms import vm_views
from arbutusrock.engine.vms import wave_controller
from arbutusrock.engine.workers import fleet
from arbutusrock import logs
from arbutusrock.scheduling import consolidation
from arbutusrock.scheduling import pool_sizing
from arbutusrock.utils import clocks

__all__ = ['VMController']

PASS_INTERVAL_S = 0.1
# Interval of listing VMs while no order is pending, and while one is.
LIST_INTERVAL_S = 5.0
BUSY_LIST_INTERVAL_S = 0.7
# Largest age of what a list of VMs shows.
MAX_LIST_AGE_S = 1.0
RETRY_DELAY_S = 0.15
# Most VMs that one pool evacuates in one pass.
MAX_EVACUATED_PER_PASS = 3
# A VM whose order was refused gets no other one for this time.
REFUSED_BACKOFF_S = 3.0
# Margin on the announced duration of an order, before the order may count as
# over.
ORDER_MARGIN_S = 0.3
LOG = logs.get_log('vms')


class VMController:
    """Resizes pools by moving VMs, and sends VMs of waves to maintenance.

    A VM gets an order once it is empty.

    :param term: :class:`term_module.Term`.
    :param state_writer: writes the progress of waves.
    :param run_controller:
        :class:`arbutusrock.engine.runs.run_controller.RunController`.
    :param store: client of the store.
    :param adapter: has the client of the VM service as ``vm_client``, and
        ``encode_wave_status``.
    :param spawn: starts a task whose failure ends the term.
    """

    def __init__(
        self, *, term, state_writer, run_controller, store, adapter, spawn
    ):
        self.term = term
        self.run_controller = run_controller
        self.client = adapter.vm_client
        self.spawn = spawn
        self.vm_registry = vm_registry.VMRegistry()
        self.waves = wave_controller.WaveController(
            term=term,
            vm_registry=self.vm_registry,
            issue_order=self.issue_order,
            state_writer=state_writer,
            store=store,
            encode_wave_status=adapter.encode_wave_status,
        )

    async def run(self):
        """Reconcile VMs in each interval until the ownership ends.

        While the owner is behind, pools are sized less often. Lists of VMs
        and waves go on, as rules depend on them.
        """
        await self.waves.load_records()
        resize_due_at_s = 0.0
        while True:
            await asyncio.sleep(PASS_INTERVAL_S)
            await self._refresh_vms()
            if (
                self.vm_registry.listed_at_s is None
                or not self.term.configuration.current
            ):
                continue
            now_s = clocks.now_s()
            self._update_orders(now_s)
            if self._may_send_orders(now_s):
                # The list must first show which VMs an earlier owner has sent
                # to maintenance.
                if (
                    self.vm_registry.listed_at_s
                    > self.term.began_at_s + MAX_LIST_AGE_S
                ):
                    await self.waves.reconcile(now_s)
                if clocks.now_s() < resize_due_at_s:
                    continue
                load = self.term.load
                took_s = load.run_part(self._resize_pools, now_s)
                resize_due_at_s = clocks.now_s() + load.compute_pause_s(
                    0.0, took_s
                )

    def _may_send_orders(self, now_s):
        return (
            not self.term.holds_orders
            and not self.term.stopping
            and self.term.is_confirmed_at(now_s)
        )

    async def _refresh_vms(self):
        now_s = clocks.now_s()
        busy = self.waves.misses_vms or any(
            tracked.order or tracked.missing_since_s is not None
            for tracked in self.vm_registry.vms.values()
        )
        # Without the store, only the list shows the capacity of workers.
        busy = busy or not self.term.is_confirmed_at(now_s)
        early = now_s < self.term.began_at_s + 2 * MAX_LIST_AGE_S
        interval_s = BUSY_LIST_INTERVAL_S if busy or early else LIST_INTERVAL_S
        if (
            self.vm_registry.listed_at_s is not None
            and now_s - self.vm_registry.listed_at_s < interval_s
        ):
            return
        entries = await self.client.list_vms()
        if entries is None:
            return
        if self.vm_registry.listed_at_s is None:
            LOG.info('VMs are listed', vms=len(entries))
        self.vm_registry.update(entries, now_s, self._get_order_duration_s)
        for entry in entries:
            worker = self.term.fleet.workers.get(entry.worker_id)
            if worker is not None and entry.capacity.cpu > 0:
                worker.listed_capacity = entry.capacity
                worker.listed_at_s = now_s

    def _get_order_duration_s(self, order):
        settings = self.term.settings
        if order.wave_number is None:
            return settings.move_s + ORDER_MARGIN_S
        return settings.maintenance_s + ORDER_MARGIN_S

    def _update_orders(self, now_s):
        """End orders that are over, and record since when VMs are empty.

        An order is over when a new worker on the VM has answered. A VM that
        was moved to a spare pool is switched off and has none: its order is
        over once the announced duration and a margin have passed.
        """
        workers = vm_views.map_workers_by_vm(self.term.fleet)
        current = self.term.configuration.current
        for name, tracked in self.vm_registry.vms.items():
            worker = workers.get(name)
            order = tracked.order
            if order is not None and order.confirmed_at_s is not None:
                target_pool = current.pools.get(order.target)
                switched_off = (
                    order.wave_number is None
                    and target_pool is not None
                    and target_pool.spare
                    and now_s
                    > order.confirmed_at_s
                    + self.term.settings.move_s
                    + ORDER_MARGIN_S
                )
                if switched_off or (
                    worker is not None and worker.has_answered
                ):
                    self._finish_order(tracked, order)
            if worker is None or worker.runs:
                tracked.empty_since_s = None
                tracked.was_used = tracked.was_used or worker is not None
            elif tracked.empty_since_s is None:
                tracked.empty_since_s = now_s

    @staticmethod
    def _finish_order(tracked, order):
        """End an order, and show its result until the next list does."""
        tracked.order = None
        tracked.entry = msgspec.structs.replace(
            tracked.entry,
            pool=order.target,
            state=platform_messages.VMState.UP,
        )

    # Pools.

    def _resize_pools(self, now_s):
        views = vm_views.create_pool_views(self.term, self.vm_registry, now_s)
        max_moves = int(self.term.settings.vm_calls_per_s * PASS_INTERVAL_S)
        plan = pool_sizing.plan_moves(views, max_moves=max(1, max_moves))
        if plan.moves:
            LOG.info('pools are resized', **_describe_pools(views))
        workers = vm_views.map_workers_by_vm(self.term.fleet)
        for move in plan.moves:
            tracked = self.vm_registry.vms[move.vm]
            LOG.info(
                'a VM is moved',
                vm=move.vm,
                origin=move.origin,
                target=move.target,
            )
            self.issue_order(tracked, workers.get(move.vm), target=move.target)

        for pool in self.term.configuration.current.pools:
            surplus = plan.busy_surplus.get(pool, 0) if plan.unmet else 0
            self._evacuate_vms(pool, surplus)

    def _evacuate_vms(self, pool, surplus):
        """Evacuate VMs of a pool with a surplus, for pools that lack VMs.

        Without a surplus, VMs that were cordoned for this and are still
        there return to service.
        """
        chosen = set(
            consolidation.choose_vms_to_evacuate(
                vm_views.create_loaded_vms(self.term.fleet, pool),
                min(surplus, MAX_EVACUATED_PER_PASS),
            )
        )
        for worker in self.term.fleet.find_pool_workers(pool):
            if worker.vm in chosen:
                LOG.info(
                    'a VM is evacuated for another pool',
                    vm=worker.vm,
                    pool=pool,
                    runs=len(worker.runs),
                )
                worker.cordon_reason = vm_views.CORDON_SHRINK
                for run in list(worker.runs.values()):
                    self.run_controller.stop_run(
                        run, 'its VM moves to another pool'
                    )
            elif (
                worker.cordon_reason == vm_views.CORDON_SHRINK and not surplus
            ):
                worker.cordon_reason = ''
                self.term.request_dispatch()

    # Orders.

    def issue_order(
        self, tracked, worker, *, target=None, wave=None, record=None
    ):
        order = vm_registry.VMOrder(
            target=target or tracked.entry.pool,
            begun_at_s=clocks.now_s(),
            wave_number=wave.number if wave else None,
        )
        tracked.order = order
        tracked.was_used = True
        if worker is not None:
            worker.cordon_reason = vm_views.CORDON_ORDER
        self.spawn(self._execute_order(tracked, worker, order, wave, record))

    async def _execute_order(self, tracked, worker, order, wave, record):
        """Send an order until its outcome is known, and apply that.

        It is sent only while the ownership is confirmed.

        :raises term_module.OwnershipLost: the VM service has seen a higher
            fencing token, of another owner.
        """
        vm, epoch = tracked.entry.vm, self.term.epoch
        while True:
            if not self._may_send_orders(clocks.now_s()):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if wave is None:
                outcome = await self.client.move_vm(vm, order.target, epoch)
            else:
                outcome = await self.client.start_maintenance(
                    vm, wave.number, epoch
                )
            match outcome:
                case (
                    platform_messages.VMOutcome.THROTTLED
                    | platform_messages.VMOutcome.UNKNOWN
                ):
                    await asyncio.sleep(RETRY_DELAY_S)
                case platform_messages.VMOutcome.FENCED:
                    raise term_module.OwnershipLost(vm)
                case _:
                    break
        LOG.info(
            'an order to a VM is answered',
            vm=vm,
            wave=order.wave_number,
            target=order.target,
            outcome=outcome.value,
        )
        self._apply_outcome(tracked, worker, order, outcome, wave, record)

    def _apply_outcome(self, tracked, worker, order, outcome, wave, record):
        done = outcome is platform_messages.VMOutcome.DONE
        gone = outcome in {
            platform_messages.VMOutcome.INVALID,
            platform_messages.VMOutcome.WRONG_WAVE,
        }
        if wave is not None and (done or gone):
            record.done.append(tracked.entry.vm)
            tracked.cordoned_wave = None
            self.waves.write_record(wave.number, record)
        if done:
            order.confirmed_at_s = clocks.now_s()
            if worker is not None:
                self.run_controller.end_incarnation(
                    worker, fleet.IncarnationEnd.MOVED
                )
            return
        tracked.order = None
        tracked.backoff_until_s = clocks.now_s() + REFUSED_BACKOFF_S
        if worker is not None:
            worker.cordon_reason = (
                'wave' if tracked.cordoned_wave is not None else ''
            )
        self.term.request_dispatch()


def _describe_pools(views):
    """Return the figures that decided on moves, by pool, in whole cores."""
    return {
        view.name: (
            f'vms={len(view.vms)}'
            f' evacuated={sum(vm.cordoned for vm in view.vms)}'
            f' lasting={view.long_running_millicores // 1000}'
            f' lasting_vms={view.long_running_vms}'
            f' needed={view.needed_millicores / 1000:.0f}'
            f' overdue={view.overdue_millicores / 1000:.0f}'
            f' expected={view.expected_millicores / 1000:.0f}'
            f' used={view.used_millicores // 1000} standby={view.standby_vms}'
        )
        for view in views
    }
