"""Disruption budget of serving tasks on VMs that are being evacuated.

Load: a wave or a shrinking pool evacuates VMs on which serving tasks run.
Users notice each serving task that is unavailable, so the tasks of one step
move one after the other, each only when the others are ready and there is
free capacity for it elsewhere.
"""

__all__ = ['may_disrupt']


def may_disrupt(*, unavailable, may_miss):
    """Return whether one more task of a serving step may be stopped.

    :param unavailable: number of other tasks of the step that are not ready.
    :param may_miss: disruption budget, how many tasks may be unavailable
        because the scheduler stopped them; 0 counts as 1.

    >>> (may_disrupt(unavailable=0, may_miss=1),
    ...  may_disrupt(unavailable=1, may_miss=1))
    (True, False)
    """
    return unavailable < max(1, may_miss)
