"""Divides the slots of a pool's VMs among members and teams.

Every member computes the division by itself; all of them use the same
digests, so they get the same result.
"""

import functools

import xxhash

from arbutusrock.contracts import shares
from arbutusrock.machines import vms as vm_module

__all__ = ['PoolSlots', 'assign_slots', 'divide_pool']


# Cached orders of members: one for each slot of each VM.
RANK_CACHE_SIZE = 20_000


def divide_pool(
    slots, weights, limits, demands, own_id, members, rounding_offset
):
    """Divide the slots of a pool among teams and members.

    Every member computes this from the same digests.

    :param slots: number of slots in the pool.
    :param weights: mapping of team to share.
    :param limits: mapping of team to upper limit.
    :param demands: mapping of ``(member, team)`` to the slots that it could
        use now.
    :param own_id: id of this member.
    :param members: ids of the live members, sorted.
    :param rounding_offset: number from 0 to 1 that shifts the rounding, so
        that over time every member gets its exact part.
    :returns: ``(quotas, team_slots)``: whole slots of each member; slots of
        each team on this member, as a real number.
    """
    total_demands = {}
    for (_, team), demand in demands.items():
        total_demands[team] = total_demands.get(team, 0) + demand
    weighted_demands = {
        team: shares.WeightedDemand(
            weight=weights.get(team, 1.0),
            demand=min(demand, limits.get(team, demand)),
        )
        for team, demand in total_demands.items()
    }
    slots_by_team = shares.divide_slots(weighted_demands, slots)
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
    """Assign the slots of a pool's VMs to members by their quotas.

    A hash ranks the members for each slot; the slot goes to the first one
    with quota left. So a small change of the quotas moves few slots.

    :param vms: mapping of VM name to slots.
    :param quotas: slots by member; at most all slots of the pool in sum.
    :returns: for each VM a mapping of member to slots.

    >>> assign_slots({'w1': 2, 'w2': 2}, {'a': 2, 'b': 2})
    {'w1': {'a': 1, 'b': 1}, 'w2': {'a': 1, 'b': 1}}
    """
    remaining = dict(quotas)
    members = tuple(sorted(quotas))
    assigned = {name: {} for name in vms}
    # Slot 0 of all VMs, then slot 1 and so on, so that each member's slots
    # are spread over the VMs.
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
    """Return the members in the order in which they may get a slot."""
    # One order for each VM, rotated by one for each slot, so that the slots
    # of a VM go to different members.
    order = sorted(
        members,
        key=lambda member: xxhash.xxh64_intdigest(f'{vm}\0{member}'.encode()),
    )
    rotation = slot_index % len(order)
    return tuple(order[rotation:] + order[:rotation])


class PoolSlots:
    """This member's slots in one pool and the tasks that run there.

    :param pool: name of the pool.
    :ivar slots_by_vm: this member's slots on each VM.
    :ivar running_by_vm: this member's running tasks on each VM.
    :ivar team_slots: slots of each team on this member, a real number.
    :ivar total_slots: slots of all members.
    :ivar quota: slots of this member.
    :ivar running_count: running tasks of this member.
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
        """Replace the division by a new one.

        :param vms: VMs that may get work, in name order.
        :param quotas: slots by member.
        :param team_slots: slots of each team on this member.
        :param own_id: id of this member.
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
        """Return the least loaded VM with a free slot of this member, or None.

        :param deprioritized_vms: names of VMs that are the last choice.
        """
        if self.running_count >= self.quota:
            # Tasks on slots that have moved to other members count too.
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
        """Count one task fewer on a VM."""
        self.running_count -= 1
        count = self.running_by_vm.get(vm, 0) - 1
        if count > 0:
            self.running_by_vm[vm] = count
        else:
            self.running_by_vm.pop(vm, None)


def find_usable_vms(configuration, pool, excluded_vms):
    """Return the VMs of a pool that may get work, in name order.

    :param excluded_vms: names of VMs that refuse or fail tasks now.
    """
    return [
        vm
        for vm in configuration.pool_vms.get(pool, ())
        if vm.state is vm_module.VMState.SERVING and vm.vm not in excluded_vms
    ]
