"""How the idle cost of a node grows with members, VMs and teams.

Measures real daemons at four or more sizes in each of these dimensions, fits
a line by least squares, and prints its slope and residual. The lines give the
cost at the target's size.
Bounds come from the target, for each node: 1.2% of a core, 128 MB of memory
and 3 KB/s of control traffic.
"""

import argparse
import asyncio
import json
import pathlib
import statistics
import sys
import tempfile
import time

from benchmarks import lookahead_cost
from benchmarks import plan_cost
from examples.standins import fleet as fleet_module

TARGET_SIZE = {'members': 16, 'vms': 870, 'teams': 29}
MAX_CORE_FRACTION = 0.012
MAX_MEMORY_MB = 128.0
MAX_CONTROL_BYTES_PER_S = 3000.0
DEFAULT_MEMBERSHIP = {
    'renew_s': 3.0,
    'lease_s': 9.0,
    'margin_s': 2.0,
    'digest_s': 1.0,
}
SERIES = {
    'members': [1, 2, 4, 6, 8],
    'vms': [10, 200, 500, 870],
    'teams': [2, 8, 18, 29],
}
BASE_SIZE = {'members': 2, 'vms': 10, 'teams': 2}


async def read_metrics(fleet, daemon):
    """Return the metrics of a daemon that have no labels, by name."""
    reply = await fleet.send('GET', f'{daemon.operator_url}/metrics')
    metrics = {}
    for line in reply.body.decode().splitlines():
        if not line.startswith('#') and '{' not in line:
            name, value = line.rsplit(' ', 1)
            metrics[name.removeprefix('arbutusrock_')] = float(value)
    return metrics


