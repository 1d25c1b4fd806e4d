"""State that the parts of an owner share during one ownership."""

import asyncio

from arbutusrock.engine.dispatch import share_ledger
from arbutusrock.engine.jobs import job_registry
from arbutusrock.engine.term import inherited_waits
from arbutusrock.engine.term import owner_load
from arbutusrock.engine.term import takeover_phases
from arbutusrock.engine.workers import fleet as fleet_module
from arbutusrock.scheduling import admission
from arbutusrock.scheduling import dark_workers
from arbutusrock.scheduling import estimates
from arbutusrock.scheduling import forecast
from arbutusrock.scheduling import lease_bounds
from arbutusrock.scheduling import quotas
from arbutusrock.scheduling import vm_health
from arbutusrock.scheduling import vm_speeds
from arbutusrock.utils import clocks

__all__ = ['LEASE_S', 'OwnershipLost', 'Term']

# Long enough to bridge the takeover by another node (about 3 s), short
# enough that the work of a lost worker is soon run elsewhere.
LEASE_S = 5.0
# A longer gap between two checks of the clock counts as a stall of the
# process. It is half of the time that other nodes wait before they take over.
MIN_STALL_S = 0.8
# The number of a run is epoch x this + count, so that runs of different owners
# never share a number.
RUNS_PER_EPOCH = 1_000_000


class OwnershipLost(Exception):
    """Another node owns the unit now."""


