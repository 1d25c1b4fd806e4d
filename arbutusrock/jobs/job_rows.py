"""Creates the table writes of a job: its row and its entry by owner."""

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
# One entry for each open job, keyed by owner and job, so that a takeover can
# list the jobs of one owner.
OPEN_JOB_TABLE = 'open'
# Stands for the owner in keys of jobs that any member may take.
UNOWNED = '-'


def is_open(row):
    """Return whether a job waits or runs."""
    return row.state in (records.JobState.WAITING, records.JobState.RUNNING)


def create_job_write(row):
    """Return the write of a job's row."""
    return table.Write(
        table=JOB_TABLE, key=row.job, value=documents.encode_row(row)
    )


def create_open_job_write(owner, job, value):
    """Return the write of a job's entry by owner.

    :param owner: id of the owner; empty for a job that any member may take.
    :param value: the entry in bytes; None removes it.
    """
    return table.Write(
        table=OPEN_JOB_TABLE, key=f'{owner or UNOWNED}/{job}', value=value
    )
