"""Simulation of an ideal scheduler, the baseline of ``bench_shares``.

Replays the same arrivals and run times with one central scheduler for each
pool, which knows all waiting requests at once. It divides the slots by
weighted max-min fairness, without message delays. Time advances in ticks.
"""

import collections
import dataclasses

from arbutusrock import contracts

__all__ = ['Arrival', 'replay']

TICK_S = 0.005


@dataclasses.dataclass(slots=True, kw_only=True)
class Arrival:
    """One request of the load.

    :param at_s: time of the request, in seconds since the start of the run.
    :param node: index of the daemon that the request is sent to; the ideal
        scheduler ignores it.
    :param run_s: duration of the execution.
    :param patient: whether the request goes to the patient queue instead of
        the urgent one; the ideal scheduler ignores it.
    :param mark: id that identifies the request in the ledgers of the
        workers.
    """

    at_s: float
    pool: str
    team: str
    node: int
    run_s: float
    patient: bool = False
    mark: str = ''


def replay(arrivals, slots, shares, end_s):
    """Return the ideal executions as ``(pool, team, start_s, end_s)``.

    :param arrivals: list of :class:`Arrival`, sorted by time.
    :param slots: number of slots of each pool.
    :param shares: mapping of team to share.
    :param end_s: time at which the simulation stops.
    """
    executions = []
    pools = sorted({item.pool for item in arrivals})
    for pool in pools:
        pool_arrivals = collections.deque(
            i for i in arrivals if i.pool == pool
        )
        executions += _replay_pool(pool, pool_arrivals, slots, shares, end_s)
    return executions


def _replay_pool(pool, arrivals, slots, shares, end_s):
    waiting = {team: collections.deque() for team in shares}
    running = []
    counts = dict.fromkeys(shares, 0)
    executions = []
    now_s = 0.0
    while now_s < end_s:
        while arrivals and arrivals[0].at_s <= now_s:
            item = arrivals.popleft()
            waiting[item.team].append(item)
        for end, team in [r for r in running if r[0] <= now_s]:
            running.remove((end, team))
            counts[team] -= 1
        targets = _divide_slots(waiting, counts, shares, slots)
        while len(running) < slots:
            team = _choose_team(waiting, counts, targets, shares)
            if team is None:
                break
            item = waiting[team].popleft()
            counts[team] += 1
            running.append((now_s + item.run_s, team))
            executions.append((pool, team, now_s, now_s + item.run_s))
        now_s += TICK_S
    return executions


def _divide_slots(waiting, counts, shares, slots):
    demands = {
        team: contracts.WeightedDemand(
            weight=share, demand=counts[team] + len(waiting[team])
        )
        for team, share in shares.items()
    }
    return contracts.divide_slots(demands, slots)


def _choose_team(waiting, counts, targets, shares):
    candidates = [team for team in shares if waiting[team]]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda team: (
            counts[team] >= targets[team],
            counts[team] / shares[team],
        ),
    )
