"""Tests of what an owner may do while another node may have taken over."""

import pytest

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ownership import ownership
from arbutusrock.engine.state import state_writer
from arbutusrock.engine.term import term as term_module
from arbutusrock.engine.tests import samples
from arbutusrock.scheduling import lease_bounds


def create_job(read_at_s):
    return job_state.Job(
        job_id='a1',
        submission=samples.create_submission(),
        progress=None,
        inherited=False,
        read_at_s=read_at_s,
    )


@pytest.fixture
def term(monkeypatch):
    """A term that the store has confirmed at 100 s."""
    monkeypatch.setattr(term_module.clocks, 'now_s', lambda: 100.0)
    found = samples.create_term(epoch=2, claim_sent_at_s=0.0)
    found.record_confirmation(100.0)
    return found


def test_may_start_rejects_job_read_after_possible_takeover(term):
    """Guards against a job that two owners start.

    An owner that got no answers from the store started a new job, and the
    next owner, which read that job as new too, started it elsewhere.
    """
    confirmed = create_job(100.0 + lease_bounds.CONFIRMATION_VALID_S - 0.1)
    unconfirmed = create_job(100.0 + lease_bounds.CONFIRMATION_VALID_S + 0.1)
    assert term.may_start(confirmed)
    assert not term.may_start(unconfirmed)
    term.record_confirmation(101.0)
    assert term.may_start(unconfirmed)


def test_record_confirmation_ignores_earlier_answer(term):
    term.record_confirmation(99.0)
    assert term.may_start(
        create_job(100.0 + lease_bounds.CONFIRMATION_VALID_S - 0.1)
    )


def test_confirmation_expires_before_heartbeat_timeout():
    assert lease_bounds.CONFIRMATION_VALID_S < lease_bounds.MIN_SILENCE_S
    # A flush that confirms the ownership may come this long after the last
    # heartbeat.
    assert (
        lease_bounds.MIN_SILENCE_S
        <= ownership.HEARTBEAT_TIMEOUT_S
        - state_writer.HEARTBEAT_INTERVAL_S / 2
    )


def test_owner_without_confirmation_starts_nothing_in_the_end(
    term, monkeypatch
):
    """Guards against TWICE: a partitioned owner went on beside the next."""
    job = create_job(100.0)
    bound_s = lease_bounds.MAX_UNCONFIRMED_S + term.lease_s
    for age_s, may_start in ((bound_s - 1.1, True), (bound_s - 0.9, False)):
        monkeypatch.setattr(
            term_module.clocks, 'now_s', lambda age_s=age_s: 100.0 + age_s
        )
        assert term.may_start(job) is may_start


def test_owner_that_releases_the_unit_extends_no_lease(term):
    """The next owner claims at once, not after missed heartbeats."""
    assert term.compute_lease_end_s(100.0) == 100.0 + term.lease_s
    term.released = True
    assert term.compute_lease_end_s(100.0) == 100.0
    assert not term.may_start(create_job(100.0))
