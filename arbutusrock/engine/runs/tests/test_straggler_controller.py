"""When the VM of a run that stalls gets no other work."""

import types

import pytest

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.runs import straggler_controller
from arbutusrock.engine.tests import samples
from arbutusrock.scheduling import Resources
from arbutusrock.scheduling import vm_health
from arbutusrock.utils import clocks

STALLED_S = 5.0


@pytest.fixture
def controller():
    """A controller that finds no room to move runs to, and one worker."""
    entry = platform_messages.WorkerEntry(
        worker_id='i-1',
        pool='p',
        address='h:1',
        vm='m',
        capacity=Resources(cpu=8000),
    )
    runs = samples.create_run_controller([entry], epoch=1)
    worker = runs.term.fleet.workers['i-1']
    worker.has_answered = worker.in_roster = True
    return straggler_controller.StragglerController(
        term=runs.term,
        run_controller=runs,
        dispatcher=types.SimpleNamespace(
            has_free_capacity=lambda task, taken: False
        ),
    )


def add_run(controller, job_id, *, stalls):
    term = controller.term
    worker = term.fleet.workers['i-1']
    run = samples.add_run(term, worker, job_id=job_id * 16)
    now_s = clocks.now_s()
    run.state = job_state.RunState.RUNNING
    run.started_at_s = run.confirmed_at_s = now_s - 2 * STALLED_S
    run.last_progress_at_s = now_s - (STALLED_S if stalls else 0.0)
    worker.last_reply_at_s = now_s
    return run


def is_excluded(controller, after_s):
    """Return whether the VM is excluded after passes of some seconds."""
    now_s = clocks.now_s()
    for number in range(int(after_s * 4) + 1):
        controller.check(now_s + number / 4)
    return controller.term.vm_health.is_excluded('m', now_s + after_s)


def test_one_run_excludes_its_vm_for_as_long_as_it_runs(controller):
    """Guards against LOST: it may be a long one that cannot be moved."""
    add_run(controller, '1', stalls=True)
    assert is_excluded(controller, 0.0)
    assert not is_excluded(controller, vm_health.EXCLUSION_S + 0.5)


def test_vm_on_which_all_runs_hang_gets_new_ones(controller):
    add_run(controller, '1', stalls=True)
    add_run(controller, '2', stalls=True)
    assert is_excluded(controller, vm_health.EXCLUSION_S + 0.5)


def test_later_run_that_stalls_does_not_exclude_its_vm(controller):
    add_run(controller, '1', stalls=True)
    add_run(controller, '2', stalls=False)
    assert not is_excluded(controller, vm_health.EXCLUSION_S + 0.5)
    add_run(controller, '3', stalls=True)
    assert is_excluded(controller, 0.0)
