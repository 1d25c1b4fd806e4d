"""Notices at once when the process of the owner has ended.

Load: the owner's process is killed during a burst. Until other nodes miss
enough heartbeats, no task is started and all jobs that arrive are late. Each
node therefore keeps a connection to the owner. When it breaks and a new one
is refused, no process listens there any more, and the unit is claimed without
waiting for the time-out. A VM that is switched off, frozen or cut off does not
refuse connections; there the time-out decides, as it does whenever this
monitor knows nothing. No rule depends on it: the epoch of the claim and its
conditions do.
"""

import asyncio

from arbutusrock import logs

__all__ = ['OwnerMonitor']

CONNECT_TIMEOUT_S = 1.0
# Delay before the next attempt while the owner cannot be connected to.
RETRY_DELAY_S = 0.3
# A listener that was refused once may be about to listen again, after a
# restart; the second refusal decides.
CONFIRM_DELAY_S = 0.03
# Heartbeats after the supposed end of a process that prove it wrong. One may
# be a write that the store carried out late.
MIN_HEARTBEATS_OF_LIFE = 2
LOG = logs.get_log('ownership')


class OwnerMonitor:
    """Keeps a connection to the owner and tells when its process has ended.

    :param find_address: returns the address of a node by its name, or None.
    """

    def __init__(self, *, find_address):
        self.find_address = find_address
        # Name and epoch of the owner; None while there is none to monitor.
        self._owner = None
        self._owner_changed = asyncio.Event()
        self._ended_epoch = None
        self._ended = asyncio.Event()
        # Heartbeats seen since.
        self._heartbeats = 0

    def follow(self, node, epoch):
        """Monitor the process of a node from now on.

        :param node: name of the owner, or None for nobody.
        :param epoch: epoch of its claim.
        """
        owner = None if node is None else (node, epoch)
        if owner == self._owner:
            return
        self._owner = owner
        self._monitor_again()

    def _monitor_again(self):
        self._ended.clear()
        self._heartbeats = 0
        self._owner_changed.set()

    def record_heartbeat(self):
        """Note a new heartbeat of the present owner."""
        if not self.has_ended:
            return
        self._heartbeats += 1
        if self._heartbeats >= MIN_HEARTBEATS_OF_LIFE:
            LOG.warning(
                'the process of the owner has not ended',
                owner=self._owner[0],
                epoch=self._owner[1],
            )
            self._monitor_again()

    async def wait_until_ended(self):
        """Wait until the process of the present owner is known to be gone."""
        await self._ended.wait()

    @property
    def has_ended(self):
        """Whether the process of the present owner is known to be gone."""
        return self._ended.is_set()

    async def run(self):
        """Monitor whoever is the owner until cancelled."""
        while True:
            self._owner_changed.clear()
            owner = self._owner
            if owner is None or self.has_ended:
                await self._owner_changed.wait()
                continue
            monitoring = asyncio.ensure_future(self._monitor(*owner))
            changed = asyncio.ensure_future(self._owner_changed.wait())
            try:
                await asyncio.wait(
                    {monitoring, changed},
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                monitoring.cancel()
                changed.cancel()
            if self._owner_changed.is_set() or owner != self._owner:
                continue
            if monitoring.exception() is not None:
                # An error says nothing about the owner.
                LOG.error(
                    'the monitor of the owner has failed',
                    owner=owner[0],
                    epoch=owner[1],
                    exc_info=monitoring.exception(),
                )
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                LOG.info(
                    'the process of the owner has ended',
                    owner=owner[0],
                    epoch=owner[1],
                )
                self._ended.set()

    async def _monitor(self, node, epoch):
        """Return once the process of a node that was reached is gone."""
        reached = False
        while True:
            address = self.find_address(node)
            refusals = 0
            while address is not None:
                try:
                    await self._wait_for_loss(address)
                except ConnectionRefusedError:
                    refusals += 1
                except (OSError, TimeoutError, ValueError) as exc:
                    LOG.debug(
                        'the owner cannot be connected to',
                        owner=node,
                        epoch=epoch,
                        error=str(exc),
                    )
                    break
                else:
                    reached, refusals = True, 0
                    continue
                if reached and refusals > 1:
                    return
                if not reached:
                    # It may have claimed before it listens.
                    break
                await asyncio.sleep(CONFIRM_DELAY_S)
            await asyncio.sleep(RETRY_DELAY_S)

    @staticmethod
    async def _wait_for_loss(address):
        """Connect to an address and return when the connection is lost.

        :raises OSError: the connection could not be opened.
        :raises ValueError: the address is malformed.
        """
        host, _, port = address.rpartition(':')
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            await reader.read()
        except OSError as exc:
            LOG.debug('a connection to the owner is lost', error=str(exc))
        finally:
            writer.close()
