"""How many VMs each pool needs, and which VMs move.

Load: the queues burst in turn. In its turn a pool is asked for more than it
holds for some seconds while the others stand nearly idle, and a VM in a pool
costs the same idle or not. So pools grow with what arrives and waits, from
VMs that stand idle elsewhere or are switched off, and shrink when VMs stood
idle for longer than two moves cost.
"""

import math

__all__ = [
    'VMMove',
    'PoolPlan',
    'PoolView',
    'VMView',
    'compute_need',
    'get_median_vm_millicores',
    'compute_target_vms',
    'plan_duration',
    'plan_moves',
]

# Part of a VM that tasks of uneven size fill.
FILL_FRACTION = 0.85
# Growth of demand while a VM is on its way, as a factor.
GROWTH_FACTOR = 1.2
# Part of a job's remaining time that is planned for: the rest is for steps
# that end late and for starts.
PLANNED_FRACTION = 0.8
# Least time over which the work of a job is spread.
MIN_DURATION_S = 0.5
# Time over which the work of late jobs is spread: their worth does not pay for
# more VMs, but each accepted job is done soon after a burst or an outage.
LATE_DURATION_S = 10.0
# Idle time after which a VM is switched off: a move there and back costs as
# much as about two seconds in a pool. When no burst rises or lasts, it is
# not needed again soon.
MAX_IDLE_S = 2.5
MAX_IDLE_OFF_PEAK_S = 1.0
# Empty VMs that each pool keeps: the room for the first second of a burst.
RESERVE_VMS = 1


class VMView:
    """A VM as the sizing sees it.

    :param movable: up, empty and not reserved for anything else.
    :param idle_s: how long it has been empty.
    :param arriving: it is on its way into the pool.
    """

    __slots__ = ('vm', 'millicores', 'movable', 'idle_s', 'arriving')

    def __init__(self, *, vm, millicores, movable, idle_s=0.0, arriving=False):
        self.vm = vm
        self.millicores = millicores
        self.movable = movable
        self.idle_s = idle_s
        self.arriving = arriving


class PoolView:
    """A pool and what it is asked for, in thousandths of a core.

    :param spare: its VMs are switched off.
    :param long_running_millicores: tasks that run until they are cancelled.
    :param needed_millicores: what its jobs need to end in time.
    :param expected_millicores: what arriving jobs will need when a VM that is
        ordered now has come.
    :param used_millicores: what its tasks have now.
    :param long_running_vms: least VMs that hold the lasting tasks.
    :param standby_vms: empty VMs that wait for a burst.
    :param off_peak: no burst rises or lasts there.
    """

    __slots__ = (
        'name',
        'spare',
        'vms',
        'long_running_millicores',
        'needed_millicores',
        'expected_millicores',
        'used_millicores',
        'long_running_vms',
        'standby_vms',
        'off_peak',
    )

    def __init__(
        self,
        *,
        name,
        spare=False,
        vms=(),
        long_running_millicores=0,
        needed_millicores=0.0,
        expected_millicores=0.0,
        used_millicores=0,
        long_running_vms=0,
        standby_vms=0,
        off_peak=False,
    ):
        self.name = name
        self.spare = spare
        self.vms = list(vms)
        self.long_running_millicores = long_running_millicores
        self.needed_millicores = needed_millicores
        self.expected_millicores = expected_millicores
        self.used_millicores = used_millicores
        self.long_running_vms = long_running_vms
        self.standby_vms = standby_vms
        self.off_peak = off_peak


class VMMove:
    """A VM that is to change its pool."""

    __slots__ = ('vm', 'origin', 'target')

    def __init__(self, *, vm, origin, target):
        self.vm = vm
        self.origin = origin
        self.target = target


class PoolPlan:
    """What the sizing decides.

    :param moves: :class:`VMMove` to start now.
    :param unmet: VMs that pools lack beyond these moves.
    :param busy_surplus: by pool, surplus VMs that are not empty.
    """

    __slots__ = ('moves', 'unmet', 'busy_surplus')

    def __init__(self, *, moves=(), unmet=0, busy_surplus=None):
        self.moves = list(moves)
        self.unmet = unmet
        self.busy_surplus = busy_surplus or {}


