"""Tests of what counts as room of a pool.

Failure: the VM of a lasting task falls silent. The pool counted it as room and
gave its last good VM to another pool, so that the task found none for 20 s.
"""

from arbutusrock.engine.tests import test_cordons
from arbutusrock.engine import vm_views
from arbutusrock.utils import clocks


def create_view(*, unresponsive, silent_s, silent_count=1):
    """Return the view of a pool of two VMs, of which some are silent."""
    controller, workers = test_cordons.create_controller('z1', 'z1')
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


def test_silence_of_a_whole_pool_changes_nothing():
    """The owner is cut off from the workers; other VMs would not help."""
    view = create_view(unresponsive=True, silent_s=2.0, silent_count=2)
    assert len(view.vms) == 2
