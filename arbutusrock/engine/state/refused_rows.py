"""Rows that the store refuses for what they hold.

Load: one row that the store never takes. It would be repeated for ever, and
all else that has to be written waits behind it. It is set aside and tried
again on its own, after a delay that grows.
"""

from arbutusrock import logs

__all__ = ['RefusedRow', 'RefusedRows']

MIN_DELAY_S = 1.0
MAX_DELAY_S = 60.0
LOG = logs.get_log('journal')


class RefusedRow:
    """A row that is set aside.

    :param row_bytes: size of its value.
    :param cause: what the store has answered.
    :param attempts: how often it was refused.
    :param retry_at_s: when it may be tried again.
    """

    __slots__ = (
        'table',
        'key',
        'row_bytes',
        'cause',
        'attempts',
        'retry_at_s',
    )

    def __init__(self, *, table, key, row_bytes, cause, attempts, retry_at_s):
        self.table = table
        self.key = key
        self.row_bytes = row_bytes
        self.cause = cause
        self.attempts = attempts
        self.retry_at_s = retry_at_s


class RefusedRows:
    """The rows that are set aside, and when each is tried again.

    :param metrics: counts refusals by table.
    """

    __slots__ = ('metrics', '_found')

    def __init__(self, *, metrics):
        self.metrics = metrics
        self._found = {}

    def __len__(self):
        return len(self._found)

    def __iter__(self):
        return iter(self._found.values())

    def __contains__(self, row):
        return (row.table, row.key) in self._found

    def is_held(self, table, key, now_s):
        """Return whether a row is not to be tried again yet."""
        found = self._found.get((table, key))
        return found is not None and now_s < found.retry_at_s

    def record(self, row, cause, now_s):
        """Record that a row was refused.

        :param row: :class:`arbutusrock.engine.ports.rows.Row`.
        :param cause: what the store has answered.
        """
        known = self._found.get((row.table, row.key))
        attempts = known.attempts + 1 if known else 1
        self.metrics.count('rows_refused', (('table', row.table),))
        self._found[(row.table, row.key)] = RefusedRow(
            table=row.table,
            key=row.key,
            row_bytes=len(row.value),
            cause=cause,
            attempts=attempts,
            retry_at_s=now_s
            + min(MAX_DELAY_S, MIN_DELAY_S * 2 ** (attempts - 1)),
        )
        if known is None:
            LOG.error(
                'the store refuses a row; it is set aside',
                table=row.table,
                key=row.key,
                bytes=len(row.value),
                error=cause,
            )

    def clear(self, row):
        """Record that a row was written."""
        known = self._found.pop((row.table, row.key), None)
        if known is not None:
            LOG.info(
                'a row that was set aside is written',
                table=row.table,
                key=row.key,
                attempts=known.attempts,
            )

    def forget(self, table, key):
        """Drop a row that is not needed any more."""
        self._found.pop((table, key), None)