def compute_need(*, work_left_millicore_s, critical_path_left_s, time_left_s):
    """Return the room that a job needs to end in time.

    A job that can no longer end in time needs little.

    :param work_left_millicore_s: work that is left (thousandths of
        core-seconds).
    :param critical_path_left_s: longest chain of work that is left.
    :param time_left_s: until its objective.
    :returns: thousandths of a core.

    >>> compute_need(
    ...     work_left_millicore_s=8000, critical_path_left_s=1, time_left_s=5)
    2000.0
    >>> compute_need(
    ...     work_left_millicore_s=8000, critical_path_left_s=2, time_left_s=1)
    800.0
    """
    if critical_path_left_s > time_left_s:
        return work_left_millicore_s / max(
            critical_path_left_s, LATE_DURATION_S
        )
    return work_left_millicore_s / plan_duration(
        critical_path_left_s=critical_path_left_s, time_left_s=time_left_s
    )


def plan_duration(*, critical_path_left_s, time_left_s):
    """Return the time over which the work of a job is spread."""
    return max(
        critical_path_left_s, time_left_s * PLANNED_FRACTION, MIN_DURATION_S
    )


def compute_target_vms(pool, vm_millicores):
    """Return how many VMs of ``vm_millicores`` a pool should have.

    >>> idle = PoolView(
    ...     name='a', long_running_millicores=15000, long_running_vms=1)
    >>> compute_target_vms(idle, 32000)
    2
    >>> busy = PoolView(
    ...     name='a', long_running_millicores=15000, long_running_vms=1,
    ...     needed_millicores=200000)
    >>> compute_target_vms(busy, 32000)
    10
    >>> compute_target_vms(PoolView(name='a', standby_vms=5), 32000)
    5
    """
    working = max(
        pool.needed_millicores * GROWTH_FACTOR, pool.expected_millicores
    )
    needed = math.ceil(
        (pool.long_running_millicores + working)
        / (vm_millicores * FILL_FRACTION)
    )
    least = pool.long_running_vms + max(RESERVE_VMS, pool.standby_vms)
    return max(needed, least)


def plan_moves(pools, *, max_moves):
    """Return the :class:`PoolPlan` that brings pools towards their targets.

    :param pools: all :class:`PoolView`, spare ones included.
    :param max_moves: moves that may start now.
    """
    sized = [pool for pool in pools if not pool.spare]
    spare = [pool for pool in pools if pool.spare]
    vm_millicores = get_median_vm_millicores(pools)
    if not vm_millicores:
        return PoolPlan()
    missing, surplus, busy_surplus = {}, [], {}
    for pool in sized:
        excess = len(pool.vms) - compute_target_vms(pool, vm_millicores)
        if excess < 0:
            missing[pool.name] = -excess
            continue
        idle = sorted(
            (vm for vm in pool.vms if vm.movable),
            key=lambda vm: (-vm.idle_s, vm.vm),
        )
        surplus += [(vm, pool) for vm in idle[:excess]]
        if excess > len(idle):
            busy_surplus[pool.name] = excess - len(idle)
    off = [(vm, pool) for pool in spare for vm in pool.vms if vm.movable]
    moves = _fill_missing(missing, off, surplus)
    if spare and len(moves) < max_moves:
        taken = {move.vm for move in moves}
        moves += [
            VMMove(vm=vm.vm, origin=pool.name, target=spare[0].name)
            for vm, pool in surplus
            if vm.vm not in taken
            and vm.idle_s
            > (MAX_IDLE_OFF_PEAK_S if pool.off_peak else MAX_IDLE_S)
        ]
    return PoolPlan(
        moves=moves[:max_moves],
        unmet=sum(missing.values()),
        busy_surplus=busy_surplus,
    )


def get_median_vm_millicores(pools):
    """Return the size of the middle VM (thousandths of a core), or 0."""
    sizes = sorted(vm.millicores for pool in pools for vm in pool.vms)
    return sizes[len(sizes) // 2] if sizes else 0


def _fill_missing(missing, off, surplus):
    """Give VMs to the pools that lack most, idle ones before those off."""
    moves = []
    sources = sorted(surplus, key=lambda item: -item[0].idle_s) + off
    for vm, pool in sources:
        name = max(missing, key=missing.get, default=None)
        if name is None or missing[name] <= 0:
            break
        missing[name] -= 1
        moves.append(VMMove(vm=vm.vm, origin=pool.name, target=name))
    return moves
