"""Follows what operators ask for: configuration, waves, evacuations."""

import asyncio

import msgspec

from arbutusrock.engine.ports import feeds
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.ports import rows
from arbutusrock.engine.vms import data_centre_cordons
from arbutusrock import logs
from arbutusrock.scheduling import FleetConfiguration
from arbutusrock.utils import clocks

__all__ = ['ConfigurationWatcher']

# How long the store may hold a watch call before it answers; short, so that an
# unresponsive connection is noticed in time.
WATCH_TIMEOUT_S = 1.2
LOG = logs.get_log('configuration')


class ConfigurationWatcher:
    """Newest requests of operators that this node has seen.

    A configuration with an older version is ignored.

    :param store: client of the store.
    :param decode: decodes a row into a
        :class:`arbutusrock.scheduling.FleetConfiguration`, a
        :class:`arbutusrock.engine.ports.platform_messages.WaveRequest`, a
        :class:`arbutusrock.engine.ports.platform_messages.CordonChange`, or
        None.
    """

    def __init__(self, *, store, decode):
        self.store = store
        self.decode = decode
        self.current = None
        # The row of ``current``, as operators wrote it.
        self.current_data = b''
        self.waves = {}
        self.cordons = data_centre_cordons.DataCentreCordons()
        # Version of the table up to which its changes are known.
        self._version = -1
        # When the store last confirmed that ``current`` is the newest.
        self.confirmed_at_s = 0.0
        # Called without arguments after each change.
        self.listeners = []
        # Set once there is a configuration.
        self._read = asyncio.Event()

    @property
    def age_s(self):
        """Time since the store last confirmed the version in force."""
        return clocks.now_s() - self.confirmed_at_s

    async def wait_until_read(self, timeout_s):
        """Wait for the first configuration.

        :returns: whether there is one; False after ``timeout_s``.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._read.wait()
        except TimeoutError:
            return False
        return True

    async def run(self):
        """Follow the table of operators until cancelled."""
        await feeds.follow_table(
            self.store,
            rows.TABLE_OPERATOR,
            apply=self._apply_rows,
            parts=('',),
            wait_s=WATCH_TIMEOUT_S,
        )

    async def refresh(self):
        """Read the table now, and repeat that until the store answers."""
        found, version = await feeds.read_with_retries(
            self.store, rows.TABLE_OPERATOR, ('',)
        )
        self._apply_rows(found, True, version)

    def _apply_rows(self, found, whole, version):
        """Apply an answer of the store, unless a newer one came first.

        :param whole: whether the rows are the whole table.
        :param version: version of the table that the answer shows.
        """
        self.confirmed_at_s = clocks.now_s()
        if version < self._version:
            return
        self._version = version
        before = self.cordons.names
        named = {self._apply_row(row) for row in found}
        if whole:
            for name in set(before) - named:
                self._lift_cordon(name)
        if found or self.cordons.names != before:
            for listener in self.listeners:
                listener()

    def _apply_row(self, row):
        """Apply a row; return the data centre if it is about a cordon."""
        try:
            match self.decode(row):
                case FleetConfiguration() as configuration:
                    self._apply_configuration(configuration, row.value)
                case platform_messages.WaveRequest() as wave:
                    self.waves[wave.number] = wave
                    LOG.info('a wave is ordered', wave=wave.number)
                case platform_messages.CordonChange() as change:
                    self._apply_cordon(change, row.version)
                    return change.data_centre
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            LOG.error('a row cannot be decoded', row=row.key, error=str(exc))
        return None

    def _apply_cordon(self, change, version):
        if not change.active:
            self._lift_cordon(change.data_centre)
            return
        if change.problem:
            LOG.error(
                'the value of an evacuation cannot be read; its key counts',
                data_centre=change.data_centre,
                error=change.problem,
            )
        if self.cordons.add(change.data_centre):
            LOG.info(
                'the evacuation of a data centre is requested',
                data_centre=change.data_centre,
                version=version,
            )

    def _lift_cordon(self, data_centre):
        if self.cordons.discard(data_centre):
            LOG.info(
                'the evacuation of a data centre is taken back',
                data_centre=data_centre,
            )

    def _apply_configuration(self, configuration, data):
        before = self.current.version if self.current else 0
        if configuration.version <= before:
            return
        self.current, self.current_data = configuration, data
        self._read.set()
        LOG.info(
            'a configuration is in force',
            version=configuration.version,
            before=before,
            queues=len(configuration.queues),
            accounts=len(configuration.accounts),
        )
