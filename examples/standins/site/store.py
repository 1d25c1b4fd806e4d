"""Stand-in of the platform's metadata store."""

import asyncio
import time

from aiohttp import web

from examples.standins.site import faults

__all__ = ['MetadataStore']


class MetadataStore:
    """Rows in memory: transactions, ranges and feeds."""

    def __init__(self):
        self.faults = faults.ServiceFaults()
        # (table, part, key) to (value in base64 or None, version).
        self.rows = {}
        self.version = 0
        # Feeds older than this version are answered 410.
        self.min_feed_version = 0
        self.call_counts = {}
        # Time of a transaction; those on one part run one after the other,
        # and more than a second of waiting ones are refused with 429.
        self.transaction_s = 0.0
        self._part_locks = {}
        self._changed = asyncio.Condition()

    def create_app(self):
        """Return the aiohttp application."""
        app = web.Application(middlewares=[self.faults.apply])
        app.router.add_post('/api/rows-tx', self.transact)
        app.router.add_get('/api/rows-get', self.read)
        app.router.add_get('/api/rows-feed', self.feed)
        return app

    def _count(self, name):
        self.call_counts[name] = self.call_counts.get(name, 0) + 1

    async def put(self, table, key, value, part=''):
        """Write a row as another party does; ``value`` is base64 or None."""
        async with self._changed:
            self.version += 1
            self.rows[(table, part, key)] = (value, self.version)
            self._changed.notify_all()

    def _encode_row(self, name):
        value, version = self.rows.get(name, (None, 0))
        row = {'table': name[0], 'part': name[1], 'key': name[2]}
        if value is None:
            return {**row, 'ver': version, 'tombstone': True}
        return {**row, 'value': value, 'ver': version}

    def _create_response(self, status=200, **fields):
        clock_ms = int(time.monotonic() * 1000)
        return web.json_response(
            {'ver': self.version, 'nowMs': clock_ms, **fields}, status=status
        )

    async def transact(self, request):
        """Apply all entries or none."""
        self._count('tx')
        body = await request.json()
        if self.transaction_s and not await self._wait_turn(body):
            return web.Response(status=429)
        names = [_get_row_key(item) for item in body['expected']]
        for name, item in zip(names, body['expected'], strict=True):
            value, version = self.rows.get(name, (None, 0))
            present = 0 if value is None else version
            if present != item['ver']:
                found = [
                    self._encode_row(other)
                    for other in names
                    if self.rows.get(other, (None, 0))[0] is not None
                ]
                return self._create_response(status=412, rows=found)
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
        lock = self._part_locks.setdefault(part, [asyncio.Lock(), 0])
        if lock[1] * self.transaction_s > 1.0:
            return False
        lock[1] += 1
        async with lock[0]:
            await asyncio.sleep(self.transaction_s)
        lock[1] -= 1
        return True

    async def read(self, request):
        """Return a range of rows."""
        self._count('get')
        query = request.query
        limit = int(query.get('limit', 500))
        names = sorted(
            name
            for name, (value, _) in self.rows.items()
            if value is not None
            and name[:2] == (query['table'], query.get('part', ''))
            and name[2] >= query.get('from', '')
            and ('target' not in query or name[2] < query['target'])
        )
        return self._create_response(
            rows=[self._encode_row(name) for name in names[:limit]],
            morePages=len(names) > limit,
        )

    async def feed(self, request):
        """Wait for changed rows of a table."""
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
            # Nothing has changed in time.
            pass
        names = self._find_changed(table, after)
        return self._create_response(
            rows=[self._encode_row(name) for name in names]
        )

    def _find_changed(self, table, after):
        changed = [
            (version, name)
            for name, (_, version) in self.rows.items()
            if name[0] == table and version > after
        ]
        return [name for _, name in sorted(changed)]


def _get_row_key(item):
    return item['table'], item.get('part', ''), item['key']
