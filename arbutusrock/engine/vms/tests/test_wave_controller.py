"""When a wave is completed, and when a VM counts as empty."""

import contextlib
import types

from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.ports import rows
from arbutusrock.engine.vms import vm_registry
from arbutusrock.engine.vms import vm_views
from arbutusrock.engine.vms import wave_controller
from arbutusrock.engine.workers import fleet
from arbutusrock.scheduling import Resources


def create_wave_controller(registry):
    """Return a controller that records orders as ``ordered``."""
    settings = types.SimpleNamespace(maintenance_s=2.0, move_s=1.5)
    ordered = []

    def issue_order(tracked, _worker, *, wave, record):
        assert record is not None
        ordered.append(tracked.entry.vm)
        tracked.order = vm_registry.VMOrder(
            target=tracked.entry.pool, begun_at_s=0.0, wave_number=wave.number
        )

    controller = wave_controller.WaveController(
        term=types.SimpleNamespace(
            fleet=fleet.Fleet(),
            settings=settings,
            inherited_leases_end_at_s=0.0,
        ),
        vm_registry=registry,
        issue_order=issue_order,
        state_writer=types.SimpleNamespace(enqueue_row=lambda row: None),
        store=None,
        encode_wave_status=None,
    )
    controller.ordered = ordered
    return controller


class LateStore:
    """Keeps one row; a call without an answer is carried out later."""

    def __init__(self):
        self.value, self.version = None, 0
        self.silent = True
        self.late_calls = []

    async def transact(self, *, puts, expected=()):
        if self.silent:
            self.late_calls.append((expected, puts))
            raise rows.StoreSilent('no answer')
        for row in expected:
            if row.version != self.version:
                raise rows.Conflicted(
                    [rows.Row(table='', key='', version=self.version)]
                )
        self.value, self.version = puts[0].value, self.version + 1
        return self.version


async def test_status_of_completed_wave_outlives_late_writes():
    """A write that was not answered may be carried out seconds later."""
    controller = create_wave_controller(vm_registry.VMRegistry())
    store = controller.store = LateStore()
    controller.encode_wave_status = lambda *, number, completed: completed
    record = wave_controller.WaveRecord(began_ms=0.0)
    await controller._report_wave(3, record)
    store.silent = False
    record.completed = True
    await controller._report_wave(3, record)
    for expected, puts in store.late_calls:
        with contextlib.suppress(rows.Conflicted):
            await store.transact(expected=expected, puts=puts)
    assert store.value is True


async def test_status_of_wave_is_written_over_an_earlier_owners():
    controller = create_wave_controller(vm_registry.VMRegistry())
    store = controller.store = LateStore()
    store.silent, store.version = False, 7
    controller.encode_wave_status = lambda *, number, completed: completed
    record = wave_controller.WaveRecord(began_ms=0.0, completed=True)
    await controller._report_wave(3, record)
    await controller._report_wave(3, record)
    assert store.value is True


def test_wave_is_not_completed_while_vm_moves():
    """A VM that is being moved to another pool is still part of the wave.

    The wave must not count as completed when this is its last VM.
    """
    entry = platform_messages.VMEntry(
        vm='m-2', pool='p', state=platform_messages.VMState.UP
    )
    registry = vm_registry.VMRegistry()
    registry.update([entry], 0.0, lambda _order: 2.0)
    tracked = registry.vms['m-2']
    tracked.order = vm_registry.VMOrder(target='q', begun_at_s=1.0)
    wave = platform_messages.WaveRequest(
        number=1, vms=('m-1', 'm-2'), duration_s=30.0, most_at_once=1
    )
    record = wave_controller.WaveRecord(began_ms=0.0, done=['m-1'])
    controller = create_wave_controller(registry)
    controller._reconcile_wave(wave, record, 2.0)
    assert not record.completed
    tracked.order = None
    record.done.append('m-2')
    controller._reconcile_wave(wave, record, 3.0)
    assert record.completed


def create_entry(name, state=platform_messages.VMState.UP):
    return platform_messages.VMEntry(vm=name, pool='p', state=state)


def reconcile_lists(lists, workers=()):
    """Reconcile a wave over m-1 and m-2 after each list of VMs.

    :param lists: entries by the instant at which the list was requested.
    :returns: ``(record, VMs that got an order)``.
    """
    registry = vm_registry.VMRegistry()
    controller = create_wave_controller(registry)
    for worker in workers:
        controller.term.fleet.workers[worker.worker_id] = worker
    wave = platform_messages.WaveRequest(
        number=1, vms=('m-1', 'm-2'), duration_s=1e9, most_at_once=1
    )
    record = wave_controller.WaveRecord(began_ms=0.0, done=['m-1'])
    for at_s, entries in lists.items():
        registry.update(entries, at_s, lambda _order: 2.0)
        controller._reconcile_wave(wave, record, at_s)
    return record, controller.ordered


