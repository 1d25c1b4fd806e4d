"""Keeps room for large tasks, gangs and bound steps that fit nowhere now.

The reservations are planned by :mod:`arbutusrock.scheduling.reservations`
from the runs and waiting steps of a pool, at most once in
:data:`PLAN_INTERVAL_S`. They live in the memory of the owner only.
"""

import heapq
import itertools
import math

from arbutusrock.engine.dispatch import placement_requests
from arbutusrock.engine.dispatch import pool_reservations
from arbutusrock.engine.jobs import large_waits
from arbutusrock.engine.jobs import occurrence_estimates
from arbutusrock.engine.jobs import run_ends
from arbutusrock import logs
from arbutusrock.scheduling import ordering
from arbutusrock.scheduling import placement
from arbutusrock.scheduling import reservations
from arbutusrock.utils import clocks

__all__ = ['Lookahead']

# Minimum time between two plans of a pool.
PLAN_INTERVAL_S = 0.1
# Waiting steps of a pool that are looked at for a plan, the oldest first.
MAX_CANDIDATES = 256
# Steps of these that are claims, the first in rank.
MAX_CLAIMS = 6
# Workers of a pool that are looked at, those with most free first.
MAX_ROOMS = 64
# If fewer of them may run a step, all workers of the pool are looked at.
MIN_ELIGIBLE = reservations.MAX_VMS
# Steps that are weighed against the reservations of a plan, the first in rank
# first; later ones are held back.
MAX_WEIGHED = 64
# Quantile of a run's duration at which room is expected, and the one by which
# work beside a reservation must have ended.
ROOM_QUANTILE = 0.5
BACKFILL_QUANTILE = 0.9
# Value of a late job as a fraction of one in time.
LATE_VALUE_FRACTION = 0.1
# Part of the room in use from which large work gets through by itself; then
# reservations for it only take room from other large work.
MAX_LARGE_USE = 0.2
# Part of the slack of a job in time whose loss puts its value at risk.
MAX_WAIT_FRACTION = 1 / 3
LOG = logs.get_log('lookahead')


