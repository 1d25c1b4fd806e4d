"""Speeds of VMs through reports, stragglers and placement."""

from unittest import mock

import msgspec
import pytest

from arbutusrock.engine.dispatch import dispatcher
from arbutusrock.engine.dispatch import placement_requests
from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.runs import straggler_controller
from arbutusrock.engine.tests import samples
from arbutusrock.engine.vms.tests import test_cordons
from arbutusrock.engine.workers import run_speeds
from arbutusrock.scheduling import placement
from arbutusrock.utils import clocks


def create_pool():
    """Return a controller with two workers, of which the first has a run."""
    controller, workers = test_cordons.create_controller('z1', 'z1')
    run = samples.add_run(controller.term, workers[0], estimate_ms=1000.0)
    run.state = job_state.RunState.RUNNING
    return controller, workers, run


def mark_slow(term, vm):
    """Have the next pass take a VM for slow, as the earlier owner did."""
    term.vm_speeds.restore({vm: 0.2}, 0.0, clocks.now_s())


def report(worker, run, *, percent, age_s):
    now_s = clocks.now_s()
    run.started_at_s = run.confirmed_at_s = now_s - age_s
    run.percent, run.last_progress_at_s = percent, now_s
    worker.record_report(1000.0 * now_s, now_s)


def check(controller):
    dispatcher = mock.Mock()
    dispatcher.has_free_capacity.return_value = True
    checked = straggler_controller.StragglerController(
        term=controller.term,
        run_controller=mock.Mock(),
        dispatcher=dispatcher,
    )
    checked.check(clocks.now_s())
    return checked.run_controller.stop_run.called


def test_tail_stays_on_a_sound_vm_and_work_leaves_a_slow_one():
    controller, (worker, other), run = create_pool()
    report(worker, run, percent=10.0, age_s=0.5)
    assert not check(controller)
    mark_slow(controller.term, worker.vm)
    assert check(controller)
    report(worker, run, percent=90.0, age_s=0.5)
    assert not check(controller)


def test_slow_vm_elsewhere_moves_no_run():
    controller, (worker, other), run = create_pool()
    report(worker, run, percent=10.0, age_s=0.5)
    mark_slow(controller.term, other.vm)
    assert not check(controller)


def test_reports_of_runs_of_two_jobs_mark_their_vm():
    controller, (worker, _), run = create_pool()
    term = controller.term
    other = samples.add_run(term, worker, job_id='1' * 16, estimate_ms=1000.0)
    other.state = job_state.RunState.RUNNING
    begin_s = clocks.now_s()
    for item in (run, other):
        item.confirmed_at_s = begin_s - 0.4
    for tick in range(5):
        now_s = begin_s + tick * 0.25
        for item in (run, other):
            item.percent = 10.0 + 4 * tick
            item.last_progress_at_s = now_s
        worker.record_report(1000.0 * now_s, now_s)
        for item in (run, other):
            run_speeds.record_progress(term, item, 1.0, now_s)
        run_speeds.update(term, [run, other], now_s)
    assert term.vm_speeds.slow_vms.keys() == {worker.vm}
    assert term.vm_speeds.get(worker.vm).speed == pytest.approx(0.16, abs=0.05)


def test_starts_count_for_nothing_in_the_time_of_reports():
    """The clock of a start order's answer is newer than the percentage."""
    _, (worker, _), _ = create_pool()
    worker.record_report(1000.0, clocks.now_s())
    worker.record_clock(3000.0, clocks.now_s())
    assert worker.report_clock_ms == 1000.0


def test_equal_speeds_change_no_request():
    controller, workers, run = create_pool()
    request = placement_requests.create_request(
        controller.term, run.task.step, run.task, frozenset(), None
    )
    assert request.slow_vms == {}
    found = placement.find_sound_workers(workers, request.slow_vms, 0.0, 1.0)
    assert found is workers


def test_resumed_runs_say_nothing_about_the_durations_of_their_siblings():
    """They begin with what earlier runs have done."""
    controller, (worker, other), run = create_pool()
    report(worker, run, percent=95.0, age_s=0.5)
    sibling = mock.Mock(task=run.task, worker=other)
    assert run_speeds.find_sibling_durations(sibling) == [
        pytest.approx(0.5 / 0.95)
    ]
    run.task.checkpoint = 'c'
    assert run_speeds.find_sibling_durations(sibling) == []


def test_no_more_runs_leave_a_slow_vm_than_find_room_elsewhere():
    controller, (worker, other), run = create_pool()
    term = controller.term
    runs = [run]
    for number in range(1, 4):
        run = samples.add_run(
            term, worker, job_id=f'{number:016}', estimate_ms=1000.0
        )
        run.state = job_state.RunState.RUNNING
        runs.append(run)
    for run in runs:
        report(worker, run, percent=10.0, age_s=0.5)
    mark_slow(term, worker.vm)
    # Room for two of the four.
    other.used_millicores = other.capacity.cpu - 2000
    term.confirmed_at_s = clocks.now_s()
    tickets = mock.Mock()
    tickets.get_allowed_ids.return_value = None
    checked = straggler_controller.StragglerController(
        term=term,
        run_controller=mock.Mock(),
        dispatcher=dispatcher.Dispatcher(
            term=term,
            links={item.worker_id: mock.Mock() for item in (worker, other)},
            ticket_cache=tickets,
            crash_tracker=mock.Mock(culprits={}),
        ),
    )
    checked.check(clocks.now_s())
    assert checked.run_controller.stop_run.call_count == 2


def test_speeds_are_not_used_where_the_settings_do_not_ask_for_them():
    controller, (worker, other), run = create_pool()
    term = controller.term
    term.settings = msgspec.structs.replace(
        term.settings, estimates_vm_speeds=False
    )
    mark_slow(term, worker.vm)
    report(worker, run, percent=10.0, age_s=0.5)
    assert not check(controller)
    run_speeds.record_end(term, run, clocks.now_s())
    assert not term.vm_speeds.slow_vms
