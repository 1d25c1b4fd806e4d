"""How fast VMs work, from the progress of their runs.

Load: some VMs work at a fifth to a seventh of their speed for some seconds,
and are well again by themselves. At the same time one task in thirty takes
seven times as long as its siblings on any VM, so that about a fifth of all
runs at work are far behind. Declared durations are wrong by half both ways.

A run that lags is evidence against its VM, much weaker than a run at normal
speed is for it, as nearly all lag on a slow VM and none keeps up. Tasks of one
step share the error of what is expected of them, so that each step counts
once. A run that lags while others on its VM keep up is of the tail: it is no
evidence from then on, unless it falls far behind its own earlier speed. Where
nothing else runs, one that has lagged from its start counts for a short time
only, after which the VM is tried again.

What VMs say of their health is not used.
"""

import collections
import math
import statistics

__all__ = ['SpeedEstimate', 'VMSpeeds']

# Below this part of the expected speed a run lags. Expectations that are wrong
# by half do not reach it.
LAGGING_SPEED = 0.4
# From this part of the expected speed on a run keeps up. A run in between says
# nothing, as its VM may have changed in the interval.
NORMAL_SPEED = 0.6
# Least speed that is told apart from no progress.
MIN_SPEED = 0.1
# Progress is compared over at least this time, and over at least this part of
# the expected duration, as it is reported in whole percent.
MIN_INTERVAL_S = 0.4
MIN_INTERVAL_FRACTION = 0.05
# Observations count for this time.
EVIDENCE_S = 1.5
# A run that lags is of the tail when another one was seen to keep up this long
# after it had begun to lag; sooner, the VM may have turned slow in between.
TAIL_DELAY_S = 0.6
# A run that has never kept up counts against its VM for this time at most: it
# may be of the tail, and callers must not lose a sound VM for long.
MAX_UNPROVEN_S = 2.0
# Steps that must lag before a VM is judged slow.
MIN_LAGGING_STEPS = 2
# Odds that a VM is slow before anything is known, and what they are multiplied
# by for a step that lags, a step that lags after it has kept up, as the tail
# does not, and a run that keeps up.
PRIOR_ODDS = 0.05
LAGGING_ODDS = 5.0
DROPPED_ODDS = 15.0
NORMAL_ODDS = 0.05
# Odds of which a VM is judged slow.
SLOW_ODDS = 1.0
# VMs that are handed over to the next owner at most.
MAX_EXPORTED_VMS = 100


class SpeedEstimate:
    """Estimate of the speed of a VM.

    :param speed: its speed; 1 for a VM that works as expected.
    :param sureness: probability that it is slow (0 to 1).
    :param known_sound: whether runs were lately seen to keep up there.
    """

    __slots__ = ('speed', 'sureness', 'known_sound')

    def __init__(self, *, speed=1.0, sureness=0.0, known_sound=False):
        self.speed = speed
        self.sureness = sureness
        self.known_sound = known_sound

    @property
    def slow(self):
        """Whether the VM is judged slow."""
        return self.speed < 1.0


# Estimate of a VM of which nothing is known.
SOUND = SpeedEstimate()


class _Observation:
    """Speed of a run between ``since_s`` and ``at_s``.

    :param odds: what it multiplies the odds by.
    :param until_s: until when it counts.
    """

    __slots__ = ('step', 'speed', 'odds', 'since_s', 'at_s', 'until_s')

    def __init__(self, *, step, speed, odds, since_s, at_s, until_s):
        self.step = step
        self.speed = speed
        self.odds = odds
        self.since_s = since_s
        self.at_s = at_s
        self.until_s = until_s


class _Track:
    """Progress of a run up to the last observation of it."""

    __slots__ = (
        'done',
        'clock_s',
        'seen_at_s',
        'kept_up',
        'lagging_since_s',
        'own_speed',
    )

    def __init__(self, *, done, clock_s, now_s):
        self.done = done
        self.clock_s = clock_s
        self.seen_at_s = now_s
        # Whether it was ever seen to keep up.
        self.kept_up = False
        # Since when it lags; None while it does not.
        self.lagging_since_s = None
        # Speed of a run of the tail; None for other runs.
        self.own_speed = None


