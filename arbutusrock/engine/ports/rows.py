"""Rows of the platform's store, and the errors of its calls.

A transaction spans one part of the store, and a part takes one transaction
after the other. The rows of the owner share one part, so that one transaction
can write them together. Jobs and cancellations, which all nodes write, are
spread over several parts.
"""

import zlib

__all__ = [
    'JOB_PARTS',
    'MAX_BATCH_ENTRIES',
    'OWNER_PART',
    'BatchRoom',
    'Conflicted',
    'HistoryLost',
    'ReadRejected',
    'Row',
    'StoreBusy',
    'StoreRefused',
    'StoreSilent',
    'TABLE_JOBS',
    'TABLE_KNOWLEDGE',
    'TABLE_NODES',
    'TABLE_OPERATOR',
    'TABLE_OWNER',
    'TABLE_POSSIBLE_RUNS',
    'TABLE_PROGRESS',
    'TABLE_REPORTS',
    'TABLE_ROSTER',
    'TABLE_WAVES',
    'TABLE_WORKERS',
    'WriteRejected',
    'get_job_part',
]

# Bytes of values in one transaction; the store takes 1 MB in base64.
MAX_BATCH_BYTES = 500_000
# Conditions and writes in one transaction.
MAX_BATCH_ENTRIES = 100
OWNER_PART = 'unit-1'
# A slow store takes about five transactions a second on a part; all nodes
# together need up to 30 a second.
JOB_PARTS = tuple(f'jobs-{number}' for number in range(8))
TABLE_JOBS = 'arbutusrock-jobs'
TABLE_PROGRESS = 'arbutusrock-progress'
TABLE_OWNER = 'arbutusrock-owner'
TABLE_ROSTER = 'arbutusrock-roster'
TABLE_KNOWLEDGE = 'arbutusrock-knowledge'
TABLE_POSSIBLE_RUNS = 'arbutusrock-possible-runs'
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


class BatchRoom:
    """Room in one transaction.

    :param entries: conditions and writes together that it may still have.
    :param max_bytes: bytes of values that it may still have.
    """

    __slots__ = ('entries', 'bytes', '_empty')

    def __init__(
        self, *, entries=MAX_BATCH_ENTRIES, max_bytes=MAX_BATCH_BYTES
    ):
        self.entries = entries
        self.bytes = max_bytes
        self._empty = True

    def take(self, found, *, entries_each, most):
        """Take the first writes that fit; the very first one always fits.

        :param found: rows, or others with a ``value``, or writes whose
            ``rows`` have to be in one transaction.
        :param entries_each: entries that each row takes.
        :param most: maximum number of writes.
        :returns: ``(taken, others)``.
        """
        count = 0
        for item in found[:most]:
            together = getattr(item, 'rows', (item,))
            size = sum(len(row.value) for row in together)
            entries = entries_each * len(together)
            if not self._empty and (
                entries > self.entries or size > self.bytes
            ):
                break
            self._empty = False
            self.entries -= entries
            self.bytes -= size
            count += 1
        return found[:count], found[count:]


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


class WriteRejected(StoreRefused):
    """The store never takes a transaction with these rows."""


class ReadRejected(StoreRefused):
    """The store never makes such a call."""


class StoreBusy(StoreRefused):
    """The store refused the call as all nodes together send too many."""


class StoreSilent(Exception):
    """No answer: the call may have been carried out, or may be later."""


class HistoryLost(Exception):
    """The store no longer has all changes; read the whole table again."""
