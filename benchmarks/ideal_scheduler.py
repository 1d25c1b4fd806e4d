"""What one central view with perfect knowledge would give.

Replays the same arrivals and run times against one queue for each pool, in
steps, with weighted max-min shares and no delay of any message.
"""

import collections
import dataclasses

from arbutusrock import contracts

__all__ = ['Arrival', 'replay']

TICK_S = 0.005


@dataclasses.dataclass(slots=True, kw_only=True)
class Arrival:
    """One request of the load.

    :param at_s: seconds since the start of the run.
    """

    at_s: float
    pool: str
    team: str
    node: int
    run_s: float
    patient: bool = False
    mark: str = ''


def replay(arrivals, slots, shares, end_s):
    """Return executions as ``(pool, team, start_s, end_s)``.

    :param arrivals: list of :class:`Arrival`, sorted by time.
    :param slots: slots of every pool.
    :param shares: mapping of team to share.
    """
    done = []
    pools = sorted({item.pool for item in arrivals})
    for pool in pools:
        mine = collections.deque(i for i in arrivals if i.pool == pool)
        done += _replay_pool(pool, mine, slots, shares, end_s)
    return done


def _replay_pool(pool, arrivals, slots, shares, end_s):
    waiting = {team: collections.deque() for team in shares}
    running = []
    counts = dict.fromkeys(shares, 0)
    done = []
    now_s = 0.0
    while now_s < end_s:
        while arrivals and arrivals[0].at_s <= now_s:
            item = arrivals.popleft()
            waiting[item.team].append(item)
        for end, team in [r for r in running if r[0] <= now_s]:
            running.remove((end, team))
            counts[team] -= 1
        targets = _divide(waiting, counts, shares, slots)
        while len(running) < slots:
            team = _choose(waiting, counts, targets, shares)
            if team is None:
                break
            item = waiting[team].popleft()
            counts[team] += 1
            running.append((now_s + item.run_s, team))
            done.append((pool, team, now_s, now_s + item.run_s))
        now_s += TICK_S
    return done


def _divide(waiting, counts, shares, slots):
    claims = {
        team: contracts.WeightedDemand(
            weight=share, demand=counts[team] + len(waiting[team])
        )
        for team, share in shares.items()
    }
    return contracts.divide_slots(claims, slots)


def _choose(waiting, counts, targets, shares):
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
