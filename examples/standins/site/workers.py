"""Stand-in of a worker: runs tasks under a lease, records them in a ledger.

A task's ``spec`` may hold JSON: ``ms`` (duration), ``fail`` (the run fails),
``lasts`` (the run ends only when it is stopped, as that of a serving task),
``crash`` (indexes of the tasks that crash their worker) and ``crash_ms`` (how
long after their start).
"""

import asyncio
import json
import time

from aiohttp import web

from examples.standins.site import faults

__all__ = ['RunRecord', 'StandInWorker']

DEFAULT_DURATION_MS = 40
DEFAULT_CRASH_MS = 10
# Runs report 0 percent until they are this old, then 100.
STARTUP_S = 0.02
# Key under which the middleware stores the decoded body in the request.
BODY_KEY = web.RequestKey('body', dict)

# Most ends of runs that one report holds.
REPORTED_ENDS = 500


class RunRecord:
    """Ledger entry of a run.

    Times are instants on the host's steady clock; ``outcome`` is None while
    the run is in progress.
    """

    __slots__ = (
        'worker_id',
        'task',
        'run',
        'spec',
        'started_at_s',
        'ended_at_s',
        'outcome',
        'acknowledged_at_s',
    )

    def __init__(self, *, worker_id, task, run, spec):
        self.worker_id = worker_id
        self.task = task
        self.run = run
        self.spec = spec
        self.started_at_s = time.monotonic()
        self.ended_at_s = None
        self.outcome = None
        # When the owner acknowledged the completion.
        self.acknowledged_at_s = None


