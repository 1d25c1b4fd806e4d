"""Configuration changes of operators: contracts, keys, VMs and waves.

:mod:`arbutusrock.links.operator_api` calls them.
"""

import msgspec

from arbutusrock import contracts
from arbutusrock.contracts import change_log
from arbutusrock.contracts import contracts as contract_documents
from arbutusrock.contracts import permit_rows
from arbutusrock import errors
from arbutusrock import logs
from arbutusrock.machines import vm_transitions
from arbutusrock.machines import vms
from arbutusrock.machines import waves

__all__ = ['OperatorActions']

MAX_KEY_NOTE_CHARS = 200
ANY_VERSION = -1
LOG = logs.get_log('operations')


class OperatorActions:
    """Configuration changes that operators request.

    In every method, ``who`` is the operator and ``why`` the reason that the
    audit trail shows.

    :param changes: :class:`arbutusrock.contracts.change_log.ChangeLog`.
    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param members: :class:`arbutusrock.machines.Members`.
    :param health: :class:`arbutusrock.machines.health.WorkerHealth`.
    """

    def __init__(self, *, changes, platform, members, health):
        self.changes = changes
        self.platform = platform
        self.members = members
        self.health = health
        self.configuration = changes.configuration

    async def apply_contract(self, text, *, who, why, expected_version):
        """Create or replace a contract.

        :param text: the contract document.
        :param expected_version: version of the contract that the operator
            saw; 0 for a new one, -1 to replace any version.
        :raises errors.VersionConflict: when the version is another.
        :returns: the accepted change, or None when nothing differs.
        """
        contract = contracts.load_contract(text)

        async def build(configuration):
            _check_expected_version(
                configuration, 'contract', contract.customer, expected_version
            )
            before = configuration.get('contract', contract.customer)
            if before == contract:
                return []
            _check_references(configuration, contract)
            limits = await self._plan_limits(before, contract)
            operation = change_log.create_operation(
                configuration, 'contract', contract.customer, contract
            )
            return [operation], *limits

        return await self.changes.commit(
            who=who,
            action='apply contract',
            why=why,
            build=build,
        )

    async def remove_contract(self, customer, *, who, why, expected_version):
        """Remove a contract, and set the limits of its teams to 0.

        :param expected_version: as for :meth:`apply_contract`.
        """

        async def build(configuration):
            _check_expected_version(
                configuration, 'contract', customer, expected_version
            )
            before = configuration.get('contract', customer)
            if before is None:
                raise errors.NotFound(f'contract {customer}')
            empty = contracts.Contract(customer=customer, teams=[])
            limits = await self._plan_limits(before, empty)
            operation = change_log.create_operation(
                configuration, 'contract', customer, None
            )
            return [operation], *limits

        return await self.changes.commit(
            who=who, action='remove contract', why=why, build=build
        )

    async def _plan_limits(self, before, after):
        """Return conditions and writes for the team limits that change.

        :param before: the contract until now, or None.
        :param after: the contract with its new limits.
        """
        old_limits = {t.team: t.limit for t in before.teams} if before else {}
        new_limits = {t.team: t.limit for t in after.teams}
        conditions = []
        writes = []
        for team in sorted(old_limits.keys() | new_limits.keys()):
            if old_limits.get(team) == new_limits.get(team):
                continue
            condition, write = await permit_rows.plan_limit(
                self.platform,
                contracts.TeamName(after.customer, team),
                new_limits.get(team, 0),
            )
            conditions.append(condition)
            writes.append(write)
        return conditions, writes

    async def grant_key(self, customer, team, note, *, who, why):
        """Grant a new key to a team.

        :returns: ``(change, key, secret)``; only the hash of the secret is
            stored, so it cannot be shown again.
        """
        if len(note) > MAX_KEY_NOTE_CHARS:
            raise errors.InvalidDocument(
                f'note must have at most {MAX_KEY_NOTE_CHARS} characters, got '
                f'{len(note)}'
            )
        secret = contracts.create_secret()
        secret_hash = contracts.hash_secret(secret)
        key = contracts.Key(
            key_id=secret_hash[:12],
            secret_hash=secret_hash,
            customer=customer,
            team=team,
            note=note,
        )

        def build(configuration):
            contract = configuration.get('contract', customer)
            if contract is None or contract.find_team(team) is None:
                raise errors.NotFound(f'team {customer}/{team}')
            return [
                change_log.create_operation(
                    configuration, 'key', key.key_id, key
                )
            ]

        change = await self.changes.commit(
            who=who, action='grant key', why=why, build=build
        )
        return change, key, secret

    async def withdraw_key(self, key_id, *, who, why):
        """Withdraw a key at once, even if the table service is unresponsive.

        The withdrawal is in force in memory and sent to the other members
        before it is stored.

        :returns: the accepted change; None when it is not stored yet, or
            was stored before.
        :raises errors.NotFound: when there is no such key.
        """
        key = self.configuration.get('key', key_id)
        if key is None:
            await self.changes.catch_up()
            key = self.configuration.get('key', key_id)
        if key is None:
            raise errors.NotFound(f'key {key_id}')
        if not key.withdrawn:
            self.configuration.unstored_withdrawals.add(key.secret_hash)
            self.changes.notify_withdrawn()
            self.members.broadcast_withdrawals()
        try:
            return await self.store_withdrawal(
                key.secret_hash, who=who, why=why
            )
        except errors.StoreUnavailable:
            LOG.warning('a key withdrawal is not stored yet', key_id=key_id)
            return None

    async def store_withdrawal(self, secret_hash, *, who, why=''):
        """Store a key withdrawal that is in force in memory already."""

        def build(configuration):
            key = configuration.keys.get(secret_hash)
            if key is None or key.withdrawn:
                return []
            after = msgspec.structs.replace(key, withdrawn=True)
            return [
                change_log.create_operation(
                    configuration, 'key', key.key_id, after
                )
            ]

        return await self.changes.commit(
            who=who,
            action='withdraw key',
            why=why or 'withdrawn while the store was silent',
            build=build,
        )

    async def apply_fleet(self, text, *, who, why):
        """Create or change pools and VMs.

        An existing VM keeps its pool and state, which change only by drains
        and moves. Pools and VMs that the document omits stay.

        :param text: the fleet document.
        """
        fleet = vms.load_fleet(text)

        def build(configuration):
            operations = []
            for pool in fleet.pools:
                if configuration.get('pool', pool.pool) != pool:
                    operations.append(
                        change_log.create_operation(
                            configuration, 'pool', pool.pool, pool
                        )
                    )
            document_pools = {pool.pool for pool in fleet.pools}
            for vm in fleet.vms:
                operations += _plan_vm(configuration, vm, document_pools)
            return operations

        return await self.changes.commit(
            who=who, action='apply fleet', why=why, build=build
        )

    async def remove_vm(self, name, *, who, why):
        """Remove a VM that is drained, or listed as leaving or gone."""

        def build(configuration):
            vm = vm_transitions.find_vm(configuration, name)
            gone = name in self.health.not_live
            if vm.state is not vms.VMState.DRAINED and not gone:
                raise errors.StateConflict(
                    f'VM {name} is {vm.state}; drain it first'
                )
            return [
                change_log.create_operation(configuration, 'vm', name, None)
            ]

        return await self.changes.commit(
            who=who, action='remove vm', why=why, build=build
        )

    async def drain_vm(self, name, *, next_pool, who, why):
        """Start to drain a VM: no new tasks, running ones finish.

        :param next_pool: pool that the VM joins once it is drained; empty
            to keep it out of service.
        """
        return await self.changes.commit(
            who=who,
            action='move vm' if next_pool else 'drain vm',
            why=why,
            build=lambda configuration: vm_transitions.plan_drain(
                configuration,
                name,
                self.health.find_unhealthy(),
                next_pool=next_pool,
            ),
        )

    async def return_vm(self, name, *, who, why):
        """Put a drained or draining VM back into service."""
        return await self.changes.commit(
            who=who,
            action='return vm',
            why=why,
            build=lambda configuration: vm_transitions.plan_return(
                configuration, name
            ),
        )

    async def start_wave(self, name, vm_names, *, who, why):
        """Start a maintenance wave over VMs.

        :param name: name of the new wave.
        :param vm_names: VM names, in the order to maintain them.
        """
        wave = msgspec.convert(
            {'wave': name, 'vms': vm_names, 'reason': why}, waves.Wave
        )

        def build(configuration):
            if configuration.get('wave', name) is not None:
                raise errors.StateConflict(f'wave {name} exists already')
            if not vm_names:
                raise errors.InvalidDocument('the wave has no VM')
            for vm in vm_names:
                vm_transitions.find_vm(configuration, vm)
            _check_overlap(configuration, wave)
            return [
                change_log.create_operation(configuration, 'wave', name, wave)
            ]

        return await self.changes.commit(
            who=who, action='start wave', why=why, build=build
        )

    async def change_wave(self, name, state, *, who, why):
        """Pause, resume or abort a wave.

        After an abort, the VMs that it is draining return to service.

        :param state: new :class:`arbutusrock.machines.waves.WaveState`.
        """

        def build(configuration):
            wave = configuration.get('wave', name)
            if wave is None:
                raise errors.NotFound(f'wave {name}')
            if wave.state in (waves.WaveState.DONE, waves.WaveState.ABORTED):
                raise errors.StateConflict(f'wave {name} is {wave.state}')
            # Its last VM may have returned while it was paused.
            finished = state is waves.WaveState.RUNNING and wave.is_finished
            after = msgspec.structs.replace(
                wave, state=waves.WaveState.DONE if finished else state
            )
            operations = [
                change_log.create_operation(configuration, 'wave', name, after)
            ]
            if state is waves.WaveState.ABORTED:
                operations += _plan_abort(configuration, wave)
            return operations

        return await self.changes.commit(
            who=who, action=f'wave {state}', why=why, build=build
        )


