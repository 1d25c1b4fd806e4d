"""Division of a full pool among accounts: replayed loads, and properties."""

import math
import random

from hypothesis import given
from hypothesis import strategies
import pytest

from arbutusrock.scheduling import fair_shares
from arbutusrock.scheduling import Resources

SEED = 20261204
TICK_S = 0.02
# The replayed pool: ten VMs that tasks of uneven size must fit.
VMS, VM_CORES = 10, 16.0
WINDOW_S = 2.0
MAX_TASK_S = 0.3
MIN_ATTAINED = 0.97


class Step:
    """Waiting tasks of one step."""

    def __init__(self, *, account, arrived_s, tasks, cores, task_s):
        self.account = account
        self.arrived_s = arrived_s
        self.tasks = tasks
        self.cores = cores
        self.size = tasks * cores
        self.task_s = task_s


class Replay:
    """Plays steps on a pool that has no idle room while a task fits."""

    def __init__(self, *, weights, steps, by_share=True):
        self.weights = weights
        self.steps = steps
        self.arrivals = sorted(steps, key=lambda step: step.arrived_s)
        self.by_share = by_share
        self.waiting, self.running = [], []
        self.free = [VM_CORES] * VMS
        self.arrears_s = dict.fromkeys(weights, 0.0)
        self.due = dict.fromkeys(weights)
        # By tick: (used, due, waiting accounts, arrears).
        self.history = []
        self.ended = []

    def run(self, end_s):
        """Play until ``end_s``."""
        for tick in range(round(end_s / TICK_S)):
            now_s = tick * TICK_S
            self._end_tasks(now_s)
            while self.arrivals and self.arrivals[0].arrived_s <= now_s:
                self.waiting.append(self.arrivals.pop(0))
            claims = self._create_claims()
            due = self.due = fair_shares.divide_room(claims)
            self._start_tasks(claims, due, now_s)
            self.waiting = [step for step in self.waiting if step.tasks]
            waiting = {step.account for step in self.waiting}
            self.history.append(
                (self._sum_used(), due, waiting, dict(self.arrears_s))
            )
        return self

    def _end_tasks(self, now_s):
        running, self.running = self.running, []
        for end_s, vm, step in running:
            if end_s > now_s + 1e-9:
                self.running.append((end_s, vm, step))
                continue
            self.free[vm] += step.cores
            self.ended.append((step, end_s))

    def _sum_used(self):
        used = dict.fromkeys(self.weights, 0.0)
        for _, _, step in self.running:
            used[step.account] += step.cores / (VMS * VM_CORES)
        return used

    def _create_claims(self):
        used = self._sum_used()
        claims = {}
        for account, weight in self.weights.items():
            self.arrears_s[account] = fair_shares.compute_arrears(
                self.arrears_s[account],
                self.due[account],
                used[account],
                TICK_S,
            )
            claims[account] = fair_shares.Claim(
                weight=weight,
                used=used[account],
                arrears_s=self.arrears_s[account],
                waiting=sum(
                    step.tasks * step.cores / (VMS * VM_CORES)
                    for step in self.waiting
                    if step.account == account
                ),
            )
        return claims

    def _start_tasks(self, claims, due, now_s):
        order = range(len(self.waiting))
        if self.by_share:
            levels = fair_shares.compute_levels(
                claims,
                due,
                [
                    (step.account, step.tasks * step.cores / VMS / VM_CORES)
                    for step in self.waiting
                ],
            )
            order = sorted(order, key=lambda position: levels[position])
        for position in order:
            step = self.waiting[position]
            while step.tasks:
                vm = max(range(VMS), key=lambda vm: self.free[vm])
                if self.free[vm] < step.cores:
                    break
                step.tasks -= 1
                self.free[vm] -= step.cores
                self.running.append((now_s + step.task_s, vm, step))

    def find_worst_attainment(self, accounts, begin_s):
        """Return the least used over due of windows with work waiting.

        Allowed for are the largest step, as steps are granted whole, and what
        an account gives back that it had beyond its part before.
        """
        largest = max(step.size * step.task_s for step in self.steps) / (
            VMS * VM_CORES * TICK_S
        )
        length = round(WINDOW_S / TICK_S)
        worst = math.inf
        for begin in range(round(begin_s / TICK_S), len(self.history)):
            window = self.history[begin : begin + length]
            if len(window) < length:
                break
            for account in accounts:
                if all(account in item[2] for item in window):
                    used = sum(item[0][account] for item in window)
                    due = sum(item[1][account] for item in window)
                    due += min(0.0, window[0][3][account] / TICK_S)
                    worst = min(worst, (used + largest) / due)
        return worst


