"""State transitions of VMs: drain, move, return and reboot.

Each ``plan_`` function checks a transition against a configuration and returns
the operations of one change; nothing is written here. The two that complete a
transition return none when another member has done so already.
"""

import msgspec

from arbutusrock.contracts import change_log
from arbutusrock import errors
from arbutusrock.machines import budgets
from arbutusrock.machines import vms
from arbutusrock.machines import waves

__all__ = [
    'plan_drain',
    'plan_after_drain',
    'plan_after_reboot',
    'plan_return',
]


def find_vm(configuration, name):
    """Return the VM with the given name.

    :raises errors.NotFound: when there is no such VM.
    """
    vm = configuration.get('vm', name)
    if vm is None:
        raise errors.NotFound(f'VM {name}')
    return vm


def plan_drain(configuration, name, unhealthy, *, next_pool='', wave=''):
    """Return operations that begin to drain a VM.

    :param unhealthy: names of VMs that count as out of service though their
        state is ``serving``.
    :param next_pool: pool to join after the drain, for a move.
    :param wave: maintenance wave that drains the VM, for a reboot.
    :raises errors.BudgetExceeded: when too many VMs of the pool are out of
        service already.
    :raises errors.StateConflict: when the VM is not serving, or is in
        ``next_pool`` already.
    """
    vm = find_vm(configuration, name)
    if vm.state is not vms.VMState.SERVING:
        raise errors.StateConflict(f'VM {name} is {vm.state} already')
    if next_pool:
        if configuration.get('pool', next_pool) is None:
            raise errors.NotFound(f'pool {next_pool}')
        if next_pool == vm.pool:
            raise errors.StateConflict(f'VM {name} is in {next_pool} already')
    budgets.check_budget(configuration, vm, unhealthy)
    after = msgspec.structs.replace(
        vm, state=vms.VMState.DRAINING, next_pool=next_pool, wave=wave
    )
    return [change_log.create_operation(configuration, 'vm', name, after)]


def plan_after_drain(configuration, name, boot_id):
    """Return operations that end the drain of a VM on which nothing runs.

    In a move, the VM serves its next pool; in a wave, it is rebooted;
    otherwise it stays drained.

    :param boot_id: boot id that the platform lists before the reboot.
    """
    vm = find_vm(configuration, name)
    if vm.state is not vms.VMState.DRAINING:
        return []
    if vm.next_pool:
        after = msgspec.structs.replace(
            vm,
            pool=vm.next_pool,
            state=vms.VMState.SERVING,
            next_pool='',
        )
    elif vm.wave:
        after = msgspec.structs.replace(
            vm, state=vms.VMState.REBOOTING, boot_id=boot_id
        )
    else:
        after = msgspec.structs.replace(vm, state=vms.VMState.DRAINED)
    return [change_log.create_operation(configuration, 'vm', name, after)]


def plan_return(configuration, name):
    """Return operations that put a draining or drained VM back into service.

    :raises errors.StateConflict: when the VM is in another state.
    """
    vm = find_vm(configuration, name)
    if vm.state not in (vms.VMState.DRAINING, vms.VMState.DRAINED):
        raise errors.StateConflict(
            f'VM {name} is {vm.state}; only draining or drained VMs return'
        )
    after = msgspec.structs.replace(
        vm, state=vms.VMState.SERVING, next_pool='', wave=''
    )
    return [change_log.create_operation(configuration, 'vm', name, after)]


def plan_after_reboot(configuration, name):
    """Return operations that put a VM back into service after its reboot.

    The wave ends with its last VM. A paused or aborted wave keeps its state.
    """
    vm = find_vm(configuration, name)
    if vm.state is not vms.VMState.REBOOTING:
        return []
    after = msgspec.structs.replace(
        vm, state=vms.VMState.SERVING, wave='', boot_id=''
    )
    operations = [
        change_log.create_operation(configuration, 'vm', name, after)
    ]
    wave = configuration.get('wave', vm.wave)
    if wave is not None and name not in wave.done:
        wave = msgspec.structs.replace(wave, done=[*wave.done, name])
        state = wave.state
        if wave.is_finished and state is waves.WaveState.RUNNING:
            state = waves.WaveState.DONE
        operations.append(
            change_log.create_operation(
                configuration,
                'wave',
                wave.wave,
                msgspec.structs.replace(wave, state=state),
            )
        )
    return operations
