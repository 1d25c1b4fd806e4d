"""Which VMs a pool empties to give them away.

Load: after a burst of large jobs each VM of a pool still holds one or two
long tasks, while the next pool in turn waits for VMs. Tasks that keep their
work when they are stopped go on on fewer VMs; the others run to their end
without company.
"""

__all__ = ['LoadedVM', 'choose_vms_to_evacuate']

# Part of the other VMs' free room that moved tasks may take: tasks of uneven
# size do not fit everywhere.
MAX_FREE_FRACTION = 0.6
# Runs that are moved off one VM at most: each one costs a stop and a start.
MAX_RUNS_PER_VM = 6


class LoadedVM:
    """A VM of a pool.

    :param used_millicores: thousandths of a core in use.
    :param free_millicores: thousandths of a core that are free.
    :param runs: tasks that run there.
    :param evictable: all of them keep their work when stopped.
    """

    __slots__ = (
        'vm',
        'used_millicores',
        'free_millicores',
        'runs',
        'evictable',
    )

    def __init__(
        self, *, vm, used_millicores, free_millicores, runs, evictable
    ):
        self.vm = vm
        self.used_millicores = used_millicores
        self.free_millicores = free_millicores
        self.runs = runs
        self.evictable = evictable


def choose_vms_to_evacuate(vms, surplus):
    """Return the names of VMs to empty, at most ``surplus``.

    :param vms: all usable :class:`LoadedVM` of the pool, empty ones too.

    >>> def vm(name, used):
    ...     return LoadedVM(
    ...         vm=name, used_millicores=used,
    ...         free_millicores=32000 - used, runs=1, evictable=True)
    >>> choose_vms_to_evacuate([vm('a', 9000), vm('b', 4000)], 2)
    ['b']
    """
    candidates = sorted(
        (vm for vm in vms if vm.runs and vm.evictable),
        key=lambda vm: (vm.used_millicores, vm.vm),
    )
    chosen, moved = [], 0
    room = sum(vm.free_millicores for vm in vms if vm.runs)
    for vm in candidates:
        if len(chosen) >= surplus or vm.runs > MAX_RUNS_PER_VM:
            break
        room -= vm.free_millicores
        if moved + vm.used_millicores > room * MAX_FREE_FRACTION:
            break
        moved += vm.used_millicores
        chosen.append(vm.vm)
    return chosen
