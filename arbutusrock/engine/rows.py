"""Rows of the platform's store, and the errors of its calls.

A transaction spans one part of the store, and a part takes one transaction
after the other. The rows of the owner share one part, so that one transaction
can write them together. Jobs and cancellations, which all nodes write, are
spread over several parts.
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
    'TABLE_KNOWLEDGE',
    'TABLE_NODES',
    'TABLE_OPERATOR',
    'TABLE_OWNER',
    'TABLE_PROGRESS',
    'TABLE_REPORTS',
    'TABLE_WAVES',
    'TABLE_WORKERS',
    'count_batch_rows',
    'get_job_part',
]

# Bytes of values in one transaction; the store takes 1 MB in base64.
MAX_BATCH_BYTES = 500_000
OWNER_PART = 'unit-1'
# A slow store takes about five transactions a second on a part; all nodes
# together need up to 30 a second.
JOB_PARTS = tuple(f'jobs-{number}' for number in range(8))
TABLE_JOBS = 'arbutusrock-jobs'
TABLE_PROGRESS = 'arbutusrock-progress'
TABLE_OWNER = 'arbutusrock-owner'
TABLE_KNOWLEDGE = 'arbutusrock-knowledge'
TABLE_WAVES = 'arbutusrock-waves'
TABLE_NODES = 'arbutusrock-nodes'
# Tables shared with other writers; the platform adapter maps these to the
# names that the platform uses.
TABLE_OPERATOR = 'operator'
TABLE_WORKERS = 'workers'
TABLE_REPORTS = 'reports'


def get_job_part(job_id):
    """Return the part of the store that holds a job's row.

    >>> get_job_part('5c0e7a21d94b36f8') in JOB_PARTS
    True
    """
    return JOB_PARTS[zlib.crc32(job_id.encode()) % len(JOB_PARTS)]


def count_batch_rows(found, max_rows):
    """Return how many of the first rows fit into one transaction.

    :param found: rows or others with a ``value``; the first one always fits.
    :param max_rows: most rows of their kind in a transaction.
    """
    size = 0
    for count, row in enumerate(found[:max_rows]):
        size += len(row.value)
        if count and size > MAX_BATCH_BYTES:
            return count
    return min(len(found), max_rows)


class Row:
    """One row, or a condition on its version.

    :param value: bytes; None when the row was removed.
    :param version: increases with each write; 0 means an absent row.
    """

    __slots__ = ('table', 'key', 'value', 'version', 'part')

    def __init__(self, *, table, key, value=None, version=0, part=OWNER_PART):
        self.table = table
        self.key = key
        self.value = value
        self.version = version
        self.part = part


class Conflicted(Exception):
    """A condition of a transaction did not hold; nothing was written.

    :param rows: current state of the rows with conditions.
    """

    def __init__(self, rows):
        super().__init__(f'{len(rows)} rows')
        self.rows = rows


class StoreRefused(Exception):
    """The store did not carry out the call: nothing was written."""


class StoreBusy(StoreRefused):
    """The store refused the call as all nodes together send too many."""


class StoreSilent(Exception):
    """No answer: the call may have been carried out, or may be later."""


class HistoryLost(Exception):
    """The store no longer has all changes; read the whole table again."""
