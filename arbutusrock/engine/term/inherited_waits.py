"""What waits for workers that may have inherited runs, and for how long."""

from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['InheritedWaits']

LOG = logs.get_log('takeover')


class InheritedWaits:
    """How long each pool waits for workers that have not answered.

    :param fleet: :class:`arbutusrock.engine.workers.fleet.Fleet`.
    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    :ivar starts_after_s: nothing at all is started before.
    :ivar usage: what accounts may have running on these workers, by account.
    """

    __slots__ = (
        'fleet',
        'metrics',
        'starts_after_s',
        'usage',
        '_versions',
        '_tasks',
        '_began_at_s',
        '_holders',
        '_named',
        '_waits_s',
        '_waiting',
    )

    def __init__(self, *, fleet, metrics):
        self.fleet = fleet
        self.metrics = metrics
        self.starts_after_s = 0.0
        self.usage = {}
        # As of the last pass over waiting tasks.
        self._versions = {}
        self._tasks = frozenset()
        self._began_at_s = 0.0
        self._holders = []
        self._named = set()
        # Seconds by pool, and the pools that still wait.
        self._waits_s = {}
        self._waiting = set()

    def begin(self, named):
        """Begin once the workers are known.

        :param named: ids of the workers that the earlier owner named as dark.
        :returns: number of workers that are waited for.
        """
        self._began_at_s = clocks.now_s()
        self._named = named
        self._holders = self.fleet.find_possible_run_holders(self._began_at_s)
        self._waiting = self._find_pools(self._began_at_s)
        skipped = named - {worker.worker_id for worker in self._holders}
        for name, value in (
            ('takeover_workers_waited_for', len(self._holders)),
            ('takeover_workers_named', len(named)),
            ('takeover_workers_skipped', len(skipped)),
        ):
            self.metrics.count(name, amount=value)
        return len(self._holders)

    def begin_pass(self, now_s):
        """Look at what workers out of reach may have, for one pass."""
        self._versions = self.fleet.find_inherited_versions(now_s)
        self._tasks = self.fleet.find_inherited_tasks(now_s)

    def holds_step(self, step, pool):
        """Return whether any task of a step may have an inherited run."""
        job = step.job
        if not job.inherited or step.plan.speculative:
            return False
        return job.stored_version < self._versions.get(pool, 0)

    def holds_task(self, task):
        """Return whether a task may have a run that is listed."""
        return task.name in self._tasks

    def _find_pools(self, now_s):
        return set(self.fleet.find_inherited_versions(now_s))

    def update(self):
        """Record the pools that do not wait any more; log when none does."""
        if not self._waiting:
            return
        now_s = clocks.now_s()
        waiting = self._find_pools(now_s)
        for pool in self._waiting - waiting:
            waited_s = round(now_s - self._began_at_s, 2)
            self._waits_s[pool] = waited_s
            self.metrics.count(
                'takeover_wait_seconds', (('pool', pool),), waited_s
            )
        self._waiting &= waiting
        if not self._waiting:
            LOG.info(
                'no pool waits for runs of the earlier owner any more',
                workers=len(self._holders),
                silent=sum(worker.is_silent for worker in self._holders),
                named=len(self._named),
                waited_s=self._waits_s,
            )
