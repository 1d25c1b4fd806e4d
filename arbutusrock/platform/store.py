"""Client of the platform's metadata store."""

import base64

import msgspec

from arbutusrock.engine.ports import rows
from arbutusrock.utils import decoders
from arbutusrock.utils import http

__all__ = ['StoreClient']

TX_PATH = '/api/rows-tx'
GET_PATH = '/api/rows-get'
FEED_PATH = '/api/rows-feed'
# The platform's names of the tables that other programs use too. All other
# tables have the same name in the engine and on the platform.
_PLATFORM_NAMES = {
    rows.TABLE_OPERATOR: 'op',
    rows.TABLE_WORKERS: 'servers',
    rows.TABLE_REPORTS: 'status',
}
_ENGINE_NAMES = {name: table for table, name in _PLATFORM_NAMES.items()}
# To the store: as many for calls of this node as for those that it relays.
MAX_CONNECTIONS = 32
# The store returns at most 500 rows in one page.
MAX_PAGE_ROWS = 500
# How long the answer to a watch may take beyond the wait requested of the
# store.
FEED_MARGIN_S = 1.0


class _WireRow(msgspec.Struct):
    table: str
    key: str
    part: str = ''
    value: str = ''
    ver: int = 0
    # The row was removed.
    tombstone: bool = False

    def to_row(self):
        return rows.Row(
            table=_ENGINE_NAMES.get(self.table, self.table),
            part=self.part,
            key=self.key,
            value=None if self.tombstone else _decode_value(self.value),
            version=self.ver,
        )


class _WireRows(msgspec.Struct):
    rows: list[_WireRow] = []
    ver: int = 0
    # The range has more rows after the last one of this page.
    morePages: bool = False  # noqa: N815


def _decode_value(text):
    try:
        return base64.b64decode(text)
    except ValueError:
        # Other programs may have written a value that is not valid base64.
        return b''


_decode_rows = decoders.create_json_decoder(_WireRows)
_encode = msgspec.json.Encoder().encode


class StoreClient:
    """Reads and writes rows of the platform's store.

    :param address: ``host:port`` of the store.
    :param timeout_s: timeout of a transaction and of reading one page.
    :param metrics: counts calls and bytes.
    """

    def __init__(self, *, address, timeout_s, metrics):
        self.timeout_s = timeout_s
        self.metrics = metrics
        self._http = http.HTTPClient(
            base_url=f'http://{address}', max_connections=MAX_CONNECTIONS
        )

    async def close(self):
        """Close all connections."""
        await self._http.close()

    async def transact(self, *, expected=(), puts=(), removes=()):
        """Write and remove rows in one transaction: all of them or none.

        :param expected: conditions: rows with the version that each must
            have; 0 means that the row must not exist.
        :param puts: rows to write.
        :param removes: rows to remove.
        :returns: version of the written rows.
        :raises rows.Conflicted: a condition did not hold; nothing was
            written.
        :raises rows.WriteRejected: nothing was written, and never is.
        :raises rows.StoreRefused: nothing was written.
        :raises rows.StoreSilent: the outcome is unknown: the rows may have
            been written, or may still be written later.
        """
        body = _encode(
            {
                'expected': [
                    {**_encode_key(row), 'ver': row.version}
                    for row in expected
                ],
                'puts': [
                    {
                        **_encode_key(row),
                        'value': base64.b64encode(row.value).decode(),
                    }
                    for row in puts
                ],
                'remove': [_encode_key(row) for row in removes],
            }
        )
        status, data = await self._call(
            'POST', TX_PATH, body=body, timeout_s=self.timeout_s
        )
        self.metrics.count('store_writes')
        answer = _decode_answer(data)
        if status == 412:
            raise rows.Conflicted([row.to_row() for row in answer.rows])
        return answer.ver

    async def read_range(self, table, *, first='', last='', limit=0, part=''):
        """Read rows in key order.

        :param first: first key of the range.
        :param last: first key after the range; empty reads to the end.
        :param limit: maximum number of rows; 0 reads the whole range.
        :returns: ``(rows, version)``; the version is the newest of the store
            before the first page was read. The rows may include later changes.
        """
        found, version, start = [], None, first
        while True:
            query = {'table': _PLATFORM_NAMES.get(table, table), 'part': part}
            if start:
                query['from'] = start
            if last:
                query['target'] = last
            query['limit'] = str(limit or MAX_PAGE_ROWS)
            _, data = await self._call(
                'GET', GET_PATH, query=query, timeout_s=self.timeout_s
            )
            self.metrics.count('store_reads')
            page = _decode_answer(data)
            version = page.ver if version is None else version
            found += [row.to_row() for row in page.rows]
            if not page.morePages or limit or not page.rows:
                return found, version
            start = page.rows[-1].key + '\0'

    async def watch(self, table, *, after, wait_s):
        """Wait until rows of a table change.

        :param after: version after which changes are reported.
        :param wait_s: how long the store may wait for a change.
        :returns: ``(rows, version)``; pass the version as ``after`` of the
            next call.
        :raises rows.HistoryLost: the store no longer has all changes after
            that version; the table must be read anew.
        """
        query = {
            'table': _PLATFORM_NAMES.get(table, table),
            'after': str(after),
            'waitMs': str(int(wait_s * 1000)),
        }
        status, data = await self._call(
            'GET', FEED_PATH, query=query, timeout_s=wait_s + FEED_MARGIN_S
        )
        self.metrics.count('store_reads')
        if status == 410:
            raise rows.HistoryLost(table)
        answer = _decode_answer(data)
        return [row.to_row() for row in answer.rows], answer.ver

    async def _call(self, method, path, *, query=None, body=None, timeout_s):
        try:
            answer = await self._http.call(
                method, path, query=query, body=body, timeout_s=timeout_s
            )
        except http.NotSent as exc:
            raise rows.StoreRefused(str(exc)) from exc
        except http.NoAnswer as exc:
            raise rows.StoreSilent(str(exc)) from exc
        self.metrics.count('store_bytes', amount=len(answer.body))
        if answer.status in {200, 410, 412}:
            return answer.status, answer.body
        match answer.status:
            case 429:
                error_class = rows.StoreBusy
            case 400 | 403 | 413 if path == TX_PATH:
                error_class = rows.WriteRejected
            case 400 | 403 | 413:
                error_class = rows.ReadRejected
            case _:
                error_class = rows.StoreRefused
        raise error_class(
            f'the store answered {path} with status {answer.status}'
        )


def _decode_answer(data):
    """Return the rows in an answer.

    :raises rows.StoreSilent: the answer is malformed and tells nothing.
    """
    try:
        return _decode_rows(data)
    except ValueError as exc:
        raise rows.StoreSilent(f'malformed answer: {exc}') from exc


def _encode_key(row):
    return {
        'table': _PLATFORM_NAMES.get(row.table, row.table),
        'part': row.part,
        'key': row.key,
    }
