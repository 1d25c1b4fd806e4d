"""Records what evacuations of data centres take from the owner's pools."""

import asyncio

from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['CordonController']

PASS_INTERVAL_S = 0.25
LOG = logs.get_log('cordons')


class CordonController:
    """Logs which evacuations are in force, and which pools they leave empty.

    That workers of an evacuated data centre get no runs does not depend on
    it: :class:`arbutusrock.engine.workers.fleet.WorkerState` asks for that
    itself.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    """

    def __init__(self, *, term):
        self.term = term
        # Data centre to when this owner saw its evacuation in force.
        self._since_s = {}
        self._blocked_pools = set()

    async def run(self):
        """Look for changes in each interval until the ownership ends."""
        while True:
            self.reconcile(clocks.now_s())
            await asyncio.sleep(PASS_INTERVAL_S)

    def reconcile(self, now_s):
        """Log what has changed since the last pass."""
        names = self.term.configuration.cordons.names
        for name in names:
            if name not in self._since_s:
                self._since_s[name] = now_s
                LOG.info(
                    'an evacuation is in force: the workers get no new tasks',
                    data_centre=name,
                    **self._describe(name),
                )
        for name in self._since_s.keys() - set(names):
            LOG.info(
                'the workers of a data centre get tasks again',
                data_centre=name,
                lasted_s=round(now_s - self._since_s.pop(name), 2),
                **self._describe(name),
            )
        self._log_blocked_pools(names)

    def _describe(self, name):
        """Return figures on the workers of a data centre for a log line."""
        workers = [
            worker
            for worker in self.term.fleet.workers.values()
            if worker.entry.data_centre == name and not worker.ended
        ]
        return {
            'workers': len(workers),
            'free_cores': sum(item.free_millicores for item in workers) / 1000,
            'runs': sum(len(item.runs) for item in workers),
        }

    def _log_blocked_pools(self, names):
        """Log once for each pool whose tasks wait because of evacuations."""
        waiting = self.term.job_registry.waiting_steps
        blocked = {
            pool
            for pool, steps in waiting.items()
            if steps and self._is_blocked(pool)
        }
        for pool in blocked - self._blocked_pools:
            LOG.warning(
                'tasks of a pool are not started:'
                ' all its workers are in evacuated data centres',
                pool=pool,
                data_centres=names,
                steps=len(waiting[pool]),
            )
        self._blocked_pools = blocked

    def _is_blocked(self, pool):
        workers = [
            worker
            for worker in self.term.fleet.find_pool_workers(pool)
            if worker.in_service
        ]
        return bool(workers) and all(
            worker.in_evacuated_data_centre for worker in workers
        )
