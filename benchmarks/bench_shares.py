"""Team shares, use of slots and urgent start times under bursts.

Runs eight daemons and 30 workers of 8 slots, in five pools, for six teams.
Each pool in turn gets five times its mean load for some seconds, which is
more than its slots can run, then a twentieth of the mean. The slot-seconds of
each team are compared with an offline replay of the same arrivals by an ideal
scheduler that knows all waiting requests.

Bounds come from the target: attainment 0.97, fill 0.95, urgent start 7.2 s
(the worst one).
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

    Attainment is the slot-seconds of a team divided by those that the ideal
    scheduler gives it, in windows in which it fills the pool to over 95%.

    :param fill: fraction of the slots that are busy while work waits.
    :param attained: attainment by team.
    :param mean: mean attainment of the teams.
    :param worst: lowest attainment of a team in a single window of a pool.
    :param p99_start_s: 99th percentile of the delay from arrival to start of
        urgent requests.
    :param worst_start_s: longest such delay.
    :param errors: requests without a response of status 200.
    :param over_slots: fraction of the executions that started while their
        worker had more of them than slots.
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
    """Return the load: Poisson arrivals for each pool and team.

    The same seed gives the same arrivals.

    :param nodes: number of daemons.
    :param spread: number of daemons that each team's requests arrive at.
    :param patient_fraction: fraction of requests for the patient queues; the
        others go to the urgent ones.
    """
    rng = random.Random(seed)  # noqa: S311
    slots = WORKERS_PER_POOL * SLOTS_PER_WORKER
    mean_rate = MEAN_LOAD * slots / (sum(RUN_DURATION_RANGE_S) / 2)
    arrivals = []
    for pool in range(POOL_COUNT):
        for number, (team, fraction) in enumerate(DEMAND.items()):
            at_s = 0.0
            while True:
                factor = get_load_factor(pool, at_s)
                at_s += rng.expovariate(mean_rate * fraction * factor)
                if at_s >= seconds:
                    break
                arrivals.append(
                    ideal_scheduler.Arrival(
                        at_s=at_s,
                        pool=f'pool-{pool + 1}',
                        team=team,
                        node=(number + rng.randrange(spread)) % nodes,
                        run_s=round(rng.uniform(*RUN_DURATION_RANGE_S), 3),
                        patient=rng.random() < patient_fraction,
                    )
                )
    arrivals.sort(key=lambda item: item.at_s)
    for number, item in enumerate(arrivals):
        item.mark = f'a{number}'
    return arrivals


def get_load_factor(pool, at_s):
    """Return the load of a pool at a time, as a multiple of its mean.

    The pools have their bursts one after the other. After its burst, a pool
    has little load for ``QUIET_S``, and then its mean load.
    """
    period_s = POOL_COUNT * BURST_S
    phase_s = (at_s - pool * BURST_S) % period_s
    if phase_s < BURST_S:
        return BURST_FACTOR
    if phase_s < BURST_S + QUIET_S:
        return QUIET_FACTOR
    return 1.0


async def set_up(fleet, daemons):
    """Start workers and daemons, and apply the fleet and the contract."""
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
    """Send each request at its arrival time and wait for all replies.

    :returns: ``(start_s, replies)``: start on the machine's boot clock, as
        in the ledgers; replies by mark, None for a failed connection.
    """
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
    """Return the :class:`Result` of one run.

    :param ledger: executions that the workers recorded.
    :param seconds: duration of the load.
    """
    by_mark = {item.mark: item for item in arrivals}
    executions = [
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
    attained, worst = compute_attainment(executions, ideal, seconds)
    return Result(
        name=name,
        fill=compute_fill(executions, arrivals, ledger, start_s, seconds),
        attained=attained,
        mean=sum(attained.values()) / len(attained),
        worst=worst,
        p99_start_s=starts[int(len(starts) * 0.99)],
        worst_start_s=starts[-1],
        errors=sum(
            1 for r in replies.values() if r is None or r.status != 200
        ),
        over_slots=compute_over_slots_fraction(ledger),
    )


def sum_slot_seconds(executions, seconds):
    """Return the used slot-seconds by ``(window, pool, team)``."""
    sums = {}
    for pool, team, start_s, end_s in executions:
        window = int(max(0.0, start_s) // WINDOW_S)
        while window * WINDOW_S < min(end_s, seconds):
            low = max(start_s, window * WINDOW_S)
            high = min(end_s, (window + 1) * WINDOW_S)
            key = (window, pool, team)
            sums[key] = sums.get(key, 0.0) + max(0.0, high - low)
            window += 1
    return sums


def compute_attainment(executions, ideal, seconds):
    """Return the attainment by team, and the lowest in a single window.

    Counts the windows in which the ideal scheduler fills a pool. A team that
    gets more there than from the ideal scheduler counts as having the same.
    """
    actual_sums = sum_slot_seconds(executions, seconds)
    ideal_sums = sum_slot_seconds(ideal, seconds)
    capacity = WORKERS_PER_POOL * SLOTS_PER_WORKER * WINDOW_S
    pool_sums = {}
    for (window, pool, _), value in ideal_sums.items():
        pool_sums[(window, pool)] = pool_sums.get((window, pool), 0.0) + value
    full = {key for key, value in pool_sums.items() if value > 0.95 * capacity}
    attained_s = dict.fromkeys(SHARES, 0.0)
    ideal_s = dict.fromkeys(SHARES, 0.0)
    worst = 1.0
    for key, value in ideal_sums.items():
        window, pool, team = key
        if (window, pool) not in full:
            continue
        counted_s = min(value, actual_sums.get(key, 0.0))
        attained_s[team] += counted_s
        ideal_s[team] += value
        worst = min(worst, counted_s / value)
    return {t: attained_s[t] / ideal_s[t] for t in SHARES if ideal_s[t]}, worst


def compute_fill(executions, arrivals, ledger, start_s, seconds):
    """Return the busy fraction of the slots of all pools while work waits."""
    starts_s = {e.mark: e.start_s - start_s for e in ledger}
    busy_s = slots_s = 0.0
    for pool in sorted({item.pool for item in arrivals}):
        events = []
        for item in arrivals:
            if item.pool == pool and item.mark in starts_s:
                events.append((item.at_s, 1, 0))
                events.append((starts_s[item.mark], -1, 0))
        for name, _, low_s, high_s in executions:
            if name == pool:
                events += [(low_s, 0, 1), (high_s, 0, -1)]
        busy, available = sum_busy_while_waiting(sorted(events), seconds)
        busy_s += busy
        slots_s += available
    return busy_s / slots_s if slots_s else 1.0


def sum_busy_while_waiting(events, seconds):
    """Return busy and available slot-seconds while work waits for a pool.

    :param events: sorted ``(time, change of waiting, change of running)``.
    :param seconds: later events are ignored.
    """
    waiting = running = 0
    last_s = busy_s = slots_s = 0.0
    for at_s, waiting_change, running_change in events:
        if at_s > seconds:
            break
        # Fewer than 3 waiting requests are in transit, not in a queue.
        if waiting >= 3:
            span_s = max(0.0, at_s - last_s)
            busy_s += span_s * min(
                running, WORKERS_PER_POOL * SLOTS_PER_WORKER
            )
            slots_s += span_s * WORKERS_PER_POOL * SLOTS_PER_WORKER
        waiting += waiting_change
        running += running_change
        last_s = at_s
    return busy_s, slots_s


def compute_over_slots_fraction(ledger):
    """Return the fraction of executions that exceeded a worker's slots."""
    over = 0
    for worker in {e.worker for e in ledger}:
        events = []
        for entry in ledger:
            if entry.worker == worker:
                events += [(entry.start_s, 1), (entry.end_s, -1)]
        running = 0
        for _, change in sorted(events):
            running += change
            over += change > 0 and running > SLOTS_PER_WORKER
    return over / max(1, len(ledger))


