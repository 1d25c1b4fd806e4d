"""Detection of stragglers: runs that are slowed down by their VM.

Load: workers slow down to a sixth of their speed, or make no progress while
they still report. Declared durations are wrong by half and say nothing about
a single worker. The tasks of one step are alike, though: a run far behind its
siblings on other VMs is slowed down by its own VM. Where the step allows
extra runs, one is started on another VM; otherwise the run is stopped and
restarted elsewhere.

A run stalls when its percentage does not rise although its report could show
it. Workers report whole percents: those of a task of ten minutes rise each six
seconds. How often they rise is taken from the declared estimate, which may be
wrong by ten, and from the last rise that was seen.

One task in thirty takes seven times as long on any VM. Where other runs show
that the VM works as expected, a run far behind is one of these: elsewhere it
would take as long again, so it stays. A VM that is known to be slow is left as
soon as its run would end sooner elsewhere.
"""

import enum

__all__ = ['Remedy', 'RunView', 'choose_remedy']

# Younger runs are not judged: starting and reporting take some time.
MIN_AGE_S = 0.7
# The same on a VM that is known to be slow.
MIN_AGE_ON_SLOW_VM_S = 0.3
# A run whose percentage has not risen for this time is stalled, if it can be
# expected to have risen.
STALL_TIMEOUT_S = 1.3
# Part of the estimate in which the percentage of a run rises at least once:
# one percent of ten times the estimate, and half as much for the report.
RISE_FRACTION = 0.15
# A rise may take this many times as long for a percent as the last one.
RISE_FACTOR = 2.5
# A run is slow when it takes this many times the median of its siblings.
SLOW_FACTOR = 2.5
# The time of a run of unknown duration is doubled this often.
MAX_DOUBLINGS = 12
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
    :param estimate_s: declared estimate of its duration; 0 without one.
    :param rise_s: time that the last rise took for each percent; 0 before the
        first one.
    :param starts: number of runs of the task so far.
    :param sibling_durations_s: durations of other tasks of the same step on
        other VMs.
    :param speculative: an extra run may be started beside it.
    :param checkpointing: the run saves its progress when it is stopped.
    :param expected_s: duration of such a task on a sound VM.
    :param vm_speed: speed at which its VM works; 1 as expected.
    :param vm_sound: other runs show that its VM works as expected.
    """

    __slots__ = (
        'age_s',
        'percent',
        'stalled_s',
        'estimate_s',
        'rise_s',
        'starts',
        'sibling_durations_s',
        'speculative',
        'checkpointing',
        'expected_s',
        'vm_speed',
        'vm_sound',
    )

    def __init__(
        self,
        *,
        age_s,
        percent,
        stalled_s,
        estimate_s=0.0,
        rise_s=0.0,
        starts=1,
        sibling_durations_s=(),
        speculative=False,
        checkpointing=False,
        expected_s=0.0,
        vm_speed=1.0,
        vm_sound=False,
    ):
        self.age_s = age_s
        self.percent = percent
        self.stalled_s = stalled_s
        self.estimate_s = estimate_s
        self.rise_s = rise_s
        self.starts = starts
        self.sibling_durations_s = sibling_durations_s
        self.speculative = speculative
        self.checkpointing = checkpointing
        self.expected_s = expected_s
        self.vm_speed = vm_speed
        self.vm_sound = vm_sound


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
    if run.vm_speed < 1:
        min_age_s, is_slow = MIN_AGE_ON_SLOW_VM_S, _ends_sooner_elsewhere
    else:
        min_age_s, is_slow = MIN_AGE_S, _is_slow
    if run.age_s < min_age_s or not (is_stalled(run) or is_slow(run)):
        return Remedy.NONE
    return Remedy.COPY if run.speculative else Remedy.RESTART


def is_stalled(run):
    """Return whether a run makes no progress while its worker reports.

    A run of unknown duration is given twice the time with each start: it may
    just take long.

    >>> def view(stalled_s, **fields):
    ...     return RunView(
    ...         age_s=700.0, percent=50, stalled_s=stalled_s, **fields)
    >>> is_stalled(view(6.0, estimate_s=1.0))
    True
    >>> is_stalled(view(6.0, estimate_s=60.0))
    False
    >>> is_stalled(view(6.0, estimate_s=1.0, rise_s=5.0))
    False
    """
    timeout_s = STALL_TIMEOUT_S
    if not (run.estimate_s or run.rise_s):
        timeout_s *= 2 ** min(max(run.starts, 1) - 1, MAX_DOUBLINGS)
    return run.stalled_s > max(
        timeout_s,
        run.estimate_s * RISE_FRACTION,
        run.rise_s * RISE_FACTOR,
    )


def _ends_sooner_elsewhere(run):
    """Return whether a run on a slow VM would end well sooner elsewhere."""
    left_s = run.expected_s * (1 - run.percent / 100)
    restart_s = left_s if run.checkpointing else run.expected_s
    return restart_s < left_s / run.vm_speed * MAX_RESTART_FRACTION


def _is_slow(run):
    """Return whether a run is far behind its siblings and a restart pays."""
    if run.vm_sound or len(run.sibling_durations_s) < MIN_SIBLINGS:
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
