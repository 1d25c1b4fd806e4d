"""Elects the node that owns the unit: its jobs, its workers and its VMs.

The owner writes heartbeats to the store. All other nodes follow them, and
claim the unit when nobody owns it or when the owner is unresponsive.
"""

import asyncio
import random

import msgspec

from arbutusrock.engine.ownership import owner_monitor as owner_monitor_module
from arbutusrock.engine.ports import feeds
from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import possible_runs
from arbutusrock.engine.state import state_writer
from arbutusrock import logs
from arbutusrock.scheduling import dark_workers
from arbutusrock.utils import clocks
from arbutusrock.utils import decoders

__all__ = ['Claim', 'OwnerElector']

# An owner is replaced after this time without a heartbeat, that is, after
# three missed heartbeats.
HEARTBEAT_TIMEOUT_S = 1.6
# That time-out is doubled for each owner in a row that was replaced before it
# had loaded its jobs, at most this many times: the next one may need as long.
MAX_DOUBLINGS = 3
# Random part of that time-out, so that nodes that miss the same heartbeats
# claim one after another.
CLAIM_JITTER_S = 0.3
# A node with at least this many cores claims without a delay; one with next to
# none delays its claim by the maximum. The work of the owner grows with the
# number of workers, so larger nodes should win.
NO_DELAY_CORES = 2.0
MAX_CLAIM_DELAY_S = 0.3
# How long the store may hold a watch call for a heartbeat before it answers.
WATCH_TIMEOUT_S = 0.8
# The last watch call ends when the owner is due to be replaced. The store
# takes whole milliseconds, so that call must not be shorter than this.
MIN_WATCH_TIMEOUT_S = 0.01
RETRY_DELAY_S = 0.2
# How long the others leave a unit that was released to the node that its owner
# has chosen.
SUCCESSOR_WAIT_S = 0.4
# Random delay before an unowned unit is claimed. At the first start all
# nodes claim at once, and one of them wins.
UNOWNED_CLAIM_JITTER_S = 0.05
# Rows that an owner writes about itself.
OWNER_KEYS = (
    state_writer.KEY_CLAIM,
    state_writer.KEY_HEARTBEAT,
)
LOG = logs.get_log('ownership')


class Claim(msgspec.Struct, kw_only=True):
    """Row of the store that names the owner.

    :param epoch: rises with each owner; the fencing token of its orders.
    :param nonce: random number that tells two claims of one node apart.
    :param unfinished: number of claims in a row before this one whose owners
        have not loaded their jobs.
    :param released: the owner gave the unit up and no other node has claimed
        it yet.
    :param heartbeat_epoch: epoch of the last owner that acted, if this one has
        given the unit up before it did anything; 0 otherwise. The names in the
        heartbeat of that one hold.
    :param handover: list of possible runs that holds for the next owner.
    :param successor: node that the owner has chosen to be the next one; empty
        when any may claim a released unit.
    """

    epoch: int
    node: str
    nonce: int
    unfinished: int = 0
    released: bool = False
    heartbeat_epoch: int = 0
    handover: possible_runs.Handover = possible_runs.Handover()
    successor: str = ''


_decode_claim = decoders.create_msgpack_decoder(Claim)
_decode_heartbeat = decoders.create_msgpack_decoder(
    state_writer.OwnerHeartbeat
)


