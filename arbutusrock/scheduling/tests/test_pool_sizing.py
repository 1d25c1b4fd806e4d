"""Pool sizes and moves of VMs for queues that burst in turn."""

from arbutusrock.scheduling import pool_sizing

MILLICORES_PER_CORE = 1000
VM_MILLICORES = 32 * MILLICORES_PER_CORE


def create_vms(prefix, count, *, movable=True, idle_s=0.0):
    return [
        pool_sizing.VMView(
            vm=f'{prefix}{number}',
            millicores=VM_MILLICORES,
            movable=movable,
            idle_s=idle_s,
        )
        for number in range(count)
    ]


def create_pool(name, count, **options):
    vms = create_vms(name, count, idle_s=options.pop('idle_s', 0.0))
    return pool_sizing.PoolView(name=name, vms=vms, **options)


def test_plan_moves_takes_idle_vms_before_spare_vms():
    views = [
        create_pool('a', 2, needed_millicores=150 * MILLICORES_PER_CORE),
        create_pool('b', 4, idle_s=1.0),
        pool_sizing.PoolView(name='off', spare=True, vms=create_vms('off', 6)),
    ]
    moves = pool_sizing.plan_moves(views, max_moves=12).moves
    assert all(move.target == 'a' for move in moves)
    assert [move.origin for move in moves][:3] == ['b', 'b', 'b']
    assert (
        len(moves)
        == pool_sizing.compute_target_vms(views[0], VM_MILLICORES) - 2
    )


def test_compute_need_is_low_for_large_job_with_slack():
    """A job with much time must not bring more VMs.

    340 core-seconds that may take seven seconds need less than 60 cores.
    """
    need = pool_sizing.compute_need(
        work_left_millicore_s=340 * MILLICORES_PER_CORE,
        critical_path_left_s=4.2,
        time_left_s=7.3,
    )
    assert need < 60 * MILLICORES_PER_CORE


def test_compute_need_is_low_for_late_job():
    """A late job gets only a tenth of its remaining work per second."""
    need = pool_sizing.compute_need(
        work_left_millicore_s=340 * MILLICORES_PER_CORE,
        critical_path_left_s=4.2,
        time_left_s=3.0,
    )
    assert need <= 34 * MILLICORES_PER_CORE


def test_compute_need_finishes_late_jobs_before_timeout():
    """Guards against too few VMs for late jobs after an outage.

    They kept the only VM of a pool busy for 15 s, while all other VMs were
    switched off.
    """
    jobs = 100
    need = jobs * pool_sizing.compute_need(
        work_left_millicore_s=8 * MILLICORES_PER_CORE,
        critical_path_left_s=0.5,
        time_left_s=-3.0,
    )
    pool = create_pool('a', 1, needed_millicores=need)
    finish_s = 14.0
    capacity_millicores = (
        pool_sizing.compute_target_vms(pool, VM_MILLICORES) * VM_MILLICORES
    )
    assert capacity_millicores * finish_s > jobs * 8 * MILLICORES_PER_CORE


def test_plan_moves_keeps_briefly_idle_vms():
    spare = pool_sizing.PoolView(name='off', spare=True)
    assert not pool_sizing.plan_moves(
        [create_pool('a', 4, idle_s=1.0), spare], max_moves=12
    ).moves
    moves = pool_sizing.plan_moves(
        [create_pool('a', 4, idle_s=9.0), spare], max_moves=12
    ).moves
    assert {move.target for move in moves} == {'off'}
    assert len(moves) == 4 - pool_sizing.RESERVE_VMS


def test_plan_moves_releases_vms_sooner_off_peak():
    """Guards against keeping many idle VMs after a burst.

    Eighty VMs were idle for 2.5 s after each burst.
    """
    spare = pool_sizing.PoolView(name='off', spare=True)
    burst = create_pool('a', 4, idle_s=1.5)
    assert not pool_sizing.plan_moves([burst, spare], max_moves=12).moves
    fading = create_pool('a', 4, idle_s=1.5, off_peak=True)
    moves = pool_sizing.plan_moves([fading, spare], max_moves=12).moves
    assert len(moves) == 4 - pool_sizing.RESERVE_VMS


def test_plan_moves_never_moves_busy_vms():
    busy = pool_sizing.PoolView(
        name='a', vms=create_vms('a', 6, movable=False, idle_s=9.0)
    )
    short = create_pool('b', 1, needed_millicores=300 * MILLICORES_PER_CORE)
    plan = pool_sizing.plan_moves([busy, short], max_moves=12)
    assert not plan.moves
    assert plan.unmet > 0
    assert plan.busy_surplus == {'a': 6 - pool_sizing.RESERVE_VMS}


def test_plan_moves_shares_spare_vms_evenly():
    views = [
        create_pool('a', 1, needed_millicores=120 * MILLICORES_PER_CORE),
        create_pool('b', 1, needed_millicores=120 * MILLICORES_PER_CORE),
        pool_sizing.PoolView(name='off', spare=True, vms=create_vms('off', 4)),
    ]
    targets = [
        move.target
        for move in pool_sizing.plan_moves(views, max_moves=12).moves
    ]
    assert targets.count('a') == targets.count('b') == 2


