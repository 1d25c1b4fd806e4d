"""Builds the views of pools and VMs on which scheduling decides.

The decision modules know neither workers nor orders, only these views.
"""

import math

from arbutusrock.engine.dispatch import placement_requests
from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.jobs import occurrence_estimates
from arbutusrock.scheduling import consolidation
from arbutusrock.scheduling import pool_sizing
from arbutusrock.scheduling import quotas
from arbutusrock.scheduling import serving_room
from arbutusrock.scheduling import wave_selection
from arbutusrock.utils import clocks

__all__ = [
    'CORDON_ORDER',
    'CORDON_SHRINK',
    'compute_pool_loads',
    'create_loaded_vms',
    'create_pool_views',
    'create_wave_vm',
    'is_empty',
    'map_workers_by_vm',
]

# Cordon reason of workers whose VM is evacuated to move to another pool.
CORDON_SHRINK = 'shrink'
# Cordon reason of workers whose VM has an order that is under way.
CORDON_ORDER = 'order'
# A worker that does not answer counts as room of its pool for this time. Lost
# answers are short; a rack that is dark stays so for seconds.
MAX_SILENCE_S = 1.5
# Time from the end of a VM's move until its worker has registered and answered
# the owner.
REGISTRATION_DELAY_S = 0.3
# While most workers are silent, the owner is rather cut off itself, and other
# VMs would not help. Not for longer than a lease, as work waits for them.
MAX_CUT_OFF_S = 6.0


def map_workers_by_vm(fleet):
    """Return the current worker of each VM, by the name of the VM.

    An entry that nobody answers for does not hide a worker that has answered.
    """
    found = {}
    for worker in fleet.workers.values():
        vm = worker.entry.vm
        if not vm or worker.ended:
            continue
        if vm not in found or worker.has_answered >= found[vm].has_answered:
            found[vm] = worker
    return found


def compute_pool_loads(fleet):
    """Return what each pool uses over its usable capacity.

    Runs on cordoned workers count, as they have to move to the others; those
    in evacuated data centres do not, as they end there.
    """
    used, capacity = {}, {}
    for worker in fleet.workers.values():
        if worker.ended:
            continue
        pool = worker.entry.pool
        used.setdefault(pool, 0)
        if not worker.in_evacuated_data_centre:
            used[pool] += worker.used_millicores
        if worker.usable:
            capacity[pool] = capacity.get(pool, 0) + worker.capacity.cpu
    return {
        pool: used[pool] / capacity[pool] if capacity.get(pool) else 1.0
        for pool in used
    }


def is_empty(tracked, worker, *, leases_inherited):
    """Return whether nothing can be running on a VM.

    :param tracked: :class:`arbutusrock.engine.vms.vm_registry.TrackedVM`.
    :param worker: its current worker, or None.
    :param leases_inherited: whether leases of an earlier owner may still
        run. Then a worker that the platform lists may have runs although it
        is not known here.
    """
    if worker is not None:
        return worker.has_answered and not worker.runs
    return not tracked.entry.worker_id or not leases_inherited


def create_wave_vm(tracked, worker, wave, *, leases_inherited):
    """Return the :class:`wave_selection.WaveVM` of a pending VM of a wave.

    :param wave: number of the wave.
    """
    runs = worker.runs.values() if worker else ()
    return wave_selection.WaveVM(
        vm=tracked.entry.vm,
        pool=tracked.entry.pool,
        empty=is_empty(tracked, worker, leases_inherited=leases_inherited),
        cordoned=tracked.cordoned_wave == wave,
        serving_steps=[
            id(run.task.step) for run in runs if _is_long_running(run)
        ],
        load=(
            worker.used_millicores / max(1, worker.capacity.cpu)
            if worker
            else 0.0
        ),
    )


def create_loaded_vms(fleet, pool):
    """Return a :class:`consolidation.LoadedVM` per usable VM of a pool."""
    return [
        consolidation.LoadedVM(
            vm=worker.vm,
            used_millicores=worker.used_millicores,
            free_millicores=worker.free_millicores,
            runs=len(worker.runs),
            evictable=all(
                run.task is not None
                and run.task.step.plan.checkpointing
                and not run.task.step.plan.gang
                and not run.task.step.plan.most_per_worker
                and run.state is job_state.RunState.RUNNING
                for run in worker.runs.values()
            ),
        )
        for worker in fleet.find_pool_workers(pool)
        if worker.usable
    ]