def create_steps(account, per_s, begin_s, end_s, draw, cores=1.0, tasks=8):
    """Return steps of about ``tasks`` tasks, ``per_s`` a second."""
    steps, now_s = [], begin_s
    while (now_s := now_s + draw.expovariate(per_s)) < end_s:
        steps.append(
            Step(
                account=account,
                arrived_s=now_s,
                tasks=draw.randint(1, 2 * tasks - 1),
                cores=cores,
                task_s=round(draw.uniform(0.1, MAX_TASK_S), 2),
            )
        )
    return steps


def test_a_large_account_leaves_nineteen_small_ones_their_shares():
    # The pool does about 100 steps a second. The small accounts want a third
    # of that, the large one twice all of it.
    draw = random.Random(SEED)
    weights = {'large': 20.0} | {f'small-{i}': 1.0 for i in range(19)}
    steps = create_steps('large', 200, 1.0, 8.0, draw)
    for name in weights:
        if name != 'large':
            steps += create_steps(name, 6.8, 0.0, 8.0, draw, tasks=2)
    replay = Replay(weights=weights, steps=steps).run(8.0)
    assert replay.find_worst_attainment(weights, 1.0) >= MIN_ATTAINED
    waits_s = [
        end_s - step.arrived_s - step.task_s
        for step, end_s in replay.ended
        if step.account != 'large'
    ]
    prompt = sum(wait_s < 0.3 for wait_s in waits_s)
    assert prompt >= 0.95 * len(waits_s)


@pytest.mark.parametrize('weight', [1.0, 3.0])
def test_two_large_accounts_get_their_shares(weight):
    draw = random.Random(SEED)
    steps = create_steps('early', 150, 0.0, 8.0, draw)
    steps += create_steps('late', 150, 3.0, 8.0, draw)
    weights = {'early': 1.0, 'late': weight}
    replay = Replay(weights=weights, steps=steps).run(8.0)
    assert replay.find_worst_attainment(['early'], 0.0) >= MIN_ATTAINED
    # Tasks that run when an account comes are not preempted.
    begin_s = 3.0 + MAX_TASK_S
    assert replay.find_worst_attainment(['late'], begin_s) >= MIN_ATTAINED


def test_all_accounts_at_once_get_their_shares():
    draw = random.Random(SEED)
    weights = {f'a{i}': 1.0 + i % 5 for i in range(20)}
    steps = []
    for name, weight in weights.items():
        steps += create_steps(name, 30 * weight, 1.0, 7.0, draw, tasks=2)
    replay = Replay(weights=weights, steps=steps).run(6.0)
    assert replay.find_worst_attainment(weights, 1.0) >= MIN_ATTAINED


def test_huge_tasks_get_their_share_in_few_tasks():
    # Each fills a VM, and one account has several in a step.
    draw = random.Random(SEED)
    weights = {'huge': 1.0, 'other': 1.0}
    steps = create_steps('huge', 40, 0.0, 8.0, draw, VM_CORES, tasks=2)
    steps += create_steps('other', 100, 0.0, 8.0, draw, VM_CORES, tasks=1)
    replay = Replay(weights=weights, steps=steps).run(8.0)
    assert replay.find_worst_attainment(weights, 0.0) >= MIN_ATTAINED


