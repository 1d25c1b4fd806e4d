"""Link from the owner to one worker: lease renewals, orders and reports.

Renewals are long polls: the worker answers at once when a run completes, so
that the next tasks start without delay.
"""

import asyncio

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.runs import unanswered_orders
from arbutusrock.engine.term import term as term_module
from arbutusrock.engine.workers import fleet
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['WorkerLink']

# Longest time that a worker holds back its reply to a renewal until a run
# completes, and the limit of that time as a fraction of the lease.
MAX_POLL_WAIT_S = 1.0
POLL_LEASE_FRACTION = 0.2
# Poll time while a serving task starts: the next task of its step may leave
# its VM only once this one is ready.
STARTING_POLL_WAIT_S = 0.2
# Minimum time between two renewals, so that one reply collects several
# completions.
MIN_RENEWAL_INTERVAL_S = 0.02
# The interval is also at least this times the number of workers with runs,
# which bounds the renewals of all workers together to 1,000 a second.
RENEWAL_SPACING_S = 0.001
# Interval of renewals while the owner loads its jobs, as a fraction of the
# lease. Nothing can be done with the answers then, and on a small VM frequent
# renewals leave no processor time for the jobs and the heartbeat.
LOADING_LEASE_FRACTION = 0.3
# Delay before an order or renewal that was not answered is sent again.
RETRY_DELAY_S = 0.25
# Poll time while a suspect starts, beside which no other task may start.
GUARDED_POLL_WAIT_S = 0.1
# Poll time until a heartbeat without a worker that was dark is durable: its
# lease is extended with the next renewal.
WITHHELD_POLL_WAIT_S = 0.05
# How long a worker is reserved for a run before its order must be sent.
RESERVATION_TIMEOUT_S = 1.0
# Interval of renewals while the store does not make received completions
# durable. The worker repeats these, and adds later ones.
UNACKED_POLL_INTERVAL_S = 0.3
LOG = logs.get_log('workers')


