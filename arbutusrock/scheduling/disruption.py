"""Which running tasks leave a VM that is to be emptied.

Load: a wave or a shrinking pool empties VMs on which serving tasks run.
Their users notice each task that is away, so tasks of one step move one
after the other, each only when the others are at work and a place is free.
"""

__all__ = ['may_disrupt']


def may_disrupt(*, unavailable, may_miss):
    """Return whether one more task of a serving step may be away.

    :param unavailable: other tasks of the step that are not at work.
    :param may_miss: how many may be away through our own actions.

    >>> (may_disrupt(unavailable=0, may_miss=1),
    ...  may_disrupt(unavailable=1, may_miss=1))
    (True, False)
    """
    return unavailable < max(1, may_miss)
