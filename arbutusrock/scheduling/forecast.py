"""What pools will be asked for when a VM that is ordered now has come.

Load: the queues burst in turn. A burst doubles within two seconds, and a VM
takes about as long to change its pool, so a pool that is sized by the work
that waits lags behind the whole rise. Two things are learned from arrivals:
how fast demand rises now, and which pools had their burst longest ago. While
one burst fades, VMs stand by in the pools whose turn may be next.
"""

from collections import deque
import math

__all__ = ['Forecast']

# Span of one measurement of the rate of arrivals.
WINDOW_S = 1.0
# A rise is trusted up to this factor: bursts double within two seconds, and a
# sudden start is no trend.
MAX_GROWTH = 2.0
# Part of a pool's highest rate from which on it is in a burst; between bursts
# queues ask for about a twentieth of their mean.
BURST_FRACTION = 0.25
# Part of a burst's highest rate below which it fades.
FADING_FRACTION = 0.7
# The next burst is due in this part of the time between the begins of the
# last two: a burst has its peak in the middle, and bursts overlap. Shorter
# turns count as so long.
DUE_FRACTION = 0.5
MIN_BURST_INTERVAL_S = 4.0
# Part of the usual peak that stands by: what arrives until VMs that are
# ordered at the first sign of a burst have come.
STANDBY_FRACTION = 0.35
# VMs stand by for this long after the next burst was due: then it is met
# like the first one.
MAX_STANDBY_S = 6.0
# Less than the room of so many VMs is no burst, and less than so many jobs in
# two spans: single ones are large.
MIN_BURST_VMS = 2
MIN_BURST_JOBS = 3
# A pool that is busy again after less than this time is still in the same
# burst; more than the takeover by another owner.
MAX_BURST_GAP_S = 3.0


class _PoolHistory:
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
        # (arrival, planned end, thousandths of a core until then).
        self.jobs = deque()
        # Highest rate of the last whole burst, and of the one under way.
        self.peak_millicores = 0.0
        self.burst_peak_millicores = 0.0
        self.in_burst = False
        # When its last burst began, and the one before; None for none.
        self.began_at_s = None
        self.previous_began_at_s = None
        self.ended_at_s = 0.0

    def evict_jobs(self, now_s):
        """Drop jobs that are old and should have ended."""
        while (
            self.jobs
            and max(self.jobs[0][0] + 2 * WINDOW_S, self.jobs[0][1]) < now_s
        ):
            self.jobs.popleft()

    def begin_burst(self, now_s):
        """Note the begin of a burst, or the end of a lull."""
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
        """Note the end of a burst; a small one does not count."""
        self.in_burst = False
        if self.burst_peak_millicores < BURST_FRACTION * max_peak_millicores:
            self.began_at_s = self.previous_began_at_s
            return
        self.ended_at_s = now_s
        self.peak_millicores = self.burst_peak_millicores

    def measure_rates(self, now_s):
        """Return the rates of arriving work in the last two spans.

        :returns: ``(newest, before)`` in thousandths of a core.
        """
        newest = before = 0.0
        for at_s, until_s, cpu in reversed(self.jobs):
            age_s = now_s - at_s
            if age_s < WINDOW_S:
                newest += cpu * (until_s - at_s)
            elif age_s < 2 * WINDOW_S:
                before += cpu * (until_s - at_s)
            else:
                break
        return newest / WINDOW_S, before / WINDOW_S

    def count_jobs(self, now_s):
        """Return the arrivals of the last two spans."""
        return sum(
            1 for at_s, _, _ in self.jobs if now_s - at_s < 2 * WINDOW_S
        )

    def estimate_growth(self, now_s, lead_s):
        """Return how the rate will grow until the middle of ``lead_s``.

        It is a factor of the rate of the last span. Only what a rise has
        beyond chance counts: arrivals of a steady queue differ by the root
        of their number.
        """
        newest = before = 0
        for at_s, _, _ in reversed(self.jobs):
            age_s = now_s - at_s
            if age_s >= 2 * WINDOW_S:
                break
            newest += age_s < WINDOW_S
            before += age_s >= WINDOW_S
        risen = newest - before - math.sqrt(newest + before)
        if risen <= 0:
            return 1.0
        growth = 1 + risen / newest * (WINDOW_S + lead_s) / 2 / WINDOW_S
        return min(growth, MAX_GROWTH)

    def measure_recent_demand(self, now_s):
        """Return what the jobs of the last span need.

        :returns: ``(sum of their needs, mean time that they take)``.
        """
        recent = [item for item in self.jobs if now_s - item[0] < WINDOW_S]
        if not recent:
            return 0.0, 0.0
        spans = sum(until_s - at_s for at_s, until_s, _ in recent)
        return sum(cpu for _, _, cpu in recent), spans / len(recent)


