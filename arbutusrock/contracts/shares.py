"""Divides slots by weighted max-min fairness and rounds the parts."""

from dataclasses import dataclass
import math

__all__ = [
    'WeightedDemand',
    'divide_slots',
    'round_largest_remainder',
    'round_systematic',
]


@dataclass(slots=True, kw_only=True)
class WeightedDemand:
    """Demand of one party, such as a team or a member, and its weight.

    :param weight: share of the party, above 0.
    :param demand: number of slots that it could use now.
    """

    weight: float
    demand: float


def divide_slots(demands, slots):
    """Divide ``slots`` by weighted max-min fairness.

    No party gets more than its demand; what it does not need is divided
    among the others in proportion to their weights.

    :param demands: mapping of name to :class:`WeightedDemand`.
    :param slots: number of slots to divide.
    :returns: mapping of name to a number of slots that need not be whole.

    >>> a = WeightedDemand(weight=3, demand=10)
    >>> b = WeightedDemand(weight=1, demand=10)
    >>> c = WeightedDemand(weight=4, demand=1)
    >>> divide_slots({'a': a, 'b': b, 'c': c}, 9)
    {'a': 6.0, 'b': 2.0, 'c': 1}
    """
    parts = dict.fromkeys(demands, 0.0)
    open_names = [name for name in demands if demands[name].demand > 0]
    left = float(slots)
    while open_names and left > 1e-9:
        total = sum(demands[name].weight for name in open_names)
        level = left / total
        capped = [
            name
            for name in open_names
            if demands[name].demand <= demands[name].weight * level
        ]
        if not capped:
            for name in open_names:
                parts[name] = demands[name].weight * level
            break
        for name in capped:
            parts[name] = demands[name].demand
            left -= demands[name].demand
        open_names = [name for name in open_names if name not in set(capped)]
    return parts


def round_largest_remainder(parts, total):
    """Round parts to integers by the largest remainder method.

    Ties go to the name that sorts first, so that all members get the same
    result from the same input.

    :param parts: mapping of name to real number.
    :param total: maximum sum of the integers.

    >>> round_largest_remainder({'a': 1.5, 'b': 1.5, 'c': 1.0}, 4)
    {'a': 2, 'b': 1, 'c': 1}
    """
    floors = {name: int(part + 1e-9) for name, part in parts.items()}
    spare = min(total, round(sum(parts.values()))) - sum(floors.values())
    order = sorted(parts, key=lambda name: (floors[name] - parts[name], name))
    for name in order[: max(0, spare)]:
        floors[name] += 1
    return floors


def round_systematic(parts, total, offset):
    """Round parts to integers that are exact on average over all offsets.

    This is systematic sampling: a part of 2.4 becomes 3 for two fifths of
    all values of ``offset``. All members get the same result from the same
    input.

    :param parts: mapping of name to real number; the sum is at most total.
    :param total: maximum sum of the integers.
    :param offset: number from 0 to 1.

    >>> round_systematic({'a': 2.4, 'b': 1.6}, 4, 0.1)
    {'a': 2, 'b': 2}
    >>> round_systematic({'a': 2.4, 'b': 1.6}, 4, 0.7)
    {'a': 3, 'b': 1}
    """
    rounded = {}
    sum_before = 0
    exact = offset
    for name in sorted(parts):
        exact += parts[name]
        sum_now = min(total, math.floor(exact + 1e-9))
        rounded[name] = sum_now - sum_before
        sum_before = sum_now
    return rounded
