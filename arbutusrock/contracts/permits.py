"""Enforces the upper limits of teams by permits.

The table service has one row for each team: the limit, and how many permits
each member holds; their sum is at most the limit. A task runs only under a
permit that its member holds. A member raises its own count after the write is
confirmed and lowers it before the write is sent, so a lost answer can leave a
permit unusable for a while, but never creates one.
"""

import asyncio
from collections import deque
import secrets

import mode
import msgspec

from arbutusrock.contracts import configuration as configuration_module
from arbutusrock.contracts import permit_division
from arbutusrock.contracts import permit_rows
from arbutusrock.contracts import team_permits
from arbutusrock import errors
from arbutusrock.links import messages
from arbutusrock.links import platform_client
from arbutusrock.links import table
from arbutusrock import logs
from arbutusrock.utils import clocks
from arbutusrock.utils import documents

__all__ = ['PermitController']

MAX_RECONCILE_ATTEMPTS = 4
MAX_ADOPT_ATTEMPTS = 8
RETRY_DELAY_S = 0.5
MIN_RETRY_DELAY_S = 0.02
# A little longer than it takes until the store counts as unresponsive.
RECONCILE_TIMEOUT_S = 1.2
RECONCILE_INTERVAL_S = 5.0
# Transfers that may have been on their way for longer are ignored.
TRANSFER_TTL_S = 2.0
MAX_SEEN_TRANSFERS = 1000
LOG = logs.get_log('permits')


