"""Start orders that a later incarnation of a worker may carry out.

Load: a VM loses power for a moment while tasks start there. An order that was
not answered may arrive seconds later, when the worker has started again under
its id. Its lease says nothing then, as the clock has begun anew, so its task
is started nowhere else until the new incarnation is known to reject the order.
"""

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.term import term as term_module
from arbutusrock.engine.workers import fleet
from arbutusrock import logs

__all__ = ['UnansweredOrders']

LOG = logs.get_log('runs')


class UnansweredOrders:
    """Keeps the runs of such orders until they cannot begin any more.

    They stay with the state of the incarnation that is over. Once the next one
    is registered, they are moved there and stopped: a worker rejects a start
    order that arrives after the stop order, and lists a run that began before.

    :param term: :class:`term_module.Term`.
    :param run_controller:
        :class:`arbutusrock.engine.runs.run_controller.RunController`.
    """

    def __init__(self, *, term, run_controller):
        self.term = term
        self.run_controller = run_controller

    def find_kept(self, worker, cause):
        """Return the runs that stay with a worker whose incarnation ends.

        :param cause: :class:`fleet.IncarnationEnd`. Only after a restart the
            id of the worker is in use again.
        """
        if cause is not fleet.IncarnationEnd.RESTARTED:
            return frozenset()
        kept = frozenset(
            run for run in worker.runs.values() if _is_unanswered(run)
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
        """Stop the runs at the next incarnation of their worker.

        :param worker: :class:`fleet.WorkerState` of the one that is over.
        :param successor: the one that is registered under its id now.
        """
        runs = list(worker.runs.values())
        for run in runs:
            self.term.fleet.move_run(run, successor)
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


def _is_unanswered(run):
    match run.state:
        case job_state.RunState.ORDERED | job_state.RunState.IN_DOUBT:
            return True
        case job_state.RunState.STOPPING:
            return run.started_at_s is None
        case _:
            return False