class WorkerLink:
    """Renews the lease of one worker and sends it orders.

    One task renews the lease; each order is sent by a task of its own.

    :param term: :class:`term_module.Term`.
    :param run_controller:
        :class:`arbutusrock.engine.runs.run_controller.RunController`.
    :param worker: :class:`arbutusrock.engine.workers.fleet.WorkerState`.
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
        """Renew the lease until the worker's incarnation is over.

        :raises term_module.OwnershipLost: the worker has seen a higher
            fencing token, of another owner.
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
        """Wait until the next renewal is due.

        Received completions become durable first, as the worker repeats
        those that are not acknowledged.
        """
        worker = self.worker
        if not self.term.jobs_loaded.is_set() and worker.last_reply_at_s > (
            self._began_at_s
        ):
            await self._wait_for_jobs()
            return
        if not worker.pending_acks:
            if worker.runs or worker.last_reply_at_s > self._began_at_s:
                busy = self.term.fleet.count_busy_workers()
                await asyncio.sleep(
                    self.term.load.compute_renewal_pause_s(
                        max(MIN_RENEWAL_INTERVAL_S, busy * RENEWAL_SPACING_S)
                    )
                )
            return
        worker.flush_done.clear()
        try:
            async with asyncio.timeout(UNACKED_POLL_INTERVAL_S):
                await worker.flush_done.wait()
        except TimeoutError:
            # The store is slow or unreachable: learn of further completions
            # meanwhile.
            return

    async def _wait_for_jobs(self):
        """Wait until the jobs are loaded, or the lease is to be renewed."""
        if not self.worker.lease_until_ms:
            # The first answer has shown the clock of the worker.
            await asyncio.sleep(MIN_RENEWAL_INTERVAL_S)
            return
        try:
            async with asyncio.timeout(
                self.term.lease_s * LOADING_LEASE_FRACTION
            ):
                await self.term.jobs_loaded.wait()
        except TimeoutError:
            return

    async def _renew(self):
        worker = self.worker
        sent_at_s = clocks.now_s()
        long_poll = (
            worker.has_answered
            and not worker.pending_acks
            and not worker.unresponsive
        )
        # A renewal that was not answered may still arrive later. So the lease
        # of an unresponsive worker is not extended, and expires for certain.
        lease_until_ms = (
            None
            if worker.unresponsive or worker.is_withheld
            else self._extend_lease(sent_at_s)
        )
        reply = await self.client.renew_lease(
            epoch=self.term.epoch,
            cursor=worker.ack_cursor,
            lease_until_ms=lease_until_ms,
            wait_s=self._choose_poll_wait_s() if long_poll else 0,
        )
        if isinstance(reply, platform_messages.RenewalReply):
            was_silent = worker.is_silent
            if worker.unresponsive:
                LOG.info('a worker answers again', worker=worker.worker_id)
            self.run_controller.handle_renewal(worker, reply, sent_at_s)
            if was_silent and worker.is_withheld:
                # A heartbeat that does not name it is due.
                self.term.request_flush()
            return
        match reply.outcome:
            case platform_messages.OrderOutcome.FENCED:
                raise term_module.OwnershipLost(worker.worker_id)
            case _ if reply.outcome in fleet.END_BY_OUTCOME:
                self.run_controller.end_incarnation(
                    worker, fleet.END_BY_OUTCOME[reply.outcome]
                )
            case _:
                self._handle_failed_renewal(reply)
                await asyncio.sleep(
                    self.term.load.compute_renewal_pause_s(RETRY_DELAY_S)
                )

    def _choose_poll_wait_s(self):
        """Return how long the worker may hold back its reply to a renewal."""
        if self.worker.guarded_run is not None:
            return GUARDED_POLL_WAIT_S
        if self.worker.is_withheld:
            return WITHHELD_POLL_WAIT_S
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
        if not worker.unresolved:
            self.run_controller.crash_tracker.record_silence(worker)
        if worker.is_lease_expired(clocks.now_s()):
            self.run_controller.handle_lease_expiry(worker)

    def _extend_lease(self, now_s):
        """Return the new end of the lease in ms of the worker's clock.

        Returns None while the clock of the worker is not known, or the lease
        may not be extended.
        """
        clock_ms = self.worker.estimate_clock_ms(now_s)
        left_s = self.term.compute_lease_end_s(now_s) - now_s
        if clock_ms is None or left_s <= 0:
            return None
        until_ms = clock_ms + left_s * 1000
        self.worker.lease_until_ms = max(
            until_ms, self.worker.lease_until_ms or 0.0
        )
        return until_ms

    def send_start(self, run, *, spec, ticket=''):
        """Order the worker to start a run that was added to it."""
        self.term.load.orders.add()
        self.spawn(self._start(run, self._create_order(run, spec, ticket)))

    def send_reserved_start(self, run, *, spec, ticket, until_durable):
        """Order the start of a reserved run once its record is durable.

        If that takes too long, the run is removed without an order.

        :param until_durable: awaitable that is done then.
        """
        self.spawn(self._start_reserved(run, spec, ticket, until_durable))

    async def _start_reserved(self, run, spec, ticket, until_durable):
        try:
            async with asyncio.timeout(RESERVATION_TIMEOUT_S):
                await until_durable
        except TimeoutError:
            # The store is slow or unreachable; the task waits without a
            # worker until it is back.
            LOG.info(
                'a start order was not sent, as its record is not durable',
                task=run.name,
                run=run.number,
            )
        else:
            if self._may_start_reserved(run):
                run.state = job_state.RunState.ORDERED
                run.ordered_at_s = clocks.now_s()
                self.term.load.orders.add()
                order = self._create_order(run, spec, ticket)
                await self._start(run, order)
                return
        if self._has_run(run):
            self.run_controller.release_reservation(run)

    def _has_run(self, run):
        return self.worker.runs.get((run.name, run.number)) is run

    def _may_start_reserved(self, run):
        return (
            self._has_run(run)
            and run.state is job_state.RunState.RESERVED
            and not run.task.step.job.progress.suspended
            and self.worker.in_service
            and not self.worker.in_evacuated_data_centre
            # The capacity may have shrunk since.
            and self.worker.free_millicores >= 0
            and self.worker.free_memory_mb >= 0
            and self.worker.free_accelerators >= 0
            and not self.term.holds_orders
            and not self.term.stopping
            and self.term.may_grant_leases
        )

    def _create_order(self, run, spec, ticket):
        return platform_messages.RunOrder(
            task=run.name,
            run=run.number,
            spec=spec,
            lease_until_ms=self._extend_lease(clocks.now_s()),
            epoch=self.term.epoch,
            checkpoint=run.task.checkpoint,
            ticket=ticket,
        )

    async def _start(self, run, order):
        try:
            await self._send_start_order(run, order)
        finally:
            if self.term.load.orders.remove():
                self.term.request_dispatch()

    async def _send_start_order(self, run, order):
        reason = self._find_reason_not_to_send(run, order)
        if reason:
            LOG.info(
                'a start order was not sent',
                task=run.name,
                run=run.number,
                worker=self.worker.worker_id,
                reason=reason,
                data_centre=self.worker.entry.data_centre,
            )
            if self._has_run(run):
                self.run_controller.release_reservation(run)
            return
        unanswered = self.run_controller.unanswered_orders
        unanswered.record_sent(run)
        reply = await self.client.start_run(order)
        unanswered.record_reply(run, reply)
        if self.worker.ended:
            unanswered.resolve(run, reply)
            return
        self.run_controller.handle_start_reply(run, reply)

    def _find_reason_not_to_send(self, run, order):
        """Return why an order is not sent; empty when it may be.

        The worker may have changed since the run was added to it.
        """
        if self.worker.ended or not self._has_run(run):
            return 'the worker does not have the run any more'
        if self.worker.in_evacuated_data_centre:
            return 'its data centre is evacuated'
        # An order without a lease was created before a confirmation that has
        # come since.
        if order.lease_until_ms is None or not self.term.may_grant_leases:
            return 'the store has not confirmed the ownership for long'
        return ''

    def send_stop(self, run):
        """Order a run to stop, and repeat that until it is answered."""
        self.spawn(self._stop(run))

    async def _stop(self, run):
        worker = self.worker
        while self._needs_stop(run):
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
                case _ if reply.outcome in fleet.END_BY_OUTCOME:
                    self.run_controller.end_incarnation(
                        worker, fleet.END_BY_OUTCOME[reply.outcome]
                    )
                case _:
                    await asyncio.sleep(RETRY_DELAY_S)

    def _needs_stop(self, run):
        """Return whether a stop order that has no answer is repeated.

        The start order of a revoked run may arrive after the owner has given
        a silent worker up, as no lease of this incarnation bounds it.
        """
        return not self.worker.ended and (
            self._has_run(run)
            or (
                run.revoked
                and self.run_controller.unanswered_orders.is_pending(run)
            )
        )

    def send_pace(self, run, percent):
        """Order a run to work at a percentage of its full speed."""
        run.pace_in_flight = True
        run.paced_at_s = clocks.now_s()
        self.spawn(self._pace(run, percent))

    async def _pace(self, run, percent):
        try:
            reply = await self.client.set_run_pace(
                run.name, run.number, percent, self.term.epoch
            )
        finally:
            run.pace_in_flight = False
        match reply.outcome:
            case platform_messages.OrderOutcome.FENCED:
                raise term_module.OwnershipLost(self.worker.worker_id)
            case platform_messages.OrderOutcome.DONE:
                run.pace_percent = percent
                return
            case _:
                LOG.info(
                    'a pace order was not carried out',
                    task=run.name,
                    run=run.number,
                    outcome=reply.outcome.value,
                )
                # The next pass of the pace controller sends it again.
                run.pace_percent = None
                if reply.outcome is platform_messages.OrderOutcome.UNKNOWN:
                    run.pace_in_doubt_until_s = (
                        run.paced_at_s + unanswered_orders.MAX_DELAY_S
                    )
