"""Plays load patterns in virtual time and prints what callers got.

The decisions are the product's own; see :mod:`benchmarks.fleet_simulation`.
Value is a fraction of what all jobs would be worth in time; the costs of VMs
in pools and of their moves are taken off it at the given prices.
"""

import argparse
import logging
import pathlib
import statistics
import time

import msgspec
import structlog

from benchmarks import fleet_simulation
from benchmarks import load_patterns

PATTERNS = pathlib.Path(__file__).parent / 'patterns'
# Prices relative to the value of a job of mean work of the first queue.
VM_SECOND_PRICE = 0.043
MOVE_PRICE = 0.053


def summarize(simulation):
    """Return the figures of one play as a dict."""
    results = list(simulation.results.values())
    owed = sum(item.value for item in results)
    unit = next(iter(simulation.pattern.queues.values())).value
    late_value = simulation.pattern.late_value
    earned = sum(
        item.value * (1 if item.in_time else late_value) for item in results
    )
    figures = {
        'value': earned / owed,
        'vms': simulation.vm_seconds * VM_SECOND_PRICE * unit / owed,
        'moves': simulation.moves * MOVE_PRICE * unit / owed,
    }
    figures['net'] = figures['value'] - figures['vms'] - figures['moves']
    large, middle, windows = [], [], []
    for queue in simulation.pattern.queues:
        items = sorted(
            (item for item in results if item.queue == queue),
            key=lambda item: -item.work_core_s,
        )
        tenth = max(1, len(items) // 10)
        large.append(_get_fraction(items[:tenth]))
        middle.append(_get_fraction(items[tenth : 3 * tenth]))
    by_window = {}
    for item in results:
        second = int((item.arrived_at_s - simulation.began_at_s) / 2)
        by_window.setdefault(second, []).append(item)
    windows = sorted(
        (_get_fraction(items), second) for second, items in by_window.items()
    )
    figures['large'] = min(large)
    figures['next'] = min(middle)
    figures['worst_2s'] = statistics.mean(item[0] for item in windows[:2])
    by_account = {}
    for item in results:
        by_account.setdefault(item.account, []).append(item)
    accounts = sorted(map(_get_fraction, by_account.values()))
    tenth = max(1, len(accounts) // 10)
    figures['accounts'] = statistics.mean(accounts[:tenth])
    figures['first_2s'] = _get_fraction(by_window.get(0, []))
    figures.update(_summarize_waits(simulation.waits))
    # All jobs, the class that is served worst and the worst seconds.
    served = (
        8 * figures['value']
        + 3 * min(figures['large'], figures['next'])
        + figures['worst_2s']
    ) / 12
    figures['goal'] = served - figures['vms'] - figures['moves']
    return figures


def _summarize_waits(waits):
    """Return the waits of the largest tenth of tasks, gangs and the rest."""
    single = sorted((item for item in waits if not item[0]), key=_get_cores)
    tenth = max(1, len(single) // 10)
    gangs = [item for item in waits if item[0]]
    figures = {}
    for name, items in (
        ('wait_large', single[-tenth:]),
        ('wait_other', single[:-tenth]),
        ('wait_gang', gangs),
    ):
        waits_s = sorted(item[2] for item in items)
        if waits_s:
            figures[name] = statistics.mean(waits_s)
            figures[f'{name}_p90'] = waits_s[len(waits_s) * 9 // 10]
    return figures


def _get_cores(item):
    return item[1]


def _get_fraction(items):
    """Return the fraction of the value of jobs that ended in time."""
    owed = sum(item.value for item in items)
    earned = sum(item.value for item in items if item.in_time)
    return earned / owed if owed else 1.0


def load_pattern(path):
    """Return the pattern in a YAML file.

    :raises msgspec.ValidationError: naming the field that is wrong.
    """
    return msgspec.yaml.decode(path.read_bytes(), type=load_patterns.Pattern)


def main():
    """Play the patterns and print a line for each, and their mean."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('patterns', nargs='*', type=pathlib.Path)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument(
        '--heads',
        type=int,
        help='waiting steps of a pool that get reservations; 0 for none',
    )
    args = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for path in args.patterns or sorted(PATTERNS.glob('*.yaml')):
        pattern = load_pattern(path)
        plays = []
        for seed in range(args.first_seed, args.first_seed + args.seeds):
            began_at_s = time.monotonic()
            simulation = fleet_simulation.Simulation(
                pattern=pattern, seed=seed, max_heads=args.heads
            )
            simulation.run()
            plays.append(summarize(simulation))
            _print_line(f'{path.stem} seed {seed}', plays[-1], began_at_s)
        means = {
            name: statistics.mean(play[name] for play in plays)
            for name in plays[0]
        }
        _print_line(f'{path.stem} mean', means, None)


def _print_line(name, figures, began_at_s):
    took = f'  {time.monotonic() - began_at_s:.0f} s' if began_at_s else ''
    text = ' '.join(f'{key} {value:.3f}' for key, value in figures.items())
    print(f'{name:22} {text}{took}', flush=True)


if __name__ == '__main__':
    main()
