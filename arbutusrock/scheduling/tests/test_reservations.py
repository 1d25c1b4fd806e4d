"""Reservations of room: one large task or gang against small ones."""

import math
import random

from hypothesis import given
from hypothesis import strategies
import pytest

from arbutusrock.scheduling import durations
from arbutusrock.scheduling import reservations

VM_COUNT = 8
CAPACITY = 16


def create_rooms(free_by_key, ends_by_key=None):
    ends_by_key = ends_by_key or {}
    return {
        key: reservations.Room(
            key=key,
            free=(free, 100, 0),
            ends=[(end_s, cpu, 0, 0) for end_s, cpu in ends_by_key[key]]
            if key in ends_by_key
            else [],
        )
        for key, free in free_by_key.items()
    }


def create_claim(rooms, *, cpu, count=1, key='large', **options):
    options.setdefault('account', 'a')
    options.setdefault('eligible', list(rooms))
    return reservations.Claim(
        key=key, demand=(cpu, 1, 0), count=count, **options
    )


def plan(rooms, *claims, vm_count=VM_COUNT, **options):
    return reservations.plan_reservations(
        rooms, claims, now_s=0.0, vm_count=vm_count, **options
    )


def test_large_task_gets_vm_with_room_first():
    rooms = create_rooms(
        {'a': 2, 'b': 0, 'c': 1},
        {'a': [(1.0, 4), (3.0, 8)], 'b': [(2.0, 10)], 'c': [(9.0, 15)]},
    )
    (found,) = plan(rooms, create_claim(rooms, cpu=10))
    assert (found.worker_id, found.ready_at_s) == ('b', 2.0)
    assert found.spare == (0, 99, 0)


def test_task_that_has_room_now_needs_no_reservation():
    rooms = create_rooms({'a': 10, 'b': 0})
    assert plan(rooms, create_claim(rooms, cpu=10)) == []


def test_vm_whose_runs_may_last_is_not_reserved():
    rooms = create_rooms({'a': 5})
    assert plan(rooms, create_claim(rooms, cpu=10)) == []


def test_reservation_moves_only_to_vm_that_is_clearly_earlier():
    ends = {'a': [(1.0, 10)], 'b': [(0.95, 10)]}
    rooms = create_rooms({'a': 0, 'b': 0}, ends)
    (found,) = plan(rooms, create_claim(rooms, cpu=10, kept={'a'}))
    assert found.worker_id == 'a'
    ends['a'] = [(2.0, 10)]
    rooms = create_rooms({'a': 0, 'b': 0}, ends)
    (found,) = plan(rooms, create_claim(rooms, cpu=10, kept={'a'}))
    assert found.worker_id == 'b'


def test_reservations_are_bounded_by_account_pool_and_heads():
    free = {f'w{i}': 0 for i in range(16)}
    ends = {key: [(1.0, 10)] for key in free}
    rooms = create_rooms(free, ends)
    found = plan(
        rooms,
        create_claim(rooms, cpu=10, count=16, key='x', account='a'),
        create_claim(rooms, cpu=10, count=16, key='y', account='a'),
        create_claim(rooms, cpu=10, count=16, key='z', account='b'),
        create_claim(rooms, cpu=10, count=16, key='u', account='c'),
        vm_count=16,
    )
    by_key = [item.claim.key for item in found]
    assert by_key == ['x', 'x', 'z', 'z']
    rooms = create_rooms(free, ends)
    claims = [
        create_claim(rooms, cpu=10, key=key, account=key) for key in 'abc'
    ]
    assert len(plan(rooms, *claims, vm_count=16, max_heads=1)) == 1


def test_gang_gets_set_of_vms_at_one_time():
    rooms = create_rooms(
        {'a': 0, 'b': 0, 'c': 0, 'd': 4},
        {'a': [(1.0, 8)], 'b': [(2.0, 8)], 'c': [(5.0, 16)]},
    )
    found = plan(rooms, create_claim(rooms, cpu=4, count=5, gang=True))
    assert sum(item.count for item in found) == 5
    assert {item.worker_id for item in found} == {'a', 'b', 'd'}
    assert {item.ready_at_s for item in found} == {2.0}
    rooms = create_rooms({'a': 0}, {'a': [(1.0, 8)]})
    assert plan(rooms, create_claim(rooms, cpu=4, count=3, gang=True)) == []


@pytest.mark.parametrize('end_s', [1e300, math.inf])
def test_gang_waits_for_no_end_that_is_not_to_be_expected(end_s):
    rooms = create_rooms(
        {'a': 0, 'b': 0}, {'a': [(1.0, 8)], 'b': [(end_s, 8)]}
    )
    assert plan(rooms, create_claim(rooms, cpu=4, count=4, gang=True)) == []
    (found,) = plan(rooms, create_claim(rooms, cpu=4, count=2, gang=True))
    assert (found.worker_id, found.ready_at_s) == ('a', 1.0)


def test_most_per_worker_spreads_tasks():
    rooms = create_rooms(
        {'a': 0, 'b': 0}, {'a': [(1.0, 16)], 'b': [(2.0, 16)]}
    )
    found = plan(
        rooms,
        create_claim(rooms, cpu=5, count=2, most_per_worker=1),
        vm_count=16,
    )
    assert [item.worker_id for item in found] == ['a', 'b']


def test_backfill_ends_before_or_fits_beside():
    rooms = create_rooms({'a': 4}, {'a': [(1.0, 8)]})
    found = plan(rooms, create_claim(rooms, cpu=10))
    assert reservations.may_backfill(found, (4, 1, 0), 1.0)
    assert reservations.may_backfill(found, (2, 1, 0), math.inf)
    assert not reservations.may_backfill(found, (3, 1, 0), 1.1)
    found[0].take_spare((2, 1, 0))
    assert not reservations.may_backfill(found, (1, 1, 0), 1.1)


