"""Stand-in for a worker: runs tasks, keeps a ledger, can misbehave.

Run as ``python -m examples.standins.worker w1 w2``; it prints a port for each.

Any path runs a task. Query parameters steer it: ``run_s`` (run time),
``size`` (bytes of the answer), ``status``. The ledger at ``GET
/control/ledger`` lists every start and end, and is what the invariant checks
of the tests read. ``POST /control/mode`` sets the :class:`Mode`.
"""

import argparse
import asyncio
import base64
import hashlib
import time

from aiohttp import web
import msgspec

__all__ = ['LedgerEntry', 'Mode', 'StandInWorker']

MAX_BODY_BYTES = 256 << 20


class Mode(msgspec.Struct, kw_only=True):
    """How the worker behaves.

    :param plain: whether it ignores the task headers, as an HTTP upstream
        without the task interface does.
    :param failing: whether every task ends with status 500.
    :param draining: whether new tasks are refused.
    :param default_run_s: run time of a request without ``run_s``.
    """

    plain: bool = False
    failing: bool = False
    draining: bool = False
    default_run_s: float = 0.0


class LedgerEntry(msgspec.Struct, kw_only=True):
    """One execution of a task or plain request.

    Times are seconds of the host's boot clock, which all processes share.
    """

    worker: str
    task: str
    epoch: int
    method: str
    path: str
    team: str
    key_id: str
    priority: str
    mark: str
    node: str
    start_s: float
    end_s: float = 0.0
    outcome: str = 'running'


class _Task:
    __slots__ = (
        'epoch',
        'state',
        'lease_ends_at_s',
        'answer',
        'entry',
        'runner',
    )

    def __init__(self, *, epoch, state):
        self.epoch = epoch
        self.state = state
        self.lease_ends_at_s = 0.0
        self.answer = None
        self.entry = None
        self.runner = None


