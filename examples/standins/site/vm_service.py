"""Stand-in of the platform's VM service, and of the policy service."""

import asyncio
from collections import Counter
import time

from aiohttp import web

from examples.standins.site import faults

__all__ = ['AdviceService', 'VMService']


class VMService:
    """VMs in pools; moves and maintenance take ``move_s``.

    :param start_worker: coroutine function called with the VM's name and
        pool when a worker is to begin there.
    :param stop_worker: coroutine function called with the VM's name.
    """

    def __init__(self, *, start_worker, stop_worker, spare_pool, move_s=0.2):
        self.faults = faults.ServiceFaults()
        self.start_worker = start_worker
        self.stop_worker = stop_worker
        self.spare_pool = spare_pool
        self.move_s = move_s
        # Name to a dict as it is listed.
        self.vms = {}
        self.fencing_tokens = {}
        # (what, VM, holder, fence) of orders that were carried out.
        self.orders = []
        # Most VMs that one wave had down at once.
        self.peak_down = 0
        self._wave_by_vm = {}
        self.maintained_vms = {}
        # The list shows what was so long ago.
        self.list_lag_s = 0.0
        self._history = []
        self._tasks = set()

    def create_app(self):
        """Return the aiohttp application."""
        app = web.Application(middlewares=[self.faults.apply])
        app.router.add_get('/api/machines', self.list_vms)
        app.router.add_post('/api/machine-move', self.move)
        app.router.add_post('/api/machine-upkeep', self.start_maintenance)
        return app

    async def list_vms(self, _request):
        """Return all VMs as they were some time ago."""
        shown = self.vms
        if self.list_lag_s:
            then_s = time.monotonic() - self.list_lag_s
            older = [vms for at_s, vms in self._history if at_s <= then_s]
            shown = older[-1] if older else self._history[0][1]
        return web.json_response(
            {
                'machines': list(shown.values()),
                'nextToken': None,
            }
        )

    def record_list(self):
        """Keep the present state for the lagging list."""
        copy = {name: dict(vm) for name, vm in self.vms.items()}
        self._history.append((time.monotonic(), copy))

    def _refuse(self, reason):
        return web.json_response({'reason': reason}, status=409)

    def _check_fencing_token(self, request, vm):
        holder = request.headers['Arbutusrock-Lease-Holder']
        fence = int(request.headers['Arbutusrock-Fencing-Token'])
        if fence < self.fencing_tokens.get(vm['machine'], 0):
            return None
        self.fencing_tokens[vm['machine']] = fence
        return holder, fence

    async def move(self, request):
        """Move a VM to another pool."""
        body = await request.json()
        vm = self.vms.get(body['machine'])
        if vm is None:
            return web.Response(status=400)
        who = self._check_fencing_token(request, vm)
        if who is None:
            return self._refuse('fence')
        if vm['pool'] == body['pool']:
            return web.json_response({})
        if vm['state'] != 'up':
            return self._refuse('busy')
        vm['pool'] = body['pool']
        await self._start_order('move', vm, who, 'moving')
        return web.json_response({})

    async def start_maintenance(self, request):
        """Begin the maintenance of a VM."""
        body = await request.json()
        vm = self.vms.get(body['machine'])
        if vm is None:
            return web.Response(status=400)
        who = self._check_fencing_token(request, vm)
        if who is None:
            return self._refuse('fence')
        done = self.maintained_vms.setdefault(body['wave'], set())
        if vm['machine'] in done:
            return web.json_response({})
        if vm['state'] != 'up':
            return self._refuse('busy')
        done.add(vm['machine'])
        self._wave_by_vm[vm['machine']] = body['wave']
        await self._start_order('upkeep', vm, who, 'upkeep')
        return web.json_response({})

    async def _start_order(self, what, vm, who, state):
        vm['state'] = state
        vm['id'] = None
        self.orders.append((what, vm['machine'], *who))
        self.record_list()
        down = Counter(
            self._wave_by_vm[name]
            for name, item in self.vms.items()
            if item['state'] == 'upkeep'
        )
        self.peak_down = max([self.peak_down, *down.values()])
        await self.stop_worker(vm['machine'])
        task = asyncio.ensure_future(self._bring_back(vm))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _bring_back(self, vm):
        await asyncio.sleep(self.move_s)
        vm['state'] = 'up'
        self.record_list()
        if vm['pool'] != self.spare_pool:
            await self.start_worker(vm['machine'], vm['pool'])


class AdviceService:
    """Allows the workers in ``allowed_workers`` to run any step."""

    def __init__(self):
        self.faults = faults.ServiceFaults()
        self.allowed_workers = set()
        self.requests = []

    def create_app(self):
        """Return the aiohttp application."""
        app = web.Application(middlewares=[self.faults.apply])
        app.router.add_post('/api/advise', self.advise)
        return app

    async def advise(self, request):
        """Answer one question."""
        body = await request.json()
        self.requests.append((body['step'], tuple(body['workers'])))
        good = [
            [worker_id, f'ticket-{worker_id}']
            for worker_id in body['workers']
            if worker_id in self.allowed_workers
        ]
        return web.json_response({'good': good, 'validMs': 3000})
