"""Reservations of room for work that fits nowhere now.

Load: tasks that take a third of a VM or more, gangs and steps bound to a
label wait beside a stream of small tasks. Each gap that a small run leaves is
at once too small for them and large enough for the next small one, so that
they wait as long as small ones arrive. The first of them therefore get the
VMs that will have room for them first, by the expected ends of what runs
there. Work of a lower rank goes there only if it fits beside them, ends
before, or would lose more by waiting than they win.

Reservations are planned anew in short intervals, so that they move when the
estimates prove wrong; nothing of them is stored.
"""

import bisect
import heapq
import math

__all__ = [
    'Claim',
    'Reservation',
    'Room',
    'is_large',
    'may_backfill',
    'plan_reservations',
]

# Demand over the capacity of a VM from which a task counts as large. Above a
# quarter, the room for it comes from several runs that end on one VM, or from
# one of the few that are large themselves.
LARGE_FRACTION = 0.25
# Steps that get reservations at the same time in one pool.
MAX_HEADS = 4
# Fraction of the VMs of a pool that may be reserved, for all steps and for
# those of one account; one VM may be in any pool, and a gang may have half.
MAX_VM_FRACTION = 0.25
MAX_ACCOUNT_VM_FRACTION = 0.125
MAX_GANG_VM_FRACTION = 0.5
# VMs that may be reserved in one pool, as each is compared with each waiting
# step.
MAX_VMS = 12
# Another VM must have room this much earlier for a reservation to move there,
# as estimates change a little with each report.
MOVE_MARGIN_S = 0.1
# Times for a gang are tried in steps of this size.
GANG_TIME_STEP_S = 0.05
# No room is reserved for a gang that would have to wait longer, which also
# bounds the times that are tried when the end of a run is not finite.
MAX_GANG_WAIT_S = 86_400.0


class Room:
    """What is free on a VM now and will be when its runs end.

    :param key: id of the worker.
    :param free: ``(millicores, memory_mb, accelerators)``; with runs that
        have shrunk the VM below what they use, some may be negative.
    :param ends: for each run with an expected end ``(end_s, millicores,
        memory_mb, accelerators)``; long-running ones are left out.
    """

    __slots__ = ('key', 'taken', '_times_s', '_free')

    def __init__(self, *, key, free, ends):
        self.key = key
        # Demand of the reservations on it.
        self.taken = (0, 0, 0)
        ends = sorted(ends)
        self._times_s = [-math.inf, *(end[0] for end in ends)]
        columns = [[amount] for amount in free]
        for end in ends:
            for column, amount in zip(columns, end[1:], strict=True):
                column.append(column[-1] + amount)
        self._free = columns

    def find_time(self, demand):
        """Return when ``demand`` has room beside the reservations.

        :returns: -inf for at once, inf for never.
        """
        index = 0
        for column, taken, amount in zip(
            self._free, self.taken, demand, strict=True
        ):
            # A demand of 0 has room everywhere, also on a VM that shrank.
            if amount and column[index] < taken + amount:
                index = bisect.bisect_left(column, taken + amount, index)
                if index == len(column):
                    return math.inf
        return self._times_s[index]

    @property
    def last_end_s(self):
        """When its last run is expected to end."""
        return self._times_s[-1]

    def get_free(self, at_s):
        """Return what is free at a time beside the reservations."""
        index = bisect.bisect_right(self._times_s, at_s) - 1
        return tuple(
            column[index] - taken
            for column, taken in zip(self._free, self.taken, strict=True)
        )

    def count_fitting(self, demand, at_s):
        """Return how many times ``demand`` fits at a time."""
        return min(
            (
                max(0, free) // amount
                for free, amount in zip(
                    self.get_free(at_s), demand, strict=True
                )
                if amount
            ),
            default=1,
        )

    def take(self, demand, count=1):
        """Reserve room for ``count`` tasks."""
        self.taken = tuple(
            taken + amount * count
            for taken, amount in zip(self.taken, demand, strict=True)
        )


class Claim:
    """A waiting step that fits nowhere now.

    :param key: of the step.
    :param account: client account, for the bounds.
    :param demand: of each task, as in :class:`Room`.
    :param count: number of waiting tasks.
    :param gang: whether they need their room at the same time.
    :param eligible: ids of the workers that may run them.
    :param most_per_worker: maximum of its tasks on one VM; 0 for no bound.
    :param kept: ids of the workers that it has reserved so far.
    :param gain: what callers win if it starts in time.
    """

    __slots__ = (
        'key',
        'account',
        'demand',
        'count',
        'gang',
        'eligible',
        'most_per_worker',
        'kept',
        'gain',
    )

    def __init__(
        self,
        *,
        key,
        account,
        demand,
        count,
        gang=False,
        eligible,
        most_per_worker=0,
        kept=frozenset(),
        gain=math.inf,
    ):
        self.key = key
        self.account = account
        self.demand = demand
        self.count = count
        self.gang = gang
        self.eligible = eligible
        self.most_per_worker = most_per_worker
        self.kept = kept
        self.gain = gain


class Reservation:
    """Room on one VM for tasks of a claim.

    :param claim: :class:`Claim`.
    :param worker_id: id of the worker.
    :param ready_at_s: when the room is expected.
    :param count: tasks that it is for.
    :param spare: what is expected to be free then beside them, as in
        :class:`Room`.
    """

    __slots__ = ('claim', 'worker_id', 'ready_at_s', 'count', 'spare')

    def __init__(self, *, claim, worker_id, ready_at_s, count, spare):
        self.claim = claim
        self.worker_id = worker_id
        self.ready_at_s = ready_at_s
        self.count = count
        self.spare = spare

    def take_spare(self, demand):
        """Note a run that will not have ended when the room is expected."""
        self.spare = tuple(
            spare - amount
            for spare, amount in zip(self.spare, demand, strict=True)
        )


