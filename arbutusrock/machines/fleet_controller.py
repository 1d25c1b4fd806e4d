"""Background repair and maintenance of the fleet, run by every member.

Load: members disappear, and drains, reboots and waves outlive the member that
began them. Every step is a conditional write, so any member can carry on any
step at any time; a rendezvous hash picks the member that tries first.
"""

import mode
import xxhash

from arbutusrock import errors
from arbutusrock.links import platform_client
from arbutusrock.links import table
from arbutusrock import logs
from arbutusrock.machines import member_rows
from arbutusrock.machines import vm_transitions
from arbutusrock.machines import vms
from arbutusrock.machines import waves
from arbutusrock.utils import clocks

__all__ = ['FleetController']

PASS_INTERVAL_S = 1.0
LIST_INTERVAL_S = 5.0
PASSES_PER_ORPHAN_CHECK = 5
PASSES_PER_SWEEP = 600
CHANGE_RETENTION_S = 3600
LOG = logs.get_log('keeper')


class FleetController(mode.Service):
    """Runs all steps of background repair and maintenance in each pass.

    :param node: :class:`arbutusrock.daemon.Daemon`, or an object with the
        attributes used here.
    :ivar listed_vms: VM name to :class:`arbutusrock.links.table.ListedVM`, as
        this member read the platform's list last.
    """

    def __init__(self, *, node):
        super().__init__()
        self.node = node
        self.listed_vms = {}
        self._ever_listed_nodes = set()
        self._last_list_turn = 0
        self._pass_count = 0

    @mode.Service.task
    async def _run(self):
        while not self.should_stop:
            await self.sleep(PASS_INTERVAL_S)
            for step in (
                self._read_list,
                self._replace_members,
                self._free_permits,
                self._take_orphans,
                self._store_withdrawals,
                self._finish_drains,
                self._finish_reboots,
                self._advance_waves,
                self._sweep,
            ):
                await self._try_step(step)
            self._pass_count += 1

    async def _try_step(self, step):
        """Run one step; an error does not stop the other steps."""
        try:
            await step()
        except (errors.ArbutusrockError, platform_client.Conflicted) as exc:
            LOG.debug('step postponed', step=step.__name__, reason=str(exc))
        except Exception:
            LOG.exception('step failed', step=step.__name__)

    def is_responsible(self, subject):
        """Return whether this member acts first on ``subject``.

        Other members are candidates while they reach the store and are not
        stopping. Members can disagree for a while, which is harmless because
        all writes are conditional.

        :param subject: text that names what to act on, such as a VM, a
            member, a wave, the hash of a key or a step.
        """
        members = self.node.members
        candidates = [members.member_id]
        lease_s = self.node.settings.membership.lease_s
        for member_id in members.find_live():
            link = members.peers.links.get(member_id)
            if link is None or link.digest is None:
                continue
            if link.digest.store_age_s <= lease_s and not link.digest.stopping:
                candidates.append(member_id)
        responsible = max(
            candidates, key=lambda item: _rendezvous_score(item, subject)
        )
        return responsible == members.member_id

    async def _read_list(self):
        """Read the platform's list of VMs when it is this member's turn.

        The list is long, and the budget for control traffic does not allow
        all members to read it. So one member reads it in each interval and
        tells the others which VMs are not live. A member that waits for the
        reboot of a VM reads it as well.
        """
        members = self.node.members.find_live()
        turn = int(clocks.wall_time_s() / LIST_INTERVAL_S)
        own_turn = members[turn % len(members)] == self.node.members.member_id
        rebooting = self._find_vms(vms.VMState.REBOOTING)
        needed = any(self.is_responsible(vm.vm) for vm in rebooting)
        if turn == self._last_list_turn or not (own_turn or needed):
            return
        self._last_list_turn = turn
        listed = await self.node.platform.list_vms()
        self.listed_vms = {item.vm: item for item in listed}
        self.node.members.announce_not_live(
            self.node.health.handle_vm_list(listed)
        )
        self._record_gone_members()

    def _record_gone_members(self):
        """Mark members as gone whose node disappeared from the list.

        Only nodes that were listed before count, as the list lags and may
        not have a new node yet.
        """
        members = self.node.members
        for member_id, observed in members.others.items():
            if observed.row.node in self.listed_vms:
                self._ever_listed_nodes.add(observed.row.node)
            elif observed.row.node in self._ever_listed_nodes:
                members.gone.add(member_id)

    async def _replace_members(self):
        """Take over from members that are unresponsive for their lease.

        Their jobs are taken over first. Their rows are deleted later, when
        no task that they started can still be running.
        """
        node = self.node
        for member_id in node.members.find_unresponsive(0):
            if not self.is_responsible(member_id):
                continue
            taken = await node.handover.take_over(member_id)
            if taken:
                node.audit_trail.record(
                    'jobs taken over',
                    f'member/{member_id}',
                    why='its lease lapsed',
                    after=f'{taken} jobs',
                )
        max_orphan_run_s = node.configuration.get_max_orphan_run_s(
            node.settings.upstreams.task_lease_s
        )
        for member_id in node.members.find_unresponsive(max_orphan_run_s):
            if self.is_responsible(member_id):
                await self._remove_member(member_id)

    async def _remove_member(self, member_id):
        """Delete the row of an unresponsive member, to end its lease for good.

        A renewal demands the last version of the row, so it fails from now
        on. Only then may its permits be freed, see :meth:`_free_permits`.
        """
        node = self.node
        observed = node.members.others[member_id]
        await node.platform.commit(
            [
                table.Condition(
                    table=member_rows.MEMBER_TABLE,
                    key=member_id,
                    version=observed.row_version,
                )
            ],
            [
                table.Write(
                    table=member_rows.MEMBER_TABLE,
                    key=member_id,
                    value=None,
                )
            ],
        )
        node.members.forget(member_id)
        node.audit_trail.record(
            'member removed',
            f'member/{member_id}',
            why='silent for its lease and the longest task lease',
        )

    async def _free_permits(self):
        """Free the permits and take over the jobs of members without a row.

        Runs once in ``PASSES_PER_ORPHAN_CHECK`` passes.
        """
        if (
            self._pass_count % PASSES_PER_ORPHAN_CHECK
            or not self.is_responsible('permits')
        ):
            return
        for member_id in await self.node.permits.reclaim_orphans():
            self.node.audit_trail.record(
                'permits freed',
                f'member/{member_id}',
                why='the member has no row any more',
            )
        for member_id in await self.node.handover.find_missing_owners():
            await self.node.handover.take_over(member_id)

    async def _take_orphans(self):
        """Take over jobs that a member handed over when it stopped."""
        if not self.node.members.stopping:
            await self.node.handover.take_over('')

    async def _store_withdrawals(self):
        """Store key withdrawals made while the store was unavailable."""
        for secret_hash in list(self.node.configuration.unstored_withdrawals):
            if self.is_responsible(secret_hash):
                await self.node.operator_actions.store_withdrawal(
                    secret_hash, who=self.node.members.member_id
                )

    async def _finish_drains(self):
        """End the drain of each VM on which no task runs any more."""
        for vm in self._find_vms(vms.VMState.DRAINING):
            if self.is_responsible(vm.vm) and await self._is_empty(vm):
                boot_id = await self._fetch_boot_id(vm)
                await self._commit_change(
                    f'vm/{vm.vm}',
                    'nothing runs on it any more',
                    lambda c, vm=vm, boot_id=boot_id: (
                        vm_transitions.plan_after_drain(c, vm.vm, boot_id)
                    ),
                )

    async def _fetch_boot_id(self, vm):
        """Return the boot id of a VM before its reboot, from a new list.

        :returns: an empty string when the VM is not in a wave or not listed.
        """
        if not vm.wave:
            return ''
        listed = await self.node.platform.list_vms()
        self.listed_vms = {item.vm: item for item in listed}
        found = self.listed_vms.get(vm.vm)
        return found.boot_id if found else ''

    async def _is_empty(self, vm):
        """Return whether no task runs on a draining VM and none can follow.

        Every other member must have reported that it knows of the drain and
        runs nothing there; a member that was not heard counts as busy.
        """
        node = self.node
        version = node.configuration.get_version('vm', vm.vm)
        members = node.members
        for member_id in members.others:
            link = members.peers.links.get(member_id)
            if link is None or link.digest is None:
                return False
            if link.digest.version < version or link.digest.busy.get(vm.vm):
                return False
        if node.dispatcher.count_running_on(vm.vm):
            return False
        return not await node.upstreams.count_running(vm)

    async def _finish_reboots(self):
        """Put rebooted VMs back into service; request the other reboots.

        A VM was rebooted when its boot id in the list differs from the one
        before. The request repeats in each pass; the platform acts on it once
        for each VM and wave.
        """
        for vm in self._find_vms(vms.VMState.REBOOTING):
            if not self.is_responsible(vm.vm):
                continue
            listed = self.listed_vms.get(vm.vm)
            rebooted = (
                listed is not None
                and listed.state == 'live'
                and listed.boot_id != vm.boot_id
            )
            if not rebooted:
                await self.node.platform.reboot_vm(vm.vm, vm.wave)
                continue
            await self._commit_change(
                f'vm/{vm.vm}',
                f'it booted anew in wave {vm.wave}',
                lambda c, vm=vm: vm_transitions.plan_after_reboot(c, vm.vm),
            )

    async def _advance_waves(self):
        """Begin the drains of running waves that the budgets allow."""
        for wave in list(self.node.configuration.objects['wave'].values()):
            if wave.state is not waves.WaveState.RUNNING:
                continue
            if not self.is_responsible(f'wave/{wave.wave}'):
                continue
            for name in wave.vms:
                await self._begin_maintenance(wave, name)

    async def _begin_maintenance(self, wave, name):
        """Begin to drain one VM of a wave, if its pool's budget allows.

        The budget is checked first against the configuration in force, which
        costs no store access, and again when the change is committed.
        """
        vm = self.node.configuration.get('vm', name)
        if vm is None or name in wave.done:
            return
        if vm.state is not vms.VMState.SERVING:
            return
        unhealthy = self.node.health.find_unhealthy()
        try:
            vm_transitions.plan_drain(
                self.node.configuration, name, unhealthy, wave=wave.wave
            )
        except errors.BudgetExceeded:
            return

        def build(configuration):
            current = configuration.get('wave', wave.wave)
            if current.state is not waves.WaveState.RUNNING:
                return []
            return vm_transitions.plan_drain(
                configuration,
                name,
                self.node.health.find_unhealthy(),
                wave=wave.wave,
            )

        await self._commit_change(f'vm/{name}', f'wave {wave.wave}', build)

    async def _commit_change(self, subject, why, build):
        """Commit a change that this member makes on its own.

        :param build: function of a configuration that returns operations.
        """
        node = self.node
        return await node.changes.commit(
            who=node.members.member_id,
            action=f'carry on {subject}',
            why=why,
            build=build,
        )

    def _find_vms(self, state):
        found = self.node.configuration.objects['vm'].values()
        return [vm for vm in found if vm.state is state]

    async def _sweep(self):
        """Delete expired change rows from the store.

        They only show whether a transaction whose answer was lost took
        effect, and nobody asks after ``CHANGE_RETENTION_S``.
        """
        if self._pass_count % PASSES_PER_SWEEP != PASSES_PER_SWEEP - 1:
            return
        if not self.is_responsible('sweep'):
            return
        (rows,) = await self.node.platform.read(
            table.Range(table=platform_client.CHANGE_TABLE, limit=2000)
        )
        oldest_unix_s = clocks.wall_time_s() - CHANGE_RETENTION_S
        expired = [row for row in rows if int(row.value) < oldest_unix_s]
        if expired:
            await self.node.platform.commit(
                [],
                [
                    table.Write(
                        table=platform_client.CHANGE_TABLE,
                        key=row.key,
                        value=None,
                    )
                    for row in expired
                ],
            )


def _rendezvous_score(member_id, subject):
    """Return a score that all members compute alike; the highest wins."""
    return xxhash.xxh64_intdigest(f'{member_id}\0{subject}'.encode())
