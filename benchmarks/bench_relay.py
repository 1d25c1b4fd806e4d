"""Compares one daemon with ``bare_relay``: rate, added latency, memory.

Bounds come from the target: at least 0.6 of the baseline's rate with all
checks of a daemon, and an added p99 latency under 5 ms at low load.
"""

import asyncio
import statistics
import sys
import tempfile

from benchmarks import load
from examples.standins import fleet as fleet_module
from tests import harness

ROUNDS = 3
MEASUREMENT_S = 4
MIN_RATE_RATIO = 0.6
MAX_ADDED_P99_MS = 5.0
OPEN_CONNECTIONS = 1000


async def measure_relays(fleet, daemon, ports):
    """Measure the bare relay and the daemon alternately, under two loads.

    :param ports: ports of the workers that both relays forward to.
    :returns: ``(loaded, idle)``: by relay, the results of
        :func:`load.measure` under full load and for a single client that
        pauses between its requests.
    """
    (bare_port,) = await fleet.start_server(
        'benchmarks.bare_relay', [str(port) for port in ports], 1
    )
    key = fleet.keys[(harness.CUSTOMER, 'auction')]
    targets = {
        'bare': (f'http://127.0.0.1:{bare_port}/weigh', {}),
        'daemon': (
            f'{daemon.caller_url}/services/records/weigh',
            {'Authorization': f'Bearer {key}'},
        ),
    }
    loaded = {name: [] for name in targets}
    idle = {name: [] for name in targets}
    for _ in range(ROUNDS):
        for name, (url, headers) in targets.items():
            loaded[name].append(
                await load.measure(
                    url,
                    headers,
                    clients=16,
                    seconds=MEASUREMENT_S,
                    processes=2,
                )
            )
            idle[name].append(
                await load.measure(
                    url,
                    headers,
                    clients=1,
                    seconds=MEASUREMENT_S,
                    pause_s=0.01,
                )
            )
    return loaded, idle


def find_median(rows, name):
    """Return the median of the figure ``name`` over all rows."""
    return statistics.median(row[name] for row in rows)


async def measure_connections(daemon):
    """Return the memory in KB that each open, idle connection takes."""
    port = int(daemon.caller_url.rsplit(':', 1)[1])
    before = fleet_module.read_memory_mb(daemon.process)
    streams = [
        await asyncio.open_connection('127.0.0.1', port)
        for _ in range(OPEN_CONNECTIONS)
    ]
    await asyncio.sleep(1)
    after = fleet_module.read_memory_mb(daemon.process)
    for _, writer in streams:
        writer.close()
    return (after - before) * 1024 / OPEN_CONNECTIONS


async def run():
    """Start the processes, measure, and return the violated bounds."""
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.Fleet(folder=folder) as fleet:
            names = ['w1', 'w2', 'w3', 'w4']
            for name in names:
                await fleet.start_workers([name])
            (daemon,) = await fleet.start_daemons(1)
            await fleet.apply_fleet(
                [{'pool': 'scales'}, {'pool': 'spare'}],
                {name: {'pool': 'scales', 'slots': 64} for name in names},
            )
            await fleet.apply_contract(
                harness.create_contract([('auction', 1.0, 1000)])
            )
            ports = [fleet.workers[name] for name in names]
            loaded, idle = await measure_relays(fleet, daemon, ports)
            per_connection_kb = await measure_connections(daemon)
    return report(loaded, idle, per_connection_kb)


def report(loaded, idle, per_connection_kb):
    """Print the figures and return the violated bounds as texts."""
    for name in loaded:
        print(
            f'{name:7} rate {find_median(loaded[name], "rate"):7.0f}/s '
            f'p50 {find_median(loaded[name], "p50_ms"):6.2f} ms '
            f'p99 {find_median(loaded[name], "p99_ms"):6.2f} ms; idle '
            f'p50 {find_median(idle[name], "p50_ms"):5.2f} ms '
            f'p99 {find_median(idle[name], "p99_ms"):5.2f} ms'
        )
    ratio = find_median(loaded['daemon'], 'rate') / find_median(
        loaded['bare'], 'rate'
    )
    added_ms = find_median(idle['daemon'], 'p99_ms') - find_median(
        idle['bare'], 'p99_ms'
    )
    print(f'rate ratio {ratio:.3f} (bound: at least {MIN_RATE_RATIO})')
    print(f'added idle p99 {added_ms:.2f} ms (bound {MAX_ADDED_P99_MS} ms)')
    print(f'memory by open connection {per_connection_kb:.1f} KB')
    violations = []
    if ratio < MIN_RATE_RATIO:
        violations.append(f'rate ratio {ratio:.3f} is under {MIN_RATE_RATIO}')
    if added_ms > MAX_ADDED_P99_MS:
        violations.append(f'added p99 {added_ms:.2f} ms is too long')
    if any(row['errors'] for row in [*loaded['daemon'], *idle['daemon']]):
        violations.append('requests failed')
    return violations


def main():
    """Run the benchmark and exit with 1 if a bound is violated."""
    violations = asyncio.run(run())
    print('\n'.join(violations) or 'all bounds hold')
    sys.exit(1 if violations else 0)


if __name__ == '__main__':
    main()
