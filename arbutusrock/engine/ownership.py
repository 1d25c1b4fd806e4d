"""Which node owns the unit: its jobs, its workers and its VMs."""

import asyncio
import random

import msgspec

from arbutusrock.engine import feeds
from arbutusrock.engine import rows
from arbutusrock.engine import state_writer
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['Claim', 'OwnerElector']

# An owner without a heartbeat for so long is replaced: three heartbeats.
HEARTBEAT_TIMEOUT_S = 1.6
# Nodes that see the same silence claim one after another.
CLAIM_JITTER_S = 0.3
# A node with this much processor time and more has no handicap, one with
# next to nothing waits this long: the owner's work grows with the workers.
NO_DELAY_CORES = 2.0
MAX_CLAIM_DELAY_S = 0.3
# How long the store may wait for a heartbeat before it answers.
WATCH_TIMEOUT_S = 0.8
# The last of these waits ends when the owner is due to be replaced; the
# store takes whole milliseconds.
MIN_WATCH_TIMEOUT_S = 0.01
RETRY_S = 0.2
# At the first start all nodes claim at once; one of them wins.
UNOWNED_CLAIM_JITTER_S = 0.05
# What an owner writes about itself.
OWNER_KEYS = (
    state_writer.KEY_CLAIM,
    state_writer.KEY_ROSTER,
    state_writer.KEY_HEARTBEAT,
)
LOG = logs.get_log('ownership')


class Claim(msgspec.Struct, kw_only=True):
    """Row that names the owner.

    :param epoch: rises with each owner; the fencing token of its orders.
    :param nonce: tells two claims of one node apart.
    :param released: the owner has stopped and nobody has followed yet.
    """

    epoch: int
    node: str
    nonce: int
    released: bool = False


_decode_claim = msgspec.msgpack.Decoder(Claim).decode
_decode_beat = msgspec.msgpack.Decoder(state_writer.OwnerHeartbeat).decode
_decode_roster = msgspec.msgpack.Decoder(dict[str, tuple[str, str]]).decode


class OwnerElector:
    """Follows the owner's heartbeat and claims what nobody owns.

    :param store: client of the store.
    :param node: name of this node.
    :param cores: processor time that it may use.
    """

    def __init__(self, *, store, node, cores=1.0):
        self.store = store
        self.node = node
        # Nodes with little processor time let the others claim first.
        self.claim_delay_s = MAX_CLAIM_DELAY_S * max(
            0.0, 1 - cores / NO_DELAY_CORES
        )
        # Newest heartbeat seen, and when.
        self.heartbeat = None
        self.heartbeat_at_s = 0.0
        # When the last claim of this node was sent.
        self.claim_sent_at_s = 0.0
        self._claim = None
        self._roster = {}
        # Versions of the owner's rows; 0 stands for an absent one.
        self._versions = dict.fromkeys(OWNER_KEYS, 0)

    def record_heartbeat(self, beat):
        """Take over a heartbeat, also this node's own."""
        self.heartbeat = beat
        self.heartbeat_at_s = clocks.now_s()

    async def acquire(self):
        """Wait until this node owns the unit.

        :returns: ``(epoch, claim_version, roster)``.
        """
        version = await self._read()
        threshold_s = self.claim_delay_s + random.uniform(  # noqa: S311
            HEARTBEAT_TIMEOUT_S, HEARTBEAT_TIMEOUT_S + CLAIM_JITTER_S
        )
        silent_s = 0.0
        while True:
            if self._claim is None or self._claim.released:
                spread_s = random.uniform(0, UNOWNED_CLAIM_JITTER_S)  # noqa: S311
                await asyncio.sleep(self.claim_delay_s + spread_s)
                due = 'nobody owns the unit'
            elif self._claim.node == self.node:
                due = 'an earlier process of this node owned the unit'
            elif silent_s > threshold_s:
                due = 'the owner is silent'
            else:
                due = ''
            if due:
                if await self._try_claim(due, silent_s):
                    return self._get_ownership()
                version = await self._read()
                silent_s = 0.0
            began_s = clocks.now_s()
            wait_s = min(
                WATCH_TIMEOUT_S,
                max(MIN_WATCH_TIMEOUT_S, threshold_s - silent_s),
            )
            version, heard = await self._watch(version, wait_s)
            # Time in which the store did not answer says nothing.
            silent_s = silent_s + clocks.now_s() - began_s if heard else 0.0

    def _get_ownership(self):
        version = self._versions[state_writer.KEY_CLAIM]
        return self._claim.epoch, version, self._roster

    async def _read(self):
        """Read claim, roster and heartbeat; return the version."""
        found, version = await feeds.read_with_retries(
            self.store, rows.TABLE_OWNER, (rows.OWNER_PART,)
        )
        for row in found:
            self._apply_row(row)
        return version

    def _apply_row(self, row):
        """Return whether the row shows a living owner."""
        if row.value is None:
            return False
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
                self._claim = claim
                return not claim.released
            case state_writer.KEY_ROSTER:
                self._roster = _decode_roster(row.value)
                return False
            case state_writer.KEY_HEARTBEAT:
                self.record_heartbeat(_decode_beat(row.value))
                return True
            case _:
                return False

    async def _watch(self, version, wait_s):
        """Wait for rows, at most for ``wait_s``.

        :returns: ``(version, heard)``; heard when the store answered
            and no owner has shown itself.
        """
        try:
            changed, version = await self.store.watch(
                rows.TABLE_OWNER, after=version, wait_s=wait_s
            )
        except rows.HistoryLost:
            return await self._read(), False
        except (rows.StoreRefused, rows.StoreSilent):
            await asyncio.sleep(RETRY_S)
            return version, False
        alive = [self._apply_row(row) for row in changed]
        return version, not any(alive)

    async def _try_claim(self, reason, silent_s):
        before = self._claim
        claim = Claim(
            epoch=(before.epoch if before else 0) + 1,
            node=self.node,
            nonce=random.getrandbits(48),  # noqa: S311
        )
        LOG.info(
            'this node claims the unit',
            reason=reason,
            silent_s=round(silent_s, 2),
            epoch=claim.epoch,
        )
        # What the last owner wrote since the last look could name workers
        # with runs that this node would not ask.
        return await self._write_claim(claim, expected=OWNER_KEYS)

    async def _write_claim(self, claim, *, expected):
        """Write a claim unless one of the expected rows has changed."""
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
        self.claim_sent_at_s = clocks.now_s()
        try:
            version = await self.store.transact(
                expected=conditions, puts=[put]
            )
        except (rows.Conflicted, rows.StoreRefused) as exc:
            LOG.info('the claim was not taken', error=str(exc))
            return False
        except rows.StoreSilent:
            # Reading tells whether it took effect; if it does later, the
            # next claim fails on its condition and reads again.
            await self._read()
            return self._claim == claim
        self._claim = claim
        self._versions[state_writer.KEY_CLAIM] = version
        return True

    async def release(self, claim_version):
        """Give the unit up, so that another node takes it at once."""
        if claim_version != self._versions[state_writer.KEY_CLAIM]:
            return
        claim = msgspec.structs.replace(self._claim, released=True)
        if await self._write_claim(claim, expected=(state_writer.KEY_CLAIM,)):
            LOG.info('the unit is released', epoch=claim.epoch)
