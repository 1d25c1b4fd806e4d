"""Duration of ordering the waiting steps of a full pool by share.

Prints it for growing numbers of steps, beside the order by rank alone.
"""

import logging
import time

import structlog

from arbutusrock.engine.dispatch.tests import test_share_ledger as samples

ROUNDS = 10
ACCOUNTS = 20
WORKERS = 44
STEP_COUNTS = (50, 200, 1000, 2000)


def measure_min_ms(weights, count):
    """Return the shortest duration of several orders, in milliseconds."""
    ledger = samples.create_ledger(weights)
    workers = [samples.create_worker(f'w{i}') for i in range(WORKERS)]
    names = list(weights)
    for number, worker in enumerate(workers):
        samples.fill(ledger, worker, names[number % ACCOUNTS])
    steps = [
        samples.create_step(names[number % ACCOUNTS], number)
        for number in range(count)
    ]
    min_s = float('inf')
    for number in range(ROUNDS):
        start_s = time.perf_counter()
        samples.sort(ledger, steps, workers, number * 0.1)
        min_s = min(min_s, time.perf_counter() - start_s)
    return min_s * 1000


def main():
    """Print the durations."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    equal = {f'a{number}': 1.0 for number in range(ACCOUNTS)}
    unequal = {f'a{number}': 1.0 + number for number in range(ACCOUNTS)}
    for count in STEP_COUNTS:
        print(
            f'{count} steps, {WORKERS * samples.CORES} runs:'
            f' by rank {measure_min_ms(equal, count):.2f} ms,'
            f' by share {measure_min_ms(unequal, count):.2f} ms'
        )


if __name__ == '__main__':
    main()
