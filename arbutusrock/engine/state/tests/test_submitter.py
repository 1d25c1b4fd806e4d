"""Tests that callers get an outcome while the store does not answer."""

import asyncio

import msgspec
import pytest

from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import submitter
from arbutusrock.engine.tests import samples
from arbutusrock.utils import clocks

JOB_ID = '00000000000000a1'


class HangingStore:
    """A store that never answers."""

    def __init__(self):
        self.asked = asyncio.Event()

    async def transact(self, **_fields):
        self.asked.set()
        await asyncio.Event().wait()


class LostReplyStore:
    """A store that takes every call but whose replies are lost."""

    def __init__(self):
        self.calls = 0

    async def transact(self, **_fields):
        self.calls += 1
        await asyncio.sleep(0)
        raise rows.StoreSilent('lost')


def create_submitter(store):
    return submitter.Submitter(
        store=store, max_row_bytes=samples.SETTINGS.store_row_bytes
    )


async def submit_job(store, wait_s):
    job_submitter = create_submitter(store)
    running = asyncio.ensure_future(job_submitter.run())
    try:
        return await job_submitter.submit(
            JOB_ID,
            samples.create_submission(),
            deadline_at_s=clocks.now_s() + wait_s,
        )
    finally:
        running.cancel()


async def test_submit_returns_unknown_while_transaction_hangs():
    """Callers get an outcome at their deadline, not when the call returns.

    Otherwise they leave unanswered, as 135 callers did in one incident.
    """
    store = HangingStore()
    async with asyncio.timeout(5):
        outcome = await submit_job(store, 0.2)
    assert outcome is submitter.StoreOutcome.UNKNOWN
    assert store.asked.is_set()


async def test_submit_refuses_job_never_sent():
    job_submitter = create_submitter(HangingStore())
    # The writers do not run, as if the part still waited for another batch.
    outcome = await job_submitter.submit(
        JOB_ID, samples.create_submission(), deadline_at_s=clocks.now_s()
    )
    assert outcome is submitter.StoreOutcome.REFUSED


async def test_submit_gives_up_in_doubt_job_before_deadline(
    monkeypatch,
):
    monkeypatch.setattr(submitter, 'MAX_IN_DOUBT_S', 0.05)
    store = LostReplyStore()
    async with asyncio.timeout(5):
        outcome = await submit_job(store, 3600.0)
    assert outcome is submitter.StoreOutcome.UNKNOWN
    assert store.calls > 1


@pytest.mark.parametrize('wait_s', [0.0, 0.1])
async def test_submit_last_caller_withdraws_unsent_job(wait_s):
    job_submitter = create_submitter(HangingStore())
    deadline_at_s = clocks.now_s()
    first, second = await asyncio.gather(
        job_submitter.submit(
            JOB_ID, samples.create_submission(), deadline_at_s=deadline_at_s
        ),
        job_submitter.submit(
            JOB_ID,
            samples.create_submission(),
            deadline_at_s=deadline_at_s + wait_s,
        ),
    )
    # The last caller to leave withdraws the job; until then it may be stored.
    assert first is submitter.StoreOutcome.UNKNOWN
    assert second is submitter.StoreOutcome.REFUSED


class ScriptedStore:
    """A store whose calls fail with the prepared errors, in order."""

    def __init__(self, failures, stored_ids=()):
        self.failures = failures
        self.stored_ids = stored_ids

    async def read_range(self, _table, *, first, **_fields):
        return [first] if first in self.stored_ids else [], 1

    async def transact(self, **_fields):
        await asyncio.sleep(0)
        if self.failures:
            raise self.failures.pop(0)
        return 1


async def submit_in_turn(store, spans_s):
    job_submitter = create_submitter(store)
    running = asyncio.ensure_future(job_submitter.run())
    outcomes = []
    try:
        async with asyncio.timeout(10):
            for span_s in spans_s:
                outcomes.append(
                    await job_submitter.submit(
                        JOB_ID,
                        samples.create_submission(),
                        deadline_at_s=clocks.now_s() + span_s,
                    )
                )
    finally:
        running.cancel()
    return outcomes


async def test_submit_never_refuses_job_in_doubt(monkeypatch):
    """The answer to an earlier call was lost; now the store refuses all.

    The earlier transaction may still be carried out, so that no later call
    may say that the job never runs.
    """
    monkeypatch.setattr(submitter, 'MAX_IN_DOUBT_S', 0.0)
    refused = [rows.StoreRefused('busy') for _ in range(50)]
    store = ScriptedStore([rows.StoreSilent('lost'), *refused])
    outcomes = await submit_in_turn(store, [5.0, 5.0, 0.0])
    assert outcomes == [submitter.StoreOutcome.UNKNOWN] * 3


