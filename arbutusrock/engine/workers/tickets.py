"""Requests tickets: the policy service's permissions to run a step."""

from arbutusrock import logs
from arbutusrock.scheduling import configuration
from arbutusrock.utils import clocks

__all__ = ['TicketCache']

# Workers in one request; the time to answer grows with their number.
MAX_WORKERS_PER_REQUEST = 16
# Added to twice the announced answer time to give the time-out.
ANSWER_MARGIN_S = 1.0
# A ticket is not used when it expires within this time.
EXPIRY_MARGIN_S = 0.3
# Used for a step whose workers ask for tickets though no settings are known:
# its queue is gone, and its row was written by an earlier version.
DEFAULT_ADVICE = configuration.AdviceSettings(
    decide_ms=500.0, each_ms=50.0, valid_ms=3000.0
)
LOG = logs.get_log('policy')


class _Answer:
    """Answer of the policy service about a worker.

    :param ticket: empty when the worker is not allowed.
    :param born_ms: start of the incarnation that it was asked for.
    """

    __slots__ = ('ticket', 'expires_at_s', 'born_ms')

    def __init__(self, *, ticket, expires_at_s, born_ms):
        self.ticket = ticket
        self.expires_at_s = expires_at_s
        self.born_ms = born_ms


class TicketCache:
    """Requests tickets for steps and keeps them until they expire.

    They are kept in :attr:`arbutusrock.engine.jobs.job_state.Step.tickets`.
    One is valid for the incarnation of the worker that it was requested for.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
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
        """Return the settings of the policy service for a step, or None.

        Those of the newest configuration count. A job whose queue is not in
        it any more keeps those that it was accepted with.
        """
        if self.client is None:
            return None
        submission = step.job.submission
        queue = self.term.configuration.current.queues.get(submission.queue)
        advice = submission.advice if queue is None else queue.advice
        if advice is None and step.needs_tickets:
            return DEFAULT_ADVICE
        return advice

    def get_allowed_ids(self, step, workers, now_s):
        """Return the ids of workers with a valid ticket; None allows all.

        When none of ``workers`` has one, tickets are requested for those
        without a current answer.
        """
        advice = self._get_advice(step)
        if advice is None:
            return None
        known = self.term.fleet.workers
        valid = {
            worker_id
            for worker_id, answer in step.tickets.items()
            if worker_id in known
            and self._is_current(answer, known[worker_id], now_s)
            and answer.ticket
        }
        if not any(worker.worker_id in valid for worker in workers):
            self._request_missing(step, workers, advice, now_s)
        return valid

    @staticmethod
    def get_ticket(step, worker_id):
        """Return the ticket for a start order, or an empty string."""
        answer = step.tickets.get(worker_id)
        return '' if answer is None else answer.ticket

    @staticmethod
    def _is_current(answer, worker, now_s):
        """Return whether an answer is about the incarnation of a worker."""
        return (
            answer is not None
            and answer.born_ms == worker.entry.born_ms
            and now_s < answer.expires_at_s
        )

    def _request_missing(self, step, workers, advice, now_s):
        if id(step) in self._pending_steps:
            return
        unanswered = [
            worker
            for worker in workers
            if not self._is_current(
                step.tickets.get(worker.worker_id), worker, now_s
            )
        ]
        unanswered.sort(key=lambda worker: -worker.free_millicores)
        born_ms = {
            worker.worker_id: worker.entry.born_ms
            for worker in unanswered[:MAX_WORKERS_PER_REQUEST]
        }
        if born_ms:
            self._pending_steps.add(id(step))
            self.spawn(self._request_tickets(step, born_ms, advice))

    async def _request_tickets(self, step, born_ms, advice):
        """Request tickets.

        :param born_ms: when each worker started, by its id.
        """
        worker_ids = list(born_ms)
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
            step.tickets[worker_id] = _Answer(
                ticket=granted.get(worker_id, ''),
                expires_at_s=expires_at_s,
                born_ms=born_ms[worker_id],
            )
        LOG.info(
            'tickets received for a step',
            step=name,
            asked=len(worker_ids),
            good=len(granted),
        )
        self.term.request_dispatch()
