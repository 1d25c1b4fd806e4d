"""Property tests of dividing, rounding and assigning slots."""

import hypothesis
from hypothesis import strategies
import pytest

from arbutusrock import contracts
from arbutusrock.contracts import shares
from arbutusrock.jobs import slots

weighted_demands = strategies.dictionaries(
    strategies.sampled_from('abcdef'),
    strategies.builds(
        lambda weight, demand: contracts.WeightedDemand(
            weight=weight, demand=demand
        ),
        strategies.floats(0.01, 100),
        strategies.integers(0, 200),
    ),
    max_size=6,
)


@hypothesis.given(weighted_demands, strategies.integers(0, 300))
def test_divide_slots_uses_all_slots_within_demand(demands, total):
    parts = shares.divide_slots(demands, total)
    demand = sum(item.demand for item in demands.values())
    assert sum(parts.values()) == pytest.approx(min(total, demand), abs=1e-6)
    for name, part in parts.items():
        assert part <= demands[name].demand + 1e-9


@hypothesis.given(weighted_demands, strategies.integers(1, 300))
def test_divide_slots_is_max_min_fair(demands, total):
    """Max-min: a party short of slots has the highest slots per weight."""
    parts = shares.divide_slots(demands, total)
    levels = {n: parts[n] / d.weight for n, d in demands.items()}
    for name, item in demands.items():
        if parts[name] < item.demand - 1e-6:
            assert levels[name] >= max(levels.values()) - 1e-6


@hypothesis.given(
    weighted_demands, strategies.integers(0, 300), strategies.floats(0, 1)
)
def test_rounding_stays_within_total(demands, total, offset):
    parts = shares.divide_slots(demands, total)
    for rounded in (
        shares.round_largest_remainder(parts, total),
        shares.round_systematic(parts, total, offset),
    ):
        assert sum(rounded.values()) <= total
        assert all(count >= 0 for count in rounded.values())
        for name, count in rounded.items():
            assert abs(count - parts[name]) <= 1 + 1e-6


def test_round_systematic_is_exact_on_average():
    parts = {'a': 2.4, 'b': 0.3, 'c': 1.3}
    sums = dict.fromkeys(parts, 0)
    for offset in range(100):
        rounded = shares.round_systematic(parts, 4, offset / 100)
        for name, count in rounded.items():
            sums[name] += count
    for name, part in parts.items():
        assert sums[name] / 100 == pytest.approx(part, abs=0.02)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(['w1', 'w2', 'w3', 'w4']),
        strategies.integers(1, 8),
        min_size=1,
    ),
    strategies.lists(strategies.integers(0, 8), min_size=1, max_size=4),
)
def test_assign_slots_fits_workers_and_quotas(vms, counts):
    quotas = {f'm{i}': count for i, count in enumerate(counts)}
    hypothesis.assume(sum(quotas.values()) <= sum(vms.values()))
    assigned = slots.assign_slots(vms, quotas)
    for name, parts in assigned.items():
        assert sum(parts.values()) <= vms[name]
    for member, quota in quotas.items():
        got = sum(parts.get(member, 0) for parts in assigned.values())
        assert got == quota