def _is_long_running(run):
    return run.task is not None and run.task.step.plan.long_running


def create_pool_views(term, vm_registry, now_s):
    """Return a :class:`pool_sizing.PoolView` for each pool.

    A VM that is being moved counts for the pool that it joins.
    """
    workers = map_workers_by_vm(term.fleet)
    silent = _find_silent_vms(term.fleet, now_s)
    views = {
        pool.name: pool_sizing.PoolView(name=pool.name, spare=pool.spare)
        for pool in term.configuration.current.pools.values()
    }
    for name, tracked in vm_registry.vms.items():
        view = views.get(
            tracked.order.target if tracked.order else tracked.entry.pool
        )
        if view is not None and name not in silent:
            vm = _create_vm_view(
                name, tracked, workers.get(name), now_s, view.spare
            )
            if vm is not None:
                vm.cordoned = _is_cordoned(tracked, term.cordons)
                view.vms.append(vm)
    _add_running(views, term)
    _add_waiting(views, term, vm_registry, silent, now_s)
    _add_needs(views, term)
    _add_forecast(list(views.values()), term, now_s)
    return list(views.values())


def _find_silent_vms(fleet, now_s):
    """Return the VMs that are no room of their pools, as they are silent.

    Such a pool needs other VMs, also while the silent ones may still have
    runs.
    """
    workers = [item for item in fleet.workers.values() if not item.ended]
    silences_s = {
        worker.vm: now_s - worker.last_reply_at_s
        for worker in workers
        if worker.unresponsive
        and now_s - worker.last_reply_at_s > MAX_SILENCE_S
    }
    if 2 * len(silences_s) <= len(workers):
        return set(silences_s)
    return {
        vm for vm, silent_s in silences_s.items() if silent_s > MAX_CUT_OFF_S
    }


def _is_cordoned(tracked, cordons):
    """Return whether a VM is in an evacuated data centre.

    A VM that no list has shown is somewhere unknown.
    """
    return tracked.entry.data_centre in cordons


def _create_vm_view(name, tracked, worker, now_s, spare):
    """Return the view of a VM, or None if it is not capacity of its pool.

    A VM that this owner has not used, or that was evacuated to be moved, gets
    an infinite idle time, so that it is the first to go.
    """
    if tracked.order is not None:
        if tracked.order.wave_number is not None and not spare:
            # A VM in maintenance returns to its pool by itself shortly.
            return None
        return pool_sizing.VMView(
            vm=name,
            millicores=tracked.entry.capacity.cpu,
            movable=False,
            arriving=True,
        )
    movable = tracked.accepts_orders and tracked.cordoned_wave is None
    movable = movable and now_s >= tracked.backoff_until_s
    if worker is not None and worker.cordon_reason not in {'', CORDON_SHRINK}:
        movable = False
    if spare:
        return pool_sizing.VMView(
            vm=name, millicores=tracked.entry.capacity.cpu, movable=movable
        )
    if worker is None or worker.entry.draining:
        return None
    if tracked.cordoned_wave is not None:
        # It gets no runs, and those that it has need room elsewhere.
        return None
    idle_s = 0.0
    if not tracked.was_used or worker.cordon_reason == CORDON_SHRINK:
        idle_s = math.inf
    elif tracked.empty_since_s is not None:
        idle_s = now_s - tracked.empty_since_s
    return pool_sizing.VMView(
        vm=name,
        millicores=worker.capacity.cpu,
        movable=movable and worker.in_service and not worker.runs,
        idle_s=idle_s,
        silent=worker.is_silent,
    )


def _add_running(views, term):
    """Add what running tasks use, with long-running ones apart."""
    long_running_vms = {}
    for worker in term.fleet.workers.values():
        view = views.get(worker.entry.pool)
        if view is None:
            continue
        view.used_millicores += worker.used_millicores
        for run in worker.runs.values():
            if run.task is None or run.task.step.plan.fills:
                continue
            if worker.in_evacuated_data_centre:
                # It needs no room elsewhere, and its VM is no room.
                continue
            if _is_long_running(run):
                view.long_running_millicores += run.demand.cpu
                long_running_vms.setdefault(view.name, set()).add(worker.vm)
    for name, vms in long_running_vms.items():
        views[name].long_running_vms = len(vms)


