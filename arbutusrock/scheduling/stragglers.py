"""Detection of stragglers: runs that are slowed down by their VM.

Load: workers slow down to a sixth of their speed, or make no progress while
they still report. Declared durations are wrong by half and say nothing about
a single worker. The tasks of one step are alike, though: a run far behind its
siblings on other VMs is slowed down by its own VM. Where the step allows
extra runs, one is started on another VM; otherwise the run is stopped and
restarted elsewhere.
"""

import enum

__all__ = ['Remedy', 'RunView', 'choose_remedy']

# Younger runs are not judged: starting and reporting take some time.
MIN_AGE_S = 0.7
# A run whose percentage has not risen for this time is stalled.
STALL_TIMEOUT_S = 1.3
# A run is slow when it takes this many times the median of its siblings.
SLOW_FACTOR = 2.5
# Siblings on other VMs whose durations must be known for a comparison.
MIN_SIBLINGS = 2
# A restarted run must be expected to end within this part of the time that
# the slow one still needs.
MAX_RESTART_FRACTION = 0.6


class Remedy(enum.Enum):
    """What to do about a run: nothing, start an extra run, or restart it."""

    NONE = 'none'
    COPY = 'copy'
    RESTART = 'restart'


class RunView:
    """A run as of the last report of its worker.

    :param age_s: time from the start of the run to the report.
    :param percent: progress of the run.
    :param stalled_s: time from the last rise of the percentage to the report.
    :param sibling_durations_s: durations of other tasks of the same step on
        other VMs.
    :param speculative: an extra run may be started beside it.
    :param checkpointing: the run saves its progress when it is stopped.
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
    """Return whether a run makes no progress while its worker reports."""
    return run.stalled_s > STALL_TIMEOUT_S


def _is_slow(run):
    """Return whether a run is far behind its siblings and a restart pays."""
    if len(run.sibling_durations_s) < MIN_SIBLINGS:
        return False
    median_s = sorted(run.sibling_durations_s)[
        len(run.sibling_durations_s) // 2
    ]
    expected_duration_s = run.age_s * 100 / max(run.percent, 1.0)
    if expected_duration_s < median_s * SLOW_FACTOR:
        return False
    restart_duration_s = median_s
    if run.checkpointing:
        restart_duration_s *= 1 - run.percent / 100
    return (
        restart_duration_s
        < (expected_duration_s - run.age_s) * MAX_RESTART_FRACTION
    )
