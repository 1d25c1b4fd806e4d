"""Runs work: waits for a slot, sends it, retries and reports the outcome."""

import asyncio

from arbutusrock import errors
from arbutusrock.links import upstream_client
from arbutusrock import logs
from arbutusrock.machines import vms
from arbutusrock.utils import clocks

__all__ = ['RetryBudget', 'Runner']

MAX_TRIES = 5
# Upstreams that may break off while they run a request: it may be the cause.
MAX_UNKNOWN_OUTCOMES = 3
NOT_RUN_RETRY_AFTER_S = 1.0
RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 20.0
UNKNOWN_RETRY_AFTER_S = 5.0
LOG = logs.get_log('runner')


class RetryBudget:
    """Bounds the retries to a fraction of the requests.

    :param ratio: retries that each request adds to the budget.
    :param max_saved: maximum of unused retries that the budget keeps.

    >>> budget = RetryBudget(ratio=0.5, max_saved=1.0)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    __slots__ = ('ratio', 'max_saved', '_saved')

    def __init__(self, *, ratio=RETRY_RATIO, max_saved=MAX_SAVED_RETRIES):
        self.ratio = ratio
        self.max_saved = max_saved
        self._saved = max_saved

    def record_request(self):
        """Add the retries that a new request brings to the budget."""
        self._saved = min(self.max_saved, self._saved + self.ratio)

    def try_spend(self):
        """Take one retry from the budget; return whether it had one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


