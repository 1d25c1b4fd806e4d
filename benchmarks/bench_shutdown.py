"""Measures how long daemons take to end after SIGTERM.

    python -m benchmarks.bench_shutdown --shutdowns 200
    python -m benchmarks.bench_shutdown --shutdowns 200 --root OTHER_TREE

Fleets are stopped by turns in the ways of ``STOPS``. Exits with 1 when one
daemon has not ended within the bounds of its steps; it is killed then.
"""

import argparse
import asyncio
import collections
import pathlib
import signal
import statistics
import sys
import tempfile
import time

from arbutusrock import daemon as daemon_module
from examples.standins import fleet as fleet_module
from tests import harness

__all__ = ['main']

DAEMONS = 4
REQUESTS = 40
NOTICE_S = 0.5
DEADLINE_S = 5.0
# Of one call of the platform: all attempts, and the last attempt.
RETRY_BUDGET_S, TIMEOUT_S = 2.0, 1.0
SERIES_GAP_S = 0.2
PLATFORM_STEP_S = daemon_module.PLATFORM_STEP_CALLS * (
    RETRY_BUDGET_S + TIMEOUT_S
)
# Hand-over, running tasks, the other steps that call the platform, and the
# stop of all services.
BOUND_S = (
    NOTICE_S
    + DEADLINE_S
    + DEADLINE_S
    + 3 * PLATFORM_STEP_S
    + daemon_module.STOP_STEP_S
    + daemon_module.CANCEL_STEP_S
)


async def measure_stop(daemon):
    """Send SIGTERM; return how long the process takes to end, or None (s)."""
    began_at_s = time.monotonic()
    daemon.kill(signal.SIGTERM)
    try:
        await daemon.wait_ended(BOUND_S)
    except RuntimeError as exc:
        print(exc, file=sys.stderr)
        daemon.kill()
        return None
    return time.monotonic() - began_at_s


async def stop_at_once(_fleet, daemons):
    return await asyncio.gather(*(measure_stop(item) for item in daemons))


async def stop_in_series(_fleet, daemons):
    stops = []
    for daemon in daemons:
        stops.append(asyncio.create_task(measure_stop(daemon)))
        await asyncio.sleep(SERIES_GAP_S)
    return await asyncio.gather(*stops)


async def stop_some_first(fleet, daemons):
    return await stop_at_once(fleet, daemons[:2]) + await stop_at_once(
        fleet, daemons[2:]
    )


async def stop_twice(fleet, daemons):
    stops = asyncio.create_task(stop_at_once(fleet, daemons))
    await asyncio.sleep(NOTICE_S + SERIES_GAP_S)
    for daemon in daemons:
        if daemon.process.returncode is None:
            daemon.kill(signal.SIGTERM)
    return await stops


async def stop_without_store(fleet, daemons):
    await fleet.set_platform_faults(down=True)
    return await stop_at_once(fleet, daemons)


async def stop_beside_frozen_peer(fleet, daemons):
    daemons[0].kill(signal.SIGSTOP)
    found = await stop_at_once(fleet, daemons[1:])
    daemons[0].kill(signal.SIGCONT)
    return [*found, await measure_stop(daemons[0])]


STOPS = (
    stop_at_once,
    stop_in_series,
    stop_some_first,
    stop_twice,
    stop_without_store,
    stop_beside_frozen_peer,
)


async def play(stop, root):
    """Start a fleet, serve requests, and stop it in one way."""
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.Fleet(folder=folder, root=root) as fleet:
            daemons = await harness.start_fleet(
                fleet,
                daemons=DAEMONS,
                shutdown={'notice_s': NOTICE_S, 'deadline_s': DEADLINE_S},
                platform={
                    'retry_budget_s': RETRY_BUDGET_S,
                    'timeout_s': TIMEOUT_S,
                },
            )
            load = harness.LoadGenerator(fleet=fleet)
            await asyncio.gather(
                *(
                    load.send(daemons[number % DAEMONS])
                    for number in range(REQUESTS)
                )
            )
            return await stop(fleet, daemons)


async def run(shutdowns, root):
    """Play fleets until there were enough shutdowns.

    :returns: lengths by way of stopping; None for a process that had to be
        killed.
    """
    found = collections.defaultdict(list)
    number = 0
    while sum(map(len, found.values())) < shutdowns:
        stop = STOPS[number % len(STOPS)]
        found[stop.__name__] += await play(stop, root)
        number += 1
    return found


def main():
    """Print the lengths by way of stopping; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--shutdowns', type=int, default=200)
    parser.add_argument('--root', type=pathlib.Path, default=fleet_module.ROOT)
    options = parser.parse_args()
    found = asyncio.run(run(options.shutdowns, options.root.resolve()))
    print(f'{"way":26} {"ended":>6} {"median s":>9} {"most s":>7} {"not":>4}')
    for name, lengths in found.items():
        ended = [item for item in lengths if item is not None] or [0.0]
        print(
            f'{name:26} {len(ended):6} {statistics.median(ended):9.2f}'
            f' {max(ended):7.2f} {lengths.count(None):4}'
        )
    unended = sum(lengths.count(None) for lengths in found.values())
    print(f'bound {BOUND_S:.1f} s; not ended: {unended}')
    return 1 if unended else 0


if __name__ == '__main__':
    sys.exit(main())
