"""Orders that are carried out after their worker has started again."""

import types

import pytest

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.runs import unanswered_orders
from arbutusrock.engine.runs import worker_link
from arbutusrock.engine.tests import samples
from arbutusrock.engine.workers import fleet
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks

ENTRY = platform_messages.WorkerEntry(
    worker_id='i-1',
    pool='p',
    address='h:1',
    vm='m',
    capacity=Resources(cpu=8000, memory_mb=8000),
)
UNKNOWN = platform_messages.OrderOutcome.UNKNOWN


class Stops:
    """Stands for the link to a worker, and keeps the runs it stops."""

    def __init__(self):
        self.runs = []

    def send_stop(self, run):
        self.runs.append((run.name, run.number))


@pytest.fixture
def controller():
    found = samples.create_run_controller([ENTRY], epoch=2)
    found.links['i-1'] = Stops()
    return found


def order_run(controller, job_id='0' * 16):
    """Send a start order to the worker; return its run."""
    run = samples.add_run(
        controller.term, controller.term.fleet.workers['i-1'], job_id=job_id
    )
    controller.unanswered_orders.record_sent(run)
    return run


def reply_to(controller, run, outcome):
    reply = platform_messages.OrderReply(outcome=outcome)
    controller.unanswered_orders.record_reply(run, reply)
    controller.handle_start_reply(run, reply)


def register_successor(controller, former):
    """Register the next incarnation of the worker.

    :returns: its state, and the runs that it was told to stop.
    """
    successor = fleet.WorkerState(entry=ENTRY, now_s=clocks.now_s())
    controller.term.fleet.workers['i-1'] = successor
    controller.links['i-1'] = Stops()
    controller.unanswered_orders.revoke(former, successor)
    return successor, controller.links['i-1'].runs


@pytest.mark.parametrize('known', [False, True])
@pytest.mark.parametrize('in_flight', [False, True])
@pytest.mark.parametrize('end', [None, *fleet.IncarnationEnd])
def test_order_is_revoked_however_the_incarnation_has_ended(
    controller, end, in_flight, known
):
    """Guards against TWICE: only a restart within the lease was handled."""
    run = order_run(controller)
    task, worker = run.task, run.worker
    if not in_flight:
        reply_to(controller, run, UNKNOWN)
    if end is None:
        controller.handle_lease_expiry(worker)
        end = fleet.IncarnationEnd.UNREGISTERED
    controller.end_incarnation(worker, end)
    restarted = end is fleet.IncarnationEnd.RESTARTED
    assert (task.status is job_state.TaskStatus.WAITING) is not restarted
    if restarted and not known:
        # The worker was swept, since nothing registered.
        controller.requeue_runs(worker)
    successor, stopped = register_successor(
        controller, worker if known else None
    )
    assert stopped == [(run.name, run.number)]
    (revoked,) = successor.runs.values()
    # It starts nowhere else until this incarnation has answered.
    assert task.status is job_state.TaskStatus.ACTIVE
    assert successor.used_millicores == 1000
    controller.requeue_run(revoked)
    assert task.status is job_state.TaskStatus.WAITING


@pytest.mark.parametrize('ended', ['elsewhere', 'cancelled', 'forgotten'])
def test_order_is_revoked_when_its_task_needs_no_run_any_more(
    controller, ended
):
    """Guards against TWICE and UNASKED; what may run takes up capacity."""
    run = order_run(controller)
    reply_to(controller, run, UNKNOWN)
    task, job = run.task, run.task.step.job
    controller.end_incarnation(run.worker, fleet.IncarnationEnd.UNREGISTERED)
    registry = controller.term.job_registry
    if ended == 'elsewhere':
        registry.mark_done(task, clocks.now_s(), clocks.wall_time_s())
    else:
        registry.cancel(job, clocks.wall_time_s())
    if ended == 'forgotten':
        registry.remove_job(job.job_id)
    successor, stopped = register_successor(controller, run.worker)
    assert stopped == [(run.name, run.number)]
    (revoked,) = successor.runs.values()
    assert revoked.task is None
    assert successor.used_millicores == (
        8000 if ended == 'forgotten' else 1000
    )


def test_order_is_revoked_at_each_further_incarnation(controller):
    """Guards against TWICE: each of them has forgotten the stop order."""
    run = order_run(controller)
    worker, told = run.worker, [(run.name, run.number)]
    for end in fleet.IncarnationEnd:
        controller.end_incarnation(worker, end)
        worker, stopped = register_successor(controller, worker)
        assert stopped == told