def _check_expected_version(configuration, kind, name, expected_version):
    """Raise unless an object still has the version that the operator saw."""
    actual_version = configuration.get_version(kind, name)
    if expected_version not in (ANY_VERSION, actual_version):
        raise errors.VersionConflict(
            f'{kind} {name} has version {actual_version}, the change was '
            f'made from version {expected_version}'
        )


def _check_references(configuration, contract):
    """Check a contract against the other contracts and the pools.

    :raises errors.InvalidDocument: with a line for every error, such as an
        unknown pool or a service of another customer.
    """
    messages = contract_documents.find_contract_errors(contract)
    for service in contract.services:
        known = configuration.services.get(service.service)
        if known is not None and known[0].customer != contract.customer:
            messages.append(
                f'service {service.service} belongs to '
                f'{known[0].customer} already'
            )
        if configuration.get('pool', service.pool) is None:
            pools = ', '.join(sorted(configuration.objects['pool']))
            messages.append(
                f'service {service.service}: pool must be one of '
                f'{pools or "(none)"}, got {service.pool}'
            )
    if messages:
        raise errors.InvalidDocument('\n'.join(messages))


def _plan_vm(configuration, vm, document_pools):
    """Return the operations that create or change one VM of a document.

    :param document_pools: names of the pools in the same document.
    """
    if (
        vm.pool not in document_pools
        and configuration.get('pool', vm.pool) is None
    ):
        raise errors.InvalidDocument(
            f'vm {vm.vm}: pool {vm.pool} does not exist'
        )
    before = configuration.get('vm', vm.vm)
    if before is None:
        after = msgspec.structs.replace(
            vm, state=vms.VMState.SERVING, next_pool='', wave='', boot_id=''
        )
        return [change_log.create_operation(configuration, 'vm', vm.vm, after)]
    if before.pool != vm.pool:
        raise errors.StateConflict(
            f'vm {vm.vm} is in pool {before.pool}; use vm move'
        )
    after = msgspec.structs.replace(
        vm,
        state=before.state,
        next_pool=before.next_pool,
        wave=before.wave,
        boot_id=before.boot_id,
    )
    if after == before:
        return []
    return [change_log.create_operation(configuration, 'vm', vm.vm, after)]


def _check_overlap(configuration, wave):
    """Raise when a VM of a new wave is in another wave that is not over."""
    for other in configuration.objects['wave'].values():
        if other.state in (waves.WaveState.DONE, waves.WaveState.ABORTED):
            continue
        shared = sorted(set(other.vms) & set(wave.vms))
        if shared:
            raise errors.StateConflict(
                f'wave {other.wave} contains {", ".join(shared[:5])} already'
            )


def _plan_abort(configuration, wave):
    """Return operations that put the draining VMs of a wave into service."""
    operations = []
    for name in wave.vms:
        vm = configuration.get('vm', name)
        draining = vm is not None and vm.state is vms.VMState.DRAINING
        if draining and vm.wave == wave.wave:
            operations += vm_transitions.plan_return(configuration, name)
    return operations
