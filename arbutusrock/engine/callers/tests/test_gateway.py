"""What callers are told of accepted jobs."""

from unittest import mock

import pytest

from arbutusrock.engine.callers import gateway
from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import rows
from arbutusrock.engine.tests import samples
from arbutusrock import errors

JOB = '0' * 16


class Store:
    """A store with the given rows; its direct path is in service."""

    unreachable_for_s = 0.0
    direct_path_down = False

    def __init__(self, found, failure=None):
        self.found = found
        self.failure = failure

    async def read_range(self, table, **_options):
        if self.failure is not None:
            raise self.failure
        return [row for row in self.found if row.table == table], 1


def create_gateway(found, failure=None):
    return gateway.Gateway(
        store=Store(found, failure),
        configuration=mock.Mock(),
        elector=mock.Mock(),
        max_row_bytes=65536,
    )


def create_rows(status=None):
    """Return the row of a job, and that of its progress if it has any."""
    found = [
        rows.Row(
            table=rows.TABLE_JOBS,
            key=JOB,
            value=plans.encode_row(samples.create_submission()),
            version=1,
        )
    ]
    if status is not None:
        found.append(
            rows.Row(
                table=rows.TABLE_PROGRESS,
                key=JOB,
                value=plans.encode_row(plans.JobProgress(status=status)),
                version=2,
            )
        )
    return found


@pytest.mark.parametrize(
    ('found', 'status'),
    [
        ([], None),
        # Accepted by another node, and not read by the owner yet.
        (create_rows(), plans.JobStatus.QUEUED),
        (create_rows(plans.JobStatus.RUNNING), plans.JobStatus.RUNNING),
        (create_rows(plans.JobStatus.COMPLETED), plans.JobStatus.COMPLETED),
    ],
)
async def test_status_is_that_of_the_rows(found, status):
    assert await create_gateway(found).get_status(JOB) == status


@pytest.mark.parametrize(
    'failure', [rows.StoreRefused('busy'), rows.StoreSilent('no answer')]
)
async def test_job_is_not_called_unknown_while_its_row_cannot_be_read(failure):
    with pytest.raises(errors.StoreUnavailable):
        await create_gateway(create_rows(), failure).get_status(JOB)


async def test_ended_job_keeps_its_status_when_its_rows_are_gone():
    served = create_gateway(create_rows(plans.JobStatus.COMPLETED))
    await served.get_status(JOB)
    served.store.found = []
    assert await served.get_status(JOB) == plans.JobStatus.COMPLETED
