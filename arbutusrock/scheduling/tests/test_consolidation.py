"""Evacuation of VMs after a burst of large jobs while another pool waits."""

from arbutusrock.scheduling import consolidation

MILLICORES_PER_CORE = 1000
VM_MILLICORES = 64 * MILLICORES_PER_CORE


def create_vm(name, used, *, runs=1, evictable=True):
    return consolidation.LoadedVM(
        vm=name,
        used_millicores=used * MILLICORES_PER_CORE,
        free_millicores=VM_MILLICORES - used * MILLICORES_PER_CORE,
        runs=runs,
        evictable=evictable,
    )


def test_choose_vms_evacuates_most_of_lightly_used_pool():
    vms = [create_vm(f'{number:02}', 10) for number in range(17)]
    assert len(consolidation.choose_vms_to_evacuate(vms, 12)) == 12


def test_choose_vms_skips_unevictable_vms():
    vms = [create_vm('a', 10, evictable=False), create_vm('b', 20)]
    assert not consolidation.choose_vms_to_evacuate(vms[:1], 5)
    assert consolidation.choose_vms_to_evacuate(vms, 5) == ['b']


def test_choose_vms_respects_free_capacity():
    vms = [create_vm(f'{number}', 40) for number in range(4)]
    assert len(consolidation.choose_vms_to_evacuate(vms, 4)) == 1
    full_vms = [create_vm(f'{number}', 60) for number in range(4)]
    assert not consolidation.choose_vms_to_evacuate(full_vms, 4)
