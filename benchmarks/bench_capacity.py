"""Slopes of a node's cost: members, VMs, teams; then the target's size.

Each slope has at least four points of real daemons, a least-squares fit and
its residual. The figures at the target are worked out from the slopes.
Bounds come from the target: 1.2% of a core, 128 MB, 3 KB/s for control.
"""

import argparse
import asyncio
import json
import pathlib
import statistics
import sys
import tempfile
import time

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
    """Return counters of a daemon by name, without labels."""
    reply = await fleet.send('GET', f'{daemon.operator_url}/metrics')
    found = {}
    for line in reply.body.decode().splitlines():
        if not line.startswith('#') and '{' not in line:
            name, value = line.rsplit(' ', 1)
            found[name.removeprefix('arbutusrock_')] = float(value)
    return found


def create_documents(vms, teams):
    """Return a fleet and a contract of a size; nothing is called."""
    pools = [{'pool': f'pool-{i}'} for i in range(max(1, vms // 16))]
    machines = [
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
    return {'pools': pools, 'vms': machines}, contract


async def measure_point(members, vms, teams, seconds):
    """Return the idle cost of one daemon at a size."""
    fleet_text, contract = create_documents(vms, teams)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.Fleet(folder=folder) as fleet:
            started = await fleet.start_daemons(
                members,
                membership=DEFAULT_MEMBERSHIP,
                upstreams={'silence_s': 3.0, 'task_lease_s': 30.0},
            )
            for vm in fleet_text['vms']:
                await fleet.control_platform(f'/control/vm/{vm["vm"]}/live')
            await fleet.apply_change(
                'PUT', '/v1/fleet', data=json.dumps(fleet_text)
            )
            await fleet.apply_change(
                'PUT', '/v1/contracts', data=json.dumps(contract), match='*'
            )
            await asyncio.sleep(5)
            return await measure_idle(fleet, started, seconds)


async def measure_idle(fleet, daemons, seconds):
    """Return means over the daemons while nothing is asked of them."""
    before = [await read_metrics(fleet, d) for d in daemons]
    cpu = [fleet_module.read_cpu_s(d.process) for d in daemons]
    start_s = time.monotonic()
    await asyncio.sleep(seconds)
    spent_s = time.monotonic() - start_s
    cpu = [
        fleet_module.read_cpu_s(d.process) - used
        for d, used in zip(daemons, cpu, strict=True)
    ]
    after = [await read_metrics(fleet, d) for d in daemons]

    def rate(*names):
        return statistics.mean(
            sum(b.get(n, 0) - a.get(n, 0) for n in names) / spent_s
            for a, b in zip(before, after, strict=True)
        )

    return {
        'core_part': statistics.mean(cpu) / spent_s,
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
    """Return ``(slope, intercept, residual)`` of a least-squares line.

    :param points: list of ``(x, y)``.
    :returns: the residual is the largest distance of a point.
    """
    mean_x = statistics.mean(x for x, _ in points)
    mean_y = statistics.mean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - slope * x - intercept) for x, y in points)
    return slope, intercept, residual


async def measure_series(seconds):
    """Return the points of every series."""
    found = {}
    for name, values in SERIES.items():
        found[name] = []
        for value in values:
            size = {**BASE_SIZE, name: value}
            point = await measure_point(seconds=seconds, **size)
            found[name].append((value, point))
            print(name, value, format_point(point), flush=True)
    return found


def format_point(point):
    """Return the figures of a point in one line."""
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
    """Return a figure at the target: the base plus each slope's part."""
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
        # The members read the list in turn.
        total *= BASE_SIZE['members'] / TARGET_SIZE['members']
    return total


def main():
    """Measure, fit, project, and exit 1 when a bound is broken."""
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
    if args.out:
        args.out.write_text(json.dumps([series, at_target], indent=1))
    faults = find_violations(at_target)
    print('\n'.join(faults) or 'all bounds hold')
    sys.exit(1 if faults else 0)


def find_violations(at_target):
    """Return what is over the budget of a node."""
    faults = []
    if at_target['core_part'] > MAX_CORE_FRACTION:
        faults.append(f'core part {at_target["core_part"]:.4f} is too much')
    if at_target['memory_mb'] > MAX_MEMORY_MB:
        faults.append(f'memory {at_target["memory_mb"]:.0f} MB is too much')
    bytes_s = sum(
        at_target[name]
        for name in ('peer_bytes_s', 'store_bytes_s', 'list_bytes_s')
    )
    if bytes_s > MAX_CONTROL_BYTES_PER_S:
        faults.append(f'control traffic {bytes_s:.0f} B/s is too much')
    return faults


if __name__ == '__main__':
    main()
