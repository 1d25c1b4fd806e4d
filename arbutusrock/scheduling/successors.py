"""Which node owns the unit next when its owner is stopped as planned.

Load: rolling restarts, one after the other or overlapping. Each node is
stopped once in each of them, those first that have been up for longest, and
several may be stopping at a time. A release to anybody gave the unit to nodes
that were stopped next, or to nobody for a second.
"""

__all__ = ['Candidate', 'choose_successor']


class Candidate:
    """A node that has answered whether it can own the unit.

    :param name: of the node.
    :param up_s: how long its process has been serving (s).
    :param claim_delay_s: how long it lets others claim first, as it has less
        processor time than the work of an owner may need (s).
    :param can_own: whether it may claim: it is not about to stop, and knows
        the configuration.
    """

    __slots__ = ('name', 'up_s', 'claim_delay_s', 'can_own')

    def __init__(self, *, name, up_s, can_own, claim_delay_s=0.0):
        self.name = name
        self.up_s = up_s
        self.claim_delay_s = claim_delay_s
        self.can_own = can_own


def choose_successor(candidates):
    """Return the name of the node to pass the unit to; empty without one.

    Of those with the most processor time, the node that was started last is
    the last to be stopped by a rolling restart that is under way.

    :param candidates: each :class:`Candidate`.

    >>> nodes = [('a', 9.0, True), ('b', 2.0, True), ('c', 1.0, False)]
    >>> choose_successor(
    ...     Candidate(name=name, up_s=up_s, can_own=can_own)
    ...     for name, up_s, can_own in nodes
    ... )
    'b'
    """
    able = [item for item in candidates if item.can_own]
    if not able:
        return ''
    return min(
        able, key=lambda item: (item.claim_delay_s, item.up_s, item.name)
    ).name
