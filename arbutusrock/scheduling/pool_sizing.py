"""How many VMs each pool needs, and which VMs move between pools.

Load: the queues burst in turn. For some seconds one pool needs more than it
has while the others are nearly idle, and a VM in a pool costs the same whether
it is idle or busy. Pools therefore grow with arriving and waiting work, using
VMs that are idle in other pools or switched off. They shrink when VMs have
been idle for longer than two moves cost.

VMs of an evacuated data centre get no new tasks: they are no room of their
pool and fill no other pool. Once empty they are switched off, unless their
pool lacks VMs that it cannot get and would use them once they are back.
"""

import math

__all__ = [
    'PoolPlan',
    'PoolView',
    'VMMove',
    'VMView',
    'compute_need',
    'compute_overdue_need',
    'compute_target_vms',
    'get_median_vm_millicores',
    'plan_duration',
    'plan_moves',
]

# Part of the capacity of a VM that tasks of uneven size can use.
FILL_FRACTION = 0.85
# Factor for the growth of demand while a VM moves to the pool.
GROWTH_FACTOR = 1.2
# Part of the remaining time of a job over which its work is planned. The rest
# is a margin for steps that end late and for starting tasks.
PLANNED_FRACTION = 0.8
# Minimum time over which the work of a job is spread.
MIN_DURATION_S = 0.5
# Time over which the work of late jobs is spread. Their value does not pay for
# more VMs, but all accepted jobs are to be done soon after a burst or outage.
LATE_DURATION_S = 10.0
# Shortest such time, for jobs that have been late for LATE_DURATION_S.
OVERDUE_DURATION_S = 1.0
# A VM is switched off after this idle time: a move there and back costs as
# much as about two seconds in a pool. Off-peak the time is shorter, since the
# VM is not needed again soon.
MAX_IDLE_S = 2.5
MAX_IDLE_OFF_PEAK_S = 1.0
# Empty VMs that each pool keeps as capacity for the first second of a burst.
RESERVE_VMS = 1


class VMView:
    """The state of a VM that matters for pool sizing.

    :param movable: it is up, empty and not reserved for anything else.
    :param idle_s: how long it has been empty.
    :param arriving: it is moving into the pool.
    :param silent: its worker does not answer now. It is room, as that may be
        short, but no other VM is given away for it.
    :param cordoned: its data centre is evacuated.
    """

    __slots__ = (
        'vm',
        'millicores',
        'movable',
        'idle_s',
        'arriving',
        'silent',
        'cordoned',
    )

    def __init__(
        self,
        *,
        vm,
        millicores,
        movable,
        idle_s=0.0,
        arriving=False,
        silent=False,
        cordoned=False,
    ):
        self.vm = vm
        self.millicores = millicores
        self.movable = movable
        self.idle_s = idle_s
        self.arriving = arriving
        self.silent = silent
        self.cordoned = cordoned