class _Refused(Exception):
    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class StandInWorker:
    """One incarnation of a worker.

    :param worker_id: id of this incarnation.
    :param ledger: list to which a :class:`RunRecord` is added for each run.
    :param on_crash: called with the :class:`RunRecord` of a run that crashes
        the worker; None if no run does.
    """

    def __init__(self, *, worker_id, ledger, on_crash=None):
        self.worker_id = worker_id
        self.ledger = ledger
        self.on_crash = on_crash
        self.faults = faults.ServiceFaults()
        self.started_unix_ms = int(time.time() * 1000)
        self.started_at_s = time.monotonic()
        self.fencing_token = 0
        self.lease_until_ms = 0.0
        self.running = {}
        self.completions = []
        self.completion_count = 0
        self.reported_ends = REPORTED_ENDS
        # Completion number to the run record, until it is acknowledged.
        self.unacknowledged = {}
        # Rate of the worker's steady clock; 1 is the true rate.
        self.clock_rate = 1.0
        # Task to its highest run that may not start any more.
        self.last_closed_run = {}
        self.pace_percents = {}
        # Whether all runs fail.
        self.failing = False
        # Reason for which it refuses all starts, or those without a ticket
        # for ``ticket``; and how many it has refused.
        self.refusal = ''
        self.refused_starts = 0
        # Whether the process was killed.
        self.aborted = False
        self._timers = {}
        self._changed = asyncio.Condition()

    def create_app(self):
        """Return the aiohttp application."""
        app = web.Application(
            middlewares=[self.faults.apply, self._check_request]
        )
        app.router.add_post('/api/run-start', self.start)
        app.router.add_post('/api/run-stop', self.stop)
        app.router.add_post('/api/hold', self.renew_lease)
        app.router.add_post('/api/pace', self.set_run_pace)
        return app

    @web.middleware
    async def _check_request(self, request, handler):
        if request.headers['Arbutusrock-Expected-Instance'] != self.worker_id:
            return web.Response(status=421)
        body = await request.json()
        if self.aborted:
            return faults.drop_connection(request)
        try:
            self._check_fencing_token(body.get('fenceToken', 0))
            request[BODY_KEY] = body
            return await handler(request)
        except _Refused as exc:
            return self._create_response(status=409, reason=exc.reason)

    def _check_fencing_token(self, fencing_token):
        if fencing_token < self.fencing_token:
            raise _Refused('fence')
        self.fencing_token = fencing_token

    @property
    def clock_ms(self):
        """Steady clock of this incarnation; starts at 0."""
        return (time.monotonic() - self.started_at_s) * 1000 * self.clock_rate

    def _create_response(self, status=200, **fields):
        return web.json_response(
            {'clockMs': int(self.clock_ms), **fields}, status=status
        )

    def _extend_lease(self, deadline_ms):
        if self.clock_ms > self.lease_until_ms:
            # Completions from before a lapse of the lease do not count as
            # acknowledged.
            self.unacknowledged.clear()
        self.lease_until_ms = max(self.lease_until_ms, deadline_ms or 0)

    async def start(self, request):
        """Start a run and extend the lease; a repeated call starts nothing."""
        body = request[BODY_KEY]
        task, run = body['task'], body['run']
        self._extend_lease(body['deadlineMs'])
        if task in self.running and self.running[task].run == run:
            return self._create_response()
        if run <= self.last_closed_run.get(task, 0) or task in self.running:
            raise _Refused('old')
        if body['deadlineMs'] < self.clock_ms:
            raise _Refused('late')
        if self.refusal and not (
            self.refusal == 'ticket' and 'ticket' in body
        ):
            self.refused_starts += 1
            raise _Refused(self.refusal)
        run_record = RunRecord(
            worker_id=self.worker_id, task=task, run=run, spec=body['spec']
        )
        self.ledger.append(run_record)
        self.running[task] = run_record
        self._timers[task] = asyncio.ensure_future(self._work(run_record))
        return self._create_response()

    async def _work(self, run_record):
        try:
            behaviour = json.loads(run_record.spec)
        except ValueError:
            behaviour = {}
        index = int(run_record.task.rpartition('.')[2])
        if self.on_crash and index in behaviour.get('crash', ()):
            crash_ms = behaviour.get('crash_ms', DEFAULT_CRASH_MS)
            await asyncio.sleep(crash_ms / 1000)
            self.on_crash(run_record)
            return
        if behaviour.get('lasts'):
            return
        await asyncio.sleep(behaviour.get('ms', DEFAULT_DURATION_MS) / 1000)
        failed = self.failing or behaviour.get('fail')
        await self._record_completion(
            run_record, 'failed' if failed else 'done'
        )

    async def _record_completion(self, run_record, outcome):
        if self.running.get(run_record.task) is not run_record:
            return
        del self.running[run_record.task]
        run_record.ended_at_s, run_record.outcome = time.monotonic(), outcome
        self.last_closed_run[run_record.task] = run_record.run
        self.completion_count += 1
        self.completions.append(
            [
                self.completion_count,
                run_record.task,
                run_record.run,
                outcome,
                '',
            ]
        )
        self.unacknowledged[self.completion_count] = run_record
        async with self._changed:
            self._changed.notify_all()

    async def stop(self, request):
        """Stop a run; if it has not started yet, it never will."""
        body = request[BODY_KEY]
        task, run = body['task'], body['run']
        run_record = self.running.get(task)
        if run_record is not None and run_record.run <= run:
            self._timers[task].cancel()
            await self._record_completion(run_record, 'stopped')
        self.last_closed_run[task] = max(
            run, self.last_closed_run.get(task, 0)
        )
        return self._create_response()

    async def set_run_pace(self, request):
        """Store the percentage of its full speed at which a run may work."""
        body = request[BODY_KEY]
        self.pace_percents[body['task']] = body['percent']
        return self._create_response()

    async def renew_lease(self, request):
        """Renew the lease; return the runs in progress and the completions.

        Completions up to ``ackCursor`` are acknowledged and removed. Without
        others, the call waits for one for up to ``waitMs``.
        """
        body = request[BODY_KEY]
        self._extend_lease(body.get('deadlineMs'))
        cursor = body['ackCursor']
        self.completions = [
            completion
            for completion in self.completions
            if completion[0] > cursor
        ]
        for number in [item for item in self.unacknowledged if item <= cursor]:
            self.unacknowledged.pop(
                number
            ).acknowledged_at_s = time.monotonic()
        try:
            async with (
                asyncio.timeout(body.get('waitMs', 0) / 1000),
                self._changed,
            ):
                await self._changed.wait_for(lambda: self.completions)
        except TimeoutError:
            # No run ended within the wait.
            pass
        running = [
            [
                run_record.task,
                run_record.run,
                '',
                self._get_percent(run_record),
            ]
            for run_record in self.running.values()
        ]
        return self._create_response(
            running=running,
            ended=self.completions[: self.reported_ends],
            born=self.started_unix_ms,
        )

    @staticmethod
    def _get_percent(run_record):
        return (
            100
            if time.monotonic() - run_record.started_at_s > STARTUP_S
            else 0
        )

    async def enforce_lease(self):
        """Stop all runs whenever the lease has lapsed."""
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms > self.lease_until_ms:
                for run_record in list(self.running.values()):
                    self._timers[run_record.task].cancel()
                    await self._record_completion(run_record, 'lapsed')

    def abort_runs(self):
        """End all runs without a completion, as when the process is killed."""
        self.aborted = True
        for timer in self._timers.values():
            timer.cancel()
        for run_record in self.running.values():
            run_record.ended_at_s, run_record.outcome = (
                time.monotonic(),
                'lost',
            )
        self.running.clear()