class StandInWorker:
    """A worker with the task interface, or a plain HTTP upstream."""

    def __init__(self, *, name):
        self.name = name
        self.mode = Mode()
        self.tasks = {}
        self.ledger = []

    def create_app(self):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get('/control/ledger', self.show_ledger)
        app.router.add_post('/control/mode', self.set_mode)
        app.router.add_get('/_health', self.show_health)
        app.router.add_post('/_tasks/{task}/resolve', self.resolve)
        app.router.add_get('/_tasks/{task}/answer', self.fetch_answer)
        app.router.add_post('/_tasks/{task}/stop', self.stop_task)
        app.router.add_route('*', '/{path:.*}', self.run_task)
        return app

    async def show_ledger(self, request):
        """Return the ledger: all executions in order of their starts."""
        return web.Response(body=msgspec.json.encode(self.ledger))

    async def set_mode(self, request):
        """Replace the mode."""
        self.mode = msgspec.json.decode(await request.read(), type=Mode)
        return web.Response()

    async def show_health(self, request):
        """Return the number of running tasks and whether it is draining."""
        running = sum(1 for e in self.ledger if e.outcome == 'running')
        return web.json_response(
            {'running': running, 'draining': self.mode.draining}
        )

    async def resolve(self, request):
        """Return the state of a task and fence it if it is unknown.

        A fenced task can start only with a higher epoch. For a running task,
        ``lease`` sets a new lease and ``wait`` waits for its end.
        """
        epoch = int(request.query.get('epoch', '1'))
        task_id = request.match_info['task']
        task = self.tasks.get(task_id)
        if task is None:
            task = self.tasks[task_id] = _Task(epoch=epoch, state='fenced')
        elif task.state == 'fenced':
            task.epoch = max(task.epoch, epoch)
        elif task.state == 'running':
            if 'lease' in request.query:
                lease_s = float(request.query['lease'])
                task.lease_ends_at_s = _now_s() + lease_s
            wait_s = float(request.query.get('wait', '0'))
            await asyncio.wait([task.runner], timeout=wait_s)
        return web.json_response(
            {'task': task_id, 'state': task.state, 'epoch': task.epoch}
        )

    async def fetch_answer(self, request):
        """Return the stored answer of a task that is done."""
        task = self.tasks.get(request.match_info['task'])
        if task is None or task.answer is None:
            return web.Response(status=404)
        return self._create_response(request.match_info['task'], task)

    async def stop_task(self, request):
        """Stop a running task."""
        task = self.tasks.get(request.match_info['task'])
        if task is not None and task.runner is not None:
            task.runner.cancel()
        return web.Response()

    async def run_task(self, request):
        """Run a task and return its answer.

        A task that is known already is refused with its state, unless it
        was fenced in a lower epoch.
        """
        body = await request.read()
        task_id = request.headers.get('Arbutusrock-Task', '')
        if self.mode.draining:
            return web.Response(
                status=503, headers={'Arbutusrock-Not-Run': 'draining'}
            )
        if self.mode.plain or not task_id:
            task = _Task(epoch=0, state='running')
            await self._execute(request, task_id, task, body)
            return self._create_response('', task)
        epoch = int(request.headers.get('Arbutusrock-Epoch', '1'))
        previous = self.tasks.get(task_id)
        if previous is not None and not (
            previous.state == 'fenced' and epoch > previous.epoch
        ):
            return web.Response(
                status=409, headers={'Arbutusrock-Not-Run': previous.state}
            )
        task = self.tasks[task_id] = _Task(epoch=epoch, state='running')
        task.lease_ends_at_s = _now_s() + float(
            request.headers.get('Arbutusrock-Lease', '60')
        )
        task.runner = asyncio.create_task(
            self._execute(request, task_id, task, body)
        )
        await asyncio.wait([task.runner])
        if task.answer is None:
            return web.Response(
                status=500, headers={'Arbutusrock-Stopped': '1'}
            )
        return self._create_response(task_id, task)

    async def _execute(self, request, task_id, task, body):
        entry = self._record_start(request, task_id, task)
        task.entry = entry
        run_s = float(request.query.get('run_s', self.mode.default_run_s))
        try:
            await self._simulate_run(task, run_s)
            status = int(request.query.get('status', '200'))
            if self.mode.failing:
                status = 500
            size = int(request.query.get('size', '0'))
            text = f'{self.name} {task_id} {request.path_qs} '.encode()
            task.answer = (status, (text + body).ljust(size, b'.'))
            task.state = 'done'
            entry.outcome = 'done'
        except asyncio.CancelledError:
            task.state = 'stopped'
            entry.outcome = 'stopped'
        finally:
            entry.end_s = _now_s()
            task.runner = None

    async def _simulate_run(self, task, run_s):
        """Wait for the run time; stop the task when its lease lapses."""
        ends_at_s = _now_s() + run_s
        while (remaining_s := ends_at_s - _now_s()) > 0:
            await asyncio.sleep(min(remaining_s, 0.2))
            if task.lease_ends_at_s and _now_s() > task.lease_ends_at_s:
                raise asyncio.CancelledError

    def _record_start(self, request, task_id, task):
        headers = request.headers
        entry = LedgerEntry(
            worker=self.name,
            task=task_id,
            epoch=task.epoch,
            method=request.method,
            path=request.path,
            team=headers.get('Arbutusrock-Team', ''),
            key_id=headers.get('Arbutusrock-Key-Id', ''),
            priority=headers.get('Arbutusrock-Priority', ''),
            mark=headers.get('X-Mark', ''),
            node=headers.get('Arbutusrock-Node', ''),
            start_s=_now_s(),
        )
        self.ledger.append(entry)
        return entry

    def _create_response(self, task_id, task):
        status, body = task.answer
        digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
        headers = {'Content-Digest': f'sha-256=:{digest}:'}
        if task_id:
            headers['Arbutusrock-Task'] = task_id
        return web.Response(status=status, body=body, headers=headers)


def _now_s():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def serve(names, mode):
    """Serve several workers in one process; print their ports."""
    for name in names:
        worker = StandInWorker(name=name)
        worker.mode = mode
        runner = web.AppRunner(
            worker.create_app(), access_log=None, handler_cancellation=False
        )
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0, backlog=1024)
        await site.start()
        print('port', runner.addresses[0][1], flush=True)
    await asyncio.Event().wait()


def main():
    """Parse arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='+')
    parser.add_argument('--plain', action='store_true')
    args = parser.parse_args()
    asyncio.run(serve(args.names, Mode(plain=args.plain)))


if __name__ == '__main__':
    main()
