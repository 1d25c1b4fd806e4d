"""Which task made a worker crash, and when a task is given up for it.

Load: a task crashes each worker that starts it, and all other runs there are
lost with it. Nothing reports the cause. Tasks that are queued again together
would crash the next worker together, with new neighbours.

A crash follows the start of its cause, so runs that have been seen running
for a while are not blamed, unless no other run was there. A suspect is
started again where no other suspect is. A task is given up once it was the
only suspect in several crashes that are alike; one that then runs for longer
than before is cleared.

What tells the cause from a run that was merely there: it crashes its worker
each time at the same point of its work. Two crashes right after a start are
enough, as others seldom fall there. Of crashes later on three have to follow
a start after about the same time. Workers also crash for other reasons, one
after the other; then the times differ.
"""

import msgspec

__all__ = [
    'MAX_SUSPECT_AGE_S',
    'SETTLED_S',
    'CrashRecord',
    'CrashedRun',
    'UnresolvedRun',
    'attribute_crash',
    'count_sole_crashes',
    'drop_needless',
    'is_cleared',
    'is_settled',
    'is_suspect',
    'should_give_up',
]

# A run that was seen running this long after its start is not the first to be
# blamed for a crash of its worker.
SETTLED_S = 0.15
# A run that was seen running for this long is never blamed.
MAX_SUSPECT_AGE_S = 10.0
# Crashes in which a task was the only suspect, after which it is given up
# unless it lasts.
MAX_SOLE_CRASHES = 2
# Crashes in which a task was one of several suspects, after which it is given
# up too. A task may be started twice after three crashes, and one crash may
# have been missed at a change of the owner.
MAX_SUSPECTED_CRASHES = 4
# Crashes under a task as a suspect, about as long after its start, after which
# it is given up unless it lasts; in most of them it was the only one.
MAX_LIKE_CRASHES = 3
# Most crashes that are kept of a task.
MAX_RECORDS = 8
# Times after a start are alike when they differ by at most this part, or by
# this time: what was seen of a run is as old as its worker's last report.
LIKE_FRACTION = 0.25
LIKE_S = 0.3


class CrashRecord(msgspec.Struct, kw_only=True, frozen=True):
    """A crash of a worker that had a run of a task.

    :param run: number of the run.
    :param survived_s: how long the run had been seen running.
    :param suspect: whether the run is one of those that are to blame first.
    :param sole: whether it is the only one of these.
    """

    run: int
    survived_s: float = 0.0
    suspect: bool = False
    sole: bool = False


class UnresolvedRun(msgspec.Struct, kw_only=True, frozen=True):
    """A run of a suspect on a worker that may crash, or may have crashed.

    :param run: number of the run.
    :param worker_id: its worker.
    :param born_ms: start of the worker's incarnation (Unix time); 0 when not
        known.
    :param vm: VM of the worker.
    :param survived_s: how long the run had been seen running.
    :param sole: whether it was the only suspect there.
    """

    run: int
    worker_id: str
    born_ms: int = 0
    vm: str = ''
    survived_s: float = 0.0
    sole: bool = False


class CrashedRun:
    """A run on a worker when it crashed.

    :param number: number of the run.
    :param unit: what is given up as a whole: a task, or all tasks of a gang.
    :param survived_s: how long the run had been seen running.
    :param crashes: :class:`CrashRecord` of each earlier crash under the unit.
    """

    __slots__ = ('number', 'unit', 'survived_s', 'crashes')

    def __init__(self, *, number, unit, survived_s, crashes=()):
        self.number = number
        self.unit = unit
        self.survived_s = survived_s
        self.crashes = crashes


def attribute_crash(runs):
    """Return the :class:`CrashRecord` of each unit that may be the cause.

    :param runs: :class:`CrashedRun` of each run that the worker had.
    :returns: dict with the records by unit.
    """
    recent = [run for run in runs if run.survived_s < MAX_SUSPECT_AGE_S]
    suspects = [
        run for run in recent if run.crashes or not is_settled(run.survived_s)
    ] or recent
    units = {run.unit for run in suspects}
    return {
        run.unit: CrashRecord(
            run=run.number,
            survived_s=run.survived_s,
            suspect=run.unit in units,
            sole=units == {run.unit},
        )
        for run in recent
    }


def is_settled(survived_s):
    """Return whether a run has been seen running for a while."""
    return survived_s >= SETTLED_S


def is_suspect(crashes):
    """Return whether a task is to be started apart from other suspects."""
    return any(crash.suspect for crash in crashes)


def count_sole_crashes(crashes):
    """Return in how many crashes a task was the only suspect."""
    return sum(crash.sole for crash in crashes)


def should_give_up(crashes, *, lasting=False):
    """Return whether a task is not to be started again.

    :param lasting: it runs until it is cancelled. Its job has served for long,
        and its other tasks end with it, so more evidence is asked for: workers
        that are lost together may be lost under the same task twice.
    """
    if sum(crash.suspect for crash in crashes) >= MAX_SUSPECTED_CRASHES:
        return True
    if lasting:
        return False
    sole_s = [crash.survived_s for crash in crashes if crash.sole]
    if len(sole_s) < MAX_SOLE_CRASHES:
        return False
    early = sum(not is_settled(time_s) for time_s in sole_s)
    suspect_s = [crash.survived_s for crash in crashes if crash.suspect]
    return early >= MAX_SOLE_CRASHES or any(
        sum(_is_like(time_s, other_s) for other_s in suspect_s)
        >= MAX_LIKE_CRASHES
        for time_s in sole_s
    )


def _is_like(time_s, other_s):
    return abs(time_s - other_s) <= max(
        LIKE_S, LIKE_FRACTION * max(time_s, other_s)
    )


def drop_needless(crashes):
    """Drop the oldest crashes that a decision can do without.

    A task that is beside others that crash their workers has more and more of
    them. What is needed are those that it may have caused, and the longest
    time that a run of it was seen.

    :param crashes: list that is shortened to ``MAX_RECORDS``.
    """
    longest = max(crashes, key=lambda crash: crash.survived_s, default=None)
    for crash in list(crashes):
        if len(crashes) <= MAX_RECORDS:
            return
        if not crash.suspect and crash is not longest:
            crashes.remove(crash)


def is_cleared(crashes, survived_s):
    """Return whether a run has outlived all crashes under its task."""
    longest_s = max((crash.survived_s for crash in crashes), default=0.0)
    return survived_s >= longest_s + SETTLED_S
