"""Follows the configuration in force and the wave requests of operators."""

import asyncio

import msgspec

from arbutusrock.engine import feeds
from arbutusrock.engine import platform_messages
from arbutusrock.engine import rows
from arbutusrock import logs
from arbutusrock.scheduling import FleetConfiguration
from arbutusrock.utils import clocks

__all__ = ['ConfigurationWatcher']

# How long the store may hold a watch call before it answers; short, so that an
# unresponsive connection is noticed in time.
WATCH_TIMEOUT_S = 1.2
LOG = logs.get_log('configuration')


class ConfigurationWatcher:
    """Newest configuration that this node has seen.

    A configuration with an older version is ignored.

    :param store: client of the store.
    :param decode: decodes a row into a
        :class:`arbutusrock.scheduling.FleetConfiguration`, a
        :class:`arbutusrock.engine.platform_messages.WaveRequest`, or None.
    """

    def __init__(self, *, store, decode):
        self.store = store
        self.decode = decode
        self.current = None
        self.waves = {}
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

    def _apply_rows(self, found, _whole):
        for row in found:
            self._apply_row(row)
        self.confirmed_at_s = clocks.now_s()

    def _apply_row(self, row):
        if row.value is None:
            return
        try:
            match self.decode(row):
                case FleetConfiguration() as configuration:
                    self._apply_configuration(configuration)
                case platform_messages.WaveRequest() as wave:
                    self.waves[wave.number] = wave
                    LOG.info('a wave is ordered', wave=wave.number)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            LOG.error('a row cannot be decoded', key=row.key, error=str(exc))
            return
        for listener in self.listeners:
            listener()

    def _apply_configuration(self, configuration):
        before = self.current.version if self.current else 0
        if configuration.version <= before:
            return
        self.current = configuration
        self._read.set()
        LOG.info(
            'a configuration is in force',
            version=configuration.version,
            before=before,
            queues=len(configuration.queues),
            accounts=len(configuration.accounts),
        )
