"""Tests of what counts as room of a pool.

Failures: the VM of a lasting task falls silent. The pool counted it as room
and gave its last good VM to another pool: the task found none for 20 s.
Serving tasks that memory or the spread of their step kept apart were counted
by their cores, and got VMs one after the other.
"""

import msgspec

from arbutusrock.engine import plans
from arbutusrock.engine.tests import test_cordons
from arbutusrock.engine import vm_views
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
    test_cordons.add_run(controller.term, workers[0], long_running=True)
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


def count_target_vms(*, lost, **fields):
    """Return the target of a pool of ten VMs when serving tasks are lost.

    :param lost: number of tasks of the step; all of them wait.
    """
    controller, workers = test_cordons.create_controller(*['z1'] * 10)
    term = controller.term
    registry = test_cordons.create_registry(term, workers)
    plan = plans.StepPlan(count=lost, long_running=True, **fields)
    submission = plans.Submission(
        queue='q',
        pool='p',
        account='a',
        accepted_ms=0.0,
        plan=plans.JobPlan(spec='', steps=(plan,)),
    )
    term.job_registry.add('job', submission)
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