class Forecast:
    """Arrivals and bursts by pool.

    :param vm_millicores: thousandths of a core of a usual VM.
    """

    __slots__ = ('vm_millicores', '_pools', '_due_at_s')

    def __init__(self, *, vm_millicores=0):
        self.vm_millicores = vm_millicores
        self._pools = {}
        # Since when the next burst is due; None while it is not.
        self._due_at_s = None

    def _get_history(self, pool):
        return self._pools.setdefault(pool, _PoolHistory())

    def record_job(self, pool, work_millicore_s, at_s, duration_s):
        """Count an arrival.

        :param work_millicore_s: expected work (thousandths of core-seconds).
        :param duration_s: time over which it is to be done.
        """
        cpu = work_millicore_s / duration_s
        self._get_history(pool).jobs.append((at_s, at_s + duration_s, cpu))

    def predict_millicores(self, pool, now_s, lead_s):
        """Return what the jobs of a pool will need in ``lead_s``.

        Those that have arrived and will not have ended, and those that will
        arrive. A rise of the rate is taken to go on, a fall is not.

        >>> forecast = Forecast()
        >>> for at_s in (0.5, 1.5):
        ...     forecast.record_job('a', 4000, at_s, 2.0)
        >>> forecast.predict_millicores('a', 2.0, 1.0)
        4000.0
        """
        history = self._get_history(pool)
        history.evict_jobs(now_s)
        present = sum(
            cpu for _, until_s, cpu in history.jobs if until_s > now_s + lead_s
        )
        need, duration_s = history.measure_recent_demand(now_s)
        coming = need / WINDOW_S * min(lead_s, duration_s)
        return present + coming * history.estimate_growth(now_s, lead_s)

    def update(self, pools, now_s):
        """Note which pools are in a burst.

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
        """Return whether the last burst began nearly a turn ago."""
        begins = sorted(
            history.began_at_s
            for history in self._pools.values()
            if history.began_at_s is not None
        )
        if len(begins) < 2:
            return False
        turn_s = max(MIN_BURST_INTERVAL_S, begins[-1] - begins[-2])
        return now_s - begins[-1] > turn_s * DUE_FRACTION

    def _update_pool(self, history, max_peak_millicores, now_s):
        history.evict_jobs(now_s)
        rate, before = history.measure_rates(now_s)
        least = max(
            BURST_FRACTION * (history.peak_millicores or max_peak_millicores),
            BURST_FRACTION * history.burst_peak_millicores,
            MIN_BURST_VMS * self.vm_millicores,
        )
        if rate >= least and history.count_jobs(now_s) >= MIN_BURST_JOBS:
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
        """Return whether no burst rises or lasts in a pool."""
        history = self._get_history(pool)
        return not history.in_burst or self._is_fading(history, now_s)

    def find_next_pools(self, pools):
        """Return the pools whose turn may be next.

        Those that had no burst yet; when all had one, the pool whose burst
        is longest ago.
        """
        resting = [
            name for name in pools if not self._get_history(name).in_burst
        ]
        fresh = [
            name
            for name in resting
            if self._get_history(name).began_at_s is None
        ]
        if fresh or not resting:
            return fresh
        return [
            min(resting, key=lambda name: self._get_history(name).began_at_s)
        ]

    def count_standby_vms(self, pools, now_s):
        """Return how many empty VMs are to stand by, by pool."""
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
        usual = sum(peaks) / len(peaks) if peaks else 0.0
        return {
            name: math.ceil(
                (self._get_history(name).peak_millicores or usual)
                * STANDBY_FRACTION
                / self.vm_millicores
                / len(names)
            )
            for name in names
        }

    def export_bursts(self, now_s):
        """Return what a following owner needs: pool to (age, peak).

        The age is the time since the pool's last burst began.
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
        """Take over what an earlier owner has learned."""
        for name, (age_s, peak_millicores) in bursts.items():
            history = self._get_history(name)
            history.began_at_s = now_s - age_s
            history.ended_at_s = now_s
            history.peak_millicores = peak_millicores