@pytest.mark.parametrize(
    'outcome',
    [
        outcome
        for outcome in platform_messages.OrderOutcome
        if outcome not in {UNKNOWN, platform_messages.OrderOutcome.FENCED}
    ],
)
def test_answered_order_is_not_revoked(controller, outcome):
    run = order_run(controller)
    reply_to(controller, run, outcome)
    assert not len(controller.unanswered_orders)
    controller.end_incarnation(run.worker, fleet.IncarnationEnd.RESTARTED)
    _, stopped = register_successor(controller, run.worker)
    assert not stopped


@pytest.mark.parametrize('ended', [False, True])
def test_order_that_was_carried_out_is_not_revoked(controller, ended):
    run = order_run(controller)
    reply_to(controller, run, UNKNOWN)
    report = platform_messages.RunReport(
        task=run.name, run=run.number, checkpoint='', percent=10
    )
    completion = platform_messages.CompletionReport(
        number=1,
        task=run.name,
        run=run.number,
        kind=platform_messages.CompletionKind.DONE,
    )
    reply = platform_messages.RenewalReply(
        clock_ms=1.0,
        born_ms=0,
        running=() if ended else (report,),
        ended=(completion,) if ended else (),
    )
    controller.handle_renewal(run.worker, reply, clocks.now_s())
    assert not len(controller.unanswered_orders)


def test_order_that_is_not_sent_yet_is_not_revoked(controller):
    run = samples.add_run(
        controller.term, controller.term.fleet.workers['i-1']
    )
    run.state = job_state.RunState.RESERVED
    controller.end_incarnation(run.worker, fleet.IncarnationEnd.RESTARTED)
    assert run.task.status is job_state.TaskStatus.WAITING


def test_orders_are_kept_for_a_bounded_time(controller):
    """Their workers may never return."""
    run = order_run(controller)
    orders = controller.unanswered_orders
    reply_to(controller, run, UNKNOWN)
    now_s = clocks.now_s()
    orders.drop_expired(now_s + unanswered_orders.MAX_DELAY_S - 1)
    assert orders.is_pending(run)
    orders.drop_expired(now_s + unanswered_orders.MAX_DELAY_S)
    assert not len(orders)


def test_number_of_kept_orders_is_bounded(controller):
    orders = controller.unanswered_orders
    for number in range(unanswered_orders.MAX_ORDERS + 10):
        worker = types.SimpleNamespace(worker_id=f'i-{number}')
        orders.record_sent(
            types.SimpleNamespace(worker=worker, name='t', number=number)
        )
    assert len(orders) == unanswered_orders.MAX_ORDERS


def test_task_is_not_blamed_for_crashes_before_its_order_arrives(controller):
    """Guards against LOST: its worker goes on crashing without it."""
    run = order_run(controller)
    worker = run.worker
    controller.end_incarnation(worker, fleet.IncarnationEnd.UNREGISTERED)
    for _ in range(5):
        worker, _ = register_successor(controller, worker)
        controller.end_incarnation(worker, fleet.IncarnationEnd.REPLACED)
    assert not run.task.crashes
    assert not run.task.step.job.ended


async def test_stop_is_repeated_after_a_silent_worker_was_given_up(controller):
    """Guards against TWICE: the worker was up, but did not answer at first."""
    run = order_run(controller)
    controller.end_incarnation(run.worker, fleet.IncarnationEnd.UNREGISTERED)
    successor, _ = register_successor(controller, run.worker)
    (revoked,) = successor.runs.values()
    outcomes = [UNKNOWN, platform_messages.OrderOutcome.DONE]
    sent = []

    async def stop_run(task, number, _epoch):
        sent.append((task, number))
        controller.handle_lease_expiry(successor)
        outcome = outcomes[len(sent) - 1]
        return platform_messages.OrderReply(outcome=outcome)

    link = worker_link.WorkerLink(
        term=controller.term,
        run_controller=controller,
        worker=successor,
        client=types.SimpleNamespace(stop_run=stop_run),
        spawn=None,
    )
    await link._stop(revoked)
    assert run.task.status is job_state.TaskStatus.WAITING
    assert sent == [(run.name, run.number)] * 2
