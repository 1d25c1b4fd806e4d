"""Forecast of the demand on each pool when a VM ordered now has arrived.

Load: the queues burst in turn. A burst doubles within two seconds, and a VM
takes about as long to change its pool, so a pool that is sized by its waiting
work lags behind during the whole rise. Two things are learned from arrivals:
how fast demand rises now, and which pools had their last burst longest ago.
While one burst fades, standby VMs wait in the pools that may burst next.
"""

from collections import deque
import math

__all__ = ['Forecast']

# Window over which the arrival rate is measured.
WINDOW_S = 1.0
# Upper bound on the predicted growth of the rate: bursts double within two
# seconds, and a sudden start must not be taken for a trend.
MAX_GROWTH = 2.0
# A pool is in a burst from this fraction of its peak rate on. Between bursts
# the demand of a queue is about a twentieth of its mean.
BURST_FRACTION = 0.25
# A burst is fading when the rate is below this fraction of its peak.
FADING_FRACTION = 0.7
# The next burst is due when this fraction of the burst interval has passed
# since the last one began: bursts have their peak in the middle and overlap.
# The interval is the time between the starts of the last two bursts, but at
# least the minimum below.
DUE_FRACTION = 0.5
MIN_BURST_INTERVAL_S = 4.0
# Standby VMs cover this fraction of the usual peak: the demand that arises
# until VMs ordered at the first sign of a burst have arrived.
STANDBY_FRACTION = 0.35
# Standby VMs are kept for this long after the next burst was due. A later
# burst is handled without them, like the first one.
MAX_STANDBY_S = 6.0
# A burst has at least the demand of this many VMs, and at least this many jobs
# in two windows: a single job may be large.
MIN_BURST_VMS = 2
MIN_BURST_JOBS = 3
# A pool that is busy again after a shorter gap is still in the same burst. The
# bound is longer than a takeover by another owner.
MAX_BURST_GAP_S = 3.0


class _PoolHistory:
    """Recent arrivals and bursts of one pool."""

    __slots__ = (
        'jobs',
        'peak_millicores',
        'burst_peak_millicores',
        'in_burst',
        'began_at_s',
        'previous_began_at_s',
        'ended_at_s',
    )

    def __init__(self):
        # Tuples of (arrival, planned end, millicores needed until then).
        self.jobs = deque()
        # Peak rate of the last complete burst, and of the current one.
        self.peak_millicores = 0.0
        self.burst_peak_millicores = 0.0
        self.in_burst = False
        # Starts of the last burst and of the one before; None for none.
        self.began_at_s = None
        self.previous_began_at_s = None
        self.ended_at_s = 0.0

    def evict_jobs(self, now_s):
        """Evict jobs older than two windows that should have ended."""
        while (
            self.jobs
            and max(self.jobs[0][0] + 2 * WINDOW_S, self.jobs[0][1]) < now_s
        ):
            self.jobs.popleft()

    def begin_burst(self, now_s):
        """Record that a burst begins, or goes on after a short gap."""
        self.in_burst = True
        if (
            self.began_at_s is not None
            and now_s - self.ended_at_s < MAX_BURST_GAP_S
        ):
            self.burst_peak_millicores = self.peak_millicores
            return
        self.previous_began_at_s = self.began_at_s
        self.began_at_s = now_s
        self.burst_peak_millicores = 0.0

    def end_burst(self, now_s, max_peak_millicores):
        """Record that a burst ended; a small one is discarded.

        :param max_peak_millicores: highest peak of all pools.
        """
        self.in_burst = False
        if self.burst_peak_millicores < BURST_FRACTION * max_peak_millicores:
            self.began_at_s = self.previous_began_at_s
            return
        self.ended_at_s = now_s
        self.peak_millicores = self.burst_peak_millicores

    def measure_rates(self, now_s):
        """Return the rates of arriving work in the last two windows.

        :returns: ``(newest, before)`` in millicores.
        """
        newest = before = 0.0
        for at_s, until_s, millicores in reversed(self.jobs):
            age_s = now_s - at_s
            if age_s < WINDOW_S:
                newest += millicores * (until_s - at_s)
            elif age_s < 2 * WINDOW_S:
                before += millicores * (until_s - at_s)
            else:
                break
        return newest / WINDOW_S, before / WINDOW_S

    def count_jobs(self, now_s):
        """Return the number of jobs that arrived in the last two windows."""
        return sum(
            1 for at_s, _, _ in self.jobs if now_s - at_s < 2 * WINDOW_S
        )

    def estimate_growth(self, now_s, lead_s):
        """Return the expected growth until the middle of ``lead_s``.

        It is a factor on the rate of the last window. Only the part of a rise
        that exceeds chance counts: the number of arrivals of a steady queue
        varies by its square root.
        """
        newest = before = 0
        for at_s, _, _ in reversed(self.jobs):
            age_s = now_s - at_s
            if age_s >= 2 * WINDOW_S:
                break
            newest += age_s < WINDOW_S
            before += age_s >= WINDOW_S
        significant_rise = newest - before - math.sqrt(newest + before)
        if significant_rise <= 0:
            return 1.0
        growth = (
            1 + significant_rise / newest * (WINDOW_S + lead_s) / 2 / WINDOW_S
        )
        return min(growth, MAX_GROWTH)

    def measure_recent_demand(self, now_s):
        """Return the demand of the jobs of the last window.

        :returns: ``(sum of their millicores, mean planned duration)``.
        """
        recent = [item for item in self.jobs if now_s - item[0] < WINDOW_S]
        if not recent:
            return 0.0, 0.0
        total_duration_s = sum(until_s - at_s for at_s, until_s, _ in recent)
        return sum(
            millicores for _, _, millicores in recent
        ), total_duration_s / len(recent)


