"""Which runs are too slow, and what to do about them.

Load: workers slow down to a sixth, or stand still while they still report.
Declared durations are off by half and tell nothing about one worker, but
tasks of one step are alike: a run that is far behind its siblings on other
VMs is held up by its own. A copy runs beside it where the step allows
copies; else it is stopped and starts elsewhere.
"""

import enum

__all__ = ['Remedy', 'RunView', 'choose_remedy']

# No run is judged before this time: starts and reports take their time.
MIN_AGE_S = 0.7
# A run whose percentage has not risen for this time stands still.
STALL_TIMEOUT_S = 1.3
# A run is slow when it takes this many times what its siblings take.
SLOW_FACTOR = 2.5
# Siblings elsewhere that must tell their duration.
MIN_SIBLINGS = 2
# A fresh start must be expected to end in this part of the time left.
MAX_RESTART_FRACTION = 0.6


class Remedy(enum.Enum):
    """What to do about a run."""

    NONE = 'none'
    COPY = 'copy'
    RESTART = 'restart'


class RunView:
    """A run as of its worker's last report.

    :param age_s: from its start to the report.
    :param percent: how much of it was done.
    :param stalled_s: from the last rise of the percentage to the report.
    :param sibling_durations_s: durations of other tasks of its step on other
        VMs.
    :param speculative: a copy may run beside it.
    :param checkpointing: a stop saves what it has done.
    """

    __slots__ = (
        'age_s',
        'percent',
        'stalled_s',
        'sibling_durations_s',
        'speculative',
        'checkpointing',
    )

    def __init__(
        self,
        *,
        age_s,
        percent,
        stalled_s,
        sibling_durations_s=(),
        speculative=False,
        checkpointing=False,
    ):
        self.age_s = age_s
        self.percent = percent
        self.stalled_s = stalled_s
        self.sibling_durations_s = sibling_durations_s
        self.speculative = speculative
        self.checkpointing = checkpointing


def choose_remedy(run):
    """Return the :class:`Remedy` for a run.

    >>> def view(age_s, percent, stalled_s):
    ...     return RunView(
    ...         age_s=age_s, percent=percent, stalled_s=stalled_s,
    ...         sibling_durations_s=(0.9, 1.0, 1.1))
    >>> choose_remedy(view(1.5, 80, 0.2)).value
    'none'
    >>> choose_remedy(view(2.0, 0, 2.0)).value
    'restart'
    >>> choose_remedy(view(1.0, 15, 0.1)).value
    'restart'
    """
    if run.age_s < MIN_AGE_S or not (is_stalled(run) or _is_slow(run)):
        return Remedy.NONE
    return Remedy.COPY if run.speculative else Remedy.RESTART


def is_stalled(run):
    """Return whether a run makes no progress although its worker reports."""
    return run.stalled_s > STALL_TIMEOUT_S


def _is_slow(run):
    if len(run.sibling_durations_s) < MIN_SIBLINGS:
        return False
    usual_s = sorted(run.sibling_durations_s)[
        len(run.sibling_durations_s) // 2
    ]
    whole_s = run.age_s * 100 / max(run.percent, 1.0)
    if whole_s < usual_s * SLOW_FACTOR:
        return False
    fresh_s = usual_s
    if run.checkpointing:
        fresh_s *= 1 - run.percent / 100
    return fresh_s < (whole_s - run.age_s) * MAX_RESTART_FRACTION