async def test_submit_refuses_job_that_is_not_in_doubt():
    store = ScriptedStore([rows.StoreRefused('busy') for _ in range(3)])
    outcomes = await submit_in_turn(store, [5.0])
    assert outcomes == [submitter.StoreOutcome.REFUSED]


async def test_submit_accepts_job_that_another_node_stored():
    """The store refuses the write of a job that was stored before.

    The caller sent it again to another node, as its first answer was lost.
    """
    store = ScriptedStore(
        [rows.StoreRefused('busy') for _ in range(3)], stored_ids={JOB_ID}
    )
    outcomes = await submit_in_turn(store, [5.0])
    assert outcomes == [submitter.StoreOutcome.STORED]


async def test_submit_waits_for_store_that_is_busy():
    """The store refuses for its rate; a slot comes within the caller's time.

    Each refusal would take one of the few tries of the caller.
    """
    store = ScriptedStore([rows.StoreBusy('429') for _ in range(6)])
    outcomes = await submit_in_turn(store, [3.0])
    assert outcomes == [submitter.StoreOutcome.STORED]


async def test_submit_leaves_caller_time_when_store_stays_busy():
    store = ScriptedStore([rows.StoreBusy('429') for _ in range(500)])
    began_at_s = clocks.now_s()
    outcomes = await submit_in_turn(store, [4.0])
    assert outcomes == [submitter.StoreOutcome.REFUSED]
    assert clocks.now_s() - began_at_s < 2.0


class BatchStore:
    """A store that records the jobs of each transaction."""

    def __init__(self):
        self.batches = []

    async def transact(self, *, puts, **_fields):
        await asyncio.sleep(0.01)
        self.batches.append([row.key for row in puts])
        return 1


async def test_submit_stores_other_accounts_beside_a_flood():
    """One account sends 200 jobs to one part before another sends one.

    A large row of the second account goes with the next transaction, too.
    """
    store = BatchStore()
    job_submitter = create_submitter(store)
    ids = (f'{number:016x}' for number in range(100_000))
    part_ids = [
        job_id for job_id in ids if rows.get_job_part(job_id) == 'jobs-0'
    ][:201]
    calls = []
    for number, job_id in enumerate(part_ids):
        submission = samples.create_submission()
        if number == 200:
            submission.account = 'other'
            submission.plan.spec = 'x' * 40_000
        calls.append(
            job_submitter.submit(
                job_id, submission, deadline_at_s=clocks.now_s() + 10.0
            )
        )
    running = asyncio.ensure_future(job_submitter.run())
    outcomes = await asyncio.gather(*calls)
    running.cancel()
    assert set(outcomes) == {submitter.StoreOutcome.STORED}
    assert part_ids[200] in store.batches[0]


class RejectingStore(BatchStore):
    """A store that never takes one of the jobs."""

    def __init__(self, rejected):
        super().__init__()
        self.rejected = rejected

    async def transact(self, *, puts, **_fields):
        if self.rejected in [row.key for row in puts]:
            raise rows.WriteRejected('400')
        return await super().transact(puts=puts)

    async def read_range(self, _table, **_fields):
        return [], 1


async def test_rejected_job_has_other_jobs_refused():
    """The other jobs of its transaction are stored."""
    ids = (f'{number:016x}' for number in range(100_000))
    part_ids = [
        job_id for job_id in ids if rows.get_job_part(job_id) == 'jobs-0'
    ][:30]
    store = RejectingStore(part_ids[11])
    job_submitter = create_submitter(store)
    calls = [
        job_submitter.submit(
            job_id,
            samples.create_submission(),
            deadline_at_s=clocks.now_s() + 10.0,
        )
        for job_id in part_ids
    ]
    running = asyncio.ensure_future(job_submitter.run())
    outcomes = await asyncio.gather(*calls)
    running.cancel()
    assert outcomes.pop(11) is submitter.StoreOutcome.REJECTED
    assert set(outcomes) == {submitter.StoreOutcome.STORED}


def test_long_submission_is_compressed_to_fit_its_row():
    """A job of 1,000 steps is accepted by both readings of the row's limit."""
    submission = samples.create_submission()
    submission.plan.steps = submission.plan.steps * 3000
    data = plans.encode_submission(submission, 49_152)
    assert len(plans.encode_row(submission)) > 20_000
    assert len(data) <= 49_152
    short = plans.encode_submission(submission, 10_000)
    assert len(short) < 10_000
    assert plans.decode_submission(short) == submission
    assert plans.read_outline(short).queue == submission.queue
    # What does not fit is refused, and a damaged row is no row.
    submission.plan.spec = 'x' * 70_000
    assert len(plans.encode_submission(submission, 49_152)) > 49_152
    with pytest.raises(msgspec.DecodeError):
        plans.decode_submission(short[:-20])
    assert plans.read_outline(b'Zx') is None