class OwnerElector:
    """Follows the owner's heartbeat and claims the unit when it is unowned.

    :param store: client of the store.
    :param node: name of this node.
    :param cores: processor time that this process may use (cores).
    :param find_address: returns the address of a node by its name, or None;
        the process of the owner is monitored there.
    """

    def __init__(
        self, *, store, node, cores=1.0, find_address=lambda _name: None
    ):
        self.store = store
        self.node = node
        self.monitor = owner_monitor_module.OwnerMonitor(
            find_address=find_address
        )
        # Nodes with few cores let the others claim first.
        self.claim_delay_s = MAX_CLAIM_DELAY_S * max(
            0.0, 1 - cores / NO_DELAY_CORES
        )
        # Newest heartbeat of the owner, and when it was seen.
        self.heartbeat = None
        self.heartbeat_at_s = 0.0
        # Leases of the workers that the last heartbeat before the last claim
        # of this node names, by id.
        self.named_leases = {}
        # Which list of possible runs holds for this node, as of that claim.
        self.handover = possible_runs.Handover()
        # The claim that it has replaced.
        self._previous_claim = None
        # Newest stored heartbeat, and when it was read first.
        self._stored_heartbeat = None
        self._stored_heartbeat_at_s = 0.0
        # When the last claim of this node was sent.
        self.claim_sent_at_s = 0.0
        self._claim = None
        self._claim_read_at_s = 0.0
        self._stopped = False
        # Versions of the owner's rows; 0 stands for an absent row.
        self._versions = dict.fromkeys(OWNER_KEYS, 0)

    @property
    def heartbeat_version(self):
        """Version of the stored heartbeat at the last claim; 0 without one."""
        return self._versions[state_writer.KEY_HEARTBEAT]

    def record_heartbeat(self, heartbeat):
        """Record a heartbeat of the owner, which may be this node."""
        self.heartbeat = heartbeat
        self.heartbeat_at_s = clocks.now_s()

    def stop(self):
        """Send no claim any more, as this node is about to stop.

        One that is under way may still be accepted.
        """
        self._stopped = True

    async def acquire(self):
        """Wait until this node owns the unit.

        :returns: ``(epoch, claim_version)``; None once :meth:`stop` was
            called.
        """
        version = await self._read()
        threshold_s = self.claim_delay_s + random.uniform(  # noqa: S311
            HEARTBEAT_TIMEOUT_S, HEARTBEAT_TIMEOUT_S + CLAIM_JITTER_S
        )
        unresponsive_s = 0.0
        while not self._stopped:
            awaited_s = self._get_successor_wait_s()
            if awaited_s:
                reason = ''
            elif self._claim is None or self._claim.released:
                await self._delay_claim()
                reason = 'nobody owns the unit'
            elif self._claim.node == self.node:
                reason = 'an earlier process of this node owned the unit'
            elif self.monitor.has_ended:
                await self._delay_claim()
                reason = 'the process of the owner has ended'
            elif unresponsive_s > threshold_s * self._compute_patience():
                reason = 'the owner is unresponsive'
            else:
                reason = ''
            if self._stopped:
                # Told so while it delayed its claim.
                return None
            if reason:
                if await self._try_claim(reason, unresponsive_s):
                    return self._get_ownership()
                version = await self._read()
                unresponsive_s = 0.0
                if self._claim is not None and self._claim.released:
                    # The node that was first has given the unit back.
                    continue
            began_at_s = clocks.now_s()
            wait_s = min(
                awaited_s or WATCH_TIMEOUT_S,
                max(
                    MIN_WATCH_TIMEOUT_S,
                    threshold_s * self._compute_patience() - unresponsive_s,
                ),
            )
            version, no_heartbeat = await self._watch_owner(version, wait_s)
            # A store that does not answer says nothing about the owner.
            unresponsive_s = (
                unresponsive_s + clocks.now_s() - began_at_s
                if no_heartbeat
                else 0.0
            )
        return None

    def _has_loaded(self, claim):
        """Return whether the owner of a claim has loaded its jobs."""
        heartbeat = self._stored_heartbeat
        return heartbeat is not None and heartbeat.loaded_epoch == claim.epoch

    def _compute_patience(self):
        """Return the factor on the time until the owner is replaced.

        Otherwise each next owner would be replaced for the same reason as the
        last one, and none would ever start anything.
        """
        if self._claim is None or self._has_loaded(self._claim):
            return 1
        return 2 ** min(self._claim.unfinished, MAX_DOUBLINGS)

    def _get_successor_wait_s(self):
        """Return for how long the claim of a chosen successor is awaited."""
        claim = self._claim
        if (
            claim is None
            or not claim.released
            or claim.successor in {'', self.node}
        ):
            return 0.0
        until_s = self._claim_read_at_s + SUCCESSOR_WAIT_S
        return max(0.0, until_s - clocks.now_s())

    async def _delay_claim(self):
        """Wait so that the nodes claim one after another."""
        if self._claim is not None and self._claim.successor == self.node:
            return
        jitter_s = random.uniform(0, UNOWNED_CLAIM_JITTER_S)  # noqa: S311
        await asyncio.sleep(self.claim_delay_s + jitter_s)

    async def _watch_owner(self, version, wait_s):
        """Watch the owner's rows until its process ends, if that is first.

        :returns: ``(version, no_heartbeat)`` as :meth:`_watch` does.
        """
        if self.monitor.has_ended:
            return version, False
        watching = asyncio.ensure_future(self._watch(version, wait_s))
        ended = asyncio.ensure_future(self.monitor.wait_until_ended())
        try:
            await asyncio.wait(
                {watching, ended}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            ended.cancel()
            if not watching.done():
                watching.cancel()
        if watching.done():
            return watching.result()
        return version, False

    def _get_ownership(self):
        version = self._versions[state_writer.KEY_CLAIM]
        return self._claim.epoch, version

    async def _read(self):
        """Read claim and heartbeat; return the version of the table."""
        owner_rows, version = await feeds.read_with_retries(
            self.store, rows.TABLE_OWNER, (rows.OWNER_PART,)
        )
        for row in owner_rows:
            self._apply_row(row)
        return version

    def _apply_row(self, row):
        """Apply a row; return whether it shows that an owner is active."""
        if row.value is None:
            return False
        changed = row.version != self._versions.get(row.key)
        self._versions[row.key] = row.version
        match row.key:
            case state_writer.KEY_CLAIM:
                claim = _decode_claim(row.value)
                if claim != self._claim:
                    LOG.info(
                        'the owner has changed',
                        owner=claim.node,
                        epoch=claim.epoch,
                        released=claim.released,
                        version=row.version,
                    )
                self._record_claim(claim)
                return not claim.released
            case state_writer.KEY_HEARTBEAT:
                heartbeat = _decode_heartbeat(row.value)
                known = self.heartbeat
                if known is None or heartbeat.number != known.number:
                    self.monitor.record_heartbeat()
                self.record_heartbeat(heartbeat)
                if changed:
                    self._stored_heartbeat = heartbeat
                    self._stored_heartbeat_at_s = self.heartbeat_at_s
                return True
            case _:
                return False

    def _record_claim(self, claim):
        if claim != self._claim:
            self._claim_read_at_s = clocks.now_s()
        self._claim = claim
        other = not claim.released and claim.node != self.node
        self.monitor.follow(claim.node if other else None, claim.epoch)

    async def _watch(self, version, wait_s):
        """Wait for changed rows, at most for ``wait_s``.

        :returns: ``(version, no_heartbeat)``; no_heartbeat when the store
            answered and no row showed that an owner is active.
        """
        try:
            changed, version = await self.store.watch(
                rows.TABLE_OWNER, after=version, wait_s=wait_s
            )
        except rows.HistoryLost:
            return await self._read(), False
        except (rows.StoreRefused, rows.StoreSilent):
            await asyncio.sleep(RETRY_DELAY_S)
            return version, False
        active = [self._apply_row(row) for row in changed]
        return version, not any(active)

    async def _try_claim(self, reason, unresponsive_s):
        previous = self._claim
        unfinished = 0
        if previous is not None and previous.heartbeat_epoch:
            unfinished = previous.unfinished
        elif previous is not None and not self._has_loaded(previous):
            unfinished = previous.unfinished + 1
        claim = Claim(
            epoch=(previous.epoch if previous else 0) + 1,
            node=self.node,
            nonce=random.getrandbits(48),  # noqa: S311
            unfinished=unfinished,
        )
        LOG.info(
            'this node claims the unit',
            reason=reason,
            silent_s=round(unresponsive_s, 2),
            epoch=claim.epoch,
            unfinished=unfinished,
        )
        # The heartbeat must be unchanged, too: one written since the last read
        # may not name a worker whose lease was extended.
        if not await self._write_claim(claim, expected=OWNER_KEYS):
            return False
        self.named_leases = self._find_named_leases(previous)
        self.handover = possible_runs.Handover()
        if previous is not None and previous.released:
            self.handover = previous.handover
        self._previous_claim = previous
        return True

    def _find_named_leases(self, claim):
        """Return the leases that the last heartbeat of an owner names.

        :param claim: of that owner; None without one.
        """
        if claim is None or self._stored_heartbeat is None:
            return {}
        return dark_workers.decode_names(
            self._stored_heartbeat.dark,
            epoch=claim.heartbeat_epoch or claim.epoch,
            version=self.heartbeat_version,
            read_at_s=self._stored_heartbeat_at_s,
        )

    async def _write_claim(self, claim, *, expected):
        """Write a claim unless one of the expected rows has changed."""
        self.claim_sent_at_s = clocks.now_s()
        try:
            await self._send_claim(claim, expected)
        except rows.Conflicted as exc:
            LOG.info('the claim was not accepted', error=str(exc))
            return False
        except rows.StoreRefused as exc:
            LOG.info('the claim was refused', error=str(exc))
            await asyncio.sleep(RETRY_DELAY_S)
            return False
        except rows.StoreSilent:
            # The rows tell whether the claim took effect. If it does so
            # later, the next claim fails on its condition, and the rows are
            # read again.
            await self._read()
            return self._claim == claim
        return True

    async def _send_claim(self, claim, expected):
        """Write a claim; the caller handles the errors of the store."""
        conditions = [
            rows.Row(
                table=rows.TABLE_OWNER, key=key, version=self._versions[key]
            )
            for key in expected
        ]
        put = rows.Row(
            table=rows.TABLE_OWNER,
            key=state_writer.KEY_CLAIM,
            value=msgspec.msgpack.encode(claim),
        )
        version = await self.store.transact(expected=conditions, puts=[put])
        self._record_claim(claim)
        self._versions[state_writer.KEY_CLAIM] = version

    async def release_unused(self, claim_version):
        """Give the unit up before this node has acted as its owner.

        What the owner before has left for the next one still holds.

        :returns: as :meth:`release`.
        """
        previous = self._previous_claim
        if previous is None:
            return await self.release(claim_version)
        return await self.release(
            claim_version,
            heartbeat_epoch=previous.heartbeat_epoch or previous.epoch,
            handover=self.handover,
        )

    async def release(self, claim_version, **fields):
        """Give the unit up, so that another node can claim it at once.

        :param fields: fields of the released claim that tell the next owner
            what holds for it.
        :returns: whether another node may own it now or later. A release
            without an answer may still take effect.
        """
        if claim_version != self._versions[state_writer.KEY_CLAIM]:
            return True
        claim = msgspec.structs.replace(self._claim, released=True, **fields)
        try:
            await self._send_claim(claim, (state_writer.KEY_CLAIM,))
        except rows.StoreRefused as exc:
            LOG.warning('the release was refused', error=str(exc))
            return False
        except (rows.Conflicted, rows.StoreSilent) as exc:
            LOG.warning(
                'the release has no certain result',
                epoch=claim.epoch,
                error=repr(exc),
            )
            return True
        LOG.info('the unit is released', epoch=claim.epoch)
        return True
