"""Tests of what counts as room of a pool.

Failures: the VM of a lasting task falls silent. The pool counted it as room
and gave its last good VM to another pool: the task found none for 20 s.
Serving tasks that memory or the spread of their step kept apart were counted
by their cores, and got VMs one after the other.
"""

import types

import msgspec

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.jobs import plans
from arbutusrock.engine.tests import samples
from arbutusrock.engine.vms.tests import test_cordons
from arbutusrock.engine.vms import vm_views
from arbutusrock.scheduling import pool_sizing
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks

CAPACITY = test_cordons.CAPACITY


def create_view(*, unresponsive, silent_s, silent_count=1, others=0):
    """Return the view of a pool of two VMs, of which some are silent.

    :param others: number of workers in another pool; then both are silent.
    """
    controller, workers = test_cordons.create_controller(
        *['z1'] * (2 + others)
    )
    for worker in workers[2:]:
        worker.entry = msgspec.structs.replace(worker.entry, pool='other')
    workers = workers[:2]
    silent_count = 2 if others else silent_count
    now_s = clocks.now_s()
    samples.add_run(controller.term, workers[0], long_running=True)
    for worker in workers[:silent_count]:
        worker.unresponsive = unresponsive
        worker.last_reply_at_s = now_s - silent_s
    registry = test_cordons.create_registry(controller.term, workers)
    (view,) = vm_views.create_pool_views(controller.term, registry, now_s)
    return view


def test_silent_vm_is_no_room_but_its_task_needs_some():
    view = create_view(unresponsive=True, silent_s=2.0)
    assert [vm.vm for vm in view.vms] == ['m1']
    assert view.long_running_millicores == 1000


def test_vm_that_is_evacuated_for_a_wave_is_no_room():
    """Its pool had no other, so its task stayed and a new one waited."""
    controller, workers = test_cordons.create_controller('z1', 'z1')
    term = controller.term
    registry = test_cordons.create_registry(term, workers)
    samples.add_run(term, workers[0], long_running=True)
    for worker in workers:
        registry.vms[worker.vm].cordoned_wave = 1
        worker.cordon_reason = 'wave'
    (view,) = vm_views.create_pool_views(term, registry, clocks.now_s())
    assert not view.vms
    assert view.long_running_vms == 1


def test_short_silence_changes_nothing():
    assert len(create_view(unresponsive=True, silent_s=0.5).vms) == 2
    assert len(create_view(unresponsive=False, silent_s=2.0).vms) == 2


def test_silence_of_all_workers_changes_nothing():
    """The owner is cut off from the workers; other VMs would not help."""
    view = create_view(unresponsive=True, silent_s=2.0, silent_count=2)
    assert len(view.vms) == 2


def test_pool_of_silent_vms_gets_no_others():
    """It counted as room for as long as its VMs were registered."""
    view = create_view(unresponsive=True, silent_s=7.0, silent_count=2)
    assert not view.vms
    view = create_view(unresponsive=True, silent_s=2.0, others=3)
    assert not view.vms


def add_other_run(term, worker, demand):
    """Add a run, on a worker, of which only the demand is known."""
    run = job_state.Run(
        number=term.create_run_number(),
        name=f'other-{worker.vm}',
        task=None,
        account='other',
        worker=worker,
        demand=demand,
        now_s=clocks.now_s(),
    )
    term.fleet.add_run(run)


def count_target_vms(*, lost, jobs=1, limit=None, used=None, **fields):
    """Return the target of a pool of ten VMs when serving tasks are lost.

    :param lost: number of tasks of a step; all of them wait.
    :param jobs: number of jobs with such a step, of one account.
    :param limit: upper limit of the account.
    :param used: demand of a task of another kind on each VM.
    """
    controller, workers = test_cordons.create_controller(*['z1'] * 10)
    term = controller.term
    registry = test_cordons.create_registry(term, workers)
    if limit is not None:
        term.configuration.current.accounts['a'] = types.SimpleNamespace(
            upper_limit=limit
        )
    if used is not None:
        for worker in workers:
            add_other_run(term, worker, used)
    plan = plans.StepPlan(count=lost, long_running=True, **fields)
    submission = plans.Submission(
        queue='q',
        pool='p',
        account='a',
        accepted_ms=0.0,
        plan=plans.JobPlan(spec='', steps=(plan,)),
    )
    for number in range(jobs):
        term.job_registry.add(f'job-{number}', submission)
    now_s = clocks.now_s()
    term.job_registry.start_due_occurrences(clocks.wall_time_s(), now_s)
    (view,) = vm_views.create_pool_views(term, registry, now_s)
    return pool_sizing.compute_target_vms(view, CAPACITY.cpu)


def test_lost_serving_tasks_of_spread_step_get_vms_one_at_a_time():
    demand = Resources(cpu=100)
    target_vms = count_target_vms(lost=8, demand=demand, most_per_worker=1)
    assert target_vms == 8 + pool_sizing.RESERVE_VMS


def test_lost_serving_tasks_with_large_memory_get_vms_one_at_a_time():
    demand = Resources(cpu=100, memory_mb=CAPACITY.memory_mb // 3 + 1)
    target_vms = count_target_vms(lost=8, demand=demand)
    assert target_vms == 4 + pool_sizing.RESERVE_VMS


def test_serving_tasks_that_fit_one_vm_ask_for_no_more():
    target_vms = count_target_vms(lost=4, demand=Resources(cpu=100))
    assert target_vms == 1 + pool_sizing.RESERVE_VMS


def test_lost_serving_tasks_wait_for_vms_without_room_for_them():
    """Other tasks have the memory of all VMs, and few of their cores."""
    target_vms = count_target_vms(
        lost=4,
        demand=Resources(cpu=100, memory_mb=CAPACITY.memory_mb // 2),
        most_per_worker=1,
        used=Resources(cpu=100, memory_mb=CAPACITY.memory_mb * 3 // 4),
    )
    assert target_vms == 10 + 4 + pool_sizing.RESERVE_VMS


def test_steps_of_one_account_each_ask_for_vms_up_to_its_limit():
    target_vms = count_target_vms(
        lost=2,
        jobs=8,
        demand=Resources(cpu=100, memory_mb=CAPACITY.memory_mb),
        limit=Resources(memory_mb=3 * CAPACITY.memory_mb),
    )
    assert target_vms == 3 + pool_sizing.RESERVE_VMS
