"""Stand-ins of the platform's VM service and advice service."""

import asyncio
from collections import Counter
import time

from aiohttp import web

from examples.standins.site import faults

__all__ = ['AdviceService', 'VMService']


class VMService:
    """Lists VMs and carries out orders to move or maintain them.

    :param start_worker: coroutine function, called with the VM's name and
        pool when a worker has to start there.
    :param stop_worker: coroutine function, called with the VM's name when
        its worker has to stop.
    :param spare_pool: pool whose VMs have no worker.
    :param move_s: time that a move or a maintenance takes.
    """

    def __init__(self, *, start_worker, stop_worker, spare_pool, move_s=0.2):
        self.faults = faults.ServiceFaults()
        self.start_worker = start_worker
        self.stop_worker = stop_worker
        self.spare_pool = spare_pool
        self.move_s = move_s
        # VM to the dict that is listed for it.
        self.vms = {}
        # VM to the highest fencing token seen in an order.
        self.fencing_tokens = {}
        # (action, VM, lease holder, fencing token) of the orders carried out.
        self.orders = []
        # Maximum number of VMs that one wave had down at once.
        self.peak_down = 0
        self._wave_by_vm = {}
        self.maintained_vms = {}
        # Age of the VM list that is returned.
        self.list_lag_s = 0.0
        # VMs that lists lack although they are there.
        self.hidden_vms = set()
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
        """Return all VMs as they were ``list_lag_s`` ago."""
        shown = self.vms
        if self.list_lag_s:
            shown_at_s = time.monotonic() - self.list_lag_s
            past_lists = [
                vms for at_s, vms in self._history if at_s <= shown_at_s
            ]
            shown = past_lists[-1] if past_lists else self._history[0][1]
        return web.json_response(
            {
                'machines': [
                    vm
                    for name, vm in shown.items()
                    if name not in self.hidden_vms
                ],
                'nextToken': None,
            }
        )

    def record_list(self):
        """Store the present list, which is returned later under a lag."""
        copy = {name: dict(vm) for name, vm in self.vms.items()}
        self._history.append((time.monotonic(), copy))

    def _refuse(self, reason):
        return web.json_response({'reason': reason}, status=409)

    def _check_fencing_token(self, request, vm):
        holder = request.headers['Arbutusrock-Lease-Holder']
        fencing_token = int(request.headers['Arbutusrock-Fencing-Token'])
        if fencing_token < self.fencing_tokens.get(vm['machine'], 0):
            return None
        self.fencing_tokens[vm['machine']] = fencing_token
        return holder, fencing_token

    async def move(self, request):
        """Start to move a VM to another pool."""
        body = await request.json()
        vm = self.vms.get(body['machine'])
        if vm is None:
            return web.Response(status=400)
        sender = self._check_fencing_token(request, vm)
        if sender is None:
            return self._refuse('fence')
        if vm['pool'] == body['pool']:
            return web.json_response({})
        if vm['state'] != 'up':
            return self._refuse('busy')
        vm['pool'] = body['pool']
        await self._start_order('move', vm, sender, 'moving')
        return web.json_response({})

    async def start_maintenance(self, request):
        """Start the maintenance of a VM, once for each wave."""
        body = await request.json()
        vm = self.vms.get(body['machine'])
        if vm is None:
            return web.Response(status=400)
        sender = self._check_fencing_token(request, vm)
        if sender is None:
            return self._refuse('fence')
        maintained = self.maintained_vms.setdefault(body['wave'], set())
        if vm['machine'] in maintained:
            return web.json_response({})
        if vm['state'] != 'up':
            return self._refuse('busy')
        maintained.add(vm['machine'])
        self._wave_by_vm[vm['machine']] = body['wave']
        await self._start_order('upkeep', vm, sender, 'upkeep')
        return web.json_response({})

    async def _start_order(self, action, vm, sender, state):
        vm['state'] = state
        vm['id'] = None
        self.orders.append((action, vm['machine'], *sender))
        self.record_list()
        down_by_wave = Counter(
            self._wave_by_vm[name]
            for name, listed in self.vms.items()
            if listed['state'] == 'upkeep'
        )
        self.peak_down = max([self.peak_down, *down_by_wave.values()])
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
        """Return those of the asked workers that may run the step."""
        body = await request.json()
        self.requests.append((body['step'], tuple(body['workers'])))
        allowed = [
            [worker_id, f'ticket-{worker_id}']
            for worker_id in body['workers']
            if worker_id in self.allowed_workers
        ]
        return web.json_response({'good': allowed, 'validMs': 3000})
