"""Configuration changes: one transaction each, in force in version order.

A change is conditional on the version row, so changes form one sequence and
every check that a change made still holds when it is accepted.
"""

import asyncio

import msgspec

from arbutusrock.contracts import configuration as configuration_module
from arbutusrock import errors
from arbutusrock.links import platform_client
from arbutusrock.links import table
from arbutusrock import logs
from arbutusrock.utils import clocks
from arbutusrock.utils import documents

__all__ = ['ChangeLog', 'create_operation']

VERSION_TABLE = 'version'
VERSION_KEY = 'configuration'
LOG_TABLE = 'log'
MAX_RECENT_CHANGES = 500
MAX_COMMIT_ATTEMPTS = 8
LOG = logs.get_log('changes')


class ChangeLog:
    """Reads and writes the configuration of the fleet.

    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param configuration: the :class:`Configuration` in force here.
    """

    def __init__(self, *, platform, configuration):
        self.platform = platform
        self.configuration = configuration
        self.on_applied = []
        self.applied_at_s = {}
        self._recent = {}
        self._version_row = table.ABSENT
        self._lock = asyncio.Lock()

    async def load(self):
        """Read the whole configuration in one snapshot."""
        kinds = list(configuration_module.OBJECT_TYPES)
        ranges = [table.Range(table=kind) for kind in kinds]
        version_range = table.Range(table=VERSION_TABLE)
        rows = await self.platform.read(version_range, *ranges)
        version = 0
        for row in rows[0]:
            version = msgspec.json.decode(row.value, type=int)
            self._version_row = row.version
        loaded = {}
        for kind, items in zip(kinds, rows[1:], strict=True):
            loaded[kind] = [_split_row(row) for row in items]
        if version >= self.configuration.version:
            self.configuration.load(version, loaded)
            self._notify_applied()

    async def catch_up(self, *ranges):
        """Apply new changes; read ``ranges`` in the same snapshot.

        :returns: rows of ``ranges``.
        """
        first = _log_key(self.configuration.version + 1)
        rows = await self.platform.read(
            table.Range(table=VERSION_TABLE),
            table.Range(table=LOG_TABLE, first=first, limit=1000),
            *ranges,
        )
        for row in rows[1]:
            self.apply_change(
                documents.decode_row(row.value, configuration_module.Change)
            )
        for row in rows[0]:
            self._version_row = row.version
            newest = msgspec.json.decode(row.value, type=int)
            if newest > self.configuration.version:
                await self.load()
        return rows[2:]

    def apply_change(self, change):
        """Apply one change when it is the next."""
        if not self.configuration.apply(change):
            return
        self._recent[change.version] = change
        self._recent.pop(change.version - MAX_RECENT_CHANGES, None)
        self._notify_applied()

    def get_recent(self, since):
        """Return the changes after ``since``, in order, if all are known."""
        wanted = range(since + 1, self.configuration.version + 1)
        if any(version not in self._recent for version in wanted):
            return []
        return [self._recent[version] for version in wanted]

    def notify_withdrawn(self):
        """Tell the listeners that keys were withdrawn."""
        for handler in self.on_applied:
            handler()

    async def commit(self, *, who, action, why, build):
        """Make one change.

        :param who: operator or member.
        :param build: called with the configuration; returns operations, or
            ``(operations, conditions, writes)`` with further rows. It
            raises when the change is not allowed.
        :returns: the accepted :class:`Change`, or None when ``build``
            returned no operations.
        :raises errors.StoreUnavailable: when the result is not known.
        """
        async with self._lock:
            change_id = platform_client.create_change_id()
            for _ in range(MAX_COMMIT_ATTEMPTS):
                await self.catch_up()
                change, conditions, writes = await self._prepare(
                    change_id, who, action, why, build
                )
                if change is None:
                    return None
                try:
                    await self.platform.commit(
                        conditions, writes, change_id=change_id
                    )
                except platform_client.Conflicted:
                    continue
                await self.catch_up()
                self.applied_at_s[change.version] = clocks.now_s()
                LOG.info(
                    'a change is stored',
                    version=change.version,
                    action=action,
                    who=who,
                )
                return change
        raise errors.VersionConflict(
            f'{action}: other changes came first {MAX_COMMIT_ATTEMPTS} times',
            retry_after=1,
        )

    async def _prepare(self, change_id, who, action, why, build):
        built = build(self.configuration)
        if asyncio.iscoroutine(built):
            built = await built
        operations, conditions, writes = (
            built if isinstance(built, tuple) else (built, [], [])
        )
        if not operations:
            return None, [], []
        change = configuration_module.Change(
            version=self.configuration.version + 1,
            change_id=change_id,
            at_s=clocks.wall_time_s(),
            who=who,
            action=action,
            why=why,
            operations=operations,
        )
        conditions = [
            table.Condition(
                table=VERSION_TABLE,
                key=VERSION_KEY,
                version=self._version_row,
            ),
            *conditions,
        ]
        return change, conditions, [*_create_writes(change), *writes]

    def _notify_applied(self):
        for handler in self.on_applied:
            handler()


def create_operation(configuration, kind, name, after):
    """Return the operation that sets or removes one object.

    :param after: the new object, or None to remove it.
    """
    before = configuration.get(kind, name)
    return configuration_module.Operation(
        kind=kind,
        name=name,
        before=_encode_text(before),
        after=_encode_text(after),
    )


def _encode_text(record):
    if record is None:
        return None
    return documents.encode_row(record).decode()


def _create_writes(change):
    yield table.Write(
        table=VERSION_TABLE,
        key=VERSION_KEY,
        value=str(change.version).encode(),
    )
    yield table.Write(
        table=LOG_TABLE,
        key=_log_key(change.version),
        value=documents.encode_row(change),
    )
    for item in change.operations:
        value = None
        if item.after is not None:
            # Prefixed with the version that last changed the object.
            value = f'{change.version} {item.after}'.encode()
        yield table.Write(table=item.kind, key=item.name, value=value)


def _split_row(row):
    version, data = row.value.split(b' ', 1)
    return row.key, data, int(version)


def _log_key(version):
    return f'{version:012d}'
