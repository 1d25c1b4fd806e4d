"""Sets the pace of filling tasks by the tail latency of serving tasks."""

import asyncio

from arbutusrock.engine.jobs import job_state
from arbutusrock import logs
from arbutusrock.scheduling import pacing
from arbutusrock.utils import clocks

__all__ = ['PaceController']

# Matches the age of load reports, which is about half a second.
PASS_INTERVAL_S = 0.5
# A pace order that was not answered may be carried out after newer ones, which
# are repeated. A serving task bears a tail over its target for about twice
# this long.
REPEAT_INTERVAL_S = 2.0
LOG = logs.get_log('pacer')


class PaceController:
    """Orders the pace of the filling tasks of each worker, in one task.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param links: connections by worker id.
    """

    def __init__(self, *, term, links):
        self.term = term
        self.links = links
        # Share (percent) at which filling tasks work, by worker.
        self._shares = {}

    async def run(self):
        """Make passes until the ownership ends."""
        while True:
            await asyncio.sleep(PASS_INTERVAL_S)
            self.make_pass()

    def make_pass(self):
        """Choose the share of each worker, and order what differs from it."""
        workers = self.term.fleet.workers
        self._shares = {
            worker_id: share
            for worker_id, share in self._shares.items()
            if worker_id in workers
        }
        for worker_id, worker in workers.items():
            link = self.links.get(worker_id)
            if (
                link is not None
                and worker.has_answered
                and not worker.unresponsive
            ):
                self._pace_worker(worker_id, worker, link)

    def _pace_worker(self, worker_id, worker, link):
        filling, tail_latencies = [], []
        for run in worker.runs.values():
            if run.task is None or run.state is not job_state.RunState.RUNNING:
                continue
            plan = run.task.step.plan
            if plan.fills:
                filling.append(run)
            elif plan.target_ms and run.ready_at_s is not None:
                tail_latencies.append((run.load, plan.target_ms))
        if not filling:
            self._shares.pop(worker_id, None)
            return
        before = self._shares.get(worker_id, pacing.MAX_SHARE_PERCENT)
        share = pacing.choose_share(before, tail_latencies)
        self._shares[worker_id] = share
        if share != before:
            LOG.info(
                'share of filling tasks changed',
                worker=worker_id,
                share=share,
                before=before,
                serving=len(tail_latencies),
                filling=len(filling),
            )
        for run in filling:
            if _needs_order(run, share):
                link.send_pace(run, share)


def _needs_order(run, share):
    """Return whether the pace of a run is to be ordered now."""
    if run.pace_in_flight:
        # Orders on two channels may overtake each other.
        return False
    now_s = clocks.now_s()
    repeated = (
        now_s < run.pace_in_doubt_until_s
        and now_s >= run.paced_at_s + REPEAT_INTERVAL_S
    )
    return repeated or run.pace_percent != share
