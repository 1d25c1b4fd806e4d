"""Effect of a list of VMs that lags on the pending orders."""

from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.vms import vm_registry


def create_entry(state=platform_messages.VMState.UP):
    return platform_messages.VMEntry(vm='m', pool='p', state=state)


def create_registry():
    """Return a registry with a VM that began wave 1 at 10 s."""
    registry = vm_registry.VMRegistry()
    registry.update([create_entry()], 0.0, lambda _order: 2.3)
    tracked = registry.vms['m']
    tracked.order = vm_registry.VMOrder(
        target='p', begun_at_s=9.9, wave_number=1
    )
    tracked.order.confirmed_at_s = 10.0
    return registry


def test_stale_list_does_not_finish_order():
    registry = create_registry()
    registry.update([create_entry()], 10.7, lambda _order: 2.3)
    assert registry.count_unavailable(1) == 1
    registry.update([create_entry()], 12.4, lambda _order: 2.3)
    assert registry.count_unavailable(1) == 0


def test_vm_sent_by_earlier_owner_is_unavailable():
    registry = vm_registry.VMRegistry()
    registry.update(
        [create_entry(platform_messages.VMState.UPKEEP)],
        0.0,
        lambda _order: 2.3,
    )
    assert registry.count_unavailable(1) == 1


def test_vm_in_maintenance_counts_for_each_wave_until_confirmed():
    """The owner asks whether it is there for wave 2; it may be for wave 1."""
    registry = vm_registry.VMRegistry()
    registry.update(
        [create_entry(platform_messages.VMState.UPKEEP)],
        0.0,
        lambda _order: 2.3,
    )
    order = vm_registry.VMOrder(target='p', begun_at_s=0.1, wave_number=2)
    registry.vms['m'].order = order
    assert registry.count_unavailable(1) == 1
    assert registry.count_unavailable(2) == 1
    order.confirmed_at_s = 0.2
    assert registry.count_unavailable(1) == 0
    assert registry.count_unavailable(2) == 1
