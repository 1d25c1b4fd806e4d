"""Tests of how the owner applies the rows of jobs."""

import types

import msgspec

from arbutusrock.engine import leader as leader_module
from arbutusrock.engine import rows
from arbutusrock.engine.tests import samples

JOB = '0' * 16
LATER_JOB = '1' * 16


def create_leader():
    return leader_module.Leader(
        term=samples.create_term(epoch=1),
        store=None,
        adapter=types.SimpleNamespace(
            decode_worker=None, advice_client=None, vm_client=None
        ),
        on_heartbeat=None,
    )


def create_row(job_id, version):
    return rows.Row(
        table=rows.TABLE_JOBS,
        key=job_id,
        value=msgspec.msgpack.encode(samples.create_submission()),
        version=version,
    )


def test_job_removed_while_the_table_is_read_again_stays_removed():
    """It had been completed, and all its tasks were run once more."""
    leader = create_leader()
    registry = leader.term.job_registry
    leader._apply_job_rows([create_row(JOB, 3)], False, 5)
    assert JOB in registry.jobs
    # The store has dropped its history, the owner reads the table, and
    # retention removes the job before the last part of it is read.
    registry.remove_job(JOB)
    found = [create_row(JOB, 3), create_row(LATER_JOB, 8)]
    leader._apply_job_rows(found, True, 9)
    assert list(registry.jobs) == [LATER_JOB]