def create_documents(vms, teams):
    """Return a fleet and a contract of the given size.

    No requests are sent, so nothing listens at the address of the VMs.
    """
    pools = [{'pool': f'pool-{i}'} for i in range(max(1, vms // 16))]
    vm_documents = [
        {
            'vm': f'vm-{i}',
            'pool': pools[i % len(pools)]['pool'],
            'address': '127.0.0.1',
            'port': 9,
            'rack': f'rack-{i // 4}',
        }
        for i in range(vms)
    ]
    contract = {
        'customer': 'bench',
        'teams': [
            {'team': f'team-{i}', 'share': 1, 'limit': 100}
            for i in range(teams)
        ],
        'services': [
            {'service': f's-{i}', 'pool': pools[i % len(pools)]['pool']}
            for i in range(teams)
        ],
        'queues': [
            {
                'queue': f'q-{i}',
                'service': f's-{i}',
                'teams': [f'team-{i}'],
            }
            for i in range(teams)
        ],
    }
    return {'pools': pools, 'vms': vm_documents}, contract


async def measure_point(members, vms, teams, seconds):
    """Return the idle cost of one daemon of a fleet of the given size."""
    fleet_document, contract = create_documents(vms, teams)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.Fleet(folder=folder) as fleet:
            daemons = await fleet.start_daemons(
                members,
                membership=DEFAULT_MEMBERSHIP,
                upstreams={'silence_s': 3.0, 'task_lease_s': 30.0},
            )
            for vm in fleet_document['vms']:
                await fleet.control_platform(f'/control/vm/{vm["vm"]}/live')
            await fleet.apply_change(
                'PUT', '/v1/fleet', data=json.dumps(fleet_document)
            )
            await fleet.apply_change(
                'PUT', '/v1/contracts', data=json.dumps(contract), match='*'
            )
            await asyncio.sleep(5)
            return await measure_idle(fleet, daemons, seconds)


async def measure_idle(fleet, daemons, seconds):
    """Return the mean cost of the daemons while they serve no requests.

    :returns: mapping of figure to value: the used fraction of a core, memory
        in MB, and bytes or calls per second.
    """
    before = [await read_metrics(fleet, d) for d in daemons]
    cpu_s = [fleet_module.read_cpu_s(d.process) for d in daemons]
    start_s = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - start_s
    cpu_s = [
        fleet_module.read_cpu_s(d.process) - before_s
        for d, before_s in zip(daemons, cpu_s, strict=True)
    ]
    after = [await read_metrics(fleet, d) for d in daemons]

    def rate(*names):
        return statistics.mean(
            sum(b.get(n, 0) - a.get(n, 0) for n in names) / elapsed_s
            for a, b in zip(before, after, strict=True)
        )

    return {
        'core_part': statistics.mean(cpu_s) / elapsed_s,
        'memory_mb': statistics.mean(
            fleet_module.read_memory_mb(d.process) for d in daemons
        ),
        'peer_bytes_s': rate('peer_sent_bytes', 'peer_received_bytes'),
        'store_bytes_s': rate('store_sent_bytes', 'store_received_bytes'),
        'list_bytes_s': rate('list_received_bytes'),
        'store_writes_s': rate('store_writes'),
        'store_reads_s': rate('store_reads', 'list_reads'),
    }


def fit_line(points):
    """Fit a line by least squares.

    :param points: list of ``(x, y)``.
    :returns: ``(slope, intercept, residual)``; the residual is the largest
        vertical distance of a point from the line.
    """
    mean_x = statistics.mean(x for x, _ in points)
    mean_y = statistics.mean(y for _, y in points)
    square_sum = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / square_sum
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - slope * x - intercept) for x, y in points)
    return slope, intercept, residual


async def measure_series(seconds):
    """Measure and print the points of all series.

    Each series varies one dimension and keeps the others at ``BASE_SIZE``.

    :returns: mapping of dimension to a list of ``(size, figures)``.
    """
    series = {}
    for name, values in SERIES.items():
        series[name] = []
        for value in values:
            size = {**BASE_SIZE, name: value}
            point = await measure_point(seconds=seconds, **size)
            series[name].append((value, point))
            print(name, value, format_point(point), flush=True)
    return series


def format_point(point):
    """Return the figures of a point as one line of text."""
    return (
        f'core {point["core_part"] * 100:.2f}% '
        f'memory {point["memory_mb"]:.1f} MB '
        f'peers {point["peer_bytes_s"]:.0f} B/s '
        f'store {point["store_bytes_s"]:.0f} B/s '
        f'list {point["list_bytes_s"]:.0f} B/s '
        f'writes {point["store_writes_s"]:.2f}/s '
        f'reads {point["store_reads_s"]:.2f}/s'
    )


def extrapolate(series, figure):
    """Print the line of each dimension; return the figure at the target.

    Starts from the value at ``BASE_SIZE`` on the first line, and adds for
    each dimension its slope times the growth from there to the target.

    :param figure: name of the figure, as in :func:`measure_idle`.
    """
    total = None
    for name, points in series.items():
        slope, intercept, residual = fit_line(
            [(x, point[figure]) for x, point in points]
        )
        print(
            f'{figure:15} by {name:8} slope {slope:.3g} at 0 '
            f'{intercept:.3g} residual {residual:.2g}'
        )
        if total is None:
            total = intercept + slope * BASE_SIZE[name]
        total += slope * (TARGET_SIZE[name] - BASE_SIZE[name])
    if figure == 'list_bytes_s':
        # The members take turns to read the platform's list of VMs, so the
        # traffic of each one falls with their number.
        total *= BASE_SIZE['members'] / TARGET_SIZE['members']
    return total


def main():
    """Measure, extrapolate, and exit with 1 if a bound is violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument('--out', type=pathlib.Path)
    args = parser.parse_args()
    series = asyncio.run(measure_series(args.seconds))
    figures = (
        'core_part',
        'memory_mb',
        'peer_bytes_s',
        'store_bytes_s',
        'list_bytes_s',
        'store_writes_s',
        'store_reads_s',
    )
    at_target = {name: extrapolate(series, name) for name in figures}
    print('at the target:', format_point(at_target))
    plan_cost.print_costs()
    lookahead_cost.print_costs()
    if args.out:
        args.out.write_text(json.dumps([series, at_target], indent=1))
    violations = find_violations(at_target)
    print('\n'.join(violations) or 'all bounds hold')
    sys.exit(1 if violations else 0)


def find_violations(at_target):
    """Return the violated bounds as texts.

    :param at_target: figures of one node at the target's size.
    """
    violations = []
    if at_target['core_part'] > MAX_CORE_FRACTION:
        violations.append(
            f'core part {at_target["core_part"]:.4f} is too much'
        )
    if at_target['memory_mb'] > MAX_MEMORY_MB:
        violations.append(
            f'memory {at_target["memory_mb"]:.0f} MB is too much'
        )
    bytes_s = sum(
        at_target[name]
        for name in ('peer_bytes_s', 'store_bytes_s', 'list_bytes_s')
    )
    if bytes_s > MAX_CONTROL_BYTES_PER_S:
        violations.append(f'control traffic {bytes_s:.0f} B/s is too much')
    return violations


if __name__ == '__main__':
    main()