class PoolView:
    """The VMs of a pool and the demand on it.

    :param spare: the VMs of this pool are switched off.
    :param vms: :class:`VMView` of each VM in the pool or moving into it.
    :param long_running_millicores: demand of the tasks that run until they
        are cancelled.
    :param needed_millicores: what the jobs need to be completed in time.
    :param overdue_millicores: what jobs that have been late for some time
        need beyond that. VMs for it come last.
    :param expected_millicores: forecast of the demand of jobs when a VM
        ordered now has arrived.
    :param used_millicores: what the tasks of the pool use now.
    :param long_running_vms: number of VMs that run long-running tasks, or
        that such tasks wait for.
    :param standby_vms: number of empty VMs to hold for an expected burst.
    :param off_peak: the pool has no burst, or one that is fading.
    """

    __slots__ = (
        'name',
        'spare',
        'vms',
        'long_running_millicores',
        'needed_millicores',
        'overdue_millicores',
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
        overdue_millicores=0.0,
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
        self.overdue_millicores = overdue_millicores
        self.expected_millicores = expected_millicores
        self.used_millicores = used_millicores
        self.long_running_vms = long_running_vms
        self.standby_vms = standby_vms
        self.off_peak = off_peak


class VMMove:
    """A VM that is to move from pool ``origin`` to pool ``target``."""

    __slots__ = ('vm', 'origin', 'target')

    def __init__(self, *, vm, origin, target):
        self.vm = vm
        self.origin = origin
        self.target = target


class PoolPlan:
    """The result of pool sizing.

    :param moves: :class:`VMMove` to start now.
    :param unmet: number of VMs that pools lack and that no move can provide.
    :param busy_surplus: by pool, number of surplus VMs that cannot be moved
        because they are not empty.
    """

    __slots__ = ('moves', 'unmet', 'busy_surplus')

    def __init__(self, *, moves=(), unmet=0, busy_surplus=None):
        self.moves = list(moves)
        self.unmet = unmet
        self.busy_surplus = busy_surplus or {}


def compute_need(*, work_left_millicore_s, critical_path_left_s, time_left_s):
    """Return the millicores that a job needs to be completed in time.

    For a job that can no longer be completed in time the work is spread over
    a longer time, so that it needs little.

    :param work_left_millicore_s: remaining work.
    :param critical_path_left_s: remaining time on the critical path.
    :param time_left_s: time until the objective of the job.

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


def compute_overdue_need(
    *, work_left_millicore_s, critical_path_left_s, time_left_s
):
    """Return the millicores that a late job needs beyond its normal need.

    :func:`compute_need` spreads its work over the same time in each pass. Here
    the time ends LATE_DURATION_S after the job became late, so that the need
    rises until the job is completed, even if its work was underestimated.

    >>> def need(time_left_s):
    ...     return compute_overdue_need(
    ...         work_left_millicore_s=8000, critical_path_left_s=1,
    ...         time_left_s=time_left_s)
    >>> need(time_left_s=1), need(time_left_s=-4), need(time_left_s=-60)
    (0.0, 800.0, 7200.0)
    """
    late_s = critical_path_left_s - time_left_s
    if late_s <= 0:
        return 0.0
    planned_s = max(
        critical_path_left_s, LATE_DURATION_S - late_s, OVERDUE_DURATION_S
    )
    return work_left_millicore_s / planned_s - compute_need(
        work_left_millicore_s=work_left_millicore_s,
        critical_path_left_s=critical_path_left_s,
        time_left_s=time_left_s,
    )


def plan_duration(*, critical_path_left_s, time_left_s):
    """Return the time over which the work of a job is spread."""
    return max(
        critical_path_left_s, time_left_s * PLANNED_FRACTION, MIN_DURATION_S
    )


def compute_target_vms(pool, vm_millicores, *, with_overdue=True):
    """Return how many VMs of size ``vm_millicores`` a pool should have.

    :param with_overdue: count what overdue jobs need, too. While a VM of the
        pool is idle they wait for something else, such as workers that may
        not run them, and get no VMs.

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
    job_millicores = max(
        pool.needed_millicores * GROWTH_FACTOR, pool.expected_millicores
    )
    if with_overdue and not _has_idle_vm(pool):
        job_millicores += pool.overdue_millicores * GROWTH_FACTOR
    needed = math.ceil(
        (pool.long_running_millicores + job_millicores)
        / (vm_millicores * FILL_FRACTION)
    )
    min_vms = pool.long_running_vms + max(RESERVE_VMS, pool.standby_vms)
    return max(needed, min_vms)


def _has_idle_vm(pool):
    return any(
        vm.movable and vm.idle_s > 0 and not vm.cordoned for vm in pool.vms
    )


def plan_moves(pools, *, max_moves):
    """Return a :class:`PoolPlan` that moves the pools towards their targets.

    :param pools: :class:`PoolView` of all pools, including spare ones.
    :param max_moves: how many moves may start now.
    """
    sized = [pool for pool in pools if not pool.spare]
    spare = [pool for pool in pools if pool.spare]
    vm_millicores = get_median_vm_millicores(pools)
    if not vm_millicores:
        return PoolPlan()
    missing, overdue, surplus, busy_surplus = {}, {}, [], {}
    for pool in sized:
        full_vms = _count_full_vms(pool, vm_millicores)
        target = compute_target_vms(pool, vm_millicores)
        excess = full_vms - target
        if excess < 0:
            target_in_time = compute_target_vms(
                pool, vm_millicores, with_overdue=False
            )
            missing[pool.name] = max(0, target_in_time - full_vms)
            overdue[pool.name] = -excess - missing[pool.name]
            continue
        excess = max(0, excess - sum(vm.silent for vm in pool.vms))
        idle = sorted(
            (vm for vm in pool.vms if vm.movable and not vm.cordoned),
            key=lambda vm: (-vm.idle_s, vm.vm),
        )
        surplus += [(vm, pool) for vm in idle[:excess]]
        if excess > len(idle):
            busy_surplus[pool.name] = excess - len(idle)
    spare_vms = [
        (vm, pool)
        for pool in spare
        for vm in pool.vms
        if vm.movable and not vm.cordoned
    ]
    sources = sorted(surplus, key=lambda item: -item[0].idle_s) + spare_vms
    moves = _fill_missing(missing, sources)
    moves += _fill_missing(overdue, sources[len(moves) :])
    if spare and len(moves) < max_moves:
        taken = {move.vm for move in moves}
        moves += [
            VMMove(vm=vm.vm, origin=pool.name, target=spare[0].name)
            for vm, pool in surplus + _find_cordoned_idle(sized, missing)
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
    """Return the median size of the VMs (millicores), 0 without VMs."""
    sizes = sorted(vm.millicores for pool in pools for vm in pool.vms)
    return sizes[len(sizes) // 2] if sizes else 0


def _count_full_vms(pool, vm_millicores):
    """Return the number of VMs that are room for about a VM's tasks.

    VMs whose capacity has shrunk by over half and those of evacuated data
    centres are not.
    """
    return sum(
        vm.millicores * 2 >= vm_millicores and not vm.cordoned
        for vm in pool.vms
    )


def _find_cordoned_idle(pools, missing):
    """Return the empty VMs of evacuated data centres, with their pools.

    :param missing: by pool, number of VMs that it still lacks.
    """
    return [
        (vm, pool)
        for pool in pools
        for vm in pool.vms
        if vm.cordoned and vm.movable and not missing.get(pool.name)
    ]


def _fill_missing(missing, sources):
    """Return moves of VMs to the pools that lack most.

    Each pool that lacks VMs gets one before another gets its second, so that
    a single lost task does not wait for the burst of another pool. The counts
    in ``missing`` are reduced by the moves, and VMs are taken in the order of
    ``sources``.

    :param missing: by pool, number of VMs that it lacks.
    :param sources: pairs of a VM and its pool; idle VMs of other pools come
        before VMs that are switched off.
    """
    moves, served = [], set()
    for vm, pool in sources:
        name = max(
            missing,
            key=lambda name: (
                missing[name] > 0 and name not in served,
                missing[name],
            ),
            default=None,
        )
        if name is None or missing[name] <= 0:
            break
        missing[name] -= 1
        served.add(name)
        moves.append(VMMove(vm=vm.vm, origin=pool.name, target=name))
    return moves
