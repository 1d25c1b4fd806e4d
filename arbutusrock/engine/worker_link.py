"""Connection of the owner to one worker: leases, orders, reports."""

import asyncio

from arbutusrock.engine import platform_messages
from arbutusrock.engine import term as term_module
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['WorkerLink']

# How long an answer waits for an end, and which part of the lease at most.
MAX_POLL_WAIT_S = 1.0
POLL_LEASE_FRACTION = 0.2
# While a serving task starts, its worker is asked again after this time: the
# next task of its step may leave a VM only when it is at work.
STARTING_POLL_WAIT_S = 0.2
# Least time between two renewals that bring ends, so that they collect; and
# the same for each worker with runs, which bounds the renewals of all
# workers together to 1,000 a second.
MIN_RENEWAL_INTERVAL_S = 0.02
RENEWAL_SPACING_S = 0.001
# Pause before a worker that does not answer is asked again.
RETRY_DELAY_S = 0.25
# While the store takes no ends, they are read again at this pace.
UNACKED_POLL_INTERVAL_S = 0.3
LOG = logs.get_log('workers')


class WorkerLink:
    """One task that renews the lease of a worker, and orders beside it.

    :param term: :class:`term_module.Term`.
    :param run_controller:
        :class:`arbutusrock.engine.run_controller.RunController`.
    :param worker: :class:`arbutusrock.engine.fleet.WorkerState`.
    :param client: client of the worker.
    :param spawn: starts a task whose failure ends the term.
    """

    def __init__(self, *, term, run_controller, worker, client, spawn):
        self.term = term
        self.run_controller = run_controller
        self.worker = worker
        self.client = client
        self.spawn = spawn
        self._began_at_s = clocks.now_s()
        self._poll_wait_s = min(
            MAX_POLL_WAIT_S, term.lease_s * POLL_LEASE_FRACTION
        )

    async def run(self):
        """Renew the lease until the worker's life is over.

        :raises term_module.OwnershipLost: another owner's token was seen.
        """
        try:
            while not self.worker.ended:
                await self._wait_before_renewal()
                if self.term.holds_orders:
                    await asyncio.sleep(MIN_RENEWAL_INTERVAL_S)
                    continue
                await self._renew()
        finally:
            await self.client.close()

    async def _wait_before_renewal(self):
        """Let ends become durable: a worker repeats unacknowledged ones."""
        worker = self.worker
        if not worker.pending_acks:
            if worker.runs or worker.last_reply_at_s > self._began_at_s:
                busy = self.term.fleet.count_busy_workers()
                await asyncio.sleep(
                    max(MIN_RENEWAL_INTERVAL_S, busy * RENEWAL_SPACING_S)
                )
            return
        worker.flush_done.clear()
        try:
            async with asyncio.timeout(UNACKED_POLL_INTERVAL_S):
                await worker.flush_done.wait()
        except TimeoutError:
            # The store is slow or away: learn of further ends meanwhile.
            return

    async def _renew(self):
        worker = self.worker
        sent_at_s = clocks.now_s()
        waits = (
            worker.has_answered
            and not worker.pending_acks
            and not worker.unresponsive
        )
        # An unanswered renewal may arrive later: a silent worker's lease
        # is not extended, so that it ends.
        until_ms = (
            None if worker.unresponsive else self._extend_lease(sent_at_s)
        )
        reply = await self.client.renew_lease(
            epoch=self.term.epoch,
            cursor=worker.ack_cursor,
            lease_until_ms=until_ms,
            wait_s=self._choose_poll_wait_s() if waits else 0,
        )
        if isinstance(reply, platform_messages.RenewalReply):
            if worker.unresponsive:
                LOG.info('a worker answers again', worker=worker.worker_id)
            self.run_controller.handle_renewal(worker, reply, sent_at_s)
            return
        match reply.outcome:
            case platform_messages.OrderOutcome.FENCED:
                raise term_module.OwnershipLost(worker.worker_id)
            case platform_messages.OrderOutcome.GONE:
                self.run_controller.end_incarnation(
                    worker, 'another life answers'
                )
            case _:
                self._handle_failed_renewal(reply)
                await asyncio.sleep(RETRY_DELAY_S)

    def _choose_poll_wait_s(self):
        """Return how long the worker may wait for an end."""
        starting = any(
            run.ready_at_s is None
            and run.task is not None
            and run.task.step.plan.long_running
            for run in self.worker.runs.values()
        )
        return STARTING_POLL_WAIT_S if starting else self._poll_wait_s

    def _handle_failed_renewal(self, reply):
        worker = self.worker
        if not worker.unresponsive:
            LOG.info(
                'a worker does not answer',
                worker=worker.worker_id,
                outcome=reply.outcome.value,
                runs=len(worker.runs),
            )
        worker.unresponsive = True
        if worker.is_lease_expired(clocks.now_s()):
            self.run_controller.handle_lease_expiry(worker)

    def _extend_lease(self, now_s):
        """Return the end of the lease on the worker's clock, or None."""
        clock_ms = self.worker.estimate_clock_ms(now_s)
        if clock_ms is None:
            return None
        until_ms = clock_ms + self.term.lease_s * 1000
        self.worker.lease_until_ms = max(
            until_ms, self.worker.lease_until_ms or 0.0
        )
        return until_ms

    def send_start(self, run, *, spec, ticket=''):
        """Order a run that was added to the worker."""
        order = platform_messages.RunOrder(
            task=run.name,
            run=run.number,
            spec=spec,
            lease_until_ms=self._extend_lease(clocks.now_s()),
            epoch=self.term.epoch,
            checkpoint=run.task.checkpoint,
            ticket=ticket,
        )
        self.spawn(self._start(run, order))

    async def _start(self, run, order):
        reply = await self.client.start_run(order)
        if run.worker.ended:
            return
        self.run_controller.handle_start_reply(run, reply)

    def send_stop(self, run):
        """Order a run to stop, again until that is answered."""
        self.spawn(self._stop(run))

    async def _stop(self, run):
        worker = self.worker
        key = (run.name, run.number)
        while worker.runs.get(key) is run and not worker.ended:
            reply = await self.client.stop_run(
                run.name, run.number, self.term.epoch
            )
            worker.record_clock(reply.clock_ms, clocks.now_s())
            match reply.outcome:
                case platform_messages.OrderOutcome.DONE:
                    run.stop_answered_at_s = clocks.now_s()
                    return
                case platform_messages.OrderOutcome.FENCED:
                    raise term_module.OwnershipLost(worker.worker_id)
                case platform_messages.OrderOutcome.GONE:
                    self.run_controller.end_incarnation(
                        worker, 'another life answers'
                    )
                case _:
                    await asyncio.sleep(RETRY_DELAY_S)

    def send_pace(self, run, percent):
        """Let a run work at a share of its speed."""
        run.pace_percent = percent
        self.spawn(self._pace(run, percent))

    async def _pace(self, run, percent):
        reply = await self.client.set_run_pace(
            run.name, run.number, percent, self.term.epoch
        )
        if reply.outcome is platform_messages.OrderOutcome.FENCED:
            raise term_module.OwnershipLost(self.worker.worker_id)
        if reply.outcome is not platform_messages.OrderOutcome.DONE:
            LOG.info(
                'a pace order was not carried out',
                task=run.name,
                run=run.number,
                outcome=reply.outcome.value,
            )
            # Unknown: the next comparison sends it again.
            run.pace_percent = None