class PermitController(mode.Service):
    """Acquires, releases and transfers this member's permits by demand.

    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param members: :class:`arbutusrock.machines.Members`.
    :param configuration: the configuration in force.
    """

    def __init__(self, *, platform, members, configuration):
        super().__init__()
        self.platform = platform
        self.members = members
        self.configuration = configuration
        # Called with the name of a team that got more permits here.
        self.on_permits_added = []
        self.on_reclaimed = []
        self._teams = {}
        self._due = set()
        self._wake = asyncio.Event()
        self._closing = False
        self._seen_transfers = deque(maxlen=MAX_SEEN_TRANSFERS)

    def try_acquire(self, name):
        """Occupy a free permit with a task; return whether there was one."""
        team = self._get_team(name)
        if team.running >= min(team.local_permits, team.quota):
            return False
        team.running += 1
        return True

    def record_running_task(self, name):
        """Count a running task whose permit is adopted separately."""
        self._get_team(name).running += 1

    async def adopt(self, name, member_id):
        """Take over a permit of a lost member for a task that runs on."""
        async with self._get_team(name).lock:
            await self._adopt(name, member_id)

    async def _adopt(self, name, member_id):
        team = self._get_team(name)
        for _ in range(MAX_ADOPT_ATTEMPTS):
            await self._refresh(name, team)
            if team.row is None or member_id not in team.row.held:
                return
            row = permit_rows.move_held(
                team.row, {member_id: 1}, self.members.member_id
            )
            if await self._commit_row(name, team, row):
                team.local_permits += 1
                return

    def release(self, name):
        """Free the permit of a task that is known to have ended."""
        team = self._get_team(name)
        team.running -= 1
        if team.local_permits > team.quota:
            self.request_reconcile(name)

    def set_need(self, name, need):
        """Set how many tasks of a team run or could start here now."""
        team = self._get_team(name)
        team.need = need
        if need > min(team.local_permits, team.quota):
            self.request_reconcile(name)

    def get_local_permits(self, name):
        """Return how many permits of a team this member holds."""
        team = self._teams.get(name)
        return team.local_permits if team else 0

    def get_running(self, name):
        """Return how many tasks of a team run under permits held here."""
        team = self._teams.get(name)
        return team.running if team else 0

    def get_row(self, name):
        """Return the row of a team as last read or written, or None."""
        team = self._teams.get(name)
        return team.row if team else None

    def _is_over_limit(self, name, team):
        """Return whether the last known row exceeds the limit in force."""
        limit = self.configuration.get_limit(name)
        return team.row is not None and sum(team.row.held.values()) > limit

    def describe_over_limit(self):
        """Return a sentence on each team that holds more than its limit."""
        found = []
        for name, team in self._teams.items():
            if self._is_over_limit(name, team):
                held = sum(team.row.held.values())
                found.append(
                    f'team {name}: {held} permits held, limit {team.row.limit}'
                )
        return found

    def request_reconcile(self, name):
        """Have the permits of a team reconciled soon."""
        self._due.add(name)
        self._wake.set()

    def request_reconcile_all(self, *_):
        """Lower quotas that are too high, and reconcile all teams soon."""
        for name in self.configuration.teams.keys() | self._teams.keys():
            team = self._get_team(name)
            team.quota = min(team.quota, self._compute_quota(name))
            self.request_reconcile(name)

    def handle_digest(self, digest):
        """Reconcile the teams that need more permits at the sender."""
        link = self.members.peers.links.get(digest.sender)
        for row in link.demand if link else ():
            name = configuration_module.TeamName(row.customer, row.team)
            team = self._teams.get(name)
            if team is None or not team.local_permits:
                continue
            if row.need > row.permits:
                self.request_reconcile(name)

    def handle_permits_freed(self, message):
        """Reconcile the team if it lacks permits or is over its limit."""
        name = configuration_module.TeamName(message.customer, message.team)
        team = self._teams.get(name)
        if team is None:
            return
        if team.need > team.local_permits or self._is_over_limit(name, team):
            self.request_reconcile(name)

    async def return_idle_permits(self):
        """Release all permits under which no task runs, for shutdown."""
        self._closing = True
        for name, team in list(self._teams.items()):
            team.need = team.running
            team.quota = team.running
            if team.local_permits > team.running:
                await self._try_reconcile(name)

    @mode.Service.task
    async def _run(self):
        while not self.should_stop:
            try:
                await asyncio.wait_for(self._wake.wait(), RECONCILE_INTERVAL_S)
            except TimeoutError:
                self.request_reconcile_all()
            await asyncio.sleep(0)
            self._wake.clear()
            due, self._due = self._due, set()
            failed = False
            for name in due:
                failed |= not await self._try_reconcile(name)
            if failed:
                await self._wait_before_retry()

    async def _wait_before_retry(self):
        """Wait before a retry, but not longer than until new demand.

        Peers ask for permits by digests while the store is unresponsive.
        """
        try:
            await asyncio.wait_for(self._wake.wait(), RETRY_DELAY_S)
        except TimeoutError:
            return
        await self.sleep(MIN_RETRY_DELAY_S)

    async def _try_reconcile(self, name):
        """Reconcile a team, or transfer permits if the store is unresponsive.

        :returns: False when it has to be tried again.
        """
        team = self._get_team(name)
        try:
            async with team.lock:
                if not self.platform.unresponsive:
                    # Given up like an unanswered write once the store is
                    # unresponsive: peers in need must not wait for it.
                    async with asyncio.timeout(RECONCILE_TIMEOUT_S):
                        return await self._reconcile(name)
        except (errors.StoreUnavailable, TimeoutError):
            team.write_unconfirmed = True
        self._due.add(name)
        self._transfer_to_peers(name)
        return False

    async def _reconcile(self, name):
        """Acquire or release permits until the target is held."""
        team = self._get_team(name)
        for _ in range(MAX_RECONCILE_ATTEMPTS):
            quota = self._compute_quota(name)
            team.quota = quota
            target = self._compute_target(name, team, quota)
            missing = min(team.need, quota) > team.local_permits
            pending = team.received or team.sent
            done = target == team.local_permits and not missing and not pending
            within_limit = team.row and not self._is_over_limit(name, team)
            if done and within_limit and not team.write_unconfirmed:
                return True
            await self._refresh(name, team)
            if team.row is None:
                return True
            if team.received and not await self._settle_transfers(name, team):
                continue
            quota = self._compute_quota(name)
            team.quota = quota
            target = self._compute_target(name, team, quota)
            recorded = team.row.held.get(self.members.member_id, 0)
            self._reconcile_sent(team, recorded)
            row_matches = target == team.local_permits == recorded - team.sent
            # A write also makes an earlier one that is in flight fail.
            if row_matches and not team.write_unconfirmed:
                return True
            if await self._write(name, team, target):
                team.write_unconfirmed = False
                return True
        self._due.add(name)
        return False

    def _compute_target(self, name, team, quota):
        """Return how many permits this member should hold.

        Keeps permits of running tasks, and idle ones until peers need them.
        """
        if self._closing:
            return team.running
        free = team.row.free if team.row else 0
        if quota < team.local_permits:
            return max(quota, team.running)
        missing = min(team.need, quota) - team.local_permits
        if missing > 0 and free > 0:
            return team.local_permits + min(missing, free)
        return team.local_permits

    def _compute_quota(self, name, *, held_only=False):
        """Return the maximum number of permits to use here now.

        :param held_only: divide only what live members hold: the free permits
            of the row are out of reach while the store is unresponsive.
        """
        team = self._get_team(name)
        own_id = self.members.member_id
        needs = [
            permit_division.MemberNeed(
                member=own_id,
                need=max(team.need, team.running),
                permits=team.local_permits,
                oldest_s=self.get_oldest_age_s(name),
            )
        ]
        needs += (need for need, _ in self._iterate_peer_needs(name))
        limit = self.configuration.get_limit(name)
        if held_only:
            limit = min(limit, sum(need.permits for need in needs))
        return permit_division.compute_quota(limit, own_id, needs)

    def _iterate_peer_needs(self, name):
        """Yield the need of each live peer, and the link that tells it."""
        for peer_id in self.members.find_live():
            link = self.members.peers.links.get(peer_id)
            if link is not None:
                yield (
                    permit_division.get_member_need(
                        peer_id, link.demand, name
                    ),
                    link,
                )

    def get_oldest_age_s(self, name):
        """Return the oldest request's waiting time; set by the daemon."""
        return 0.0

    async def _refresh(self, name, team):
        """Read the row of a team."""
        row = await self.platform.read_row(
            permit_rows.PERMIT_TABLE, permit_rows.get_row_key(name)
        )
        if row is None:
            team.row = None
            team.row_version = table.ABSENT
            return
        team.row = documents.decode_row(row.value, permit_rows.PermitRow)
        team.row_version = row.version

    async def _write(self, name, team, target):
        """Write to the row that this member holds ``target`` permits.

        :returns: whether the write took effect.
        """
        lowered = target < team.local_permits
        if lowered:
            team.local_permits = target
        held = dict(team.row.held)
        held[self.members.member_id] = target + team.sent
        if not held[self.members.member_id]:
            del held[self.members.member_id]
        row = msgspec.structs.replace(team.row, held=held)
        if not await self._commit_row(name, team, row):
            # The row still counts the permits that were given up.
            team.write_unconfirmed |= lowered
            return False
        if lowered:
            self._broadcast_freed(name)
        elif target > team.local_permits:
            team.local_permits = target
            for handler in self.on_permits_added:
                handler(name)
        return True

    async def _commit_row(self, name, team, row):
        """Write a team's row; return False if another write came first."""
        try:
            team.row_version = await self.platform.commit(
                [
                    table.Condition(
                        table=permit_rows.PERMIT_TABLE,
                        key=permit_rows.get_row_key(name),
                        version=team.row_version,
                    )
                ],
                [
                    table.Write(
                        table=permit_rows.PERMIT_TABLE,
                        key=permit_rows.get_row_key(name),
                        value=documents.encode_row(row),
                    )
                ],
            )
        except platform_client.Conflicted:
            return False
        team.row = row
        return True

    def _transfer_to_peers(self, name):
        """Transfer spare permits to peers while the store is unresponsive.

        They are subtracted before the message is sent: a lost message makes
        them unusable until the store is back, but never creates one.
        """
        team = self._get_team(name)
        quota = self._compute_quota(name, held_only=True)
        team.quota = min(quota, team.local_permits)
        spare = team.local_permits - max(quota, team.running)
        for peer_id, unmet in self._list_unmet(name):
            count = min(spare, unmet)
            link = self.members.peers.links.get(peer_id)
            if count <= 0 or link is None:
                continue
            spare -= count
            team.local_permits -= count
            team.sent += count
            team.sent_at_s = clocks.now_s()
            self.members.peers.send(
                peer_id,
                messages.PermitsGiven(
                    sender=self.members.member_id,
                    customer=name.customer,
                    team=name.team,
                    count=count,
                    gift=secrets.token_hex(8),
                    echo=link.heard_sequence,
                ),
            )

    def _list_unmet(self, name):
        """Return ``(peer, unmet need)`` of peers in need, largest first."""
        found = [
            (peer.member, peer.unmet)
            for peer, link in self._iterate_peer_needs(name)
            if peer.unmet and not (link.digest and link.digest.stopping)
        ]
        return sorted(found, key=lambda item: (-item[1], item[0]))

    def handle_permits_given(self, message):
        """Add permits that a peer sent; ignore duplicates and late ones."""
        link = self.members.peers.links.get(message.sender)
        old = link is None or link.get_max_age_s(message.echo) > TRANSFER_TTL_S
        if old or message.gift in self._seen_transfers or self._closing:
            return
        self._seen_transfers.append(message.gift)
        name = configuration_module.TeamName(message.customer, message.team)
        team = self._get_team(name)
        team.add_received(message.sender, message.count)
        team.quota = self._compute_quota(name)
        self.request_reconcile(name)
        for handler in self.on_permits_added:
            handler(name)

    def count_unsettled_permits(self):
        """Return how many received permits are not in the rows yet."""
        return sum(
            sum(team.received.values()) for team in self._teams.values()
        )

    async def _settle_transfers(self, name, team):
        """Move received permits in the row from the senders to here.

        :returns: whether the write took effect.
        """
        settled = dict(team.received)
        row = permit_rows.move_held(team.row, settled, self.members.member_id)
        if not await self._commit_row(name, team, row):
            return False
        team.remove_received(settled)
        return True

    def _reconcile_sent(self, team, recorded):
        """Lower the count of sent permits by the settled and lost ones.

        Only a receiver lowers this member's count in the row, so a lower one
        means that it wrote the transfer. When no member holds unsettled
        permits, the remaining sent ones were lost on the way.
        """
        team.sent = max(0, min(team.sent, recorded - team.local_permits))
        expires_at_s = team.sent_at_s + TRANSFER_TTL_S
        if team.sent and self.members.are_transfers_settled(expires_at_s):
            team.sent = 0

    def _broadcast_freed(self, name):
        self.members.peers.broadcast(
            messages.PermitsFreed(
                sender=self.members.member_id,
                customer=name.customer,
                team=name.team,
            )
        )

    def _get_team(self, name):
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = team_permits.TeamPermits()
        return team

    async def reclaim_orphans(self):
        """Free the permits of members whose row was deleted.

        A member's row is deleted only when nothing can run under its
        permits, and without the row it can never renew its lease.

        :returns: ids of those members, sorted.
        """
        if (
            not self.members.are_transfers_settled(0)
            or self.count_unsettled_permits()
        ):
            return []
        orphans = set()
        for name, removed in await permit_rows.drop_orphans(self.platform):
            LOG.info('freed permits of removed members', team=str(name))
            self._broadcast_freed(name)
            self.request_reconcile(name)
            orphans |= removed
        return sorted(orphans)
