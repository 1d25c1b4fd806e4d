"""Members: the daemons, their leases, and when a member may serve.

Each observer measures leases on its own boot clock: a member whose row has not
changed for lease + margin cannot be serving any more.
"""

import asyncio
import secrets

import mode
import msgspec

from arbutusrock import errors
from arbutusrock.links import messages
from arbutusrock.links import platform_client
from arbutusrock.links import table
from arbutusrock import logs
from arbutusrock.machines import member_rows
from arbutusrock.utils import clocks
from arbutusrock.utils import documents

__all__ = ['Members']

MAX_DIGESTS_PER_S = 6
MIN_DIGEST_INTERVAL_S = 0.2
LOG = logs.get_log('members')


class Members(mode.Service):
    """Renews the lease of this member and observes the other members.

    :param settings: :class:`arbutusrock.settings.Settings`.
    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param peers: :class:`arbutusrock.links.Peers`.
    :param changes: :class:`arbutusrock.contracts.change_log.ChangeLog`.
    """

    def __init__(self, *, settings, platform, peers, changes):
        super().__init__()
        self.settings = settings
        self.platform = platform
        self.peers = peers
        self.changes = changes
        self.member_id = f'{settings.node.name}-{secrets.token_hex(3)}'
        self.others = {}
        self.stopping = False
        self.expelled = False
        self.renewed_at_s = None
        # The daemon replaces these functions; digests carry what they return.
        self.report_demand = list
        self.report_busy = dict
        self.report_unsettled_permits = int
        self.on_digest = []
        self.on_renewed = []
        # Members that certainly do not run: their VM left the platform's
        # list, or an operator declared them gone.
        self.gone = set()
        self._unresponsive_minority_since_s = None
        self._deregistered = False
        self._unsent_not_live = None
        self._row = None
        self._row_version = table.ABSENT
        self._digest_due = asyncio.Event()

    async def register(self, *, address, operator_port, caller_port):
        """Write the first row and load the configuration."""
        node = self.settings.node
        self.peers.member_id = self.member_id
        self._row = member_rows.Member(
            member=self.member_id,
            node=node.name,
            address=address,
            peer_port=self.peers.port,
            operator_port=operator_port,
            caller_port=caller_port,
            data_centre=node.data_centre,
            region=node.region,
        )
        self.peers.handlers[messages.Digest] = self._handle_digest
        self.peers.handlers[messages.ChangesWanted] = (
            self._handle_changes_wanted
        )
        self.peers.handlers[messages.ChangesSent] = self._handle_changes
        self.peers.handlers[messages.KeysWithdrawn] = self._handle_withdrawals
        self.changes.on_applied.append(self.request_digest)
        while True:
            try:
                await self.changes.load()
                await self._renew()
                return
            except errors.StoreUnavailable as exc:
                LOG.warning(
                    'store unavailable at start; retrying', error=str(exc)
                )
                await asyncio.sleep(0.5)

    async def deregister(self):
        """Delete this member's row, so that nobody waits for its lease."""
        self._deregistered = True
        try:
            await self.platform.commit(
                [self._create_row_condition()],
                [
                    table.Write(
                        table=member_rows.MEMBER_TABLE,
                        key=self.member_id,
                        value=None,
                    )
                ],
            )
        except (errors.StoreUnavailable, platform_client.Conflicted):
            LOG.warning('member row not deleted; peers wait for its lease')

    def is_serving(self):
        """Return whether this member may send work now.

        It may when it renewed its lease in time, or when it and the peers
        that it reaches, which cannot reach the store either, are more than
        half of the members with a row. Members that reach the store remove
        unresponsive ones only while those are at most half, so none is
        removed while it serves this way.
        """
        if self.expelled or self.renewed_at_s is None:
            return False
        now = clocks.now_s()
        if now - self.renewed_at_s <= self.settings.membership.lease_s:
            return True
        return self._reaches_majority_without_store(now)

    def _reaches_majority_without_store(self, now):
        """Return whether this member reaches a majority without the store.

        A peer counts when it answered a digest that this member sent within
        the lease, and reported a store contact so old that members that reach
        the store count it as unresponsive; see ``docs/design/membership.md``.
        """
        lease_s = self.settings.membership.lease_s
        reached = 1
        for link in self.peers.links.values():
            sent_at_s = link.stale_echoed_sent_at_s
            if sent_at_s is not None and now - sent_at_s <= lease_s:
                reached += 1
        return 2 * reached > len(self.others) + 1

    def _get_stale_store_age_s(self):
        """Return the age at which others count a store contact as lost."""
        members = self.settings.membership
        noticed_after_s = members.lease_s / 2 + members.renew_s
        return noticed_after_s + members.margin_s / 4

    def find_live(self):
        """Return ids of members heard within lease + margin, with its own."""
        now = clocks.now_s()
        timeout_s = self._get_lease_timeout_s()
        live = [
            member_id
            for member_id in self.others
            if now - self._get_last_heard_at_s(member_id) <= timeout_s
        ]
        return sorted([*live, self.member_id])

    def find_unresponsive(self, extra_s):
        """Return ids of members unresponsive for lease + margin + ``extra_s``.

        It is empty unless this member reaches the store and at most half of
        all members were unresponsive for as long. Members known as gone are
        left out of this count.
        """
        now = clocks.now_s()
        if self.renewed_at_s is None or (
            now - self.renewed_at_s > self.settings.membership.lease_s
        ):
            return []
        timeout_s = self._get_lease_timeout_s() + extra_s
        if (
            self._unresponsive_minority_since_s is None
            or now - self._unresponsive_minority_since_s < timeout_s
        ):
            return []
        return [
            member_id
            for member_id in self.others
            if now - self._get_last_heard_at_s(member_id) > timeout_s
        ]

    def _record_unresponsive_minority(self):
        """Record since when at most half of the members are unresponsive."""
        now = clocks.now_s()
        unresponsive_after_s = self.settings.membership.lease_s / 2
        counted = [item for item in self.others if item not in self.gone]
        unresponsive_count = sum(
            1
            for member_id in counted
            if now - self.others[member_id].changed_at_s > unresponsive_after_s
        )
        if 2 * unresponsive_count > len(counted) + 1:
            self._unresponsive_minority_since_s = None
        elif self._unresponsive_minority_since_s is None:
            self._unresponsive_minority_since_s = now

    def find_outdated(self, version, since_s):
        """Return ids of members that may serve with an older version.

        A member not heard for lease + margin since then cannot serve while
        at most half are unresponsive; more could serve without the store.

        :param version: configuration version.
        :param since_s: instant on the boot clock when it was written.
        """
        now = clocks.now_s()
        timeout_s = self._get_lease_timeout_s()
        outdated = [
            member_id
            for member_id in self.others
            if self.get_reported_version(member_id) < version
        ]
        lasting_minority = (
            self._unresponsive_minority_since_s is not None
            and now - self._unresponsive_minority_since_s >= timeout_s
        )
        if lasting_minority:
            outdated = [
                item
                for item in outdated
                if now - max(self._get_last_heard_at_s(item), since_s)
                <= timeout_s
            ]
        return sorted(outdated)

    def get_reported_version(self, member_id):
        """Return the newest version that a member reported as in force."""
        observed = self.others.get(member_id)
        version = observed.row.version if observed else 0
        link = self.peers.links.get(member_id)
        if link is not None and link.digest is not None:
            version = max(version, link.digest.version)
        return version

    def are_transfers_settled(self, since_s):
        """Return whether no member holds permits that the store does not know.

        Each member must have reported so in answer to a digest that this
        member sent after ``since_s`` and within the lease.

        :param since_s: instant on the boot clock.
        """
        lease_s = self.settings.membership.lease_s
        oldest_at_s = max(since_s, clocks.now_s() - lease_s)
        for member_id in self.others:
            link = self.peers.links.get(member_id)
            if link is None or link.digest is None or link.digest.gifts:
                return False
            if (
                link.echoed_sent_at_s is None
                or link.echoed_sent_at_s < oldest_at_s
            ):
                return False
        return True

    def find_without_withdrawals(self):
        """Return members that may not know all unstored key withdrawals."""
        wanted = len(self.changes.configuration.unstored_withdrawals)
        unaware = []
        for member_id in self.others:
            link = self.peers.links.get(member_id)
            digest = link.digest if link else None
            if digest is None or digest.withdrawn < wanted:
                unaware.append(member_id)
        return sorted(unaware)

    def count_peer_tasks(self, vm):
        """Return how many tasks peers run on a VM that is out of service."""
        return sum(
            link.digest.busy.get(vm, 0)
            for link in self.peers.links.values()
            if link.digest is not None
        )

    def request_digest(self, *_):
        """Send digests soon instead of at the next interval."""
        self._digest_due.set()

    def announce_not_live(self, not_live):
        """Tell the peers which VMs the platform lists as leaving or gone."""
        self._unsent_not_live = sorted(not_live)
        self.request_digest()

    def forget(self, member_id):
        """Remove a member whose row was deleted."""
        self.others.pop(member_id, None)
        self._update_peers()

    def _get_lease_timeout_s(self):
        """Return the time after which an unheard member cannot serve."""
        members = self.settings.membership
        return members.lease_s + members.margin_s

    def _get_last_heard_at_s(self, member_id):
        """Return when a member's row last changed or a message came."""
        changed_at_s = self.others[member_id].changed_at_s
        link = self.peers.links.get(member_id)
        if link is not None and link.last_heard_at_s is not None:
            return max(changed_at_s, link.last_heard_at_s)
        return changed_at_s

    def _create_row_condition(self):
        return table.Condition(
            table=member_rows.MEMBER_TABLE,
            key=self.member_id,
            version=self._row_version,
        )

    @mode.Service.task
    async def _renew_lease(self):
        while not self.should_stop:
            await self.sleep(self.settings.membership.renew_s)
            if self._deregistered:
                return
            try:
                await self._renew()
            except errors.StoreUnavailable:
                LOG.warning('lease not renewed: the store did not answer')
            except platform_client.Conflicted:
                await self._check_expelled()

    async def _renew(self):
        sent_at_s = clocks.now_s()
        self._row = msgspec.structs.replace(
            self._row,
            version=self.changes.configuration.version,
            renewals=self._row.renewals + 1,
            stopping=self.stopping,
        )
        self._row_version = await self.platform.commit(
            [self._create_row_condition()],
            [
                table.Write(
                    table=member_rows.MEMBER_TABLE,
                    key=self.member_id,
                    value=documents.encode_row(self._row),
                )
            ],
        )
        rows = await self.changes.catch_up(
            table.Range(table=member_rows.MEMBER_TABLE)
        )
        self._record_rows(rows[0])
        lease_s = self.settings.membership.lease_s
        if self.renewed_at_s and sent_at_s - self.renewed_at_s > lease_s:
            # This member could not observe the others in between, so
            # earlier observations do not count.
            self._unresponsive_minority_since_s = None
        self._record_unresponsive_minority()
        self.renewed_at_s = sent_at_s
        for handler in self.on_renewed:
            handler()

    async def _check_expelled(self):
        """Stop serving for good when others deleted this member's row."""
        try:
            row = await self.platform.read_row(
                member_rows.MEMBER_TABLE, self.member_id
            )
        except errors.StoreUnavailable:
            return
        if row is None:
            LOG.error('member row deleted by other members; no longer serving')
            self.expelled = True
            return
        self._row_version = row.version

    def _record_rows(self, rows):
        now = clocks.now_s()
        present = set()
        for row in rows:
            if row.key == self.member_id:
                continue
            present.add(row.key)
            observed = self.others.get(row.key)
            if observed is None or observed.row_version != row.version:
                self.others[row.key] = member_rows.ObservedMember(
                    row=documents.decode_row(row.value, member_rows.Member),
                    row_version=row.version,
                    changed_at_s=now,
                )
        for removed in self.others.keys() - present:
            del self.others[removed]
        self.gone &= present
        self._update_peers()

    def _update_peers(self):
        self.peers.set_peers(
            {
                member_id: (observed.row.address, observed.row.peer_port)
                for member_id, observed in self.others.items()
            }
        )

    @mode.Service.task
    async def _send_digests(self):
        while not self.should_stop:
            interval_s = self._get_digest_interval_s()
            try:
                await asyncio.wait_for(self._digest_due.wait(), interval_s)
                await asyncio.sleep(min(MIN_DIGEST_INTERVAL_S, interval_s))
            except TimeoutError:
                pass
            self._digest_due.clear()
            demand = self.report_demand()
            for link in list(self.peers.links.values()):
                self._send_digest(link, demand)
            self._unsent_not_live = None

    def _get_digest_interval_s(self):
        """Return an interval that bounds the digests sent per second."""
        members = len(self.peers.links)
        return max(
            self.settings.membership.digest_s, members / MAX_DIGESTS_PER_S
        )

    def _send_digest(self, link, demand):
        if link.is_echo_overdue():
            LOG.warning(
                'digests not echoed by the peer; reconnecting',
                peer=link.member_id,
            )
            link.dial()
            link.sent_demand = None
        link.record_digest_sent()
        changed = demand != link.sent_demand
        unechoed = link.echoed_sequence < link.sent_demand_sequence
        if changed:
            link.sent_demand = demand
            link.sent_demand_sequence = link.sequence
        age_s = clocks.now_s() - (self.renewed_at_s or 0)
        self.peers.send(
            link.member_id,
            messages.Digest(
                sender=self.member_id,
                sequence=link.sequence,
                echo=link.heard_sequence,
                version=self.changes.configuration.version,
                store_age_s=round(age_s, 2),
                stopping=self.stopping,
                demand=demand if changed or unechoed else None,
                busy=self.report_busy(),
                withdrawn=len(self.changes.configuration.unstored_withdrawals),
                gifts=self.report_unsettled_permits(),
                away=self._unsent_not_live,
            ),
        )

    def _handle_digest(self, digest):
        link = self.peers.links.get(digest.sender)
        if link is None:
            return
        link.record_digest(digest)
        if digest.store_age_s >= self._get_stale_store_age_s():
            link.stale_echoed_sent_at_s = link.echoed_sent_at_s
        version = self.changes.configuration.version
        withdrawn = len(self.changes.configuration.unstored_withdrawals)
        if digest.version > version or digest.withdrawn > withdrawn:
            self.peers.send(
                digest.sender,
                messages.ChangesWanted(sender=self.member_id, since=version),
            )
        for handler in self.on_digest:
            handler(digest)

    def _handle_changes_wanted(self, message):
        changes = self.changes.get_recent(message.since)
        if changes:
            self.peers.send(
                message.sender,
                messages.ChangesSent(sender=self.member_id, changes=changes),
            )
        if self.changes.configuration.unstored_withdrawals:
            self.peers.send(message.sender, self._create_withdrawals_message())

    def _handle_changes(self, message):
        for change in message.changes:
            self.changes.apply_change(change)

    def _create_withdrawals_message(self):
        return messages.KeysWithdrawn(
            sender=self.member_id,
            hashes=sorted(self.changes.configuration.unstored_withdrawals),
        )

    def broadcast_withdrawals(self):
        """Send all peers the key withdrawals that are not in the store."""
        self.peers.broadcast(self._create_withdrawals_message())

    def _handle_withdrawals(self, message):
        known = self.changes.configuration.unstored_withdrawals
        if not set(message.hashes) <= known:
            known.update(message.hashes)
            self.changes.notify_withdrawn()
            self.broadcast_withdrawals()