class VMSpeeds:
    """Speeds of VMs, estimated from their runs.

    Without evidence, and after ``EVIDENCE_S`` without new evidence, a VM is
    taken to work at speed 1.
    """

    __slots__ = (
        'slow_vms',
        '_estimates',
        '_tracks',
        '_observations',
        '_inherited',
    )

    def __init__(self):
        # Speeds of VMs judged slow at the last call of ``update``, and all
        # that was found then, by VM.
        self.slow_vms = {}
        self._estimates = {}
        # By VM, then by run.
        self._tracks = collections.defaultdict(dict)
        self._observations = collections.defaultdict(dict)
        # By VM, speed found by the earlier owner and until when it counts.
        self._inherited = {}

    def record_progress(
        self, *, vm, run, step, done, expected_s, clock_s, now_s
    ):
        """Record how far a run is.

        :param run: what identifies the run.
        :param step: what identifies its step; all its tasks are alike.
        :param done: part of its work that is done (0 to 1).
        :param expected_s: duration of such a task on a VM at speed 1 (s).
        :param clock_s: when it had done this, by any steady clock that is
            the same for all reports of the run (s).
        """
        track = self._tracks[vm].get(run)
        if track is None or clock_s < track.clock_s:
            self._tracks[vm][run] = _Track(
                done=done, clock_s=clock_s, now_s=now_s
            )
            return
        interval_s = clock_s - track.clock_s
        min_interval_s = max(
            MIN_INTERVAL_S, expected_s * MIN_INTERVAL_FRACTION
        )
        if interval_s < min_interval_s or expected_s <= 0:
            return
        speed = (done - track.done) * expected_s / interval_s
        self._observe(vm, run, step, track, speed, now_s)
        track.done, track.clock_s, track.seen_at_s = done, clock_s, now_s

    def _observe(self, vm, run, step, track, speed, now_s):
        """Count what a run has done since the last observation of it."""
        self._observations[vm].pop(run, None)
        since_s = track.seen_at_s
        if track.own_speed is not None:
            # What it needs is known from itself.
            speed /= track.own_speed
            if speed >= LAGGING_SPEED:
                return
        if speed >= LAGGING_SPEED:
            track.lagging_since_s = None
            track.kept_up = track.kept_up or speed >= NORMAL_SPEED
            odds, until_s = NORMAL_ODDS, now_s + EVIDENCE_S
        else:
            if track.lagging_since_s is None:
                track.lagging_since_s = since_s
            lagging_since_s = track.lagging_since_s
            if not track.kept_up and self._keeps_up_after(
                vm, lagging_since_s + TAIL_DELAY_S, now_s
            ):
                track.kept_up = True
                track.own_speed = max(speed, MIN_SPEED)
                track.lagging_since_s = None
                return
            odds, until_s = DROPPED_ODDS, now_s + EVIDENCE_S
            if not track.kept_up:
                odds = LAGGING_ODDS
                until_s = min(until_s, lagging_since_s + MAX_UNPROVEN_S)
        self._observations[vm][run] = _Observation(
            step=step,
            speed=speed,
            odds=odds,
            since_s=since_s,
            at_s=now_s,
            until_s=until_s,
        )

    def _find_observations(self, vm, now_s):
        return [
            item
            for item in self._observations.get(vm, {}).values()
            if now_s < item.until_s
        ]

    def _keeps_up_after(self, vm, after_s, now_s):
        return any(
            item.speed >= NORMAL_SPEED and item.at_s > after_s
            for item in self._find_observations(vm, now_s)
        )

    def record_end(self, *, vm, run, step, expected_s, clock_s, now_s):
        """Record that a run has done all of its work."""
        if run in self._tracks.get(vm, ()):
            self.record_progress(
                vm=vm,
                run=run,
                step=step,
                done=1.0,
                expected_s=expected_s,
                clock_s=clock_s,
                now_s=now_s,
            )
            del self._tracks[vm][run]

    def estimate(self, vm, now_s):
        """Return the :class:`SpeedEstimate` of a VM."""
        observations = self._find_observations(vm, now_s)
        lagging = [x for x in observations if x.speed < LAGGING_SPEED]
        keeping_up = [x for x in observations if x.speed >= NORMAL_SPEED]
        if lagging:
            # What was seen before they lagged is over.
            since_s = max(item.since_s for item in lagging)
            keeping_up = [x for x in keeping_up if x.at_s > since_s]
        odds_by_step = {}
        for item in lagging:
            odds_by_step[item.step] = max(
                odds_by_step.get(item.step, 1.0), item.odds
            )
        odds = PRIOR_ODDS * math.prod(odds_by_step.values())
        odds *= NORMAL_ODDS ** len(keeping_up)
        sureness = odds / (1 + odds)
        if len(odds_by_step) < MIN_LAGGING_STEPS or odds < SLOW_ODDS:
            if not observations:
                return self._get_inherited(vm, now_s)
            return SpeedEstimate(
                sureness=sureness, known_sound=bool(keeping_up)
            )
        speed = statistics.median(item.speed for item in lagging)
        age_s = now_s - max(item.at_s for item in lagging)
        return SpeedEstimate(
            speed=max(speed, MIN_SPEED) ** (1 - age_s / EVIDENCE_S),
            sureness=sureness,
        )

    def _get_inherited(self, vm, now_s):
        speed, until_s = self._inherited.get(vm, (1.0, 0.0))
        return SpeedEstimate(
            speed=speed if now_s < until_s else 1.0,
            sureness=0.5 if now_s < until_s else 0.0,
        )

    def get(self, vm):
        """Return the estimate of a VM as of the last call of ``update``."""
        return self._estimates.get(vm, SOUND)

    def update(self, running, now_s):
        """Drop what is over, and find out which judgements have changed.

        :param running: container of the runs that go on.
        :returns: speeds of VMs newly judged slow, by VM, and VMs that are
            sound again.
        """
        for vm, tracks in list(self._tracks.items()):
            for run in [run for run in tracks if run not in running]:
                del tracks[run]
            if not tracks:
                del self._tracks[vm]
        for vm, observations in list(self._observations.items()):
            for run, item in list(observations.items()):
                if now_s >= item.until_s:
                    del observations[run]
            if not observations:
                del self._observations[vm]
        self._inherited = {
            vm: item for vm, item in self._inherited.items() if now_s < item[1]
        }
        self._estimates = {
            vm: self.estimate(vm, now_s)
            for vm in self._observations.keys() | self._inherited.keys()
        }
        before = self.slow_vms
        self.slow_vms = {
            vm: item.speed for vm, item in self._estimates.items() if item.slow
        }
        slow = {
            vm: speed
            for vm, speed in self.slow_vms.items()
            if vm not in before
        }
        return slow, [vm for vm in before if vm not in self.slow_vms]

    def export(self):
        """Return the speeds of slow VMs by VM, for the next owner."""
        chosen = sorted(self.slow_vms.items(), key=lambda x: (x[1], x[0]))
        return {vm: round(v, 2) for vm, v in chosen[:MAX_EXPORTED_VMS]}

    def restore(self, data, age_s, now_s):
        """Restore what an earlier owner has exported.

        It counts until the VM has shown more, and no longer than evidence.

        :param data: as returned by :meth:`export`.
        :param age_s: time since it was exported.
        """
        for vm, speed in sorted(data.items())[:MAX_EXPORTED_VMS]:
            if MIN_SPEED <= speed < 1 and 0 <= age_s < EVIDENCE_S:
                until_s = now_s + EVIDENCE_S - age_s
                self._inherited[vm] = (speed, until_s)