class Runner:
    """Runs work on workers.

    :param dispatcher: :class:`arbutusrock.jobs.Dispatcher`.
    :param upstreams: :class:`arbutusrock.links.UpstreamClient`.
    :param members: :class:`arbutusrock.machines.Members`.
    :param health: :class:`arbutusrock.machines.health.WorkerHealth`.
    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    """

    def __init__(self, *, dispatcher, upstreams, members, health, metrics):
        self.dispatcher = dispatcher
        self.upstreams = upstreams
        self.members = members
        self.health = health
        self.metrics = metrics
        self.budget = RetryBudget()
        self._background = set()

    async def run(self, work, *, before_send=None):
        """Run ``work`` and return the worker's answer.

        After a streamed answer the caller must call :meth:`close_stream`.

        :param before_send: coroutine function, called with the VM once a slot
            is held and before the work is sent.
        :returns: :class:`arbutusrock.links.upstream_client.Answered`.
        :raises errors.ArbutusrockError: its ``run`` tells whether the work
            ran.
        """
        self.budget.record_request()
        tries, unknown_outcomes = 0, 0
        while True:
            tries += 1
            vm = await self.dispatcher.acquire(work)
            outcome = await self._run_once(vm, work, before_send)
            match outcome:
                case upstream_client.Answered():
                    return self._handle_answer(vm, work, outcome)
                case upstream_client.Refused():
                    self.dispatcher.release(work)
                    self.health.record_draining(vm)
                case upstream_client.NotRun():
                    self.dispatcher.release(work)
                    self.health.record_failure(vm, outcome.reason)
                case upstream_client.Unknown():
                    self.health.record_failure(vm, outcome.reason)
                    self._release_unknown(vm, work, outcome)
                    unknown_outcomes += 1
                    if (
                        not work.idempotent
                        or unknown_outcomes >= MAX_UNKNOWN_OUTCOMES
                    ):
                        raise errors.OutcomeUnknown(outcome.reason)
            self._check_retry(work, outcome, tries)
            work.tried_vms.add(vm.vm)
            # A worker that fenced this epoch or still runs it would refuse it.
            work.epoch += 1

    async def _run_once(self, vm, work, before_send):
        """Send ``work`` once; it holds a slot and a permit already."""
        try:
            if before_send is not None:
                await before_send(vm)
            self.check_serving()
        except BaseException:
            self.dispatcher.release(work)
            raise
        try:
            return await self._exchange_before_deadline(vm, work)
        except errors.NodeNotServing:
            self.dispatcher.release(work)
            raise
        except BaseException:
            # The caller left, or its deadline passed. The task may still run,
            # so it keeps slot and permit until it has certainly ended.
            self._abandon(vm, work)
            raise

    def check_serving(self):
        """Raise NodeNotServing unless this node may send work now."""
        if not self.members.is_serving():
            raise errors.NodeNotServing(
                'the lease of this node lapsed',
                retry_after=NOT_RUN_RETRY_AFTER_S,
            )

    async def _exchange_before_deadline(self, vm, work):
        if work.deadline_at_s is None:
            return await self.upstreams.exchange(vm, work)
        remaining_s = max(0.001, work.deadline_at_s - clocks.now_s())
        try:
            async with asyncio.timeout(remaining_s):
                return await self.upstreams.exchange(vm, work)
        except TimeoutError:
            raise errors.OutcomeUnknown(
                f'{vm.vm} did not answer before the deadline'
            ) from None

    def _handle_answer(self, vm, work, outcome):
        if outcome.status >= 500:
            self.health.record_failure(vm, f'status {outcome.status}')
        else:
            self.health.record_success(vm)
        if outcome.stream is None:
            self.dispatcher.release(work)
        return outcome

    def close_stream(self, work, answered):
        """Close a streamed answer; release the slot and permit of its work."""
        answered.stream.close()
        self.dispatcher.release(work)

    def _check_retry(self, work, outcome, tries):
        if not work.replayable or tries >= MAX_TRIES:
            raise self._create_error(outcome)
        if not self.budget.try_spend():
            self.metrics.count('retries_refused')
            raise self._create_error(outcome)
        self.metrics.count('retries')

    def _create_error(self, outcome):
        match outcome:
            case upstream_client.Unknown():
                return errors.OutcomeUnknown(outcome.reason)
            case _:
                return errors.UpstreamNotRun(
                    outcome.reason, retry_after=NOT_RUN_RETRY_AFTER_S
                )

    def _abandon(self, vm, work):
        self._spawn(self._release_after_completion(vm, work, stop=True))

    def _release_unknown(self, vm, work, outcome):
        """Release slot and permit of work whose outcome is unknown.

        While the task may still run, a copy holds them, so that ``work``
        can be retried in another slot.
        """
        if outcome.ended:
            self.dispatcher.release(work)
        else:
            slot_holder = _move_slot_to_copy(work)
            self._spawn(
                self._release_after_completion(vm, slot_holder, stop=False)
            )

    async def _release_after_completion(self, vm, work, *, stop):
        """Release slot and permit once the task cannot run any more.

        When its worker cannot tell, the task lease has to pass; without the
        task protocol, the run time-out of the queue.

        :param stop: whether the worker is asked to stop the task.
        """
        if vm.protocol is vms.Protocol.TASKS:
            if stop:
                await self.upstreams.stop_task(vm, work)
            outcome = await self.upstreams.resolve(vm, work, 'abandoned')
            match outcome:
                case upstream_client.Unknown(ended=False):
                    await asyncio.sleep(self.upstreams.settings.task_lease_s)
        else:
            await asyncio.sleep(work.queue.run_timeout_s)
        self.dispatcher.release(work)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def wait_idle(self, deadline_at_s):
        """Wait until no work runs or waits, at most until ``deadline_at_s``.

        :returns: whether no work is left.
        """
        while (
            self.dispatcher.count_running() or self.dispatcher.count_waiting()
        ):
            if clocks.now_s() >= deadline_at_s:
                return False
            await asyncio.sleep(0.05)
        return True


def _move_slot_to_copy(work):
    """Move slot and permit of ``work`` to a copy, which is returned."""
    slot_holder = type(work)(
        task_id=work.task_id,
        team_name=work.team_name,
        queue=work.queue,
        pool=work.pool,
        method=work.method,
        target=work.target,
        headers=(),
        body=b'',
        arrived_at_s=work.arrived_at_s,
        deadline_at_s=None,
        patient=work.patient,
        epoch=work.epoch,
    )
    slot_holder.vm = work.vm
    slot_holder.started_at_s = work.started_at_s
    slot_holder.holds_slot = True
    work.holds_slot = False
    return slot_holder
