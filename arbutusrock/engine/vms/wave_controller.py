"""Sends the VMs of maintenance waves to their maintenance.

A wave is reported as completed once the VM service has answered for each of
its VMs that the maintenance has begun, or that there is no such VM.
"""

import msgspec

from arbutusrock.engine.ports import feeds
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.ports import rows
from arbutusrock.engine.vms import vm_registry as vm_registry_module
from arbutusrock.engine.vms import vm_views
from arbutusrock import logs
from arbutusrock.scheduling import wave_selection
from arbutusrock.utils import clocks
from arbutusrock.utils import decoders

__all__ = ['WaveController', 'WaveRecord']

LOG = logs.get_log('vms')


class WaveRecord(msgspec.Struct, kw_only=True):
    """Row with the progress of a wave.

    :param began_ms: Unix time at which an owner first saw the wave.
    :param done: VMs that have begun their maintenance or are gone.
    :param completed: whether all VMs of the wave are done.
    """

    began_ms: float
    done: list[str] = []
    completed: bool = False


class WaveController:
    """Chooses which VMs go to maintenance, and reports waves as completed.

    A VM gets its order once it is empty. Until then its worker is cordoned,
    and evacuated by the evacuation controller.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param vm_registry: :class:`arbutusrock.engine.vms.vm_registry.VMRegistry`.
    :param issue_order: sends an order, see
        :meth:`arbutusrock.engine.vms.vm_controller.VMController.issue_order`.
    :param state_writer: writes the progress of waves.
    :param store: client of the store.
    :param encode_wave_status: encodes the report for operators.
    """

    def __init__(
        self,
        *,
        term,
        vm_registry,
        issue_order,
        state_writer,
        store,
        encode_wave_status,
    ):
        self.term = term
        self.vm_registry = vm_registry
        self.issue_order = issue_order
        self.state_writer = state_writer
        self.store = store
        self.encode_wave_status = encode_wave_status
        self.records = {}
        # VMs of waves that no list has shown, and when the first list that
        # lacked them was requested.
        self._absent_since_s = {}
        self._reported_waves = {}
        # Version of the status row of each wave, as far as known.
        self._status_versions = {}

    @property
    def misses_vms(self):
        """Whether lists lack a VM of a wave."""
        return bool(self._absent_since_s)

    async def load_records(self):
        """Read the progress of all waves."""
        found, _ = await feeds.read_with_retries(
            self.store, rows.TABLE_WAVES, (rows.OWNER_PART,)
        )
        for row in found:
            try:
                record = decoders.decode_msgpack(row.value, WaveRecord)
                self.records[int(row.key)] = record
            except ValueError as exc:
                # The wave begins anew.
                LOG.error(
                    'the progress of a wave cannot be decoded',
                    wave=row.key,
                    error=str(exc),
                )

    async def reconcile(self, now_s):
        """Advance all waves, and report which are completed."""
        self.term.vms_to_drain = {
            vm
            for number, wave in self.term.configuration.waves.items()
            if number in self.records and not self.records[number].completed
            for vm in set(wave.vms) - set(self.records[number].done)
        }
        for number, wave in sorted(self.term.configuration.waves.items()):
            record = self.records.get(number)
            if record is None:
                record = self.records[number] = WaveRecord(
                    began_ms=clocks.wall_time_s() * 1000
                )
                self.write_record(number, record)
            if not record.completed:
                self._reconcile_wave(wave, record, now_s)
            await self._report_wave(number, record)

    def _reconcile_wave(self, wave, record, now_s):
        pending = self._find_pending_vms(wave, record)
        if set(wave.vms) <= set(record.done):
            record.completed = True
            LOG.info('a wave is completed', wave=wave.number)
            self.write_record(wave.number, record)
            return
        elapsed_s = clocks.wall_time_s() - record.began_ms / 1000
        pool_loads = vm_views.compute_pool_loads(self.term.fleet)
        chosen = wave_selection.choose_wave_vms(
            pending,
            down=self.vm_registry.count_unavailable(wave.number),
            max_down=wave.most_at_once,
            time_left_s=wave.duration_s - elapsed_s,
            maintenance_s=self.term.settings.maintenance_s,
            pool_loads=pool_loads,
        )
        workers = vm_views.map_workers_by_vm(self.term.fleet)
        for chosen_vm in chosen:
            tracked = self.vm_registry.vms[chosen_vm.vm]
            worker = workers.get(chosen_vm.vm)
            if tracked.cordoned_wave is None:
                LOG.info(
                    'a VM is evacuated for a wave',
                    vm=chosen_vm.vm,
                    wave=wave.number,
                    runs=len(worker.runs) if worker else 0,
                    pool_load=round(pool_loads.get(chosen_vm.pool, 0.0), 2),
                )
            tracked.cordoned_wave = wave.number
            if worker is not None and not worker.cordon_reason:
                worker.cordon_reason = 'wave'
            is_empty = vm_views.is_empty(
                tracked,
                worker,
                leases_inherited=now_s < self.term.inherited_leases_end_at_s,
            )
            if (
                is_empty
                and now_s >= tracked.backoff_until_s
                and self._may_go_down(wave)
            ):
                self.issue_order(tracked, worker, wave=wave, record=record)

    def _may_go_down(self, wave):
        """Return whether one more VM of a wave may go down now."""
        down = self.vm_registry.count_unavailable(wave.number)
        return down < wave.most_at_once

    def _find_pending_vms(self, wave, record):
        """Return the VMs of a wave that can be sent to maintenance.

        VMs with a pending order, and those that accept no order now, are left
        out; they stay part of the wave. Only an answer of the VM service to
        an order shows that a VM has begun its maintenance or is gone: one
        list may lack a VM that is there, and a VM that is listed in
        maintenance may be there for another wave. So such VMs get an order,
        which changes nothing when it was carried out before.
        """
        workers = vm_views.map_workers_by_vm(self.term.fleet)
        done = set(record.done)
        pending = []
        for name in wave.vms:
            tracked = self.vm_registry.vms.get(name)
            if name in done or (tracked is not None and tracked.order):
                continue
            worker = workers.get(name)
            if tracked is None:
                self._ask_for_absent_vm(name, worker, wave, record)
                continue
            self._absent_since_s.pop(name, None)
            in_maintenance = (
                tracked.entry.state is platform_messages.VMState.UPKEEP
                and tracked.missing_since_s is None
            )
            if in_maintenance and not (worker and worker.runs):
                if clocks.now_s() >= tracked.backoff_until_s:
                    self.issue_order(tracked, worker, wave=wave, record=record)
                continue
            if not tracked.accepts_orders:
                continue
            pending.append(
                vm_views.create_wave_vm(
                    tracked,
                    worker,
                    wave.number,
                    leases_inherited=clocks.now_s()
                    < self.term.inherited_leases_end_at_s,
                )
            )
        return pending

    def _ask_for_absent_vm(self, name, worker, wave, record):
        """Order the maintenance of a VM that is not listed, if it is idle.

        The VM service refuses the order if there is no such VM.
        """
        listed_at_s = self.vm_registry.listed_at_s
        since_s = self._absent_since_s.setdefault(name, listed_at_s)
        absent_s = listed_at_s - since_s
        if (
            worker is not None
            or absent_s <= vm_registry_module.MISSING_GRACE_S
            or not self._may_go_down(wave)
        ):
            return
        del self._absent_since_s[name]
        tracked = self.vm_registry.add_absent(name)
        LOG.info('a VM of a wave is not listed', vm=name, wave=wave.number)
        self.issue_order(tracked, None, wave=wave, record=record)

    def write_record(self, number, record):
        """Store the progress of a wave with the next flush."""
        self.state_writer.enqueue_row(
            rows.Row(
                table=rows.TABLE_WAVES,
                key=str(number),
                value=msgspec.msgpack.encode(record),
            )
        )

    async def _report_wave(self, number, record):
        """Write for the operator whether a wave is completed.

        A write that fails is repeated in the next pass. It depends on the
        version of the row, so that an earlier one that was not answered
        changes nothing if it is carried out later.
        """
        if self._reported_waves.get(number) == record.completed:
            return
        row = rows.Row(
            table=rows.TABLE_REPORTS,
            part='',
            key=f'wave/{number}',
            value=self.encode_wave_status(
                number=number, completed=record.completed
            ),
            version=self._status_versions.get(number, 0),
        )
        try:
            version = await self.store.transact(expected=[row], puts=[row])
        except rows.Conflicted as exc:
            self._status_versions[number] = max(
                (found.version for found in exc.rows), default=0
            )
            return
        except (rows.StoreRefused, rows.StoreSilent) as exc:
            LOG.info(
                'the status of a wave could not be written', error=str(exc)
            )
            return
        self._status_versions[number] = version
        self._reported_waves[number] = record.completed