room_ends = strategies.lists(
    strategies.tuples(
        strategies.floats(0.1, 9.0), strategies.integers(1, CAPACITY)
    ),
    max_size=6,
)


@given(
    strategies.lists(room_ends, min_size=1, max_size=12),
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, CAPACITY),
            strategies.integers(1, 6),
            strategies.booleans(),
            strategies.sampled_from('abc'),
        ),
        max_size=6,
    ),
)
def test_plan_never_promises_more_than_will_be_free(ends, wishes):
    rooms = create_rooms(
        {f'w{i}': 0 for i in range(len(ends))},
        {f'w{i}': item for i, item in enumerate(ends)},
    )
    claims = [
        create_claim(
            rooms, cpu=cpu, count=count, gang=gang, account=account, key=i
        )
        for i, (cpu, count, gang, account) in enumerate(wishes)
    ]
    found = plan(rooms, *claims, vm_count=len(ends))
    assert len({item.claim.key for item in found}) <= reservations.MAX_HEADS
    for key, room_end in zip(rooms, ends, strict=True):
        own = [item for item in found if item.worker_id == key]
        for until in own:
            promised = sum(
                item.count * item.claim.demand[0]
                for item in own
                if item.ready_at_s <= until.ready_at_s
            )
            free = sum(
                cpu for end_s, cpu in room_end if end_s <= until.ready_at_s
            )
            assert promised <= free


class Stream:
    """One large task against a stream of small ones, in small time steps.

    Ends are estimated as by the owner: from the declared durations and how
    those that have ended compare with them.

    :param error: factor of the true durations over the declared ones.
    :param reserve: whether reservations are made.
    """

    STEP_S = 0.05
    LARGE = 10
    SMALL = 3
    LARGE_AT_S = 1.0
    END_S = 30.0

    def __init__(self, *, seed, error, reserve):
        self.random = random.Random(seed)  # noqa: S311
        self.error = error
        self.reserve = reserve
        self.ratios = durations.RatioDistribution()
        # By VM, (start, declared duration, true end) of each small run.
        self.runs = {f'w{i}': [] for i in range(VM_COUNT)}
        self.kept = frozenset()
        self.promised_s = None
        self.longest_s = 0.0
        self.now_s = 0.0
        self.needless_idles = 0

    def play(self):
        """Return how long the large task waits."""
        while self.now_s < self.END_S:
            for runs in self.runs.values():
                self._end_runs(runs)
            found = []
            if self.now_s >= self.LARGE_AT_S:
                if any(self._free(key) >= self.LARGE for key in self.runs):
                    break
                if self.reserve:
                    found = self._plan()
            self._start_small(found)
            self.now_s += self.STEP_S
        return self.now_s - self.LARGE_AT_S

    def _end_runs(self, runs):
        for run in list(runs):
            if run[2] <= self.now_s:
                runs.remove(run)
                self.ratios.record((run[2] - run[0]) / run[1])

    def _free(self, key):
        return CAPACITY - self.SMALL * len(self.runs[key])

    def _estimate_end_s(self, run):
        began_s, declared_s, _ = run
        ratio = self.ratios.get_quantile(
            0.5, beyond=(self.now_s - began_s) / declared_s
        )
        return max(began_s + ratio * declared_s, self.now_s + self.STEP_S)

    def _plan(self):
        rooms = create_rooms(
            {key: self._free(key) for key in self.runs},
            {
                key: [(self._estimate_end_s(run), self.SMALL) for run in runs]
                for key, runs in self.runs.items()
            },
        )
        claim = create_claim(rooms, cpu=self.LARGE, kept=self.kept)
        found = reservations.plan_reservations(
            rooms, [claim], now_s=self.now_s, vm_count=VM_COUNT
        )
        self.kept = frozenset(item.worker_id for item in found)
        if self.promised_s is None:
            self.promised_s = found[0].ready_at_s
        return found

    def _start_small(self, found):
        """Fill all room; the stream of small tasks never ends."""
        demand = (self.SMALL, 1, 0)
        for key, runs in self.runs.items():
            own = [item for item in found if item.worker_id == key]
            while self._free(key) >= self.SMALL:
                declared_s = self.random.uniform(0.3, 1.2)
                end_s = self.now_s + declared_s * self.ratios.get_quantile(0.9)
                if not reservations.may_backfill(own, demand, end_s):
                    # What would end in time is still let in.
                    self.needless_idles += not reservations.may_backfill(
                        own, demand, own[0].ready_at_s
                    )
                    break
                true_s = declared_s * self.error
                self.longest_s = max(self.longest_s, true_s)
                runs.append((self.now_s, declared_s, self.now_s + true_s))


@pytest.mark.parametrize('error', [0.5, 1.0, 1.5])
def test_large_task_starts_soon_in_stream_of_small_ones(error):
    """It starts by the time first promised plus one tail.

    Without reservations the stream keeps it waiting far longer.
    """
    waits_s = {True: 0.0, False: 0.0}
    for seed in range(20):
        for reserve in (True, False):
            stream = Stream(seed=seed, error=error, reserve=reserve)
            waited_s = stream.play()
            waits_s[reserve] += waited_s
            if stream.promised_s is not None:
                limit_s = stream.promised_s + stream.longest_s
                assert stream.LARGE_AT_S + waited_s <= (
                    limit_s + stream.STEP_S
                )
                assert not stream.needless_idles
    assert waits_s[True] < waits_s[False] / 3
