"""Upper limits by permits.

The table service has one row for each team: the limit, and how many permits
each member holds; their sum is at most the limit. A task runs only under a
permit in hand. A member raises its count after the write is confirmed and
lowers it before the write is sent, so a lost answer can lose a permit for a
while but never makes one.
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
# A little longer than it takes to call the store silent.
RECONCILE_TIMEOUT_S = 1.2
RECONCILE_INTERVAL_S = 5.0
TRANSFER_TTL_S = 2.0
MAX_SEEN_TRANSFERS = 1000
LOG = logs.get_log('permits')


class PermitController(mode.Service):
    """Holds this member's permits and moves them by demand.

    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param members: :class:`arbutusrock.machines.Members`.
    :param configuration: the configuration in force.
    """

    def __init__(self, *, platform, members, configuration):
        super().__init__()
        self.platform = platform
        self.members = members
        self.configuration = configuration
        self.on_permits_added = []
        self.on_reclaimed = []
        self._teams = {}
        self._due = set()
        self._wake = asyncio.Event()
        self._closing = False
        self._seen_transfers = deque(maxlen=MAX_SEEN_TRANSFERS)

    def try_acquire(self, name):
        """Take one permit for a task.

        :returns: whether a permit was in hand.
        """
        team = self._get_team(name)
        if team.running >= min(team.local_permits, team.quota):
            return False
        team.running += 1
        return True

    def record_running_task(self, name):
        """Count a task that runs under an adopted permit."""
        self._get_team(name).running += 1

    async def adopt(self, name, member_id):
        """Move one permit of a gone member here, with its running task."""
        async with self._get_team(name).lock:
            await self._adopt(name, member_id)

    async def _adopt(self, name, member_id):
        team = self._get_team(name)
        for _ in range(MAX_ADOPT_ATTEMPTS):
            await self._refresh(name, team)
            if team.row is None or member_id not in team.row.held:
                return
            held = dict(team.row.held)
            held[member_id] -= 1
            if not held[member_id]:
                del held[member_id]
            own_id = self.members.member_id
            held[own_id] = held.get(own_id, 0) + 1
            row = msgspec.structs.replace(team.row, held=held)
            if await self._commit_row(name, team, row):
                team.local_permits += 1
                return

    def release(self, name):
        """Give back the permit of a task that certainly ended."""
        team = self._get_team(name)
        team.running -= 1
        if team.local_permits > team.quota:
            self.request_reconcile(name)

    def set_need(self, name, need):
        """Say how many tasks of a team run or could start now."""
        team = self._get_team(name)
        team.need = need
        if need > min(team.local_permits, team.quota):
            self.request_reconcile(name)

    def get_local_permits(self, name):
        """Return the permits that this member holds."""
        team = self._teams.get(name)
        return team.local_permits if team else 0

    def get_running(self, name):
        """Return the tasks that run under permits of this member."""
        team = self._teams.get(name)
        return team.running if team else 0

    def get_row(self, name):
        """Return the last seen row of a team, or None."""
        team = self._teams.get(name)
        return team.row if team else None

    def _is_over_limit(self, name, team):
        """Return whether the row seen last exceeds the limit in force."""
        limit = self.configuration.get_limit(name)
        return team.row is not None and sum(team.row.held.values()) > limit

    def describe_over_limit(self):
        """Return sentences about teams whose permits exceed a new limit."""
        found = []
        for name, team in self._teams.items():
            if self._is_over_limit(name, team):
                held = sum(team.row.held.values())
                found.append(
                    f'team {name}: {held} permits held, limit {team.row.limit}'
                )
        return found

    def request_reconcile(self, name):
        """Look at the permits of a team soon."""
        self._due.add(name)
        self._wake.set()

    def request_reconcile_all(self, *_):
        """Look at the permits of all teams soon."""
        for name in self.configuration.teams.keys() | self._teams.keys():
            team = self._get_team(name)
            team.quota = min(team.quota, self._compute_quota(name))
            self.request_reconcile(name)

    def handle_digest(self, digest):
        """Give permits to members whose digest shows unmet demand."""
        link = self.members.peers.links.get(digest.sender)
        for row in link.demand if link else ():
            name = configuration_module.TeamName(row.customer, row.team)
            team = self._teams.get(name)
            if team is None or not team.local_permits:
                continue
            if row.need > row.permits:
                self.request_reconcile(name)

    def handle_permits_freed(self, message):
        """Try again for permits that another member gave back."""
        name = configuration_module.TeamName(message.customer, message.team)
        team = self._teams.get(name)
        if team is None:
            return
        if team.need > team.local_permits or self._is_over_limit(name, team):
            self.request_reconcile(name)

    async def return_idle_permits(self):
        """Give back every permit that no task uses."""
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
        """Wait before the next try, but no longer than until new demand.

        While the store is silent, permits pass to the members in need, and
        their digests ask for that.
        """
        try:
            await asyncio.wait_for(self._wake.wait(), RETRY_DELAY_S)
        except TimeoutError:
            return
        await self.sleep(MIN_RETRY_DELAY_S)

    async def _try_reconcile(self, name):
        team = self._get_team(name)
        try:
            async with team.lock:
                if not self.platform.unresponsive:
                    # Given up like an unanswered write once the store is
                    # silent: peers in need are not to wait for it.
                    async with asyncio.timeout(RECONCILE_TIMEOUT_S):
                        return await self._reconcile(name)
        except (errors.StoreUnavailable, TimeoutError):
            team.write_unconfirmed = True
        self._due.add(name)
        self._transfer_to_peers(name)
        return False

    async def _reconcile(self, name):
        """Bring the team's permits to what this member should hold."""
        team = self._get_team(name)
        for _ in range(MAX_RECONCILE_ATTEMPTS):
            quota = self._compute_quota(name)
            team.quota = quota
            target = self._compute_target(name, team, quota)
            missing = min(team.need, quota) > team.local_permits
            transfers = team.received or team.sent
            settled = (
                target == team.local_permits and not missing and not transfers
            )
            known = team.row and not self._is_over_limit(name, team)
            if settled and known and not team.write_unconfirmed:
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
            equal = target == team.local_permits == recorded - team.sent
            # A write also stops an earlier one that is still on its way.
            if equal and not team.write_unconfirmed:
                return True
            if await self._write(name, team, target):
                team.write_unconfirmed = False
                return True
        self._due.add(name)
        return False

    def _compute_target(self, name, team, quota):
        """Return the permits that this member should hold.

        It never gives away a permit under which a task runs, and keeps idle
        ones until another member needs them.
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

    def _compute_quota(self, name):
        """Return the most permits that this member may use now."""
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
        for member_id in self.members.find_live():
            link = self.members.peers.links.get(member_id)
            if link is not None:
                needs.append(
                    permit_division.get_member_need(
                        member_id, link.demand, name
                    )
                )
        limit = self.configuration.get_limit(name)
        return permit_division.compute_quota(limit, own_id, needs)

    def get_oldest_age_s(self, name):
        """Return the age of the oldest waiting request; set by the queue."""
        return 0.0

    async def _refresh(self, name, team):
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
        """Write ``target`` permits for this member.

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
            return False
        if lowered:
            self._broadcast_freed(name)
        elif target > team.local_permits:
            team.local_permits = target
            for handler in self.on_permits_added:
                handler(name)
        return True

    async def _commit_row(self, name, team, row):
        """Write a team's row; return whether nothing came first."""
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
        """Pass spare permits to members in need while the store is silent.

        They are subtracted before the message leaves; a lost message loses
        them until the store is back, and never makes one.
        """
        team = self._get_team(name)
        quota = self._compute_quota(name)
        team.quota = min(quota, team.local_permits)
        spare = team.local_permits - max(quota, team.running)
        for member_id, unmet in self._list_unmet(name):
            count = min(spare, unmet)
            link = self.members.peers.links.get(member_id)
            if count <= 0 or link is None:
                continue
            spare -= count
            team.local_permits -= count
            team.sent += count
            team.sent_at_s = clocks.now_s()
            self.members.peers.send(
                member_id,
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
        """Return ``(member, permits)`` for members in need, neediest first."""
        found = []
        for member_id in self.members.find_live():
            link = self.members.peers.links.get(member_id)
            if link is None or (link.digest and link.digest.stopping):
                continue
            peer = permit_division.get_member_need(
                member_id, link.demand, name
            )
            if peer.unmet:
                found.append((member_id, peer.unmet))
        return sorted(found, key=lambda item: (-item[1], item[0]))

    def handle_permits_given(self, message):
        """Take permits of a peer; copies and held-up messages count not."""
        link = self.members.peers.links.get(message.sender)
        old = link is None or link.get_max_age_s(message.echo) > TRANSFER_TTL_S
        if old or message.gift in self._seen_transfers or self._closing:
            return
        self._seen_transfers.append(message.gift)
        name = configuration_module.TeamName(message.customer, message.team)
        team = self._get_team(name)
        team.local_permits += message.count
        team.received[message.sender] = (
            team.received.get(message.sender, 0) + message.count
        )
        team.quota = self._compute_quota(name)
        self.request_reconcile(name)
        for handler in self.on_permits_added:
            handler(name)

    def count_unsettled_permits(self):
        """Return received permits that the store does not know."""
        return sum(
            sum(team.received.values()) for team in self._teams.values()
        )

    async def _settle_transfers(self, name, team):
        """Write received permits: from the giver's count to the own one.

        :returns: whether the write took effect.
        """
        held = dict(team.row.held)
        own_id = self.members.member_id
        settled = dict(team.received)
        for sender, count in settled.items():
            held[sender] = held.get(sender, 0) - count
            held[own_id] = held.get(own_id, 0) + count
        held = {k: v for k, v in held.items() if v}
        row = msgspec.structs.replace(team.row, held=held)
        if not await self._commit_row(name, team, row):
            return False
        for sender, count in settled.items():
            left = team.received[sender] - count
            if left:
                team.received[sender] = left
            else:
                del team.received[sender]
        return True

    def _reconcile_sent(self, team, recorded):
        """Learn from the row which given permits were settled or lost.

        Only a receiver lowers this member's count, so a lower count means
        that it wrote the transfer. When no member holds unsettled permits,
        what is left of the given ones was lost on the way.
        """
        team.sent = max(0, min(team.sent, recorded - team.local_permits))
        expired_s = team.sent_at_s + TRANSFER_TTL_S
        if team.sent and self.members.are_transfers_settled(expired_s):
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
        """Free the permits of members that have no row.

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
        for name, gone in await permit_rows.drop_orphans(self.platform):
            LOG.info('permits of gone members are free', team=str(name))
            self._broadcast_freed(name)
            self.request_reconcile(name)
            orphans |= gone
        return sorted(orphans)