async def run_case(name, *, daemons, spread, seconds, fault=None):
    """Run one case on new processes and return its :class:`Result`.

    :param spread: as in :func:`create_arrivals`.
    :param fault: injects a fault before the load starts, and returns the
        daemons that still run.
    """
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
    """Inject a fault: one daemon is dead during the whole load."""
    daemons[-1].kill()
    await asyncio.sleep(1)
    return daemons[:-1]


async def take_store_down(fleet, daemons):
    """Inject a fault: the store is down during the whole load."""
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
    """Print one result as a line of the table."""
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
    """Return the violated bounds as texts."""
    violations = []
    if result.mean < MIN_ATTAINMENT:
        violations.append(f'{result.name}: attained {result.mean:.3f}')
    if result.fill < MIN_FILL:
        violations.append(f'{result.name}: fill {result.fill:.3f}')
    if result.worst_start_s > MAX_URGENT_START_S:
        violations.append(
            f'{result.name}: an urgent request started after '
            f'{result.worst_start_s:.2f} s'
        )
    if result.errors:
        violations.append(f'{result.name}: {result.errors} requests failed')
    return violations


def main():
    """Run the cases, print the table, and exit with 1 on violated bounds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=40)
    parser.add_argument('--daemons', type=int, default=8)
    parser.add_argument('--cases', nargs='*', default=list(CASES))
    parser.add_argument('--out', type=pathlib.Path)
    args = parser.parse_args()
    violations = []
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
        violations += find_violations(result)
    if args.out:
        args.out.write_text(json.dumps(results, indent=1))
    print('\n'.join(violations) or 'all bounds hold')
    sys.exit(1 if violations else 0)


if __name__ == '__main__':
    main()
