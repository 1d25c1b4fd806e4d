"""Decides which waiting work starts next, and on which VM.

The teams of a pool start work by weighted fair queueing, with their slots as
weights; within a team, urgent work goes before patient work.
"""

import asyncio
from collections import OrderedDict

from arbutusrock import contracts
from arbutusrock import errors
from arbutusrock.jobs import slots as slots_module
from arbutusrock.links import messages
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['Dispatcher']

# One start in so many goes to patient work even while urgent work waits.
STARTS_PER_PATIENT_START = 16
RUN_DURATION_EWMA_WEIGHT = 0.1
INITIAL_RUN_DURATION_S = 0.1
MIN_RETRY_AFTER_S = 0.5
NO_WORKER_RETRY_AFTER_S = 2.0
ROUNDING_PERIOD_S = 1.0
MIN_TEAM_WEIGHT = 0.01
DEFAULT_TEAM_WEIGHT = 1.0
# The fractional parts of its multiples spread evenly over 0 to 1.
GOLDEN_RATIO = 0.6180339887498949
LOG = logs.get_log('dispatch')


class _TeamQueue:
    """Waiting work of one team in one pool."""

    __slots__ = (
        'name',
        'urgent',
        'patient',
        'running',
        'avg_run_duration_s',
        'start_count',
        'demand',
        'need',
        'reported_demand',
        'start_tag',
    )

    def __init__(self, *, name):
        self.name = name
        # Ordered mappings, to remove a cancelled request in constant time.
        self.urgent = OrderedDict()
        self.patient = OrderedDict()
        self.running = 0
        self.avg_run_duration_s = INITIAL_RUN_DURATION_S
        self.start_count = 0
        self.demand = 0
        self.need = 0
        self.reported_demand = 0
        # Virtual time of the next start of this team, see _choose_team.
        self.start_tag = 0.0

    @property
    def waiting(self):
        return len(self.urgent) + len(self.patient)

    def choose_priority_queue(self):
        """Return the queue, urgent or patient, of the next start."""
        if not self.urgent:
            return self.patient
        is_patient_turn = (
            self.start_count % STARTS_PER_PATIENT_START
            == STARTS_PER_PATIENT_START - 1
        )
        if self.patient and is_patient_turn:
            return self.patient
        return self.urgent


class _PoolQueues:
    """The slots and the waiting work of one pool."""

    __slots__ = ('slots', 'teams', 'needs_division', 'virtual_time_s')

    def __init__(self, *, pool):
        self.slots = slots_module.PoolSlots(pool=pool)
        self.teams = {}
        self.needs_division = True
        self.virtual_time_s = 0.0


