"""When a wave is completed, and when a VM counts as empty."""

import types

from arbutusrock.engine import fleet
from arbutusrock.engine import platform_messages
from arbutusrock.engine import vm_controller
from arbutusrock.engine import vm_registry
from arbutusrock.engine import vm_views
from arbutusrock.scheduling import Resources


def create_controller(registry):
    settings = types.SimpleNamespace(maintenance_s=2.0, move_s=1.5)
    controller = vm_controller.VMController(
        term=types.SimpleNamespace(fleet=fleet.Fleet(), settings=settings),
        state_writer=types.SimpleNamespace(enqueue_row=lambda row: None),
        run_controller=None,
        store=None,
        adapter=types.SimpleNamespace(vm_client=None, encode_wave_status=None),
        spawn=None,
    )
    controller.vm_registry = registry
    return controller


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
    record = vm_controller.WaveRecord(began_ms=0.0, done=['m-1'])
    controller = create_controller(registry)
    controller.wave_records[1] = record
    controller._reconcile_wave(wave, record, 2.0)
    assert not record.completed
    tracked.order = None
    record.done.append('m-2')
    controller._reconcile_wave(wave, record, 3.0)
    assert record.completed


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
