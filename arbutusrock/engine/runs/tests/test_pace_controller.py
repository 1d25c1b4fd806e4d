"""Pace orders that are carried out late, after newer ones."""

import asyncio

import pytest

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.runs import pace_controller
from arbutusrock.engine.runs import worker_link
from arbutusrock.engine.tests import samples
from arbutusrock.utils import clocks

PASS_S = pace_controller.PASS_INTERVAL_S
# A serving task may be over its target for this long (``harmMs``).
MAX_HARM_S = 4.0
TARGET_MS = 100


class LateClient:
    """Worker that leaves some pace orders unanswered, and keeps them.

    :ivar percent: pace that its run works at.
    :ivar late: orders that are not carried out yet.
    """

    def __init__(self):
        self.percent = 100
        self.unanswered = False
        self.late = []
        self.calls = 0
        self.release = None

    async def set_run_pace(self, _task, _run, percent, _epoch):
        self.calls += 1
        if self.release is not None:
            # The channel is slow; later calls take others.
            release, self.release = self.release, None
            await release.wait()
        if self.unanswered:
            self.late.append(percent)
            outcome = platform_messages.OrderOutcome.UNKNOWN
        else:
            self.percent = percent
            outcome = platform_messages.OrderOutcome.DONE
        return platform_messages.OrderReply(outcome=outcome)


class Fill:
    """A worker with one serving and one filling task."""

    def __init__(self):
        entry = platform_messages.WorkerEntry(
            worker_id='i-1', pool='p', address='h:1', vm='m'
        )
        runs = samples.create_run_controller([entry], epoch=2)
        term, worker = runs.term, runs.term.fleet.workers['i-1']
        worker.has_answered = True
        self.client, self.tasks = LateClient(), []
        link = worker_link.WorkerLink(
            term=term,
            run_controller=runs,
            worker=worker,
            client=self.client,
            spawn=self.spawn,
        )
        self.controller = pace_controller.PaceController(
            term=term, links={'i-1': link}
        )
        self.serving = samples.add_run(
            term,
            worker,
            job_id='1' * 16,
            target_ms=TARGET_MS,
            long_running=True,
        )
        self.filling = samples.add_run(
            term, worker, job_id='2' * 16, fills=True
        )
        for run in (self.serving, self.filling):
            run.state = job_state.RunState.RUNNING
        self.serving.ready_at_s = 0.0
        self.serving.load = 0.8 * TARGET_MS
        # The runs were created by the clock that this one goes on from.
        self.now_s = clocks.now_s()

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def play(self, span_s):
        for _ in range(int(span_s / PASS_S)):
            self.now_s += PASS_S
            self.controller.make_pass()
            # Calls on quick channels end at once.
            for _ in range(5):
                await asyncio.sleep(0)


@pytest.fixture
def fill(monkeypatch):
    found = Fill()
    monkeypatch.setattr(clocks, 'now_s', lambda: found.now_s)
    return found


@pytest.mark.parametrize('late_s', [2.0, 12.0])
async def test_late_pace_order_is_undone(fill, late_s):
    """Guards against HARM: a filling task went on at an older, higher pace."""
    fill.serving.load = 0.9 * TARGET_MS
    fill.client.unanswered = True
    await fill.play(PASS_S)
    fill.client.unanswered = False
    await fill.play(late_s)
    fill.serving.load = 0.8 * TARGET_MS
    await fill.play(2 * PASS_S)
    share = fill.client.percent
    fill.client.percent = fill.client.late[0]
    assert fill.client.percent > share
    await fill.play(MAX_HARM_S)
    assert fill.client.percent == share


async def test_newer_pace_order_does_not_overtake_an_older_one(fill):
    """Guards against HARM: two orders were under way on two channels."""
    release = fill.client.release = asyncio.Event()
    fill.serving.load = 0.9 * TARGET_MS
    await fill.play(3 * PASS_S)
    assert fill.client.calls == 1
    release.set()
    fill.serving.load = 0.8 * TARGET_MS
    await fill.play(2 * PASS_S)
    assert fill.client.percent == 0


async def test_answered_pace_order_is_not_repeated(fill):
    fill.serving.load = 0.9 * TARGET_MS
    await fill.play(PASS_S)
    fill.serving.load = 0.8 * TARGET_MS
    await fill.play(20.0)
    assert fill.client.calls == 1


async def test_repeats_end(fill):
    """No order is carried out later than that."""
    fill.serving.load = 0.9 * TARGET_MS
    fill.client.unanswered = True
    await fill.play(PASS_S)
    fill.client.unanswered = False
    fill.serving.load = 0.8 * TARGET_MS
    await fill.play(70.0)
    calls = fill.client.calls
    await fill.play(20.0)
    assert fill.client.calls == calls
