"""Start orders that a later incarnation of a worker may carry out.

Load: a VM loses power while tasks start there. An order that was not answered
may arrive seconds later, when the worker has started again under its id. Its
lease says nothing then, as the clock has begun anew, and a stop order that the
earlier incarnation has answered is forgotten. So each new incarnation is told
to reject such orders, however the earlier one has ended.
"""

import collections

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.term import term as term_module
from arbutusrock.engine.workers import fleet
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['MAX_DELAY_S', 'UnansweredOrders']

# The platform carries an order out some seconds after it was sent, if at all.
MAX_DELAY_S = 60.0
# Bounds the memory when ever new workers take orders and do not return.
MAX_ORDERS = 10_000
LOG = logs.get_log('runs')


class UnansweredOrders:
    """Keeps the orders that may still be carried out, by worker.

    An order is kept until it is answered, or seen to be carried out, or
    ``MAX_DELAY_S`` old; what happens to its worker, its run or its job
    meanwhile changes nothing. A next owner needs none of them, as its fencing
    token is higher.

    Once a later incarnation is registered, it gets a stop order for each: a
    worker rejects a start order that arrives after the stop order, and lists a
    run that began before.

    :param term: :class:`term_module.Term`.
    :param run_controller:
        :class:`arbutusrock.engine.runs.run_controller.RunController`.
    """

    def __init__(self, *, term, run_controller):
        self.term = term
        self.run_controller = run_controller
        # When each was sent, by (worker id, task, run), the oldest first.
        self._sent_at_s = collections.OrderedDict()

    def __len__(self):
        return len(self._sent_at_s)

    def record_sent(self, run):
        """Record that a start order is about to be sent."""
        now_s = clocks.now_s()
        self._sent_at_s[_get_key(run.worker, run.name, run.number)] = now_s
        self.drop_expired(now_s)
        if len(self._sent_at_s) > MAX_ORDERS:
            (worker_id, task, number), _ = self._sent_at_s.popitem(last=False)
            LOG.warning(
                'too many start orders without an answer; one is forgotten',
                worker=worker_id,
                task=task,
                run=number,
            )

    def record_reply(self, run, reply):
        """Record the answer to a start order.

        :param reply: :class:`platform_messages.OrderReply`.
        """
        if reply.outcome is not platform_messages.OrderOutcome.UNKNOWN:
            self.record_seen(run.worker, run.name, run.number)

    def record_seen(self, worker, task, number):
        """Record that a worker has reported a run, so it has begun."""
        self._sent_at_s.pop(_get_key(worker, task, number), None)

    def drop_expired(self, now_s):
        """Drop the orders that are not carried out any more."""
        while self._sent_at_s:
            sent_at_s = next(iter(self._sent_at_s.values()))
            if now_s < sent_at_s + MAX_DELAY_S:
                return
            self._sent_at_s.popitem(last=False)

    def is_pending(self, run):
        """Return whether the start order of a run may be carried out yet."""
        return _get_key(run.worker, run.name, run.number) in self._sent_at_s

    def find_kept(self, worker, cause):
        """Return the runs that stay with a worker whose incarnation ends.

        Their tasks are started nowhere else until the next incarnation rejects
        the orders. That holds for a worker that is known to be up again; a
        task does not wait for one that may be gone for good.

        :param cause: :class:`fleet.IncarnationEnd`.
        """
        if cause is not fleet.IncarnationEnd.RESTARTED:
            return frozenset()
        kept = frozenset(
            run for run in worker.runs.values() if self.is_pending(run)
        )
        if kept:
            LOG.info(
                'start orders to a restarted worker have no answer yet',
                worker=worker.worker_id,
                runs=len(kept),
            )
            self.term.metrics.count('unanswered_orders', amount=len(kept))
        return kept

    def resolve(self, run, reply):
        """Handle the answer to a start order of an incarnation that is over.

        Without an answer, it may still be carried out.

        :param reply: :class:`platform_messages.OrderReply`.
        :raises term_module.OwnershipLost: the worker has seen a higher
            fencing token, of another owner.
        """
        outcome = reply.outcome
        if outcome is platform_messages.OrderOutcome.FENCED:
            raise term_module.OwnershipLost(run.worker.worker_id)
        if (
            outcome is not platform_messages.OrderOutcome.UNKNOWN
            and run.worker.ended
            and run.worker.runs.get((run.name, run.number)) is run
        ):
            self.run_controller.requeue_run(run)

    def revoke(self, worker, successor):
        """Have a new incarnation reject the orders to earlier ones.

        What a late order would use there is kept free until then.

        :param worker: :class:`fleet.WorkerState` of the incarnation before,
            with the runs that were kept; None when it is not known any more.
        :param successor: the one that is registered now.
        """
        runs = list(worker.runs.values()) if worker is not None else []
        for run in runs:
            self.term.fleet.move_run(run, successor)
        runs += [
            self.run_controller.add_found_run(successor, task, number)
            for worker_id, task, number in self._sent_at_s
            if worker_id == successor.worker_id
            and (task, number) not in successor.runs
        ]
        for run in runs:
            run.revoked = True
            run.state = job_state.RunState.IN_DOUBT
            run.stop_answered_at_s = None
            self.run_controller.stop_run(run, 'ordered of an earlier life')
        if runs:
            LOG.info(
                'start orders to an earlier incarnation are revoked',
                worker=successor.worker_id,
                runs=len(runs),
                tasks=[
                    [run.name, run.number]
                    for run in runs[: fleet.MAX_LOGGED_RUNS]
                ],
            )
            self.term.metrics.count('revoked_orders', amount=len(runs))


def _get_key(worker, task, number):
    return worker.worker_id, task, number