def _add_waiting(views, term, vm_registry, silent, now_s):
    """Add the demand of long-running tasks that wait for a worker."""
    usage = {}
    for pool, steps in term.job_registry.waiting_steps.items():
        view = views.get(pool)
        serving = [
            step
            for step in steps.values()
            if step.plan.long_running and not step.plan.fills
        ]
        if view is None or not serving:
            continue
        view.long_running_millicores += sum(
            step.plan.demand.cpu * len(step.waiting) for step in serving
        )
        view.long_running_vms += serving_room.count_room_vms(
            [
                waiting
                for step in serving
                if (waiting := _create_waiting_tasks(term, step, usage, now_s))
            ],
            _create_room_vms(term, pool, silent, now_s),
            _get_vm_amounts(vm_registry),
            max_new=len(vm_registry.vms),
        )


def _create_waiting_tasks(term, step, usage, now_s):
    """Return the tasks of a step that wait for room, or None.

    Tasks of an earlier owner's job may still run on a worker that has not
    answered. They count from the time on after which a silent VM is no room.

    :param usage: what each account uses, with the waiting tasks of the steps
        before; those of the step are added.
    """
    if not term.may_start(step.job) or (
        step.job.inherited and now_s < term.began_at_s + MAX_SILENCE_S
    ):
        return None
    name, demand = step.job.submission.account, step.plan.demand
    account = term.configuration.current.accounts.get(name)
    count = len(step.waiting)
    if account is not None:
        used = usage.get(name) or term.fleet.get_usage(name)
        count = quotas.count_fitting(
            used, demand, account.upper_limit, most=count
        )
        usage[name] = used + demand * count
    if not count:
        return None
    return serving_room.WaitingTasks(
        count=count,
        demand=placement_requests.get_amounts(demand),
        label=step.plan.label,
        most_per_vm=step.plan.most_per_worker,
        tasks_by_vm=step.runs_by_vm,
    )


def _create_room_vms(term, pool, silent, now_s):
    """Return a :class:`serving_room.RoomVM` per VM that may get tasks."""
    return [
        serving_room.RoomVM(
            vm=worker.vm,
            free=placement_requests.get_free_amounts(worker),
            labels=worker.entry.labels,
            serves=any(
                _is_long_running(run) and not run.task.step.plan.fills
                for run in worker.runs.values()
            ),
            used=bool(worker.runs),
        )
        for worker in term.fleet.find_pool_workers(pool)
        if worker.usable
        and worker.vm not in silent
        and not term.vm_health.is_excluded(worker.vm, now_s)
    ]


def _get_vm_amounts(vm_registry):
    """Return the median amount of each resource on a VM."""
    amounts = [
        placement_requests.get_amounts(tracked.entry.capacity)
        for tracked in vm_registry.vms.values()
    ]
    return [
        sorted(column)[len(column) // 2]
        for column in zip(*amounts, strict=True)
    ]


def _add_forecast(views, term, now_s):
    """Add the expected demand when a VM ordered now would be in service."""
    forecast = term.forecast
    names = [view.name for view in views if not view.spare]
    forecast.vm_millicores = pool_sizing.get_median_vm_millicores(views)
    forecast.update(names, now_s)
    standby = forecast.count_standby_vms(names, now_s)
    lead_s = term.settings.move_s + REGISTRATION_DELAY_S
    for view in views:
        if not view.spare:
            view.expected_millicores = forecast.predict_millicores(
                view.name, now_s, lead_s
            )
            view.standby_vms = standby.get(view.name, 0)
            view.off_peak = forecast.is_off_peak(view.name, now_s)


def _add_needs(views, term):
    """Add the capacity that open jobs need to meet their objectives."""
    wall_s = clocks.wall_time_s()
    for job in term.job_registry.open_jobs.values():
        view = views.get(job.submission.pool)
        if view is None or job.excess:
            continue
        for occurrence in job.occurrences.values():
            estimate = occurrence_estimates.estimate_occurrence(
                term.duration_estimator, occurrence
            )
            if estimate.long_running:
                continue
            age_s = wall_s - occurrence.due_unix_s
            outlook = {
                'work_left_millicore_s': estimate.work_left_core_s * 1000,
                'critical_path_left_s': estimate.critical_path_left_s,
                'time_left_s': estimate.objective_s - age_s,
            }
            view.needed_millicores += pool_sizing.compute_need(**outlook)
            account = job.submission.account
            if any(
                term.fits_account_limit(account, step.demand)
                for step in job.plan.steps
            ):
                view.overdue_millicores += pool_sizing.compute_overdue_need(
                    **outlook
                )