class Lookahead:
    """Plans reservations and keeps other work off them.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param ranker: :class:`arbutusrock.engine.jobs.job_ranks.JobRanker`.
    :param ticket_cache:
        :class:`arbutusrock.engine.workers.tickets.TicketCache`.
    """

    __slots__ = ('term', 'ranker', 'ticket_cache', 'max_heads', '_plans')

    def __init__(self, *, term, ranker, ticket_cache):
        self.term = term
        self.ranker = ranker
        self.ticket_cache = ticket_cache
        self.max_heads = reservations.MAX_HEADS
        self._plans = {}

    # Planning.

    def forget_pools(self, waiting):
        """Drop the plans of pools without waiting steps.

        :param waiting: names of the pools that have some.
        """
        for pool in [pool for pool in self._plans if pool not in waiting]:
            plan = self._plans.pop(pool)
            plan.by_worker.clear()
            self._update_promises(pool, plan, [], clocks.now_s())

    def begin_pass(self, pool, steps, workers, now_s):
        """Plan the reservations of a pool, if they are due.

        :param steps: its steps with waiting tasks that may start.
        :param workers: those that may get runs; reservations on others, such
            as lost or cordoned ones, are dropped.
        """
        plan = self._plans.get(pool)
        if plan is None:
            plan = self._plans[pool] = pool_reservations.PoolPlan()
        if now_s - plan.planned_at_s >= PLAN_INTERVAL_S:
            plan.planned_at_s = now_s
            self._plan(pool, plan, steps, workers, now_s)
        plan.sort_workers(workers, self.ranker.rank)

    def _plan(self, pool, plan, steps, workers, now_s):
        kept = {}
        for worker_id, found in plan.by_worker.items():
            for item in found:
                kept.setdefault(id(item.claim.key), set()).add(worker_id)
        plan.by_worker, plan.held = {}, {}
        vm_count = len(workers)
        claims = self._find_claims(pool, steps, workers, kept, now_s)
        planned = []
        if claims:
            eligible = set().union(*(claim.eligible for claim in claims))
            rooms = self._create_rooms(
                [item for item in workers if item.worker_id in eligible], now_s
            )
            planned = reservations.plan_reservations(
                rooms,
                claims,
                now_s=now_s,
                vm_count=vm_count,
                max_heads=self.max_heads,
            )
        for item in planned:
            plan.by_worker.setdefault(item.worker_id, []).append(item)
            item.claim.gain = self._estimate_gain(item, now_s)
        self._update_promises(pool, plan, planned, now_s)

    def _find_claims(self, pool, steps, workers, kept, now_s):
        """Return the claims of steps that fit nowhere, the first in rank."""
        if len(steps) < 2 or not workers:
            return []
        pool_workers, workers = workers, _find_most_free(workers)
        capacity = max((item.capacity for item in workers), key=_get_size)
        if not any(_may_claim(step, capacity) for step in steps):
            return []
        if _find_large_use(workers, capacity) > MAX_LARGE_USE:
            return []
        max_free = placement_requests.find_max_free(workers)
        found = itertools.islice(
            (step for step in steps if _may_claim(step, capacity)),
            MAX_CANDIDATES,
        )
        claims = []
        for step in heapq.nsmallest(MAX_CLAIMS, found, self.ranker.rank):
            account = step.job.submission.account
            if self.term.share_ledger.has_its_part(
                pool, account
            ) or not self._may_be_in_time(step):
                continue
            request = placement_requests.create_request(
                self.term,
                step,
                next(iter(step.waiting.values())),
                frozenset(),
                # Without workers, no tickets are requested.
                self.ticket_cache.get_allowed_ids(step, (), now_s),
            )
            if not self._is_blocked(step, request, workers, max_free):
                continue
            eligible = _find_eligible(workers, request)
            if len(eligible) < MIN_ELIGIBLE:
                eligible = _find_eligible(pool_workers, request)
            claims.append(
                reservations.Claim(
                    key=step,
                    account=account,
                    demand=placement_requests.get_amounts(request.demand),
                    count=len(step.waiting),
                    gang=step.plan.gang,
                    eligible=[item.worker_id for item in eligible],
                    most_per_worker=step.plan.most_per_worker,
                    kept=kept.get(id(step), frozenset()),
                )
            )
        return claims

    def _is_blocked(self, step, request, workers, max_free):
        """Return whether only a lack of room keeps a step from starting."""
        count = len(step.waiting)
        if step.plan.gang and count < step.plan.count:
            return False
        needed = count if step.plan.gang else 1
        demand = step.plan.demand
        total = type(demand)(
            cpu=demand.cpu * needed,
            memory_mb=demand.memory_mb * needed,
            accelerators=demand.accelerators * needed,
        )
        if not self.term.fits_account_limit(
            step.job.submission.account, total
        ):
            return False
        if step.plan.gang or not placement_requests.may_fit(step, max_free):
            return True
        return placement.choose_worker(workers, request) is None

    def _create_rooms(self, workers, now_s):
        rooms = {}
        for worker in workers:
            ends = []
            for run in worker.runs.values():
                end_s = run_ends.estimate_end_s(
                    self.term.duration_estimator, run, now_s, ROOM_QUANTILE
                )
                if end_s is not None:
                    fills = run.task.step.plan.fills
                    amounts = placement_requests.get_amounts(run.demand)
                    ends.append(
                        (end_s, 0, *amounts[1:])
                        if fills
                        else (end_s, *amounts)
                    )
            rooms[worker.worker_id] = reservations.Room(
                key=worker.worker_id,
                free=placement_requests.get_free_amounts(worker),
                ends=ends,
            )
        return rooms

    def _update_promises(self, pool, plan, planned, now_s):
        """Note new and lapsed reservations, with a line for each step."""
        self.term.metrics.set_gauge(
            'reservations_open', len(planned), (('pool', pool),)
        )
        ready = {}
        for item in planned:
            known = ready.get(id(item.claim.key))
            if known is None or item.ready_at_s < known.ready_at_s:
                ready[id(item.claim.key)] = item
        for key, promise in list(plan.promises.items()):
            if key in ready:
                continue
            step = promise.step
            if promise.kept and step.waiting:
                continue
            del plan.promises[key]
            if not promise.kept:
                self.term.metrics.count(
                    'reservations_lapsed_total', (('pool', pool),)
                )
                LOG.info(
                    'a reservation lapsed',
                    step=_get_name(step),
                    pool=pool,
                    waiting=len(step.waiting),
                    late_s=round(now_s - promise.ready_at_s, 3),
                )
        for key, item in ready.items():
            if key in plan.promises:
                continue
            step = item.claim.key
            plan.promises[key] = pool_reservations.Promise(
                step=step, ready_at_s=item.ready_at_s
            )
            LOG.info(
                'a reservation was made',
                step=_get_name(step),
                pool=pool,
                account=step.job.submission.account,
                worker=item.worker_id,
                gang=step.plan.gang,
                tasks=len(step.waiting),
                millicores=step.plan.demand.cpu,
                ready_in_s=round(item.ready_at_s - now_s, 3),
            )

    # Weighing.

    def _assess(self, step):
        """Return ``(slack_s, value)`` of the job of a step.

        The slack is how long it may wait and still be in time.
        """
        estimator = self.term.duration_estimator
        estimate = occurrence_estimates.estimate_occurrence(
            estimator, step.occurrence
        )
        age_s = clocks.wall_time_s() - step.occurrence.due_unix_s
        value = ordering.FIXED_VALUE_FRACTION + (
            1 - ordering.FIXED_VALUE_FRACTION
        ) * estimate.work_core_s / estimator.get_mean_work(
            step.job.submission.queue
        )
        return (
            estimate.objective_s - age_s - estimate.critical_path_left_s,
            value,
        )

    def _may_be_in_time(self, step):
        """Return whether a reservation may be worth what it holds back.

        The VMs that wait for room to form do less meanwhile; for late work
        that costs others more than it wins.
        """
        return step.plan.long_running or (
            not step.job.excess and self._assess(step)[0] >= 0
        )

    def _estimate_gain(self, reservation, now_s):
        if reservation.claim.key.plan.long_running:
            # It has no time to be late for, and goes before all others.
            return math.inf
        slack_s, value = self._assess(reservation.claim.key)
        if slack_s >= reservation.ready_at_s - now_s:
            return value
        return value * LATE_VALUE_FRACTION

    def _is_held(self, step, plan, found, now_s):
        """Return whether a step waits for the sake of reservations.

        It does not if it would lose more than the reservations win, less what
        they hold back already. Its whole value is counted as lost when the
        wait takes :data:`MAX_WAIT_FRACTION` of its slack, as durations have
        tails.
        """
        held = plan.held.get(step)
        if held is not None or len(plan.held) >= MAX_WEIGHED:
            return held is not False
        slack_s, value = self._assess(step)
        wait_s = max(item.ready_at_s for item in found) - now_s
        loss = 0.0
        if slack_s >= 0:
            most_s = max(slack_s * MAX_WAIT_FRACTION, 1e-3)
            loss = value * min(1.0, wait_s / most_s)
        held = all(loss <= item.claim.gain for item in found)
        if held:
            for item in found:
                item.claim.gain -= loss
            self.term.metrics.count('held_back_steps_total')
        plan.held[step] = held
        return held

    # Dispatch.

    def holds_workers(self, pool):
        """Return whether a pool has reserved workers in this pass."""
        return bool(self._plans[pool].reserved)

    def limit_workers(self, pool, step, workers, now_s, *, blocked):
        """Return the workers that a step may use beside the reservations.

        :param workers: those that its account may use.
        :param blocked: whether those without reservations have no room for
            it.
        """
        plan = self._plans[pool]
        if not plan.reserved:
            return workers
        reserved = self._find_reserved(plan, step, now_s)
        plan.limited = [] if blocked else list(plan.open_workers)
        plan.limited.extend(reserved)
        if len(workers) < len(plan.open_workers) + len(plan.reserved):
            # Its account is confined to these.
            known = {item.worker_id for item in workers}
            plan.limited = [
                item for item in plan.limited if item.worker_id in known
            ]
        return plan.limited

    def _find_reserved(self, plan, step, now_s):
        """Return the workers with reservations that a step may use."""
        amounts = placement_requests.get_amounts(
            placement_requests.get_demand(step)
        )
        cpu, memory_mb, accelerators = amounts
        usable = []
        rank = end_s = held = None
        for item in plan.reserved.values():
            free = item.free
            if cpu > free[0] or memory_mb > free[1] or accelerators > free[2]:
                continue
            if rank is None:
                rank = self.ranker.rank(step)
                end_s = self._estimate_new_end_s(step, now_s)
                if step.plan.gang:
                    # Several of its tasks may go to one VM.
                    amounts = (math.inf, math.inf, math.inf)
            if item.leaves_room(rank, amounts, end_s):
                usable.append(item.worker)
                continue
            if held is None:
                held = self._is_held(step, plan, item.find_ahead(rank), now_s)
            if not held:
                usable.append(item.worker)
        return usable

    def _estimate_new_end_s(self, step, now_s):
        """Return by when a task would end that starts now."""
        if step.plan.long_running:
            return math.inf
        submission = step.job.submission
        return now_s + self.term.duration_estimator.get_duration_quantile(
            submission.queue,
            step.job.job_id,
            step.plan.estimate_ms / 1000,
            BACKFILL_QUANTILE,
        )

    def record_start(self, task, worker, now_s):
        """Note a start: a reservation kept, or room beside one taken."""
        large_waits.record_wait(self.term.metrics, task, worker, now_s)
        step = task.step
        pool = step.job.submission.pool
        plan = self._plans.get(pool)
        if plan is None:
            return
        promise = plan.promises.get(id(step))
        if promise is not None and not promise.kept:
            promise.kept = True
            self.term.metrics.count(
                'reservations_kept_total', (('pool', pool),)
            )
            LOG.info(
                'a reservation was kept',
                step=_get_name(step),
                pool=pool,
                worker=worker.worker_id,
                reserved=worker.worker_id in plan.by_worker,
                waited_s=round(now_s - task.queued_at_s, 3),
                error_s=round(now_s - promise.ready_at_s, 3),
            )
        found = plan.by_worker.get(worker.worker_id)
        if found:
            self._take_room(plan, found, step, worker, now_s)

    def _take_room(self, plan, found, step, worker, now_s):
        """Note a run on a worker with reservations."""
        amounts = placement_requests.get_amounts(
            placement_requests.get_demand(step)
        )
        end_s = self._estimate_new_end_s(step, now_s)
        for item in list(found):
            if item.claim.key is step:
                item.count -= 1
            elif end_s > item.ready_at_s:
                item.take_spare(amounts)
                if worker in plan.limited:
                    # A second task may not fit beside the reservation.
                    plan.limited.remove(worker)
        reserved = plan.reserved.get(worker.worker_id)
        if reserved is not None:
            reserved.refresh()
        if all(item.count <= 0 for item in found):
            del plan.by_worker[worker.worker_id]
            if reserved is not None:
                reserved.release()


def _may_claim(step, capacity):
    """Return whether a step may need room that small work takes."""
    plan = step.plan
    return not plan.fills and (
        plan.gang
        or bool(plan.label)
        or reservations.is_large(plan.demand, capacity)
    )


def _find_most_free(workers):
    return heapq.nlargest(
        MAX_ROOMS, workers, key=lambda item: item.free_millicores
    )


def _find_eligible(workers, request):
    """Return the workers that may get a reservation for a request."""
    return _find_most_free(
        item
        for item in workers
        if placement.could_fit(item, request)
        and item.vm not in request.deprioritized_vms
    )


def _find_large_use(workers, capacity):
    """Return which part of the cores in use runs what may claim room."""
    used = large = 0
    for worker in workers:
        for run in worker.runs.values():
            used += run.demand.cpu
            if run.task is not None and _may_claim(run.task.step, capacity):
                large += run.demand.cpu
    return large / max(1, used)


def _get_size(capacity):
    return (capacity.cpu, capacity.memory_mb, capacity.accelerators)


def _get_name(step):
    return f'{step.job.job_id}.{step.key}'
