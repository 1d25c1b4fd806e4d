"""What each client account used and was due of pools in contention."""

import math

from arbutusrock.engine.dispatch import placement_requests
from arbutusrock import logs
from arbutusrock.scheduling import fair_shares
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks

__all__ = ['ShareLedger']

# A division of a pool is logged at most once in this time.
LOG_INTERVAL_S = 1.0
# Accounts in one log line, those with the largest part first.
MAX_LOGGED_ACCOUNTS = 8
# Time over which the attainment shown to operators is averaged.
SHOWN_S = 5.0
# A gap between two divisions of a pool counts up to this time.
MAX_COUNTED_GAP_S = 0.5
# Smaller arrears are dropped (dominant share times seconds).
MIN_ARREARS_S = 1e-5
LOG = logs.get_log('shares')


class _PoolRecord:
    """The last division of one pool.

    :param arrears_s: by account, see :class:`fair_shares.Claim`.
    :param used: dominant share by account at that time.
    :param due: part by account; None when it was not in contention.
    """

    __slots__ = ('at_s', 'arrears_s', 'used', 'due', 'logged_at_s')

    def __init__(self, *, at_s):
        self.at_s = at_s
        self.arrears_s = {}
        self.used = {}
        self.due = None
        self.logged_at_s = -math.inf


class ShareLedger:
    """Divides pools in contention among accounts, and keeps what they used.

    It is in force when the weights of the accounts differ. Without records,
    as after a takeover, what runs at the first division decides alone.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    """

    __slots__ = ('term', '_pools', '_attained', '_checked', '_in_force')

    def __init__(self, *, term):
        self.term = term
        self._pools = {}
        # By account: decayed sums of (room in use, room due), and when.
        self._attained = {}
        # The configuration for which _in_force was determined.
        self._checked = None
        self._in_force = False

    @property
    def in_force(self):
        """Whether the configuration gives accounts different weights."""
        current = self.term.configuration.current
        if current is not self._checked:
            self._checked = current
            weights = {item.weight for item in current.accounts.values()}
            self._in_force = len(weights) > 1
            for name in self._attained.keys() - current.accounts.keys():
                del self._attained[name]
        return self._in_force

    def sort_steps(self, pool, waiting, steps, workers, rank, now_s):
        """Sort steps by rank, and in a full pool by share.

        Then, of the same tier and urgency, steps of jobs that have begun go
        first, and after them those of the account that has the least of its
        share.

        :param waiting: all waiting steps of the pool that may start.
        :param steps: those of them that may fit a worker; sorted in place.
        :param workers: usable workers of the pool.
        :param rank: function from a step to its rank.
        """
        steps.sort(key=rank)
        if not self.in_force:
            return
        waiting = [step for step in waiting if _is_shared(step)]
        if not waiting:
            self._end_division(pool)
            return
        claims, capacity = self._create_claims(pool, waiting, workers, now_s)
        record = self._pools[pool]
        if len(claims) < 2:
            record.due = None
            return
        due = record.due = fair_shares.divide_room(claims)
        shared = [step for step in steps if _is_shared(step)]
        levels = fair_shares.compute_levels(
            claims,
            due,
            [
                (
                    step.job.submission.account,
                    len(step.waiting)
                    * fair_shares.compute_dominant_share(
                        step.plan.demand, capacity
                    ),
                )
                for step in shared
            ],
        )
        # A job that has begun is continued: until its last step has ended it
        # is of no use to its caller.
        level_by_step = {
            id(step): -math.inf if step.job.run_ordered else level
            for step, level in zip(shared, levels, strict=True)
        }
        # The sort is stable: steps of the same level remain in their order.
        steps.sort(
            key=lambda step: (
                *rank(step)[:2],
                level_by_step.get(id(step), -math.inf),
            )
        )
        self._log(pool, record, claims, levels, now_s)

    def _end_division(self, pool):
        """Note that a pool is no longer divided."""
        record = self._pools.get(pool)
        if record is not None:
            record.due = None

    def _create_claims(self, pool, waiting, workers, now_s):
        """Return the claims on a pool and its capacity for shared tasks.

        :param waiting: the waiting steps that count against shares.

        :returns: ``(claims, capacity)``; the claims are empty when all
            waiting demand has room.
        """
        wanted = {}
        for step in waiting:
            _add(
                wanted,
                step.job.submission.account,
                step.plan.demand,
                len(step.waiting),
            )
        used, serving = {}, {}
        for worker in workers:
            for run in worker.runs.values():
                if run.task is None or run.task.step.plan.long_running:
                    _add(serving, '', _get_room_taken(run), 1)
                elif not run.task.step.job.excess:
                    _add(used, run.account, run.demand, 1)
        capacity = _subtract(
            _sum(worker.capacity for worker in workers),
            _to_resources(serving.get('', (0, 0, 0))),
        )
        self._record_use(
            pool,
            {
                account: fair_shares.compute_dominant_share(
                    _to_resources(amounts), capacity
                )
                for account, amounts in used.items()
            },
            now_s,
        )
        free = _sum(map(_get_free, workers))
        all_wanted = [sum(each) for each in zip(*wanted.values(), strict=True)]
        if not fair_shares.is_contended(_to_resources(all_wanted), free):
            return {}, capacity
        return self._build_claims(pool, wanted, capacity), capacity

    def _build_claims(self, pool, wanted, capacity):
        accounts = self.term.configuration.current.accounts
        record = self._pools[pool]
        claims = {}
        for name in sorted({*wanted, *record.used}):
            account = accounts.get(name)
            limit = math.inf
            if account is not None and account.upper_limit.cpu:
                limit = account.upper_limit.cpu / max(1, capacity.cpu)
            claims[name] = fair_shares.Claim(
                weight=max(1e-6, account.weight) if account else 1.0,
                used=record.used.get(name, 0.0),
                waiting=fair_shares.compute_dominant_share(
                    _to_resources(wanted.get(name, (0, 0, 0))), capacity
                ),
                limit=limit,
                arrears_s=record.arrears_s.get(name, 0.0),
            )
        return claims

    def _record_use(self, pool, used, now_s):
        record = self._pools.get(pool)
        if record is None:
            record = self._pools[pool] = _PoolRecord(at_s=now_s)
        elapsed_s = max(0.0, now_s - record.at_s)
        counted_s = min(elapsed_s, MAX_COUNTED_GAP_S)
        due = record.due or {}
        if due:
            self._count(record, counted_s, now_s)
        arrears_s = {}
        for account in {*record.arrears_s, *due}:
            sum_s = fair_shares.compute_arrears(
                record.arrears_s.get(account, 0.0),
                due.get(account),
                record.used.get(account, 0.0),
                counted_s,
            )
            sum_s = fair_shares.compute_arrears(
                sum_s, None, 0.0, elapsed_s - counted_s
            )
            if abs(sum_s) > MIN_ARREARS_S:
                arrears_s[account] = sum_s
        record.arrears_s = arrears_s
        record.used, record.at_s = used, now_s

    def _count(self, record, elapsed_s, now_s):
        """Count what was used and due since the last division."""
        for account, due in record.due.items():
            used_s = record.used.get(account, 0.0) * elapsed_s
            labels = (('account', account),)
            metrics = self.term.metrics
            metrics.count('share_attained_pool_seconds', labels, used_s)
            metrics.count('share_due_pool_seconds', labels, due * elapsed_s)
            used_sum, due_sum, at_s = self._attained.get(
                account, (0.0, 0.0, now_s)
            )
            factor = math.exp(-(now_s - at_s) / SHOWN_S)
            self._attained[account] = (
                used_sum * factor + used_s,
                due_sum * factor + due * elapsed_s,
                now_s,
            )

    def has_its_part(self, pool, account):
        """Return whether an account uses what it is due of a full pool."""
        record = self._pools.get(pool)
        if record is None or record.due is None or not self.in_force:
            return False
        used = record.used.get(account, 0.0)
        return used > 0 and used >= record.due.get(account, 0.0)

    def get_attainment(self, account):
        """Return attained over due of the last seconds; 1 if none was due."""
        used, due, _ = self._attained.get(account, (0.0, 0.0, 0.0))
        return fair_shares.compute_attainment(used, due)

    def export(self):
        """Return the arrears by pool and account, for a later owner."""
        return {
            pool: {
                account: round(sum_s, 4)
                for account, sum_s in record.arrears_s.items()
            }
            for pool, record in self._pools.items()
            if record.arrears_s
        }

    def restore(self, data, age_s):
        """Take over what an earlier owner exported ``age_s`` ago."""
        now_s = clocks.now_s()
        for pool, arrears_s in data.items():
            record = self._pools[pool] = _PoolRecord(at_s=now_s)
            record.arrears_s = {
                account: fair_shares.compute_arrears(sum_s, None, 0.0, age_s)
                for account, sum_s in arrears_s.items()
                if math.isfinite(sum_s)
            }

    def _log(self, pool, record, claims, levels, now_s):
        if now_s - record.logged_at_s < LOG_INTERVAL_S:
            return
        record.logged_at_s = now_s
        names = sorted(claims, key=lambda name: -record.due[name])
        LOG.info(
            'a full pool is divided among accounts',
            pool=pool,
            accounts=len(claims),
            steps=len(levels),
            steps_beyond=sum(level >= 1 for level in levels),
            # Weight, due, in use, waiting, and attained lately.
            largest={
                name: [
                    claims[name].weight,
                    round(record.due[name], 3),
                    round(claims[name].used, 3),
                    round(claims[name].waiting, 3),
                    round(self.get_attainment(name), 2),
                ]
                for name in names[:MAX_LOGGED_ACCOUNTS]
            },
        )


