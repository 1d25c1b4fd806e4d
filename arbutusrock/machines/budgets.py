"""Availability budgets: how many VMs of a pool may be out of service.

Load: drains, moves and maintenance waves take VMs out of service while others
fail. All of them use up the same budget of the pool, so that failures delay
planned work and do not add to it.
"""

from arbutusrock import errors
from arbutusrock.machines import vms

__all__ = ['check_budget', 'find_unavailable']


def find_unavailable(configuration, pool, unhealthy):
    """Return the names of a pool's VMs that are out of service.

    :param unhealthy: names of VMs that are gone, leaving, ejected or
        refusing tasks; a VM that is not in state ``serving`` counts anyway.
    """
    return {
        vm.vm
        for vm in configuration.pool_vms.get(pool, ())
        if vm.state is not vms.VMState.SERVING or vm.vm in unhealthy
    }


def check_budget(configuration, vm, unhealthy):
    """Raise when taking ``vm`` out of service would exceed its pool's budget.

    A VM that is out of service already counts only once, so it passes.

    :param unhealthy: as in :func:`find_unavailable`.
    :raises errors.BudgetExceeded: naming the VMs that use up the budget.
    """
    pool = configuration.get('pool', vm.pool)
    unavailable = find_unavailable(configuration, vm.pool, unhealthy)
    if vm.vm in unavailable:
        return
    if len(unavailable) + 1 > pool.max_unavailable:
        raise errors.BudgetExceeded(
            f'pool {pool.pool} allows {pool.max_unavailable} VMs out of '
            f'service; out now: {", ".join(sorted(unavailable)) or "none"}; '
            f'{vm.vm} would be one more',
            retry_after=10,
        )
