"""Which VMs of a pool to evacuate so that other pools can use them.

Load: after a burst of large jobs each VM of a pool still runs one or two
long tasks, while the pool that bursts next lacks VMs. Tasks that keep their
progress when they are stopped are packed onto fewer VMs. VMs with other tasks
are left alone until these have ended.
"""

__all__ = ['LoadedVM', 'choose_vms_to_evacuate']

# Part of the free capacity of the other VMs that moved tasks may use: tasks
# of uneven size do not fill it completely.
MAX_FREE_FRACTION = 0.6
# VMs with more runs are not evacuated: each run costs a stop and a start.
MAX_RUNS_PER_VM = 6


class LoadedVM:
    """The load of one VM of a pool.

    :param used_millicores: millicores in use.
    :param free_millicores: millicores that are free.
    :param runs: number of runs on the VM.
    :param evictable: all these runs can be stopped without losing progress.
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
    """Return the names of at most ``surplus`` VMs to evacuate.

    The least used VMs come first, as long as their tasks fit on other VMs that
    are in use.

    :param vms: all usable :class:`LoadedVM` of the pool, including empty
        ones.

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
    chosen, moved_millicores = [], 0
    free_millicores = sum(vm.free_millicores for vm in vms if vm.runs)
    for vm in candidates:
        if len(chosen) >= surplus or vm.runs > MAX_RUNS_PER_VM:
            break
        free_millicores -= vm.free_millicores
        if (
            moved_millicores + vm.used_millicores
            > free_millicores * MAX_FREE_FRACTION
        ):
            break
        moved_millicores += vm.used_millicores
        chosen.append(vm.vm)
    return chosen