def test_without_shares_a_late_account_waits_behind_a_large_one():
    # The load of two large accounts in the order of arrival: the fault that
    # the shares answer.
    draw = random.Random(SEED)
    steps = create_steps('early', 150, 0.0, 8.0, draw)
    steps += create_steps('late', 150, 3.0, 8.0, draw)
    weights = {'early': 1.0, 'late': 3.0}
    replay = Replay(weights=weights, steps=steps, by_share=False).run(8.0)
    assert replay.find_worst_attainment(['late'], 3.0) < 0.5


NAMES = ('a', 'b', 'c', 'd', 'e')
AMOUNTS = strategies.floats(0, 2).map(lambda value: round(value, 3))
CLAIMS = strategies.dictionaries(
    strategies.sampled_from(NAMES),
    strategies.builds(
        fair_shares.Claim,
        weight=strategies.floats(0.1, 100),
        used=AMOUNTS.map(lambda value: value / 8),
        waiting=AMOUNTS,
        arrears_s=AMOUNTS.map(lambda value: value - 1),
    ),
    min_size=1,
)


@given(CLAIMS)
def test_room_is_divided_by_weighted_max_min(claims):
    due = fair_shares.divide_room(claims)
    wanted = {name: item.used + item.waiting for name, item in claims.items()}
    total = sum(due.values())
    assert total == pytest.approx(min(1.0, sum(wanted.values())))
    levels = {name: due[name] / claims[name].weight for name in claims}
    for name in claims:
        assert due[name] <= wanted[name] + 1e-9
        if due[name] < wanted[name] - 1e-6:
            # Nobody has more by weight than one who lacks room.
            assert levels[name] >= max(levels.values()) * (1 - 1e-6)


@given(
    CLAIMS,
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(NAMES), strategies.floats(0.001, 0.5)
        )
    ),
)
def test_no_account_under_its_share_waits_behind_one_over_it(claims, steps):
    steps = [item for item in steps if item[0] in claims]
    for name, claim in claims.items():
        claim.waiting = sum(
            share for account, share in steps if account == name
        )
        claim.arrears_s = 0.0
    due = fair_shares.divide_room(claims)
    levels = fair_shares.compute_levels(claims, due, steps)
    held = {name: claim.used for name, claim in claims.items()}
    under, over = [], []
    for (name, share), level in zip(steps, levels, strict=True):
        (under if held[name] < due[name] - 1e-9 else over).append(level)
        held[name] += share
    assert max(under, default=0) <= min(over, default=math.inf)


@given(CLAIMS, strategies.floats(-10, 10))
def test_arrears_are_worth_a_fraction_of_a_share_at_most(claims, arrears_s):
    due = fair_shares.divide_room(claims)
    for name in claims:
        claims[name].arrears_s = arrears_s
        before = fair_shares.compute_levels(claims, due, [(name, 0.1)])[0]
        claims[name].arrears_s = 0.0
        level = fair_shares.compute_levels(claims, due, [(name, 0.1)])[0]
        assert abs(before - level) <= fair_shares.MAX_REPAID_FRACTION + 1e-9


def test_room_that_nobody_else_wanted_is_not_held_against_an_account():
    arrears_s = fair_shares.compute_arrears(0.0, None, 0.9, 2.0)
    assert arrears_s == 0.0


def test_arrears_are_forgotten():
    arrears_s = fair_shares.compute_arrears(
        1.0, None, 0.0, 5 * fair_shares.RECENT_S
    )
    assert arrears_s < 0.01


def test_memory_and_accelerators_count_as_cores_do():
    capacity = Resources(cpu=64000, memory_mb=4000, accelerators=4)
    demands = [
        Resources(cpu=16000),
        Resources(cpu=100, memory_mb=1000),
        Resources(cpu=100, accelerators=1),
    ]
    shares = [
        fair_shares.compute_dominant_share(demand, capacity)
        for demand in demands
    ]
    assert shares == [0.25, 0.25, 0.25]
    free = Resources(cpu=64000, memory_mb=500)
    assert fair_shares.is_contended(Resources(memory_mb=501), free)
    assert not fair_shares.is_contended(Resources(cpu=64000), free)
