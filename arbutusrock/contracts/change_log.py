"""Commits configuration changes and applies them in version order.

Each change is one transaction that is conditional on the version row. So
changes form one sequence, and the configuration that a change was checked
against is still the current one when the change is accepted.
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
    """Reads the configuration of the fleet and commits changes to it.

    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param configuration: the :class:`Configuration` in force on this member,
        updated in place.
    """

    def __init__(self, *, platform, configuration):
        self.platform = platform
        self.configuration = configuration
        # Called without arguments after each change of the configuration.
        self.on_applied = []
        # When each change committed here was applied, by version.
        self.applied_at_s = {}
        # Applied changes by version, to send to peers that lack them.
        self._recent = {}
        self._version_row = table.ABSENT
        self._lock = asyncio.Lock()

    async def load(self):
        """Read the whole configuration from the table service."""
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
        """Apply changes made since; read ``ranges`` in the same snapshot.

        Reads the whole configuration when the log entries that were read do
        not lead up to the current version.

        :param ranges: further :class:`table.Range` to read.
        :returns: the rows of each of ``ranges``.
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
        """Apply a change if its version is the next one; else ignore it."""
        if not self.configuration.apply(change):
            return
        self._recent[change.version] = change
        self._recent.pop(change.version - MAX_RECENT_CHANGES, None)
        self._notify_applied()

    def get_recent(self, since):
        """Return the changes after version ``since``, in order.

        The list is empty when not all of them are kept in memory.
        """
        wanted = range(since + 1, self.configuration.version + 1)
        if any(version not in self._recent for version in wanted):
            return []
        return [self._recent[version] for version in wanted]

    def notify_withdrawn(self):
        """Call the listeners after keys were withdrawn without a change."""
        for handler in self.on_applied:
            handler()

    async def commit(self, *, who, action, why, build):
        """Commit one change, and apply it here.

        :param who: the operator or member that makes the change.
        :param action: what the change does, for the audit entry.
        :param why: reason given by the operator or member.
        :param build: function or coroutine function that gets the
            configuration and is called again after a conflict. It returns
            operations, or ``(operations, conditions, writes)`` to check and
            write other rows as well. It raises when the change is not
            allowed.
        :returns: the accepted :class:`Change`, or None when ``build``
            returned no operations.
        :raises errors.StoreUnavailable: when it is not known whether the
            change was accepted.
        :raises errors.VersionConflict: when other changes were accepted
            first in each of the attempts.
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
                    'configuration change committed',
                    version=change.version,
                    action=action,
                    who=who,
                )
                return change
        raise errors.VersionConflict(
            f'{action}: conflicted with other changes in '
            f'{MAX_COMMIT_ATTEMPTS} attempts',
            retry_after=1,
        )

    async def _prepare(self, change_id, who, action, why, build):
        """Return the change, or None, with its conditions and writes."""
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

    :param configuration: the configuration that holds the object until now.
    :param kind: kind of the object, see :class:`Operation`.
    :param name: name of the object.
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
            # Each row starts with the version that last changed the object.
            value = f'{change.version} {item.after}'.encode()
        yield table.Write(table=item.kind, key=item.name, value=value)


def _split_row(row):
    """Return name, JSON and version of the object in a row."""
    version, data = row.value.split(b' ', 1)
    return row.key, data, int(version)


def _log_key(version):
    """Return the key of a change; keys sort in version order."""
    return f'{version:012d}'
