"""Tests of the orders that the owner sends to one worker."""

import asyncio
import types

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.runs import worker_link
from arbutusrock.engine.tests import samples
from arbutusrock.utils import clocks


async def test_start_order_without_lease_ends_the_ownership():
    """Guards against an owner that fails once the store is back.

    The order was created before the store confirmed the ownership again, and
    was about to be sent after that.
    """
    entry = platform_messages.WorkerEntry(
        worker_id='i-1', pool='p', address='h:1', vm='m1'
    )
    controller = samples.create_run_controller([entry], epoch=2)
    term, worker = controller.term, controller.term.fleet.workers['i-1']
    worker.record_clock(1000.0, clocks.now_s())
    sent = []

    async def start_run(order):
        sent.append(order)

    async with asyncio.TaskGroup() as group:
        link = worker_link.WorkerLink(
            term=term,
            run_controller=controller,
            worker=worker,
            client=types.SimpleNamespace(start_run=start_run),
            spawn=group.create_task,
        )
        run = samples.add_run(term, worker)
        term.confirmed_at_s = clocks.now_s() - 60.0
        link.send_start(run, spec='')
        term.record_confirmation(clocks.now_s())
    assert not sent
    assert not worker.runs
    assert run.task.status is job_state.TaskStatus.WAITING
