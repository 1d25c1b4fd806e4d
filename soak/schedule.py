"""Schedule of faults, drawn from a seed."""

import random

__all__ = [
    'Fault',
    'KIND_SETS',
    'PARTITION_KIND',
    'TARGET_BY_KIND',
    'draw_faults',
]

# Time before the first fault, in which the system may start.
WARM_UP_S = 2.0
# The starts of two successive faults are at most this far apart, so that some
# faults overlap.
MAX_FAULT_GAP_S = 2.5
# Duration of a fault: some are shorter and some longer than a takeover (1.6 to
# 1.9 s) and than the owner's lease on workers (5 s).
MIN_DURATION_S, MAX_DURATION_S = 0.3, 6.0

# Target of each kind of fault.
TARGET_BY_KIND = {
    'kill': 'node',
    'kill the owner': 'owner',
    'kill all': 'all',
    'stop': 'node',
    'stop in turn': 'all',
    'pause': 'node',
    'pause the owner': 'owner',
    'slow the owner': 'owner',
    'store link cut': 'node',
    'store link cut to the owner': 'owner',
    'store link silent': 'node',
    'store link silent for open connections': 'owner',
    'store link one way': 'owner',
    'store link slow': 'node',
    'store link reset': 'node',
    'store busy': 'store',
    'store silent': 'store',
    'store loses answers': 'store',
    'store writes late': 'store',
    'store slow': 'store',
    'store forgets history': 'store',
    'VM service silent': 'vms',
    'VM service loses answers': 'vms',
    'worker crash': 'worker',
    'worker reboots': 'worker',
    'worker link cut': 'worker',
    'worker link one way': 'worker',
    'worker link reset': 'worker',
    'worker carries out late': 'worker',
    'worker fails all': 'worker',
    'worker silent': 'worker',
    'worker shrinks': 'worker',
    'deadly tasks': 'load',
    'configuration': 'operator',
    'wave': 'operator',
    'evacuation': 'operator',
    'odd entries': 'operator',
    'data centre cut off': 'owner',
}
# Kind of fault for which each node needs links of its own, and the load tasks
# that last.
PARTITION_KIND = 'data centre cut off'

# Kinds of faults that a seed draws from, by the name of the set. Seeds that
# failed keep the set of their time, as it decides on their faults.
_FIRST_KINDS = TARGET_BY_KIND.keys() - {
    'worker shrinks',
    'deadly tasks',
    'evacuation',
    'worker silent',
    'slow the owner',
    'worker reboots',
    'odd entries',
    PARTITION_KIND,
}
_SECOND_KINDS = _FIRST_KINDS | {'worker shrinks', 'deadly tasks'}
_THIRD_KINDS = _SECOND_KINDS | {'evacuation'}
_FIFTH_KINDS = _THIRD_KINDS | {'worker silent', 'slow the owner'}
_SIXTH_KINDS = _FIFTH_KINDS | {'worker reboots', 'odd entries'}
KIND_SETS = {
    'all': sorted(TARGET_BY_KIND),
    'seventh': sorted(_SIXTH_KINDS | {PARTITION_KIND}),
    'sixth': sorted(_SIXTH_KINDS),
    'fifth': sorted(_FIFTH_KINDS),
    'fourth': sorted(_THIRD_KINDS | {'worker silent'}),
    'third': sorted(_THIRD_KINDS),
    'second': sorted(_SECOND_KINDS),
    'first': sorted(_FIRST_KINDS),
}


class Fault:
    """One fault of the schedule.

    :param kind: one of :data:`TARGET_BY_KIND`.
    :param at_s: start, as time since the start of the load.
    :param duration_s: duration; ignored for kinds that are over at once.
    :param target_selector: number from 0 to 1 that selects the target among
        several nodes or workers.
    """

    __slots__ = ('kind', 'at_s', 'duration_s', 'target_selector')

    def __init__(self, *, kind, at_s, duration_s, target_selector):
        self.kind = kind
        self.at_s = at_s
        self.duration_s = duration_s
        self.target_selector = target_selector

    def __repr__(self):
        return f'{self.at_s:.1f} s {self.kind} for {self.duration_s:.1f} s'


def draw_faults(seed, seconds, kind_set='all'):
    """Return the faults of a seed, ordered by start.

    :param kind_set: one of :data:`KIND_SETS`.

    >>> first = [str(fault) for fault in draw_faults(1, 30)]
    >>> first == [str(fault) for fault in draw_faults(1, 30)]
    True
    """
    draw = random.Random(seed)  # noqa: S311
    # A seed uses few kinds, each several times: a series of one kind exposes
    # other errors than single faults do.
    kinds = draw.sample(KIND_SETS[kind_set], draw.randint(2, 5))
    faults, at_s = [], WARM_UP_S
    while at_s < seconds:
        faults.append(
            Fault(
                kind=draw.choice(kinds),
                at_s=at_s,
                duration_s=draw.uniform(MIN_DURATION_S, MAX_DURATION_S),
                target_selector=draw.random(),
            )
        )
        at_s += draw.uniform(0.0, MAX_FAULT_GAP_S)
    return faults
