"""How many VMs the serving tasks of a pool need beside those they have.

Load: a rack is lost with the tasks of a serving step, or a serving job of many
tasks is accepted while most VMs are off. How many tasks fit a VM is often
bound by memory, or by how many tasks of a step may share one, long before its
cores are used. A pool that is sized by cores alone then gets its VMs one after
the other, and the last task waits for the time of all these moves.
"""

import operator

__all__ = ['RoomVM', 'WaitingTasks', 'count_room_vms']


class WaitingTasks:
    """Serving tasks of one step that wait for a worker.

    :param count: number of tasks.
    :param demand: amounts of each resource that a task needs.
    :param label: label that the VM must have, or empty.
    :param most_per_vm: how many tasks of the step a VM may have; 0 means no
        bound.
    :param tasks_by_vm: number of tasks of the step by VM.
    """

    __slots__ = ('count', 'demand', 'label', 'most_per_vm', 'tasks_by_vm')

    def __init__(
        self, *, count, demand, label='', most_per_vm=0, tasks_by_vm=None
    ):
        self.count = count
        self.demand = demand
        self.label = label
        self.most_per_vm = most_per_vm
        self.tasks_by_vm = tasks_by_vm or {}


class RoomVM:
    """A VM that may get serving tasks.

    :param free: amounts of each resource that nothing uses.
    :param serves: it has serving tasks already.
    :param used: it has tasks of any kind.
    """

    __slots__ = ('vm', 'free', 'labels', 'serves', 'used')

    def __init__(self, *, vm, free, labels=(), serves=False, used=False):
        self.vm = vm
        self.free = list(free)
        self.labels = labels
        self.serves = serves
        self.used = used


def count_room_vms(steps, vms, capacity, *, max_new):
    """Return how many VMs have no serving tasks and need to be there for some.

    Tasks fill the VMs of the pool first, then new ones. If they need new ones,
    the VMs that other tasks use count, too, as the new ones are needed beside
    them; not for a label, as the VM that comes may not have it.

    :param steps: :class:`WaitingTasks`; those with the largest tasks are
        placed first.
    :param vms: :class:`RoomVM` of the pool. Their free amounts are reduced.
    :param capacity: amounts of each resource on a new VM.
    :param max_new: how many new VMs there can be.

    >>> step = WaitingTasks(count=5, demand=(1, 6), most_per_vm=2)
    >>> count_room_vms([step], [], (32, 64), max_new=10)
    3
    >>> vm = RoomVM(vm='m1', free=(8, 13), serves=True)
    >>> count_room_vms([step], [vm], (32, 64), max_new=10)
    2
    """
    demands = [step.demand for step in steps]
    least = [min(column) for column in zip(*demands, strict=True)]
    used = {vm.vm for vm in vms if vm.used and not vm.serves}
    # VMs that are too full for any task are left out.
    vms = [
        vm
        for vm in sorted(vms, key=lambda vm: not vm.serves)
        if _has_room(vm, least)
    ]
    chosen, new, beside_used = set(), 0, False
    for step in sorted(steps, key=lambda step: step.demand, reverse=True):
        left, filled = step.count, []
        for vm in vms:
            if left == 0:
                break
            if not _has_room(vm, step.demand):
                continue
            placed = min(left, _count_fitting(step, vm))
            if placed:
                _place(step, vm, placed)
                left -= placed
                if not _has_room(vm, least):
                    filled.append(vm)
                if not vm.serves:
                    chosen.add(vm.vm)
        for vm in filled:
            vms.remove(vm)
        while left and new < max_new:
            vm = RoomVM(vm=('new', new), free=capacity, labels=None)
            placed = min(left, _count_fitting(step, vm))
            if not placed:
                break
            _place(step, vm, placed)
            left -= placed
            new += 1
            beside_used = beside_used or not step.label
            chosen.add(vm.vm)
            if _has_room(vm, least):
                vms.append(vm)
    return len(chosen | used if beside_used else chosen)


def _has_room(vm, demand):
    """Return whether a VM has enough of each resource for a task."""
    return all(map(operator.ge, vm.free, demand))


def _count_fitting(step, vm):
    """Return how many further tasks of a step a VM may get.

    New VMs have any label, as it is not known which VM it will be.
    """
    if step.label and vm.labels is not None and step.label not in vm.labels:
        return 0
    count = min(
        (
            int(free // needed)
            for free, needed in zip(vm.free, step.demand, strict=True)
            if needed > 0
        ),
        default=step.count,
    )
    if step.most_per_vm:
        there = step.tasks_by_vm.get(vm.vm, 0)
        count = min(count, step.most_per_vm - there)
    return max(0, count)


def _place(step, vm, count):
    vm.free = [
        free - needed * count
        for free, needed in zip(vm.free, step.demand, strict=True)
    ]
