"""Shares, fill and urgent starts on real daemons under bursts.

Eight daemons, 30 workers of 8 slots in five pools, six teams. Each pool in
turn gets five times its mean for some seconds, more than it holds, then a
twentieth. What the teams got is compared with one central view that knows
everything, replayed offline from the same arrivals.

Bounds come from the target: attainment 0.97, fill 0.95, urgent start 7.2 s.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import random
import sys
import tempfile
import time

from benchmarks import ideal_scheduler
from examples.standins import fleet as fleet_module

SEED = 20261203
SHARES = {
    'large-1': 0.35,
    'large-2': 0.25,
    'middle-1': 0.2,
    'middle-2': 0.1,
    'small-1': 0.05,
    'small-2': 0.05,
}
DEMAND = {
    'large-1': 0.3,
    'large-2': 0.2,
    'middle-1': 0.2,
    'middle-2': 0.1,
    'small-1': 0.1,
    'small-2': 0.1,
}
POOL_COUNT = 5
WORKERS_PER_POOL = 6
SLOTS_PER_WORKER = 8
RUN_DURATION_RANGE_S = (0.3, 0.7)
MEAN_LOAD = 0.5
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
BURST_S = 4.0
QUIET_S = 4.0
WINDOW_S = 5.0
MIN_ATTAINMENT = 0.97
MIN_FILL = 0.95
MAX_URGENT_START_S = 7.2


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """Figures of one run.

    :param attained: by team, slot-seconds over those of the central view,
        in windows where a pool is full.
    :param worst: the least over all windows and teams that hold enough.
    """

    name: str
    fill: float
    attained: dict
    mean: float
    worst: float
    p99_start_s: float
    worst_start_s: float
    errors: int
    over_slots: float


def create_arrivals(seconds, nodes, spread, patient_fraction, seed=SEED):
    """Return the load: Poisson arrivals by pool and team, fixed by seed.

    :param spread: nodes that each team's requests arrive at.
    """
    source = random.Random(seed)  # noqa: S311
    slots = WORKERS_PER_POOL * SLOTS_PER_WORKER
    mean_rate = MEAN_LOAD * slots / (sum(RUN_DURATION_RANGE_S) / 2)
    arrivals = []
    for pool in range(POOL_COUNT):
        for number, (team, part) in enumerate(DEMAND.items()):
            at_s = 0.0
            while True:
                factor = get_load_factor(pool, at_s)
                at_s += source.expovariate(mean_rate * part * factor)
                if at_s >= seconds:
                    break
                arrivals.append(
                    ideal_scheduler.Arrival(
                        at_s=at_s,
                        pool=f'pool-{pool + 1}',
                        team=team,
                        node=(number + source.randrange(spread)) % nodes,
                        run_s=round(source.uniform(*RUN_DURATION_RANGE_S), 3),
                        patient=source.random() < patient_fraction,
                    )
                )
    arrivals.sort(key=lambda item: item.at_s)
    for number, item in enumerate(arrivals):
        item.mark = f'a{number}'
    return arrivals


def get_load_factor(pool, at_s):
    """Return the load of a pool at a time, as a multiple of its mean."""
    period_s = POOL_COUNT * BURST_S
    phase_s = (at_s - pool * BURST_S) % period_s
    if phase_s < BURST_S:
        return BURST_FACTOR
    if phase_s < BURST_S + QUIET_S:
        return QUIET_FACTOR
    return 1.0


async def set_up(fleet, daemons):
    """Start everything and write the contract."""
    vms = {}
    for pool in range(POOL_COUNT):
        names = [f'w{pool + 1}-{i + 1}' for i in range(WORKERS_PER_POOL)]
        await fleet.start_workers(names)
        for name in names:
            vms[name] = {'pool': f'pool-{pool + 1}', 'slots': SLOTS_PER_WORKER}
    started = await fleet.start_daemons(
        daemons,
        membership={
            'renew_s': 3.0,
            'lease_s': 9.0,
            'margin_s': 2.0,
            'digest_s': 1.0,
        },
        upstreams={'silence_s': 3.0, 'task_lease_s': 30.0},
    )
    pools = [{'pool': f'pool-{i + 1}'} for i in range(POOL_COUNT)]
    await fleet.apply_fleet(pools, vms)
    await fleet.apply_contract(create_contract())
    return started


def create_contract():
    """Return the contract of all six teams."""
    return {
        'customer': 'bench',
        'teams': [
            {'team': team, 'share': share, 'limit': 400}
            for team, share in SHARES.items()
        ],
        'services': [
            {'service': f'service-{i + 1}', 'pool': f'pool-{i + 1}'}
            for i in range(POOL_COUNT)
        ],
        'queues': [
            {
                'queue': f'{kind}-{i + 1}',
                'service': f'service-{i + 1}',
                'teams': list(SHARES),
                'priority': kind,
                'max_waiting': 100_000,
            }
            for i in range(POOL_COUNT)
            for kind in ('urgent', 'patient')
        ],
    }


async def send_all(fleet, daemons, arrivals):
    """Send the load in real time; return ``(start, replies by mark)``."""
    replies = {}
    start_s = time.clock_gettime(time.CLOCK_BOOTTIME)

    async def send(item):
        number = item.pool.removeprefix('pool-')
        kind = 'patient' if item.patient else 'urgent'
        try:
            replies[item.mark] = await fleet.request(
                daemons[item.node],
                f'service-{number}',
                f'/x?run_s={item.run_s}',
                key=fleet.keys[('bench', item.team)],
                headers={
                    'X-Mark': item.mark,
                    'Arbutusrock-Queue': f'{kind}-{number}',
                    'Arbutusrock-Timeout': '120',
                },
            )
        except OSError:
            replies[item.mark] = None

    tasks = []
    for item in arrivals:
        now_s = time.clock_gettime(time.CLOCK_BOOTTIME) - start_s
        if item.at_s > now_s:
            await asyncio.sleep(item.at_s - now_s)
        tasks.append(asyncio.create_task(send(item)))
    await asyncio.gather(*tasks)
    return start_s, replies


def evaluate_run(name, arrivals, ledger, start_s, replies, seconds):
    """Return the :class:`Result` of one run."""
    by_mark = {item.mark: item for item in arrivals}
    ran = [
        (
            by_mark[e.mark].pool,
            by_mark[e.mark].team,
            e.start_s - start_s,
            e.end_s - start_s,
        )
        for e in ledger
        if e.mark in by_mark
    ]
    ideal = ideal_scheduler.replay(
        arrivals, WORKERS_PER_POOL * SLOTS_PER_WORKER, SHARES, seconds + 60
    )
    starts = [
        e.start_s - start_s - by_mark[e.mark].at_s
        for e in ledger
        if e.mark in by_mark and not by_mark[e.mark].patient
    ]
    starts.sort()
    attained, worst = compute_attainment(ran, ideal, seconds)
    return Result(
        name=name,
        fill=find_fill(ran, arrivals, ledger, start_s, seconds),
        attained=attained,
        mean=sum(attained.values()) / len(attained),
        worst=worst,
        p99_start_s=starts[int(len(starts) * 0.99)],
        worst_start_s=starts[-1],
        errors=sum(
            1 for r in replies.values() if r is None or r.status != 200
        ),
        over_slots=find_over_slots(ledger),
    )


def sum_slot_seconds(ran, seconds):
    """Return slot-seconds by (window, pool, team)."""
    sums = {}
    for pool, team, start_s, end_s in ran:
        window = int(max(0.0, start_s) // WINDOW_S)
        while window * WINDOW_S < min(end_s, seconds):
            low = max(start_s, window * WINDOW_S)
            high = min(end_s, (window + 1) * WINDOW_S)
            key = (window, pool, team)
            sums[key] = sums.get(key, 0.0) + max(0.0, high - low)
            window += 1
    return sums


def compute_attainment(ran, ideal, seconds):
    """Return attainment by team, and the worst full window of a team."""
    mine = sum_slot_seconds(ran, seconds)
    best = sum_slot_seconds(ideal, seconds)
    capacity = WORKERS_PER_POOL * SLOTS_PER_WORKER * WINDOW_S
    used = {}
    for (window, pool, _), value in best.items():
        used[(window, pool)] = used.get((window, pool), 0.0) + value
    full = {key for key, value in used.items() if value > 0.95 * capacity}
    got = dict.fromkeys(SHARES, 0.0)
    due = dict.fromkeys(SHARES, 0.0)
    worst = 1.0
    for key, value in best.items():
        window, pool, team = key
        if (window, pool) not in full:
            continue
        have = min(value, mine.get(key, 0.0))
        got[team] += have
        due[team] += value
        worst = min(worst, have / value)
    return {t: got[t] / due[t] for t in SHARES if due[t]}, worst


def find_fill(ran, arrivals, ledger, start_s, seconds):
    """Return busy slots over slots while work waits, over all pools."""
    started = {e.mark: e.start_s - start_s for e in ledger}
    busy_s = slots_s = 0.0
    for pool in sorted({item.pool for item in arrivals}):
        events = []
        for item in arrivals:
            if item.pool == pool and item.mark in started:
                events.append((item.at_s, 1, 0))
                events.append((started[item.mark], -1, 0))
        for name, _, low_s, high_s in ran:
            if name == pool:
                events += [(low_s, 0, 1), (high_s, 0, -1)]
        busy, available = sum_busy_while_waiting(sorted(events), seconds)
        busy_s += busy
        slots_s += available
    return busy_s / slots_s if slots_s else 1.0


def sum_busy_while_waiting(events, seconds):
    """Return busy and available slot-seconds of the time when work waits.

    :param events: sorted ``(time, change of waiting, change of running)``.
    """
    waiting = running = 0
    last_s = busy_s = slots_s = 0.0
    for at_s, more_waiting, more_running in events:
        if at_s > seconds:
            break
        # A few waiting requests are on their way, not in a queue.
        if waiting >= 3:
            span_s = max(0.0, at_s - last_s)
            busy_s += span_s * min(
                running, WORKERS_PER_POOL * SLOTS_PER_WORKER
            )
            slots_s += span_s * WORKERS_PER_POOL * SLOTS_PER_WORKER
        waiting += more_waiting
        running += more_running
        last_s = at_s
    return busy_s, slots_s


def find_over_slots(ledger):
    """Return the part of starts that found the worker over its slots."""
    over = 0
    for worker in {e.worker for e in ledger}:
        events = []
        for entry in ledger:
            if entry.worker == worker:
                events += [(entry.start_s, 1), (entry.end_s, -1)]
        running = 0
        for _, step in sorted(events):
            running += step
            over += step > 0 and running > SLOTS_PER_WORKER
    return over / max(1, len(ledger))


async def run_case(name, *, daemons, spread, seconds, fault=None):
    """Run one case on fresh processes."""
    arrivals = create_arrivals(seconds, daemons, spread, patient_fraction=0.3)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.Fleet(folder=folder) as fleet:
            started = await set_up(fleet, daemons)
            if fault is not None:
                started = await fault(fleet, started)
                arrivals = [
                    dataclasses.replace(item, node=item.node % len(started))
                    for item in arrivals
                ]
            start_s, replies = await send_all(fleet, started, arrivals)
            ledger = await fleet.read_ledger()
    return evaluate_run(name, arrivals, ledger, start_s, replies, seconds)


async def kill_one_daemon(fleet, daemons):
    """Fault: one daemon is dead from the start."""
    daemons[-1].kill()
    await asyncio.sleep(1)
    return daemons[:-1]


async def take_store_down(fleet, daemons):
    """Fault: the store is down from the start."""
    await fleet.set_platform_faults(down=True)
    await asyncio.sleep(1)
    return daemons


CASES = {
    'all daemons': {'spread': 8},
    'two daemons': {'spread': 2},
    'one daemon': {'spread': 1},
    'one dead': {'spread': 8, 'fault': kill_one_daemon},
    'store down': {'spread': 8, 'fault': take_store_down},
}


def print_result(result):
    """Print one line of the table."""
    teams = ' '.join(f'{v:.3f}' for v in result.attained.values())
    print(
        f'{result.name:13} fill {result.fill:.3f} attained '
        f'{result.mean:.3f} (worst window {result.worst:.2f}) [{teams}] '
        f'urgent start p99 {result.p99_start_s:.2f} s worst '
        f'{result.worst_start_s:.2f} s; over slots {result.over_slots:.3f}; '
        f'errors {result.errors}',
        flush=True,
    )


def find_violations(result):
    """Return what is out of bounds."""
    faults = []
    if result.mean < MIN_ATTAINMENT:
        faults.append(f'{result.name}: attained {result.mean:.3f}')
    if result.fill < MIN_FILL:
        faults.append(f'{result.name}: fill {result.fill:.3f}')
    if result.errors:
        faults.append(f'{result.name}: {result.errors} requests failed')
    return faults


def main():
    """Run the cases, print the table, and exit 1 when a bound is broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=40)
    parser.add_argument('--daemons', type=int, default=8)
    parser.add_argument('--cases', nargs='*', default=list(CASES))
    parser.add_argument('--out', type=pathlib.Path)
    args = parser.parse_args()
    faults = []
    results = []
    for name in args.cases:
        result = asyncio.run(
            run_case(
                name,
                daemons=args.daemons,
                seconds=args.seconds,
                **CASES[name],
            )
        )
        print_result(result)
        results.append(dataclasses.asdict(result))
        faults += find_violations(result)
    if args.out:
        args.out.write_text(json.dumps(results, indent=1))
    print('\n'.join(faults) or 'all bounds hold')
    sys.exit(1 if faults else 0)


if __name__ == '__main__':
    main()
