"""Tests of what an owner may do while another node may have taken over."""

from arbutusrock.engine import job_state
from arbutusrock.engine import ownership
from arbutusrock.engine import term as term_module
from arbutusrock.engine.tests import samples


def create_job(read_at_s):
    return job_state.Job(
        job_id='a1',
        submission=samples.create_submission(),
        progress=None,
        inherited=False,
        read_at_s=read_at_s,
    )


def test_may_start_rejects_job_read_after_possible_takeover():
    """Guards against a job that two owners start.

    An owner that got no answers from the store started a new job, and the
    next owner, which read that job as new too, started it elsewhere.
    """
    term = samples.create_term(epoch=2)
    term.record_confirmation(100.0)
    confirmed = create_job(100.0 + term_module.CONFIRMATION_VALID_S - 0.1)
    unconfirmed = create_job(100.0 + term_module.CONFIRMATION_VALID_S + 0.1)
    assert term.may_start(confirmed)
    assert not term.may_start(unconfirmed)
    term.record_confirmation(101.0)
    assert term.may_start(unconfirmed)


def test_record_confirmation_ignores_earlier_answer():
    term = samples.create_term(epoch=2)
    term.record_confirmation(100.0)
    term.record_confirmation(99.0)
    assert term.may_start(
        create_job(100.0 + term_module.CONFIRMATION_VALID_S - 0.1)
    )


def test_confirmation_expires_before_heartbeat_timeout():
    assert term_module.CONFIRMATION_VALID_S < ownership.HEARTBEAT_TIMEOUT_S
