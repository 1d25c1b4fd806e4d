"""Tests of tickets, the policy service's permissions."""

import asyncio
import types

import msgspec

from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.tests import samples
from arbutusrock.engine.workers import fleet
from arbutusrock.engine.workers import tickets
from arbutusrock.scheduling import configuration
from arbutusrock.utils import clocks


async def test_ticket_of_an_earlier_incarnation_is_not_used():
    """Guards against starts that are refused after a reboot of a worker."""
    entry = platform_messages.WorkerEntry(
        worker_id='w', pool='p', address='h:1', born_ms=1000
    )
    term = samples.create_run_controller([entry], epoch=1).term
    term.configuration.current = types.SimpleNamespace(
        queues={
            'q': types.SimpleNamespace(
                advice=configuration.AdviceSettings(
                    decide_ms=1.0, each_ms=1.0, valid_ms=60_000.0
                )
            )
        }
    )
    asked = []

    async def request_tickets(_step, worker_ids, *, timeout_s):
        asked.extend(worker_ids)
        ticket = platform_messages.Ticket(worker_id='w', ticket='t')
        return [ticket], 60.0

    cache = tickets.TicketCache(
        term=term,
        client=types.SimpleNamespace(request_tickets=request_tickets),
        spawn=asyncio.ensure_future,
    )
    term.job_registry.add('0' * 16, samples.create_submission())
    term.job_registry.start_due_occurrences(
        clocks.wall_time_s(), clocks.now_s()
    )
    step = term.job_registry.jobs['0' * 16].occurrences[0].steps[0]
    workers = list(term.fleet.workers.values())
    now_s = clocks.now_s()
    assert cache.get_allowed_ids(step, workers, now_s) == set()
    await asyncio.sleep(0.01)
    assert cache.get_allowed_ids(step, workers, now_s) == {'w'}
    successor = fleet.WorkerState(
        entry=msgspec.structs.replace(entry, born_ms=2000), now_s=now_s
    )
    term.fleet.workers['w'] = successor
    assert cache.get_allowed_ids(step, [successor], now_s) == set()
    await asyncio.sleep(0.01)
    assert cache.get_allowed_ids(step, [successor], now_s) == {'w'}
    assert asked == ['w', 'w']
