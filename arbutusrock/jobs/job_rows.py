"""Writes of the rows that belong to a job."""

from arbutusrock.jobs import records
from arbutusrock.links import table
from arbutusrock.utils import documents

__all__ = [
    'JOB_TABLE',
    'OPEN_JOB_TABLE',
    'UNOWNED',
    'create_job_write',
    'create_open_job_write',
    'is_open',
]

JOB_TABLE = 'job'
# One entry for each open job, by owner, so that a takeover finds them.
OPEN_JOB_TABLE = 'open'
UNOWNED = '-'


def is_open(row):
    """Return whether a job still has to run."""
    return row.state in (records.JobState.WAITING, records.JobState.RUNNING)


def create_job_write(row):
    """Return the write of a job's row."""
    return table.Write(
        table=JOB_TABLE, key=row.job, value=documents.encode_row(row)
    )


def create_open_job_write(owner, job, value):
    """Return the write of a job's entry by owner; None removes it."""
    return table.Write(
        table=OPEN_JOB_TABLE, key=f'{owner or UNOWNED}/{job}', value=value
    )