class Forecast:
    """Predicts demand and bursts of pools from the arrivals of jobs.

    :param vm_millicores: size of a typical VM; 0 while it is unknown.
    """

    __slots__ = ('vm_millicores', '_pools', '_due_at_s')

    def __init__(self, *, vm_millicores=0):
        self.vm_millicores = vm_millicores
        self._pools = {}
        # Time from which on the next burst is due; None while it is not.
        self._due_at_s = None

    def _get_history(self, pool):
        return self._pools.setdefault(pool, _PoolHistory())

    def record_job(self, pool, work_millicore_s, at_s, duration_s):
        """Record the arrival of a job.

        :param work_millicore_s: expected work.
        :param at_s: when the job arrived.
        :param duration_s: time over which the work is to be done.
        """
        millicores = work_millicore_s / duration_s
        self._get_history(pool).jobs.append(
            (at_s, at_s + duration_s, millicores)
        )

    def predict_millicores(self, pool, now_s, lead_s):
        """Return the millicores that a pool will need in ``lead_s``.

        This counts the jobs that have arrived and will not have ended by then,
        and the jobs that will arrive. A rise of the arrival rate is
        extrapolated, a fall is not.

        :param lead_s: time until a VM ordered now is in the pool.

        >>> forecast = Forecast()
        >>> for at_s in (0.5, 1.5):
        ...     forecast.record_job('a', 4000, at_s, 2.0)
        >>> forecast.predict_millicores('a', 2.0, 1.0)
        4000.0
        """
        history = self._get_history(pool)
        history.evict_jobs(now_s)
        remaining = sum(
            millicores
            for _, until_s, millicores in history.jobs
            if until_s > now_s + lead_s
        )
        demand_millicores, duration_s = history.measure_recent_demand(now_s)
        arriving = demand_millicores / WINDOW_S * min(lead_s, duration_s)
        return remaining + arriving * history.estimate_growth(now_s, lead_s)

    def update(self, pools, now_s):
        """Update which pools are in a burst and whether the next one is due.

        :param pools: names of the pools that take jobs.
        """
        max_peak_millicores = max(
            (
                max(
                    self._get_history(name).peak_millicores,
                    self._get_history(name).burst_peak_millicores,
                )
                for name in pools
            ),
            default=0.0,
        )
        for name in pools:
            self._update_pool(
                self._get_history(name), max_peak_millicores, now_s
            )
        active = [
            self._get_history(name)
            for name in pools
            if self._get_history(name).in_burst
        ]
        if not active:
            return
        fading = all(self._is_fading(history, now_s) for history in active)
        if not fading and not self._is_next_burst_due(now_s):
            self._due_at_s = None
        elif self._due_at_s is None:
            self._due_at_s = now_s

    def _is_next_burst_due(self, now_s):
        """Return whether the last burst began long enough ago."""
        starts = sorted(
            history.began_at_s
            for history in self._pools.values()
            if history.began_at_s is not None
        )
        if len(starts) < 2:
            return False
        interval_s = max(MIN_BURST_INTERVAL_S, starts[-1] - starts[-2])
        return now_s - starts[-1] > interval_s * DUE_FRACTION

    def _update_pool(self, history, max_peak_millicores, now_s):
        history.evict_jobs(now_s)
        rate, before = history.measure_rates(now_s)
        min_rate = max(
            BURST_FRACTION * (history.peak_millicores or max_peak_millicores),
            BURST_FRACTION * history.burst_peak_millicores,
            MIN_BURST_VMS * self.vm_millicores,
        )
        if rate >= min_rate and history.count_jobs(now_s) >= MIN_BURST_JOBS:
            if not history.in_burst:
                history.begin_burst(now_s)
            history.burst_peak_millicores = max(
                history.burst_peak_millicores, (rate + before) / 2
            )
        elif history.in_burst:
            history.end_burst(now_s, max_peak_millicores)

    @staticmethod
    def _is_fading(history, now_s):
        return sum(history.measure_rates(now_s)) < (
            2 * history.burst_peak_millicores * FADING_FRACTION
        )

    def is_off_peak(self, pool, now_s):
        """Return whether a pool has no burst, or one that is fading."""
        history = self._get_history(pool)
        return not history.in_burst or self._is_fading(history, now_s)

    def find_next_pools(self, pools):
        """Return the pools that may burst next.

        These are the pools that had no burst yet. If all had one, it is the
        pool whose last burst is longest ago.
        """
        not_in_burst = [
            name for name in pools if not self._get_history(name).in_burst
        ]
        without_burst = [
            name
            for name in not_in_burst
            if self._get_history(name).began_at_s is None
        ]
        if without_burst or not not_in_burst:
            return without_burst
        return [
            min(
                not_in_burst,
                key=lambda name: self._get_history(name).began_at_s,
            )
        ]

    def count_standby_vms(self, pools, now_s):
        """Return by pool how many empty VMs to hold as standby VMs."""
        if self._due_at_s is None or not self.vm_millicores:
            return {}
        if now_s - self._due_at_s > MAX_STANDBY_S:
            return {}
        names = self.find_next_pools(pools)
        if not names:
            return {}
        peaks = [
            max(history.peak_millicores, history.burst_peak_millicores)
            for history in self._pools.values()
            if history.began_at_s is not None
        ]
        mean_peak = sum(peaks) / len(peaks) if peaks else 0.0
        return {
            name: math.ceil(
                (self._get_history(name).peak_millicores or mean_peak)
                * STANDBY_FRACTION
                / self.vm_millicores
                / len(names)
            )
            for name in names
        }

    def export_bursts(self, now_s):
        """Return the last bursts for the next owner: pool to (age, peak).

        The age is the time since the last burst of the pool began. The peak is
        in millicores.
        """
        return {
            name: (
                round(now_s - history.began_at_s, 1),
                round(
                    max(history.peak_millicores, history.burst_peak_millicores)
                ),
            )
            for name, history in self._pools.items()
            if history.began_at_s is not None
        }

    def restore(self, bursts, now_s):
        """Restore the bursts that a previous owner has exported."""
        for name, (age_s, peak_millicores) in bursts.items():
            history = self._get_history(name)
            history.began_at_s = now_s - age_s
            history.ended_at_s = now_s
            history.peak_millicores = peak_millicores
