"""Rows of the platform's store, as the engine sees them.

The rows of the owner share one part, so that one transaction can span them.
Jobs and cancellations are spread over several: a part takes one transaction
after the other, and all nodes write jobs.
"""

import zlib

__all__ = [
    'JOB_PARTS',
    'OWNER_PART',
    'Conflicted',
    'HistoryLost',
    'Row',
    'StoreBusy',
    'StoreRefused',
    'StoreSilent',
    'TABLE_JOBS',
    'TABLE_NODES',
    'TABLE_OPERATOR',
    'TABLE_OWNER',
    'TABLE_PROGRESS',
    'TABLE_REPORTS',
    'TABLE_WAVES',
    'TABLE_WORKERS',
    'get_job_part',
]

OWNER_PART = 'unit-1'
# A slow store takes about five transactions a second on a part; the nodes of
# today ask for up to 30.
JOB_PARTS = tuple(f'jobs-{number}' for number in range(8))
TABLE_JOBS = 'arbutusrock-jobs'
TABLE_PROGRESS = 'arbutusrock-progress'
TABLE_OWNER = 'arbutusrock-owner'
TABLE_WAVES = 'arbutusrock-waves'
TABLE_NODES = 'arbutusrock-nodes'
# Tables of others; the adapter knows what the platform calls them.
TABLE_OPERATOR = 'operator'
TABLE_WORKERS = 'workers'
TABLE_REPORTS = 'reports'


def get_job_part(job_id):
    """Return the part of a job's row.

    >>> get_job_part('5c0e7a21d94b36f8') in JOB_PARTS
    True
    """
    return JOB_PARTS[zlib.crc32(job_id.encode()) % len(JOB_PARTS)]


class Row:
    """One row, or a condition on it.

    :param value: bytes; None when the row was removed.
    :param version: rises with each write; 0 stands for an absent row.
    """

    __slots__ = ('table', 'key', 'value', 'version', 'part')

    def __init__(self, *, table, key, value=None, version=0, part=OWNER_PART):
        self.table = table
        self.key = key
        self.value = value
        self.version = version
        self.part = part


class Conflicted(Exception):
    """A condition did not hold; nothing was written.

    :param rows: the rows of the conditions as they are.
    """

    def __init__(self, rows):
        super().__init__(f'{len(rows)} rows')
        self.rows = rows


class StoreRefused(Exception):
    """The store did nothing."""


class StoreBusy(StoreRefused):
    """The store has too many calls, from all nodes together."""


class StoreSilent(Exception):
    """What the store did, or will do, is not known."""


class HistoryLost(Exception):
    """Changes were dropped: read the table anew."""
