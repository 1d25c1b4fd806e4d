"""Duration of single control operations at growing sizes.

``bench_capacity`` prints these next to the idle cost of a daemon.
"""

import time

from arbutusrock import contracts
from arbutusrock.contracts import configuration as configuration_module
from arbutusrock.jobs import slots
from arbutusrock.machines import vms

__all__ = ['print_costs']

ROUNDS = 20
TEAM_COUNT = 29
MEMBER_COUNT = 16


def measure_min_ms(function):
    """Return the shortest duration of several calls, in milliseconds."""
    min_s = float('inf')
    for _ in range(ROUNDS):
        start_s = time.perf_counter()
        function()
        min_s = min(min_s, time.perf_counter() - start_s)
    return min_s * 1000


def divide(workers):
    """Divide one pool of ``workers`` VMs with 8 slots each.

    The slots go to all teams and members, as one member computes it, and
    then the slots of each VM to members.
    """
    vm_slots = {f'w{i}': 8 for i in range(workers)}
    members = [f'm{i}' for i in range(MEMBER_COUNT)]
    demands = {
        (member, f't{team}'): 1 + (team * 7 + len(member)) % 9
        for member in members
        for team in range(TEAM_COUNT)
    }
    quotas, _ = slots.divide_pool(
        sum(vm_slots.values()),
        {f't{i}': 1.0 + i for i in range(TEAM_COUNT)},
        {},
        demands,
        members[0],
        members,
        0.5,
    )
    slots.assign_slots(vm_slots, quotas)


def apply_configuration(count):
    """Apply a change to a configuration of ``count`` VMs.

    This rebuilds the indexes of the configuration.
    """
    configuration = configuration_module.Configuration()
    configuration.objects['vm'] = {
        f'vm-{i}': vms.VM(
            vm=f'vm-{i}', pool=f'pool-{i % 54}', address='127.0.0.1', port=9
        )
        for i in range(count)
    }
    configuration.apply(
        contracts.Change(version=1, change_id='x', at_s=0, who='', action='')
    )


def print_costs():
    """Print the durations of dividing a pool and of applying a change."""
    for workers in (4, 8, 16, 32):
        cost_ms = measure_min_ms(lambda workers=workers: divide(workers))
        print(f'divide a pool of {workers} workers: {cost_ms:.2f} ms')
    for count in (100, 300, 600, 870):
        cost_ms = measure_min_ms(
            lambda count=count: apply_configuration(count)
        )
        print(f'apply a change with {count} VMs: {cost_ms:.2f} ms')


if __name__ == '__main__':
    print_costs()