def test_pool_that_lacks_few_vms_waits_for_burst_of_another():
    """A lost serving task needs one VM, while another pool needs all."""
    views = [
        create_pool('a', 1, needed_millicores=6400 * MILLICORES_PER_CORE),
        create_pool('b', 1, long_running_vms=1),
        pool_sizing.PoolView(
            name='off', spare=True, vms=create_vms('off', 100)
        ),
    ]
    moves = pool_sizing.plan_moves(views, max_moves=4).moves
    assert [move.target for move in moves].count('b') == 1


def test_pool_is_short_of_capacity_when_its_vms_shrink():
    """Workers report a fraction of their usual capacity for a while."""
    views = [
        create_pool('a', 4, needed_millicores=80 * MILLICORES_PER_CORE),
        pool_sizing.PoolView(name='off', spare=True, vms=create_vms('off', 6)),
    ]
    assert not pool_sizing.plan_moves(views, max_moves=12).moves
    for vm in views[0].vms[:2]:
        vm.millicores = VM_MILLICORES // 8
    moves = pool_sizing.plan_moves(views, max_moves=12).moves
    assert [move.target for move in moves] == ['a', 'a']


def test_late_jobs_are_finished_although_estimates_are_too_short():
    """Guards against one busy VM per pool while the others are switched off.

    The work of late jobs was spread over ten seconds anew in each pass, so
    that what was left of it never was due.
    """
    vm_cores, estimate_factor, step_s = 8, 1 / 3, 0.5
    left_core_s, late_s = 300.0, 0.0
    while left_core_s > 0 and late_s < 30:
        outlook = {
            'work_left_millicore_s': left_core_s * estimate_factor * 1000,
            'critical_path_left_s': 0.1,
            'time_left_s': 0.1 - late_s - 1e-6,
        }
        view = pool_sizing.PoolView(
            name='a',
            needed_millicores=pool_sizing.compute_need(**outlook),
            overdue_millicores=pool_sizing.compute_overdue_need(**outlook),
        )
        vms = pool_sizing.compute_target_vms(view, vm_cores * 1000)
        left_core_s -= vms * vm_cores * step_s
        late_s += step_s
    assert late_s <= 14.0


def test_in_time_jobs_get_vms_before_late_ones():
    views = [
        create_pool('late', 1, overdue_millicores=900 * MILLICORES_PER_CORE),
        create_pool('soon', 1, needed_millicores=50 * MILLICORES_PER_CORE),
        pool_sizing.PoolView(name='off', spare=True, vms=create_vms('off', 3)),
    ]
    plan = pool_sizing.plan_moves(views, max_moves=12)
    targets = [move.target for move in plan.moves]
    assert targets.count('soon') == 2
    assert targets.count('late') == 1
    assert plan.unmet == 0


def test_overdue_jobs_that_wait_for_other_things_bring_no_vms():
    """A label that no worker has may keep them waiting for ever."""
    overdue_millicores = 900 * MILLICORES_PER_CORE
    full = create_pool('a', 2, overdue_millicores=overdue_millicores)
    idle = create_pool(
        'a', 2, overdue_millicores=overdue_millicores, idle_s=0.5
    )
    assert pool_sizing.compute_target_vms(full, VM_MILLICORES) > 2
    assert pool_sizing.compute_target_vms(idle, VM_MILLICORES) <= 2


def cordon(vms):
    for vm in vms:
        vm.cordoned = True
    return vms


def test_evacuated_vms_are_no_room_and_no_source():
    """A third of a pool is evacuated while its queue bursts.

    What was lost comes from idle VMs elsewhere at once, and none of the VMs
    that are moved or counted is in the evacuated data centre.
    """
    busy = create_pool('a', 8, needed_millicores=200 * MILLICORES_PER_CORE)
    cordon(busy.vms[:3])
    other = create_pool('b', 6, idle_s=1.0)
    cordoned_names = {vm.vm for vm in cordon(other.vms[:3])}
    spare_vms = create_vms('off', 8)
    cordoned_names |= {vm.vm for vm in cordon(spare_vms[:4])}
    spare = pool_sizing.PoolView(name='off', spare=True, vms=spare_vms)
    moves = pool_sizing.plan_moves([busy, other, spare], max_moves=20).moves
    target = pool_sizing.compute_target_vms(busy, VM_MILLICORES)
    assert len([move for move in moves if move.target == 'a']) == target - 5
    assert not cordoned_names & {move.vm for move in moves}


def test_empty_evacuated_vms_are_switched_off_where_pool_has_enough():
    quiet = create_pool('a', 6, idle_s=pool_sizing.MAX_IDLE_S + 1)
    cordon(quiet.vms[:4])
    spare = pool_sizing.PoolView(name='off', spare=True)
    moves = pool_sizing.plan_moves([quiet, spare], max_moves=20).moves
    # One of the two others stays as the reserve of the pool.
    assert sorted(move.vm for move in moves) == [
        'a0',
        'a1',
        'a2',
        'a3',
        'a4',
    ]
    assert {move.target for move in moves} == {'off'}


def test_all_evacuated_vms_stay_while_work_waits():
    """With all data centres evacuated, VMs are kept for when they are back."""
    pool = create_pool(
        'a',
        4,
        idle_s=pool_sizing.MAX_IDLE_S + 1,
        needed_millicores=100 * MILLICORES_PER_CORE,
    )
    cordon(pool.vms)
    spare = pool_sizing.PoolView(
        name='off', spare=True, vms=cordon(create_vms('off', 3))
    )
    plan = pool_sizing.plan_moves([pool, spare], max_moves=20)
    assert not plan.moves
    assert plan.unmet