def test_wave_keeps_vm_that_a_list_lacks():
    """A list is read in pages; a VM that moves meanwhile may be on none."""
    both = [create_entry('m-1'), create_entry('m-2')]
    record, ordered = reconcile_lists(
        {1.0: both, 2.0: both[:1], 3.0: both, 4.0: both[:1]},
        [create_worker('m-2')],
    )
    assert not record.completed
    assert not ordered


def test_wave_asks_about_vm_that_no_list_shows():
    """Only the VM service knows whether the VM is gone."""
    first = [create_entry('m-1')]
    record, ordered = reconcile_lists({1.0: first, 2.0: first})
    assert not record.completed
    assert not ordered
    record, ordered = reconcile_lists({1.0: first, 2.0: first, 3.5: first})
    assert not record.completed
    assert ordered == ['m-2']


def test_wave_asks_about_vm_in_maintenance_of_another_wave():
    """The list does not tell for which wave a VM is in maintenance."""
    entries = [
        create_entry('m-1'),
        create_entry('m-2', platform_messages.VMState.UPKEEP),
    ]
    record, ordered = reconcile_lists({1.0: entries})
    assert not record.completed
    assert ordered == ['m-2']


def test_wave_keeps_vm_that_is_down():
    entries = [
        create_entry('m-1'),
        create_entry('m-2', platform_messages.VMState.DOWN),
    ]
    record, ordered = reconcile_lists({1.0: entries, 9.0: entries})
    assert not record.completed
    assert not ordered


def test_wave_orders_no_more_vms_than_may_be_down():
    """Two evacuated VMs become empty at once; one may be down."""
    registry = vm_registry.VMRegistry()
    registry.update(
        [create_entry('m-1'), create_entry('m-2')], 1.0, lambda _order: 2.0
    )
    for tracked in registry.vms.values():
        tracked.cordoned_wave = 1
    controller = create_wave_controller(registry)
    wave = platform_messages.WaveRequest(
        number=1, vms=('m-1', 'm-2'), duration_s=1e9, most_at_once=1
    )
    record = wave_controller.WaveRecord(began_ms=0.0)
    controller._reconcile_wave(wave, record, 1.0)
    assert len(controller.ordered) == 1


def create_worker(name):
    entry = platform_messages.WorkerEntry(
        worker_id=f'i-{name}',
        pool='p',
        address='h:1',
        vm=name,
        capacity=Resources(cpu=8000),
    )
    return fleet.WorkerState(entry=entry, now_s=0.0)


def test_vm_of_unanswered_worker_is_not_empty():
    """The worker may have runs of an earlier owner.

    Otherwise a new owner sends a VM with serving tasks to maintenance.
    """
    entry = platform_messages.VMEntry(
        vm='m', pool='p', state=platform_messages.VMState.UP, worker_id='i-m'
    )
    tracked = vm_registry.TrackedVM(entry=entry)
    worker = create_worker('m')
    assert not vm_views.is_empty(tracked, worker, leases_inherited=False)
    worker.has_answered = True
    assert vm_views.is_empty(tracked, worker, leases_inherited=False)


def test_unregistered_vm_may_be_busy_after_takeover():
    entry = platform_messages.VMEntry(
        vm='m', pool='p', state=platform_messages.VMState.UP, worker_id='i-m'
    )
    tracked = vm_registry.TrackedVM(entry=entry)
    assert not vm_views.is_empty(tracked, None, leases_inherited=True)
    assert vm_views.is_empty(tracked, None, leases_inherited=False)
    off = vm_registry.TrackedVM(
        entry=platform_messages.VMEntry(
            vm='m', pool='s', state=platform_messages.VMState.UP
        )
    )
    assert vm_views.is_empty(off, None, leases_inherited=True)


def test_pool_load_counts_runs_of_cordoned_workers():
    """A wave took busy VMs of a bursting pool, one after the other.

    With each of them its runs disappeared from the load of the pool, so that
    the rest seemed to be lightly used.
    """
    pool = fleet.Fleet()
    for number, used in enumerate((8000, 8000, 2000)):
        worker = create_worker(f'm-{number}')
        worker.has_answered = worker.in_roster = True
        worker.used_millicores = used
        pool.workers[worker.worker_id] = worker
    loads = vm_views.compute_pool_loads(pool)
    assert loads == {'p': 18000 / 24000}
    pool.workers['i-m-0'].cordon_reason = 'wave'
    pool.workers['i-m-1'].cordon_reason = 'wave'
    assert vm_views.compute_pool_loads(pool) == {'p': 18000 / 8000}
    pool.workers['i-m-2'].cordon_reason = 'wave'
    assert vm_views.compute_pool_loads(pool) == {'p': 1.0}
