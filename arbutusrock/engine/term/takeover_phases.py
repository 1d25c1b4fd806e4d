"""Times the phases from the last sign of an earlier owner to full work."""

from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['TakeoverPhases']

# The phases are logged once all are over, at the latest after this time.
REPORT_AFTER_S = 5.0
# Share of the workers whose answer is awaited for the phase ``most_workers``.
MOST_WORKERS = 0.9
# Phases in the usual order. Times count from the claim, but ``detected`` is
# the time from the last heartbeat of the earlier owner to the claim.
PHASES = (
    'detected',
    'claimed',
    'rows_read',
    'first_pass',
    'first_worker',
    'first_start',
    'most_workers',
    'all_workers',
)
LOG = logs.get_log('takeover')


class TakeoverPhases:
    """When each phase of one takeover was over.

    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    :param heartbeat_at_s: when the last heartbeat of an earlier owner was
        seen; 0 when none was.
    :param claim_sent_at_s: when the claim was sent.
    """

    __slots__ = (
        'metrics',
        'claim_sent_at_s',
        'times_s',
        '_expected',
        '_answered',
        '_reported',
    )

    def __init__(self, *, metrics, heartbeat_at_s, claim_sent_at_s):
        self.metrics = metrics
        self.claim_sent_at_s = claim_sent_at_s
        self.times_s = {}
        self._expected = 0
        self._answered = 0
        self._reported = False
        if heartbeat_at_s:
            self.times_s['detected'] = claim_sent_at_s - heartbeat_at_s
        self.mark('claimed')

    def mark(self, phase):
        """Record the end of a phase; only the first call counts."""
        if phase not in self.times_s:
            self.times_s[phase] = clocks.now_s() - self.claim_sent_at_s

    def expect_workers(self, count):
        """Record how many workers must be asked for inherited runs."""
        self._expected = count

    def record_answer(self, worker):
        """Record an answer; the first of a possible holder of runs counts."""
        if worker.has_answered or not worker.inherited_lease.end_at_s:
            return
        self._answered += 1
        self.mark('first_worker')
        if self._answered >= MOST_WORKERS * self._expected:
            self.mark('most_workers')
        if self._answered >= self._expected:
            self.mark('all_workers')

    def report_due(self, epoch):
        """Log the phases once, when they are over or take too long."""
        waited_s = clocks.now_s() - self.claim_sent_at_s
        if self._reported or (
            len(self.times_s) < len(PHASES) and waited_s < REPORT_AFTER_S
        ):
            return
        self._reported = True
        times_s = {
            phase: round(self.times_s[phase], 3)
            for phase in PHASES
            if phase in self.times_s
        }
        for phase, seconds in times_s.items():
            self.metrics.set_gauge(
                'takeover_phase_seconds', seconds, (('phase', phase),)
            )
        LOG.info(
            'phases of the takeover',
            epoch=epoch,
            workers=self._expected,
            answered=self._answered,
            **times_s,
        )
