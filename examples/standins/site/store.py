"""Stand-in of the platform's metadata store."""

import asyncio
import time

from aiohttp import web

from examples.standins.site import faults

__all__ = ['MetadataStore']

# Limit of a row, taken as that of its value in base64.
MAX_VALUE_CHARACTERS = 65536
MAX_TRANSACTION_BYTES = 1_000_000


class MetadataStore:
    """Rows in memory, with transactions, range reads and change feeds."""

    def __init__(self):
        self.faults = faults.ServiceFaults()
        # (table, part, key) to (value in base64 or None, version).
        self.rows = {}
        self.version = 0
        # Feeds that start before this version are answered 410, as if the
        # history had been dropped.
        self.min_feed_version = 0
        self.call_counts = {}
        # Longest value in base64 of a row.
        self.max_value_characters = MAX_VALUE_CHARACTERS
        # (table, key) of rows that are never taken.
        self.rejected_rows = set()
        # Duration of a transaction. Those on one part run one after the other;
        # when those that wait take over a second, others are refused with 429.
        self.transaction_s = 0.0
        # Part to a list of its lock and the number of waiting transactions.
        self._part_locks = {}
        self._changed = asyncio.Condition()

    def create_app(self):
        """Return the aiohttp application."""
        app = web.Application(
            middlewares=[self.faults.apply],
            client_max_size=MAX_TRANSACTION_BYTES,
        )
        app.router.add_post('/api/rows-tx', self.transact)
        app.router.add_get('/api/rows-get', self.read)
        app.router.add_get('/api/rows-feed', self.feed)
        return app

    def _count(self, kind):
        self.call_counts[kind] = self.call_counts.get(kind, 0) + 1

    async def put(self, table, key, value, part=''):
        """Write a row as another client of the store would.

        :param value: text in base64; None removes the row.
        """
        async with self._changed:
            self.version += 1
            self.rows[(table, part, key)] = (value, self.version)
            self._changed.notify_all()

    def _encode_row(self, row_key):
        value, version = self.rows.get(row_key, (None, 0))
        row = {'table': row_key[0], 'part': row_key[1], 'key': row_key[2]}
        if value is None:
            return {**row, 'ver': version, 'tombstone': True}
        return {**row, 'value': value, 'ver': version}

    def _create_response(self, status=200, **fields):
        clock_ms = int(time.monotonic() * 1000)
        return web.json_response(
            {'ver': self.version, 'nowMs': clock_ms, **fields}, status=status
        )

    async def transact(self, request):
        """Apply all writes if each expected row has its expected version."""
        self._count('tx')
        body = await request.json()
        if self.transaction_s and not await self._wait_turn(body):
            return web.Response(status=429)
        if any(
            len(item['value']) > self.max_value_characters
            or (item['table'], item['key']) in self.rejected_rows
            for item in body['puts']
        ):
            self._count('rejected')
            return web.Response(status=400)
        row_keys = [_get_row_key(item) for item in body['expected']]
        for row_key, item in zip(row_keys, body['expected'], strict=True):
            value, version = self.rows.get(row_key, (None, 0))
            current_version = 0 if value is None else version
            if current_version != item['ver']:
                current_rows = [
                    self._encode_row(other_key)
                    for other_key in row_keys
                    if self.rows.get(other_key, (None, 0))[0] is not None
                ]
                return self._create_response(status=412, rows=current_rows)
        async with self._changed:
            self.version += 1
            for item in body['puts']:
                self.rows[_get_row_key(item)] = (item['value'], self.version)
            for item in body['remove']:
                self.rows[_get_row_key(item)] = (None, self.version)
            self._changed.notify_all()
        return self._create_response()

    async def _wait_turn(self, body):
        entries = [*body['expected'], *body['puts'], *body['remove']]
        part = entries[0].get('part', '')
        part_lock = self._part_locks.setdefault(part, [asyncio.Lock(), 0])
        if part_lock[1] * self.transaction_s > 1.0:
            return False
        part_lock[1] += 1
        async with part_lock[0]:
            await asyncio.sleep(self.transaction_s)
        part_lock[1] -= 1
        return True

    async def read(self, request):
        """Return a range of rows."""
        self._count('get')
        query = request.query
        limit = int(query.get('limit', 500))
        row_keys = sorted(
            row_key
            for row_key, (value, _) in self.rows.items()
            if value is not None
            and row_key[:2] == (query['table'], query.get('part', ''))
            and row_key[2] >= query.get('from', '')
            and ('target' not in query or row_key[2] < query['target'])
        )
        return self._create_response(
            rows=[self._encode_row(row_key) for row_key in row_keys[:limit]],
            morePages=len(row_keys) > limit,
        )

    async def feed(self, request):
        """Return the changed rows of a table; wait until there are any."""
        self._count('feed')
        table, after = request.query['table'], int(request.query['after'])
        if after < self.min_feed_version:
            return web.Response(status=410)
        wait_s = int(request.query.get('waitMs', 0)) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._find_changed(table, after)
                )
        except TimeoutError:
            # Nothing changed within the wait; the answer has no rows.
            pass
        row_keys = self._find_changed(table, after)
        return self._create_response(
            rows=[self._encode_row(row_key) for row_key in row_keys]
        )

    def _find_changed(self, table, after):
        changed = [
            (version, row_key)
            for row_key, (_, version) in self.rows.items()
            if row_key[0] == table and version > after
        ]
        return [row_key for _, row_key in sorted(changed)]


def _get_row_key(item):
    return item['table'], item.get('part', ''), item['key']
