"""Requests tickets: the policy service's permissions to run a step."""

from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['TicketCache']

# Workers in one request; the time to answer grows with their number.
MAX_WORKERS_PER_REQUEST = 16
# Added to twice the announced answer time to give the time-out.
ANSWER_MARGIN_S = 1.0
# A ticket is not used when it expires within this time.
EXPIRY_MARGIN_S = 0.3
LOG = logs.get_log('policy')


class TicketCache:
    """Requests tickets for steps and keeps them until they expire.

    They are kept in :attr:`arbutusrock.engine.job_state.Step.tickets`.

    :param term: :class:`arbutusrock.engine.term.Term`.
    :param client: client of the policy service; None means that all workers
        are allowed.
    :param spawn: starts a task whose failure ends the term.
    """

    def __init__(self, *, term, client, spawn):
        self.term = term
        self.client = client
        self.spawn = spawn
        # Ids of steps with a request under way.
        self._pending_steps = set()

    def _get_advice(self, step):
        queue = self.term.configuration.current.queues.get(
            step.job.submission.queue
        )
        if queue is None or self.client is None:
            return None
        return queue.advice

    def get_allowed_ids(self, step, workers, now_s):
        """Return the ids of workers with a valid ticket; None allows all.

        When none of ``workers`` has one, tickets are requested for those
        without a current answer.
        """
        advice = self._get_advice(step)
        if advice is None:
            return None
        valid = {
            worker_id
            for worker_id, (ticket, expires_at_s) in step.tickets.items()
            if ticket and now_s < expires_at_s
        }
        if not any(worker.worker_id in valid for worker in workers):
            self._request_missing(step, workers, advice, now_s)
        return valid

    def get_ticket(self, step, worker_id):
        """Return the ticket for a start order, or an empty string."""
        return step.tickets.get(worker_id, ('', 0.0))[0]

    def _request_missing(self, step, workers, advice, now_s):
        if id(step) in self._pending_steps:
            return
        unanswered = [
            worker
            for worker in workers
            if now_s >= step.tickets.get(worker.worker_id, ('', 0.0))[1]
        ]
        unanswered.sort(key=lambda worker: -worker.free_millicores)
        worker_ids = [
            worker.worker_id for worker in unanswered[:MAX_WORKERS_PER_REQUEST]
        ]
        if worker_ids:
            self._pending_steps.add(id(step))
            self.spawn(self._request_tickets(step, worker_ids, advice))

    async def _request_tickets(self, step, worker_ids, advice):
        name = f'{step.job.job_id}.{step.key}'
        wait_s = (advice.decide_ms + advice.each_ms * len(worker_ids)) / 1000
        try:
            answer = await self.client.request_tickets(
                name, worker_ids, timeout_s=wait_s * 2 + ANSWER_MARGIN_S
            )
        finally:
            self._pending_steps.discard(id(step))
        if answer is None:
            LOG.info('the policy service did not answer', step=name)
            return
        tickets, valid_s = answer
        expires_at_s = clocks.now_s() + valid_s - EXPIRY_MARGIN_S
        granted = {item.worker_id: item.ticket for item in tickets}
        for worker_id in worker_ids:
            step.tickets[worker_id] = (
                granted.get(worker_id, ''),
                expires_at_s,
            )
        LOG.info(
            'tickets received for a step',
            step=name,
            asked=len(worker_ids),
            good=len(granted),
        )
        self.term.request_dispatch()