def is_large(demand, capacity):
    """Return whether a task takes a large part of a VM.

    :param demand: :class:`Resources` of the task.
    :param capacity: :class:`Resources` of the VM.
    """
    return (
        demand.cpu > LARGE_FRACTION * capacity.cpu
        or demand.memory_mb > LARGE_FRACTION * capacity.memory_mb
        or demand.accelerators > LARGE_FRACTION * capacity.accelerators
    )


def plan_reservations(rooms, claims, *, now_s, vm_count, max_heads=MAX_HEADS):
    """Return the reservations of the first claims that get any.

    :param rooms: :class:`Room` by worker id; reservations are taken off.
    :param claims: each :class:`Claim`, the first in rank first.
    :param vm_count: number of VMs of the pool.
    :param max_heads: number of claims that get reservations.
    :returns: list of :class:`Reservation`; claims that have room at once need
        none.
    """
    planned, heads = [], 0
    max_vms = min(MAX_VMS, max(1, int(vm_count * MAX_VM_FRACTION)))
    max_account_vms = max(1, int(vm_count * MAX_ACCOUNT_VM_FRACTION))
    vms_by_account = {}
    for claim in claims:
        if heads == max_heads:
            break
        account_vms = vms_by_account.setdefault(claim.account, set())
        all_vms = set().union(*vms_by_account.values())
        if claim.gang:
            found = _plan_gang(rooms, claim, now_s, vm_count)
        else:
            found = _plan_tasks(
                rooms,
                claim,
                now_s,
                min(
                    max_vms - len(all_vms),
                    max_account_vms - len(account_vms),
                ),
            )
        if found:
            heads += 1
            planned.extend(found)
            account_vms.update(item.worker_id for item in found)
    for item in planned:
        item.spare = rooms[item.worker_id].get_free(item.ready_at_s)
    return planned


def _create(claim, room, ready_at_s, count):
    return Reservation(
        claim=claim,
        worker_id=room.key,
        ready_at_s=ready_at_s,
        count=count,
        spare=(0, 0, 0),
    )


def _plan_tasks(rooms, claim, now_s, max_vms):
    """Return the reservations of tasks that may start one by one."""
    heap = []
    for key in claim.eligible:
        time_s = rooms[key].find_time(claim.demand)
        if time_s < math.inf:
            margin_s = MOVE_MARGIN_S if key in claim.kept else 0.0
            heap.append((time_s - margin_s, key, time_s))
    heapq.heapify(heap)
    found = {}
    for _ in range(claim.count):
        if not heap:
            break
        _, key, time_s = heap[0]
        room = rooms[key]
        if time_s > now_s and key not in found:
            if len(found) >= max_vms:
                break
            found[key] = _create(claim, room, time_s, 0)
        room.take(claim.demand)
        if key in found:
            found[key].count += 1
            found[key].ready_at_s = max(found[key].ready_at_s, time_s)
        time_s = room.find_time(claim.demand)
        count = found[key].count if key in found else 1
        if time_s == math.inf or count == claim.most_per_worker:
            heapq.heappop(heap)
        else:
            heapq.heapreplace(heap, (time_s, key, time_s))
    return list(found.values())


def _plan_gang(rooms, claim, now_s, vm_count):
    """Return the reservations of tasks that have to start together."""
    eligible = [rooms[key] for key in claim.eligible]

    def count_at(room, at_s):
        count = room.count_fitting(claim.demand, at_s)
        return min(count, claim.most_per_worker or count)

    def fits_at(at_s):
        return sum(count_at(room, at_s) for room in eligible) >= claim.count

    last_s = min(
        max((room.last_end_s for room in eligible), default=now_s),
        now_s + MAX_GANG_WAIT_S,
    )
    if fits_at(now_s) or not fits_at(last_s):
        return []
    steps = range(math.ceil((last_s - now_s) / GANG_TIME_STEP_S))
    index = bisect.bisect_left(
        steps, True, key=lambda i: fits_at(now_s + i * GANG_TIME_STEP_S)
    )
    ready_at_s = min(last_s, now_s + index * GANG_TIME_STEP_S)
    counts = [(count_at(room, ready_at_s), room) for room in eligible]
    counts.sort(key=lambda item: (-item[0], item[1].key not in claim.kept))
    found, left = [], claim.count
    for count, room in counts:
        used = min(count, left)
        if not used:
            break
        found.append((room, used))
        left -= used
    most = min(MAX_VMS, max(1, int(vm_count * MAX_GANG_VM_FRACTION)))
    if len(found) > most:
        return []
    for room, used in found:
        room.take(claim.demand, used)
    return [_create(claim, room, ready_at_s, used) for room, used in found]


def may_backfill(reservations, demand, end_s):
    """Return whether work may go to a VM beside its reservations.

    It has room now; this asks whether the reserved tasks still have theirs
    when it is expected.

    :param reservations: those on the VM that go before it.
    :param demand: of the work, as in :class:`Room`.
    :param end_s: when it will have ended, by an upper estimate.
    """
    return all(
        end_s <= item.ready_at_s
        or all(
            amount <= spare
            for spare, amount in zip(item.spare, demand, strict=True)
            if amount
        )
        for item in reservations
    )
