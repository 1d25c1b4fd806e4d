"""Stand-in worker: runs tasks under a lease, keeps a ledger of them.

A task's ``spec`` may hold JSON: ``ms`` (duration), ``fail`` (it fails).
"""

import asyncio
import json
import time

from aiohttp import web

from examples.standins.site import faults

__all__ = ['RunRecord', 'StandInWorker']

DEFAULT_DURATION_MS = 40
STARTUP_S = 0.02
# Where the middleware leaves the decoded body.
BODY_KEY = web.RequestKey('body', dict)


class RunRecord:
    """One run as the worker saw it."""

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
        # When the owner has taken note of the end.
        self.acknowledged_at_s = None


class _Refused(Exception):
    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class StandInWorker:
    """One life of a worker.

    :param worker_id: id of this life.
    :param ledger: list that gets a :class:`RunRecord` for each run.
    """

    def __init__(self, *, worker_id, ledger):
        self.worker_id = worker_id
        self.ledger = ledger
        self.faults = faults.ServiceFaults()
        self.started_unix_ms = int(time.time() * 1000)
        self.started_at_s = time.monotonic()
        self.fencing_token = 0
        self.lease_until_ms = 0.0
        self.running = {}
        self.completions = []
        self.completion_count = 0
        # Lines of ends that the owner has not taken note of, by number.
        self.unacknowledged = {}
        # Speed of its steady clock.
        self.clock_rate = 1.0
        self.last_closed_run = {}
        self.pace_percents = {}
        # It fails all that it starts.
        self.failing = False
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
        """The steady clock of this life."""
        return (time.monotonic() - self.started_at_s) * 1000 * self.clock_rate

    def _create_response(self, status=200, **fields):
        return web.json_response(
            {'clockMs': int(self.clock_ms), **fields}, status=status
        )

    def _extend_lease(self, until_ms):
        if self.clock_ms > self.lease_until_ms:
            # An end counts as noted only when no lease lapsed before.
            self.unacknowledged.clear()
        self.lease_until_ms = max(self.lease_until_ms, until_ms or 0)

    async def start(self, request):
        """Start a run."""
        body = request[BODY_KEY]
        task, run = body['task'], body['run']
        self._extend_lease(body['deadlineMs'])
        if task in self.running and self.running[task].run == run:
            return self._create_response()
        if run <= self.last_closed_run.get(task, 0) or task in self.running:
            raise _Refused('old')
        if body['deadlineMs'] < self.clock_ms:
            raise _Refused('late')
        line = RunRecord(
            worker_id=self.worker_id, task=task, run=run, spec=body['spec']
        )
        self.ledger.append(line)
        self.running[task] = line
        self._timers[task] = asyncio.ensure_future(self._work(line))
        return self._create_response()

    async def _work(self, line):
        try:
            wish = json.loads(line.spec)
        except ValueError:
            wish = {}
        if wish.get('lasts'):
            return
        await asyncio.sleep(wish.get('ms', DEFAULT_DURATION_MS) / 1000)
        failed = self.failing or wish.get('fail')
        await self._record_completion(line, 'failed' if failed else 'done')

    async def _record_completion(self, line, outcome):
        if self.running.get(line.task) is not line:
            return
        del self.running[line.task]
        line.ended_at_s, line.outcome = time.monotonic(), outcome
        self.last_closed_run[line.task] = line.run
        self.completion_count += 1
        self.completions.append(
            [self.completion_count, line.task, line.run, outcome, '']
        )
        self.unacknowledged[self.completion_count] = line
        async with self._changed:
            self._changed.notify_all()

    async def stop(self, request):
        """Stop a run, also one that comes later."""
        body = request[BODY_KEY]
        task, run = body['task'], body['run']
        line = self.running.get(task)
        if line is not None and line.run <= run:
            self._timers[task].cancel()
            await self._record_completion(line, 'stopped')
        self.last_closed_run[task] = max(
            run, self.last_closed_run.get(task, 0)
        )
        return self._create_response()

    async def set_run_pace(self, request):
        """Let a run work at a share of its speed."""
        body = request[BODY_KEY]
        self.pace_percents[body['task']] = body['percent']
        return self._create_response()

    async def renew_lease(self, request):
        """Renew the lease and tell what runs and has ended."""
        body = request[BODY_KEY]
        self._extend_lease(body.get('deadlineMs'))
        cursor = body['ackCursor']
        self.completions = [end for end in self.completions if end[0] > cursor]
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
            # Nothing has ended in time.
            pass
        running = [
            [line.task, line.run, '', self._get_percent(line)]
            for line in self.running.values()
        ]
        return self._create_response(
            running=running,
            ended=self.completions[:500],
            born=self.started_unix_ms,
        )

    @staticmethod
    def _get_percent(line):
        return 100 if time.monotonic() - line.started_at_s > STARTUP_S else 0

    async def enforce_lease(self):
        """Kill everything when the lease ends."""
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms > self.lease_until_ms:
                for line in list(self.running.values()):
                    self._timers[line.task].cancel()
                    await self._record_completion(line, 'lapsed')

    def abort_runs(self):
        """End this life: what runs ends with it."""
        for timer in self._timers.values():
            timer.cancel()
        for line in self.running.values():
            line.ended_at_s, line.outcome = time.monotonic(), 'lost'
        self.running.clear()