class Term:
    """State of one ownership; all of it is dropped when the ownership ends.

    :param epoch: fencing token of all orders to workers.
    :param claim_version: version of the claim row, which transactions expect
        to be unchanged.
    :param claim_sent_at_s: when the claim was sent; its success is the first
        confirmation of the ownership.
    :param settings: :class:`node_settings.NodeSettings`.
    :param configuration: :class:`configuration_watcher.ConfigurationWatcher`.
    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    :param heartbeat_at_s: when the last heartbeat of an earlier owner was
        seen; 0 when none was.
    :param heartbeat_version: version of the heartbeat row at the claim; 0
        when there was none.
    :param named_leases: :class:`dark_workers.InheritedLease` by id of the
        workers that the last heartbeat of the earlier owner names.
    :param handover: says which list of possible runs the earlier owner has
        left: :class:`arbutusrock.engine.state.possible_runs.Handover`, or
        None.
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
        heartbeat_at_s=0.0,
        heartbeat_version=0,
        named_leases=None,
        handover=None,
    ):
        self.epoch = epoch
        # When the newest request that confirmed the ownership was sent.
        self.confirmed_at_s = claim_sent_at_s
        self.claim_version = claim_version
        self.heartbeat_version = heartbeat_version
        self.named_leases = named_leases or {}
        self.handover = handover
        # Waiting jobs by queue, reported until the jobs are loaded.
        self.inherited_waiting = {}
        self.dark_workers = dark_workers.DarkWorkers(epoch=epoch)
        self.settings, self.configuration = settings, configuration
        self.metrics = metrics
        self.began_at_s = clocks.now_s()
        self.load = owner_load.OwnerLoad(metrics=metrics)
        self.phases = takeover_phases.TakeoverPhases(
            metrics=metrics,
            heartbeat_at_s=heartbeat_at_s,
            claim_sent_at_s=claim_sent_at_s,
        )
        self.lease_s = min(LEASE_S, settings.longest_lease_s)
        self.job_registry = job_registry.JobRegistry()
        self.fleet = fleet_module.Fleet()
        self.inherited_waits = inherited_waits.InheritedWaits(
            fleet=self.fleet, metrics=metrics
        )
        self.vm_health = vm_health.VMHealth()
        self.vm_speeds = vm_speeds.VMSpeeds()
        self.duration_estimator = estimates.DurationEstimator()
        self.rate_limiter = admission.AccountRateLimiter()
        self.forecast = forecast.Forecast()
        self.share_ledger = share_ledger.ShareLedger(term=self)
        # VMs whose runs must still be moved off for a wave.
        self.vms_to_drain = set()
        # Until it is set, nothing is concluded from what workers report.
        self.jobs_loaded = asyncio.Event()
        # Set when the dispatcher should look at the waiting tasks, and when
        # changed rows should be written.
        self.dispatch_due, self.flush_due = asyncio.Event(), asyncio.Event()
        # The node is about to stop; and the unit is, or may be, given up, so
        # that a next owner claims it at once.
        self.stopping = self.released = False
        self._run_count = 0
        self._checked_at_s = self.began_at_s
        # When the last stall of the process was detected; None once the
        # ownership has been confirmed since.
        self._stalled_at_s = None

    @property
    def cordons(self):
        """Data centres that operators evacuate, as a container of names."""
        return self.configuration.cordons

    @property
    def inherited_leases_end_at_s(self):
        """When all leases granted by an earlier owner have ended."""
        return self.began_at_s + lease_bounds.compute_inherited_wait_s(
            self.lease_s
        )

    def count_waiting_jobs(self):
        """Return the number of jobs without a started task, by queue."""
        if not self.jobs_loaded.is_set():
            return self.inherited_waiting
        return self.job_registry.count_unstarted_jobs()

    def create_run_number(self):
        """Return a run number above those of all earlier runs."""
        self._run_count += 1
        return self.epoch * RUNS_PER_EPOCH + self._run_count

    @property
    def holds_orders(self):
        """Whether orders to workers must wait, as the process stalled.

        Another node may have taken over during the stall, so orders wait
        until the ownership is confirmed again.
        """
        return (
            self._stalled_at_s is not None
            or clocks.now_s() - self._checked_at_s > MIN_STALL_S
        )

    def detect_stall(self):
        """Check the clock; return whether the process stalled."""
        now_s = clocks.now_s()
        stalled = now_s - self._checked_at_s > MIN_STALL_S
        self._checked_at_s = now_s
        if stalled:
            self._stalled_at_s = now_s
        return stalled

    def record_confirmation(self, sent_at_s):
        """Record that the store confirmed the ownership.

        :param sent_at_s: when the confirmed request was sent.
        """
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)
        if self._stalled_at_s is not None and sent_at_s > self._stalled_at_s:
            self._stalled_at_s = None
            self.request_dispatch()

    def is_confirmed_at(self, at_s):
        """Return whether this node is known to own the unit at a time."""
        return at_s < self.confirmed_at_s + lease_bounds.CONFIRMATION_VALID_S

    def compute_lease_end_s(self, now_s):
        """Return until when leases may be extended now, maybe in the past."""
        if self.released:
            return now_s
        return lease_bounds.compute_lease_end_s(
            now_s, self.confirmed_at_s, self.lease_s
        )

    @property
    def may_grant_leases(self):
        """Whether a lease that is granted now lets a run do some work."""
        now_s = clocks.now_s()
        left_s = self.compute_lease_end_s(now_s) - now_s
        return left_s >= lease_bounds.MIN_START_LEASE_S

    def may_start(self, job):
        """Return whether tasks of a job may be started.

        If another node may have taken over by the time the job was read,
        that node may have read it as new and started it too. The job then
        waits for the next confirmation.
        """
        return self.is_confirmed_at(job.read_at_s) and self.may_grant_leases

    def fits_account_limit(self, name, demand):
        """Return whether an account may use ``demand`` more."""
        account = self.configuration.current.accounts.get(name)
        if account is None:
            return True
        used = self.fleet.get_usage(name)
        if name in self.inherited_waits.usage:
            used += self.inherited_waits.usage[name]
        return quotas.fits_limit(used, demand, account.upper_limit)

    def request_dispatch(self):
        """Have the dispatcher look at waiting tasks soon."""
        self.dispatch_due.set()

    def request_flush(self):
        """Have changed rows written soon."""
        self.flush_due.set()