class Dispatcher:
    """Queues the waiting work of this member and grants slots to it.

    :param configuration: the configuration in force.
    :param members: :class:`arbutusrock.machines.Members`.
    :param permits: :class:`arbutusrock.contracts.permits.PermitController`.
    :param health: :class:`arbutusrock.machines.health.WorkerHealth`.
    """

    def __init__(self, *, configuration, members, permits, health):
        self.configuration = configuration
        self.members = members
        self.permits = permits
        self.health = health
        self.pools = {}
        self.waiting_by_queue = {}
        self._needs = {}
        self._slot_holders = set()
        self._closed = False

    async def acquire(self, work):
        """Wait until ``work`` may start; it then holds a slot and a permit.

        :raises errors.CapacityRefused: when it cannot start in time.
        """
        self._check_admission(work)
        pool = self._get_pool(work.pool)
        team = self._get_team(pool, work.team_name)
        work.slot_future = asyncio.get_running_loop().create_future()
        priority_queue = team.patient if work.patient else team.urgent
        if not team.waiting:
            # An idle team gains no credit: its slots were lent to others.
            team.start_tag = max(team.start_tag, pool.virtual_time_s)
        priority_queue[work] = None
        self._adjust_waiting(work, 1)
        self._adjust_demand(pool, work.team_name, 1)
        self.dispatch_pool(work.pool)
        if not work.slot_future.done():
            await self._wait_for_slot(work, pool, team, priority_queue)
        elif work.slot_future.exception() is not None:
            raise work.slot_future.exception()
        return work.vm

    async def _wait_for_slot(self, work, pool, team, priority_queue):
        timer = None
        if work.deadline_at_s is not None:
            loop = asyncio.get_running_loop()
            remaining_s = max(0.0, work.deadline_at_s - clocks.now_s())
            timer = loop.call_later(remaining_s, self._expire, work)
        try:
            await work.slot_future
        except asyncio.CancelledError:
            if work.holds_slot:
                self.release(work)
            raise
        finally:
            if timer is not None:
                timer.cancel()
            if work in priority_queue:
                self._remove_waiting(pool, priority_queue, work)

    def _remove_waiting(self, pool, priority_queue, work):
        del priority_queue[work]
        self._adjust_waiting(work, -1)
        self._adjust_demand(pool, work.team_name, -1)

    def _expire(self, work):
        if not work.slot_future.done():
            work.slot_future.set_exception(
                errors.DeadlineUnreachable(
                    f'no free slot for {work.team_name} in pool {work.pool}',
                    retry_after=self.estimate_wait_s(work),
                )
            )

    def _check_admission(self, work):
        queue = work.queue
        waiting = self.waiting_by_queue.get(_get_queue_key(work), 0)
        wait_s = self.estimate_wait_s(work)
        if not work.durable and waiting >= queue.max_waiting:
            raise errors.QueueFull(
                f'queue {queue.queue} holds {waiting} requests',
                retry_after=wait_s,
            )
        pool = self._get_pool(work.pool)
        if pool.needs_division:
            self._divide(work.pool, pool)
        if not pool.slots.total_slots:
            raise errors.NoWorker(
                f'pool {work.pool} has no VM in service',
                retry_after=NO_WORKER_RETRY_AFTER_S,
            )
        if self.configuration.get_limit(work.team_name) == 0:
            raise errors.DeadlineUnreachable(
                f'the upper limit of {work.team_name} is 0', retry_after=60
            )
        if work.deadline_at_s is None or not waiting:
            return
        if clocks.now_s() + wait_s > work.deadline_at_s:
            raise errors.DeadlineUnreachable(
                f'{waiting} requests wait in queue {queue.queue}; the '
                f'expected wait is {wait_s:.1f} s',
                retry_after=wait_s,
            )

    def estimate_wait_s(self, work):
        """Return the wait expected from past, not declared, run durations."""
        pool = self._get_pool(work.pool)
        team = self._get_team(pool, work.team_name)
        ahead = team.waiting if work.patient else len(team.urgent)
        parallel = max(
            1.0, team.running, pool.slots.team_slots.get(work.team_name, 0)
        )
        limit = max(1, self.configuration.get_limit(work.team_name))
        wait_s = (ahead + 1) * team.avg_run_duration_s / min(parallel, limit)
        return max(MIN_RETRY_AFTER_S, round(wait_s, 2))

    def record_running(self, work):
        """Record work that runs already; it takes its slot without a wait."""
        pool = self._get_pool(work.pool)
        team = self._get_team(pool, work.team_name)
        team.running += 1
        pool.slots.acquire(work.vm.vm)
        self.permits.record_running_task(work.team_name)
        self._adjust_demand(pool, work.team_name, 1)
        work.holds_slot = True
        work.started_at_s = clocks.now_s()
        self._slot_holders.add(work)

    def has_slot(self, task_id):
        """Return whether a task, or an earlier try of it, holds a slot."""
        return any(work.task_id == task_id for work in self._slot_holders)

    def release(self, work):
        """Release the slot and permit of work that has certainly ended."""
        if not work.holds_slot:
            return
        work.holds_slot = False
        self._slot_holders.discard(work)
        pool = self._get_pool(work.pool)
        team = self._get_team(pool, work.team_name)
        team.running -= 1
        run_s = clocks.now_s() - work.started_at_s
        team.avg_run_duration_s += RUN_DURATION_EWMA_WEIGHT * (
            run_s - team.avg_run_duration_s
        )
        pool.slots.release(work.vm.vm)
        self.permits.release(work.team_name)
        self._adjust_demand(pool, work.team_name, -1)
        self.dispatch_pool(work.pool)

    def dispatch_team(self, name):
        """Start the waiting work that new permits of a team allow."""
        for pool_name, pool in self.pools.items():
            if name in pool.teams:
                self.dispatch_pool(pool_name)

    def dispatch_pool(self, pool_name):
        """Start as much waiting work of a pool as slots and permits allow."""
        pool = self.pools.get(pool_name)
        if pool is None or self._closed:
            return
        if pool.needs_division:
            self._divide(pool_name, pool)
        blocked = set()
        while True:
            team = self._choose_team(pool, blocked)
            if team is None:
                return
            priority_queue = team.choose_priority_queue()
            work = next(iter(priority_queue))
            if work.slot_future.done():
                self._remove_waiting(pool, priority_queue, work)
                continue
            vm = pool.slots.find_vm(work.tried_vms)
            if vm is None:
                return
            if not self.permits.try_acquire(team.name):
                blocked.add(team.name)
                continue
            self._grant_slot(pool, team, priority_queue, work, vm)

    def _grant_slot(self, pool, team, priority_queue, work, vm):
        del priority_queue[work]
        self._adjust_waiting(work, -1)
        pool.virtual_time_s = max(pool.virtual_time_s, team.start_tag)
        team.start_tag += team.avg_run_duration_s / self._get_weight(
            pool, team.name
        )
        team.running += 1
        team.start_count += 1
        pool.slots.acquire(vm.vm)
        work.vm = vm
        work.holds_slot = True
        self._slot_holders.add(work)
        work.started_at_s = clocks.now_s()
        work.slot_future.set_result(vm)

    def _choose_team(self, pool, blocked):
        """Return the waiting team with the lowest start tag, or None.

        Start-time fair queueing (Goyal, Vin and Cheng, 1996): a start adds the
        duration over the slots, so a part under one slot is exact over time.
        """
        best = None
        for name, team in pool.teams.items():
            if name in blocked or not team.waiting:
                continue
            if best is None or team.start_tag < best.start_tag:
                best = team
        return best

    def _get_weight(self, pool, name):
        """Return a team's weight: its slots, or one until they are divided."""
        own_slots = pool.slots.team_slots.get(name)
        return (
            DEFAULT_TEAM_WEIGHT
            if own_slots is None
            else max(MIN_TEAM_WEIGHT, own_slots)
        )

    def divide_all_pools(self, *_):
        """Divide all pools again and start the work that is now possible."""
        for name in list(self.pools):
            self.pools[name].needs_division = True
            self._fail_withdrawn_keys(self.pools[name])
            self.dispatch_pool(name)

    def _divide(self, pool_name, pool):
        pool.needs_division = False
        own_id = self.members.member_id
        vms = slots_module.find_usable_vms(
            self.configuration, pool_name, self.health.find_excluded(pool_name)
        )
        members = self.members.find_live()
        demands = self._collect_demands(pool_name, pool, members)
        teams = self.configuration.teams
        quotas, team_slots = slots_module.divide_pool(
            sum(vm.slots for vm in vms),
            {name: team.share for name, team in teams.items()},
            {name: team.limit for name, team in teams.items()},
            demands,
            own_id,
            members,
            _get_rounding_offset(),
        )
        pool.slots.update(vms, quotas, team_slots, own_id)

    def _collect_demands(self, pool_name, pool, members):
        own_id = self.members.member_id
        demands = {}
        for name, team in pool.teams.items():
            # The demand that peers know: members that count their own newest
            # demand against older ones of others would ask for too many slots.
            demand = (
                team.reported_demand
                if self.members.peers.links
                else team.demand
            )
            if demand:
                demands[(own_id, name)] = demand
        for member_id in members:
            link = self.members.peers.links.get(member_id)
            for row in link.demand if link is not None else ():
                if row.pool == pool_name:
                    name = contracts.TeamName(row.customer, row.team)
                    demands[(member_id, name)] = row.slot_demand
        return demands

    def _fail_withdrawn_keys(self, pool):
        """Refuse waiting requests whose key was withdrawn."""
        for team in pool.teams.values():
            for work in (*team.urgent, *team.patient):
                if work.slot_future.done() or not work.secret_hash:
                    continue
                if self.configuration.find_key(work.secret_hash) is None:
                    work.slot_future.set_exception(
                        errors.KeyRefused(
                            'the key was withdrawn while the request waited'
                        )
                    )

    def report_demand(self):
        """Return the demand for the digest and record it as reported."""
        for pool in self.pools.values():
            for team in pool.teams.values():
                team.reported_demand = team.demand
        return self.list_demand()

    def list_demand(self):
        """Return a list of :class:`messages.TeamDemand` for the digest."""
        now = clocks.now_s()
        rows = []
        for pool_name, pool in self.pools.items():
            for name, team in pool.teams.items():
                permits = self.permits.get_local_permits(name)
                if not (team.running or team.waiting or permits):
                    continue
                rows.append(
                    messages.TeamDemand(
                        pool=pool_name,
                        customer=name.customer,
                        team=name.team,
                        running=team.running,
                        urgent=len(team.urgent),
                        patient=len(team.patient),
                        permits=permits,
                        need=self._needs.get(name, 0),
                        oldest_s=_get_oldest_age_s(team, now),
                    )
                )
        return rows

    def count_running_out_of_service(self):
        """Return the numbers of running tasks by VM out of service."""
        busy = {}
        for pool in self.pools.values():
            for name, count in pool.slots.running_by_vm.items():
                if name not in pool.slots.vms:
                    busy[name] = count
        return busy

    def get_oldest_age_s(self, name):
        """Return the age of a team's oldest waiting work in seconds."""
        now = clocks.now_s()
        return max(
            (
                _get_oldest_age_s(pool.teams[name], now)
                for pool in self.pools.values()
                if name in pool.teams
            ),
            default=0.0,
        )

    def count_running_on(self, vm):
        """Return the number of this member's running tasks on a VM."""
        return sum(
            pool.slots.running_by_vm.get(vm, 0) for pool in self.pools.values()
        )

    def count_running(self):
        """Return the number of running tasks of this member."""
        return sum(
            team.running
            for pool in self.pools.values()
            for team in pool.teams.values()
        )

    def count_waiting(self):
        """Return the number of waiting requests and jobs of this member."""
        return sum(
            team.waiting
            for pool in self.pools.values()
            for team in pool.teams.values()
        )

    def _adjust_waiting(self, work, change):
        if work.durable:
            return
        queue = _get_queue_key(work)
        count = self.waiting_by_queue.get(queue, 0) + change
        self.waiting_by_queue[queue] = count

    def _adjust_demand(self, pool, name, change):
        """Change the demand; tell the permits, and peers if work waits."""
        team = pool.teams[name]
        team.demand += change
        # More permits than slots would only keep other members from running.
        max_need = max(pool.slots.quota, team.running) + 1
        need = min(team.demand, max_need)
        if need != team.need:
            total_need = self._needs.get(name, 0) + need - team.need
            self._needs[name] = total_need
            team.need = need
            self.permits.set_need(name, total_need)
        if team.waiting and pool.slots.quota < pool.slots.total_slots:
            self.members.request_digest()

    def _get_pool(self, name):
        pool = self.pools.get(name)
        if pool is None:
            pool = self.pools[name] = _PoolQueues(pool=name)
        return pool

    def _get_team(self, pool, name):
        team = pool.teams.get(name)
        if team is None:
            team = pool.teams[name] = _TeamQueue(name=name)
            pool.needs_division = True
        return team


def _get_rounding_offset():
    """Return the rounding offset of this moment, the same on all members."""
    # Members whose clocks differ disagree about single slots for a moment.
    return int(clocks.wall_time_s() / ROUNDING_PERIOD_S) * GOLDEN_RATIO % 1.0


def _get_queue_key(work):
    return (work.team_name.customer, work.queue.queue)


def _get_oldest_age_s(team, now):
    arrivals = [
        next(iter(priority_queue)).arrived_at_s
        for priority_queue in (team.urgent, team.patient)
        if priority_queue
    ]
    return round(now - min(arrivals), 1) if arrivals else 0.0
