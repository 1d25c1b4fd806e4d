"""This member's part of the slots of one pool's workers."""

import functools

import xxhash

from arbutusrock.contracts import shares
from arbutusrock.machines import vms as vm_module

__all__ = ['PoolSlots', 'assign_slots', 'divide_pool']


RANK_CACHE_SIZE = 20_000


def divide_pool(
    slots, weights, limits, demands, own_id, members, rounding_offset
):
    """Divide a pool's slots by team and member.

    Every member works this out from the same digests.

    :param slots: number of slots.
    :param weights: mapping of team to share.
    :param limits: mapping of team to upper limit.
    :param demands: mapping of ``(member, team)`` to slots it could use.
    :param own_id: this member.
    :param members: ids of the live members, sorted.
    :param rounding_offset: number from 0 to 1 that shifts the rounding, so
        that over time everybody gets the exact part.
    :returns: ``(quotas, team_slots)``: slots by member; own part by team.
    """
    total_demands = {}
    for (_, team), demand in demands.items():
        total_demands[team] = total_demands.get(team, 0) + demand
    claims = {
        team: shares.WeightedDemand(
            weight=weights.get(team, 1.0),
            demand=min(demand, limits.get(team, demand)),
        )
        for team, demand in total_demands.items()
    }
    slots_by_team = shares.divide_slots(claims, slots)
    spare_per_member = max(0.0, slots - sum(slots_by_team.values())) / max(
        1, len(members)
    )
    quotas = dict.fromkeys(members, spare_per_member)
    team_slots = {}
    for (member, team), demand in demands.items():
        if not total_demands[team] or member not in quotas:
            continue
        member_slots = slots_by_team[team] * demand / total_demands[team]
        quotas[member] += member_slots
        if member == own_id:
            team_slots[team] = member_slots
    return shares.round_systematic(quotas, slots, rounding_offset), team_slots


def assign_slots(vms, quotas):
    """Give every member its quota of the slots of a pool.

    Each slot goes to the member that ranks first for it by a hash and has
    quota left, so a small change of the quotas moves few slots.

    :param vms: mapping of VM name to slots.
    :param quotas: slots by member; the sum is at most all slots.
    :returns: for each VM a mapping of member to slots.

    >>> assign_slots({'w1': 2, 'w2': 2}, {'a': 2, 'b': 2})
    {'w1': {'a': 1, 'b': 1}, 'w2': {'a': 1, 'b': 1}}
    """
    remaining = dict(quotas)
    members = tuple(sorted(quotas))
    assigned = {name: {} for name in vms}
    # Slot 0 of all VMs, then slot 1, so that parts are spread.
    for slot_index in range(max(vms.values(), default=0)):
        for name, slots in vms.items():
            if slot_index >= slots:
                continue
            for member in _rank_members(name, slot_index, members):
                if remaining[member] > 0:
                    remaining[member] -= 1
                    slots_by_member = assigned[name]
                    slots_by_member[member] = (
                        slots_by_member.get(member, 0) + 1
                    )
                    break
    return assigned


@functools.lru_cache(maxsize=RANK_CACHE_SIZE)
def _rank_members(vm, slot_index, members):
    """Return members in the order in which they get a slot."""
    # One order for each VM, turned for each slot: a VM's slots then go to
    # different members.
    order = sorted(
        members,
        key=lambda member: xxhash.xxh64_intdigest(f'{vm}\0{member}'.encode()),
    )
    rotation = slot_index % len(order)
    return tuple(order[rotation:] + order[:rotation])


class PoolSlots:
    """Which workers of a pool this member may send work to.

    :param pool: name of the pool.
    """

    __slots__ = (
        'pool',
        'slots_by_vm',
        'vms',
        'running_by_vm',
        'team_slots',
        'total_slots',
        'quota',
        'running_count',
    )

    def __init__(self, *, pool):
        self.pool = pool
        self.slots_by_vm = {}
        self.vms = {}
        self.running_by_vm = {}
        self.team_slots = {}
        self.total_slots = 0
        self.quota = 0
        self.running_count = 0

    def update(self, vms, quotas, team_slots, own_id):
        """Take over a new division.

        :param vms: VMs that may get work, in name order.
        """
        assigned = assign_slots({vm.vm: vm.slots for vm in vms}, quotas)
        self.vms = {vm.vm: vm for vm in vms}
        self.slots_by_vm = {
            name: slots_by_member.get(own_id, 0)
            for name, slots_by_member in assigned.items()
        }
        self.team_slots = team_slots
        self.total_slots = sum(vm.slots for vm in vms)
        self.quota = sum(self.slots_by_vm.values())

    def find_vm(self, deprioritized_vms=()):
        """Return the least busy VM with a slot for this member, or None.

        :param deprioritized_vms: names taken only when no other VM is free.
        """
        if self.running_count >= self.quota:
            # Tasks on slots that passed to other members count as well.
            return None
        best = None
        for name, slot_count in self.slots_by_vm.items():
            running = self.running_by_vm.get(name, 0)
            if running >= slot_count:
                continue
            rank = (name in deprioritized_vms, running / slot_count)
            if best is None or rank < best[0]:
                best = (rank, name)
        return self.vms[best[1]] if best else None

    def acquire(self, vm):
        """Count one more task on a VM."""
        self.running_by_vm[vm] = self.running_by_vm.get(vm, 0) + 1
        self.running_count += 1

    def release(self, vm):
        """Count one task less on a VM."""
        self.running_count -= 1
        count = self.running_by_vm.get(vm, 0) - 1
        if count > 0:
            self.running_by_vm[vm] = count
        else:
            self.running_by_vm.pop(vm, None)


def find_usable_vms(configuration, pool, excluded_vms):
    """Return the VMs of a pool that may get work, in name order.

    :param excluded_vms: names that refuse or fail now.
    """
    return [
        vm
        for vm in configuration.pool_vms.get(pool, ())
        if vm.state is vm_module.VMState.SERVING and vm.vm not in excluded_vms
    ]
