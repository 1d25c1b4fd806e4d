"""Rows of the platform's store, as the engine sees them.

All rows of the engine share one part, so that one transaction can span them.
"""

__all__ = [
    'PART',
    'Conflicted',
    'HistoryLost',
    'Row',
    'StoreRefused',
    'StoreSilent',
    'TABLE_JOBS',
    'TABLE_OPERATOR',
    'TABLE_OWNER',
    'TABLE_PROGRESS',
    'TABLE_REPORTS',
    'TABLE_WAVES',
    'TABLE_WORKERS',
]

PART = 'unit-1'
TABLE_JOBS = 'arbutusrock-jobs'
TABLE_PROGRESS = 'arbutusrock-progress'
TABLE_OWNER = 'arbutusrock-owner'
TABLE_WAVES = 'arbutusrock-waves'
# Tables of others; the adapter knows what the platform calls them.
TABLE_OPERATOR = 'operator'
TABLE_WORKERS = 'workers'
TABLE_REPORTS = 'reports'


class Row:
    """One row, or a condition on it.

    :param value: bytes; None when the row was removed.
    :param version: rises with each write; 0 stands for an absent row.
    """

    __slots__ = ('table', 'key', 'value', 'version', 'part')

    def __init__(self, *, table, key, value=None, version=0, part=PART):
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


class StoreSilent(Exception):
    """What the store did, or will do, is not known."""


class HistoryLost(Exception):
    """Changes were dropped: read the table anew."""
