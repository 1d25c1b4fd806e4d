"""What the parts of an owner share during one ownership."""

import asyncio

from arbutusrock.engine import fleet as fleet_module
from arbutusrock.engine import job_registry
from arbutusrock.scheduling import admission
from arbutusrock.scheduling import estimates
from arbutusrock.scheduling import forecast
from arbutusrock.scheduling import vm_health
from arbutusrock.utils import clocks

__all__ = ['CONFIRMATION_VALID_S', 'LEASE_S', 'OwnershipLost', 'Term']

# Long enough to bridge the takeover by another node (about 3 s), short
# enough that the work of a lost worker is soon run elsewhere.
LEASE_S = 5.0
# A gap this long between two looks at the clock is a pause: half of what
# other nodes wait before they take over.
MIN_STALL_S = 0.8
# The ownership is certain for this time after the store was asked and has
# confirmed it: others take over after a silence of 1.6 s at the least.
CONFIRMATION_VALID_S = 1.4
# Runs of different owners never share a number: epoch x this + count.
RUNS_PER_EPOCH = 1_000_000


class OwnershipLost(Exception):
    """Another node owns the unit now."""


class Term:
    """State of one ownership; it is dropped whole when the ownership ends.

    :param epoch: fencing token of all orders.
    :param claim_version: version of the claim that transactions expect.
    :param claim_sent_at_s: when the claim was sent.
    :param settings: :class:`node_settings.NodeSettings`.
    :param configuration: :class:`configuration_watcher.ConfigurationWatcher`.
    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    """

    def __init__(
        self,
        *,
        epoch,
        claim_version,
        claim_sent_at_s,
        settings,
        configuration,
        metrics,
    ):
        self.epoch = epoch
        # When the store was last asked and has confirmed the ownership.
        self.confirmed_at_s = claim_sent_at_s
        self.claim_version = claim_version
        self.settings = settings
        self.configuration = configuration
        self.metrics = metrics
        self.began_at_s = clocks.now_s()
        self.lease_s = min(LEASE_S, settings.longest_lease_s)
        self.job_registry = job_registry.JobRegistry()
        self.fleet = fleet_module.Fleet()
        self.vm_health = vm_health.VMHealth()
        self.duration_estimator = estimates.DurationEstimator()
        self.rate_limiter = admission.AccountRateLimiter()
        self.forecast = forecast.Forecast()
        # VMs that are still to be emptied for a wave.
        self.vms_to_drain = set()
        # Set when a pass over waiting tasks is due.
        self.dispatch_due = asyncio.Event()
        # Set when rows must be written.
        self.flush_due = asyncio.Event()
        self.stopping = False
        self._run_count = 0
        self._checked_at_s = self.began_at_s
        # When the process was last seen to have stood still.
        self._stalled_at_s = None

    @property
    def inherited_leases_end_at_s(self):
        """When all leases of an earlier owner have ended."""
        return (
            self.began_at_s
            + self.lease_s / fleet_module.MIN_CLOCK_RATE
            + fleet_module.LEASE_MARGIN_S
        )

    def create_run_number(self):
        """Return a number above all earlier runs."""
        self._run_count += 1
        return self.epoch * RUNS_PER_EPOCH + self._run_count

    @property
    def holds_orders(self):
        """Whether orders wait, as the process stood still.

        Another node may own the unit since.
        """
        return (
            self._stalled_at_s is not None
            or clocks.now_s() - self._checked_at_s > MIN_STALL_S
        )

    def detect_stall(self):
        """Look at the clock; return whether the process stood still."""
        now_s = clocks.now_s()
        stood_still = now_s - self._checked_at_s > MIN_STALL_S
        self._checked_at_s = now_s
        if stood_still:
            self._stalled_at_s = now_s
        return stood_still

    def record_confirmation(self, sent_at_s):
        """Note that the store confirmed the ownership.

        :param sent_at_s: when it was asked.
        """
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)
        if self._stalled_at_s is not None and sent_at_s > self._stalled_at_s:
            self._stalled_at_s = None
            self.request_dispatch()

    def is_confirmed_at(self, at_s):
        """Return whether this node surely owned the unit at a time."""
        return at_s < self.confirmed_at_s + CONFIRMATION_VALID_S

    def may_start(self, job):
        """Return whether tasks of a job may be started.

        A job that was read when another node may have taken over is new to
        that node too. It waits for the next confirmation.
        """
        return self.is_confirmed_at(job.read_at_s)

    def request_dispatch(self):
        """Have waiting tasks looked at soon."""
        self.dispatch_due.set()

    def request_flush(self):
        """Have changed rows written soon."""
        self.flush_due.set()