def _is_shared(step):
    """Return whether a step counts against the share of its account.

    Tasks that run until they are cancelled do not, nor jobs beyond the rate
    of their account, which use only room that nobody else wants.
    """
    return not step.plan.long_running and not step.job.excess


def _get_room_taken(run):
    """Return what a run takes from others; left-over cores are not taken."""
    if run.task is None:
        return run.demand
    return placement_requests.get_demand(run.task.step)


def _get_free(worker):
    return Resources(
        cpu=worker.free_millicores,
        memory_mb=worker.free_memory_mb,
        accelerators=worker.free_accelerators,
    )


def _add(amounts, account, demand, count):
    amount = amounts.get(account)
    if amount is None:
        amount = amounts[account] = [0, 0, 0]
    amount[0] += demand.cpu * count
    amount[1] += demand.memory_mb * count
    amount[2] += demand.accelerators * count


def _to_resources(amounts):
    cpu, memory_mb, accelerators = amounts
    return Resources(cpu=cpu, memory_mb=memory_mb, accelerators=accelerators)


def _sum(items):
    cpu = memory_mb = accelerators = 0
    for item in items:
        cpu += item.cpu
        memory_mb += item.memory_mb
        accelerators += item.accelerators
    return Resources(cpu=cpu, memory_mb=memory_mb, accelerators=accelerators)


def _subtract(resources, other):
    return Resources(
        cpu=max(0, resources.cpu - other.cpu),
        memory_mb=max(0, resources.memory_mb - other.memory_mb),
        accelerators=max(0, resources.accelerators - other.accelerators),
    )
