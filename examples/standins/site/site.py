"""Runs all stand-ins of the platform, and nodes of the fleet manager."""

import asyncio
import base64
import itertools
import json
import time

import aiohttp
from aiohttp import web

from arbutusrock.engine import node as node_module
from arbutusrock.engine import node_settings
from arbutusrock import metrics as metrics_module
from arbutusrock.platform import adapter as adapter_module
from arbutusrock.platform import ingress as ingress_module
from arbutusrock.platform import internal_api
from arbutusrock.platform import server
from arbutusrock import serving
from examples.standins.site import documents
from examples.standins.site import site_node as site_node_module
from examples.standins.site import store as store_module
from examples.standins.site import vm_service
from examples.standins.site import workers

__all__ = ['Site', 'create_step']

HOST = '127.0.0.1'
API_KEY = 'key-1'
REGISTRATION_INTERVAL_S = 0.3
# A worker that a task has crashed is back after this time.
CRASH_RECOVERY_S = 0.8
SPARE_POOL = 'spare'


def create_step(count, **fields):
    """Return a step of a job body."""
    return {
        'count': count,
        'cpu': 1000,
        'memMb': 100,
        'estimateMs': 40,
        **fields,
    }


async def _serve(app, port=0):
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
    await runner.setup()
    site = web.TCPSite(runner, HOST, port)
    await site.start()
    return runner, f'{HOST}:{runner.addresses[0][1]}'


class Site:
    """Store, VMs with workers, advice service, configuration and nodes.

    :param pools: mapping of pool to its number of VMs.
    :param data_centres: names of the data centres; the VMs of a pool are
        spread over them by turns.
    :param cores: number of cores of each VM.
    :param map_address: coroutine function that is called with a VM and the
        address of its worker and returns the address to register, for
        example that of a proxy.
    :param reported_ends: most ends of runs that one report of a worker holds.
    """

    def __init__(
        self,
        *,
        pools,
        cores=8,
        map_address=None,
        data_centres=('z1',),
        reported_ends=workers.REPORTED_ENDS,
    ):
        self.pools = {**pools, SPARE_POOL: pools.get(SPARE_POOL, 0)}
        self.cores = cores
        self.data_centres = data_centres
        self.map_address = map_address
        self.store = store_module.MetadataStore()
        self.advice_service = vm_service.AdviceService()
        self.vm_service = vm_service.VMService(
            start_worker=self._start_worker,
            stop_worker=self._stop_worker,
            spare_pool=SPARE_POOL,
        )
        self.ledger = []
        # [data centre, begin, end] of each evacuation, on the steady clock;
        # the end is None until it is taken back.
        self.evacuations = []
        self.data_centre_by_worker = {}
        # Data centres whose workers do not reach the store.
        self.cut_data_centres = set()
        # Run record of each run that has crashed its worker.
        self.crashes = []
        self.crash_recovery_s = CRASH_RECOVERY_S
        self.reported_ends = reported_ends
        # VM to the capacity of its workers in millicores, where it is not that
        # of ``cores``; and (instant, worker, millicores) of each change.
        self.millicores = {}
        self.capacity_changes = []
        self.workers = {}
        self.nodes = []
        self.version = 0
        self.queues = {}
        # VM to the rate of its workers' steady clock, where it is not 1.
        self.clock_rates = {}
        self.accounts = {'acme': {'apiKeys': [API_KEY], 'weight': 50}}
        self._addresses = {}
        self._runners = []
        self._worker_tasks = {}
        self._crash_tasks = []
        self._worker_numbers = itertools.count(1)
        self._vm_numbers = itertools.count()
        self.session = None

    async def start(self):
        """Start all services and workers; write the first configuration."""
        self.session = aiohttp.ClientSession()
        for name, app in (
            ('store', self.store.create_app()),
            ('vms', self.vm_service.create_app()),
            ('policy', self.advice_service.create_app()),
        ):
            runner, self._addresses[name] = await _serve(app)
            self._runners.append(runner)
        for pool, count in self.pools.items():
            for number in range(count):
                vm = f'm-{pool}-{number}'
                self.vm_service.vms[vm] = {
                    'machine': vm,
                    'pool': pool,
                    'state': 'up',
                    'zone': self.data_centres[number % len(self.data_centres)],
                    'labels': ['a', f'r{next(self._vm_numbers) // 4}'],
                    'capacity': self._get_capacity(vm),
                    'id': None,
                }
                if pool != SPARE_POOL:
                    await self._start_worker(vm, pool)
            if pool != SPARE_POOL:
                self.queues[pool] = {}
        self.vm_service.record_list()
        await self.configure()

    def _get_capacity(self, vm):
        millicores = self.millicores.get(vm, self.cores * 1000)
        return {'cpu': millicores, 'memMb': 65536, 'gpus': 0}

    def set_millicores(self, vm, millicores):
        """Change the capacity that the workers of a VM report."""
        self.millicores[vm] = millicores
        self.vm_service.vms[vm]['capacity'] = self._get_capacity(vm)
        worker_id = self.vm_service.vms[vm]['id']
        self.capacity_changes.append((time.monotonic(), worker_id, millicores))

    async def stop(self):
        """Stop all nodes, workers and services."""
        for node in list(self.nodes):
            await self.kill_node(node)
        for task in self._crash_tasks:
            task.cancel()
        await asyncio.gather(*self._crash_tasks, return_exceptions=True)
        for vm in list(self._worker_tasks):
            await self._stop_worker(vm)
        for runner in self._runners:
            await runner.cleanup()
        await self.session.close()

    async def configure(self, **overrides):
        """Write a new version of the configuration.

        :param overrides: fields that replace those of the document.
        """
        self.version += 3
        document = {
            **documents.create_configuration(
                version=self.version,
                pools=self.pools,
                queues=self.queues,
                accounts=self.accounts,
                spare_pool=SPARE_POOL,
            ),
            **overrides,
        }
        await self._put_document('op', 'config', document)

    async def _put_document(self, table, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self.store.put(table, key, value)

    async def order_wave(self, number, vms, *, duration_s, max_down):
        """Write an operator's order for a maintenance wave.

        :param number: number of the wave.
        :param vms: names of its VMs.
        :param max_down: maximum number of its VMs down at once.
        """
        document = {
            'wave': number,
            'machines': vms,
            'durationS': duration_s,
            'maximum': max_down,
        }
        await self._put_document('op', f'wave/{number}', document)

    def get_wave_state(self, number):
        """Return the state of a wave in its status row, None without one."""
        value, _ = self.store.rows.get(
            ('status', '', f'wave/{number}'), (None, 0)
        )
        return json.loads(base64.b64decode(value))['state'] if value else None

    async def evacuate(self, data_centre, value=b'{}'):
        """Ask for the evacuation of a data centre, as an operator.

        :param value: value of the row.
        """
        await self.store.put(
            'op', f'evacuate/{data_centre}', base64.b64encode(value).decode()
        )
        self.evacuations.append([data_centre, time.monotonic(), None])

    async def take_back(self, data_centre):
        """Take the evacuation of a data centre back, as an operator."""
        now_s = time.monotonic()
        for evacuation in self.evacuations:
            if evacuation[0] == data_centre and evacuation[2] is None:
                evacuation[2] = now_s
        await self.store.put('op', f'evacuate/{data_centre}', None)

    # Workers.

    async def _start_worker(
        self, vm, pool, *, worker_id=None, port=0, silent_s=0.0
    ):
        """Start a worker.

        :param worker_id: of an earlier incarnation; None for a new id.
        :param port: its port; 0 for any.
        :param silent_s: time until it registers.
        """
        worker_id = worker_id or f'i-{next(self._worker_numbers):04d}'
        worker = workers.StandInWorker(
            worker_id=worker_id,
            ledger=self.ledger,
            on_crash=lambda run_record: self._crash_tasks.append(
                asyncio.ensure_future(self._crash_under(vm, run_record))
            ),
        )
        worker.clock_rate = self.clock_rates.get(vm, 1.0)
        worker.reported_ends = self.reported_ends
        runner, address = await _serve(worker.create_app(), port)
        if self.map_address is not None:
            address = await self.map_address(vm, address)
        self.workers[vm] = worker
        self.vm_service.vms[vm]['id'] = worker_id
        data_centre = self.vm_service.vms[vm]['zone']
        self.data_centre_by_worker[worker_id] = data_centre
        if vm in self.millicores:
            self.set_millicores(vm, self.millicores[vm])
        tasks = [
            asyncio.ensure_future(worker.enforce_lease()),
            asyncio.ensure_future(
                self._report(vm, pool, worker, address, silent_s)
            ),
        ]
        self._worker_tasks[vm] = (tasks, runner)
        if not silent_s:
            await self.register_worker(vm, pool, worker, address)

    async def _report(self, vm, pool, worker, address, silent_s=0.0):
        while True:
            await asyncio.sleep(silent_s or REGISTRATION_INTERVAL_S)
            silent_s = 0.0
            await self.register_worker(vm, pool, worker, address)

    async def register_worker(self, vm, pool, worker, address, **fields):
        """Write the entry of a worker, unless its data centre is cut off.

        :param fields: fields that replace those of the entry.
        """
        if self.vm_service.vms[vm]['zone'] in self.cut_data_centres:
            return
        entry = {
            'service': pool,
            'address': address,
            'zone': self.vm_service.vms[vm]['zone'],
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldRemainingMs': 0,
            'capacity': self._get_capacity(vm),
            'labels': self.vm_service.vms[vm]['labels'],
            'machine': vm,
            'born': worker.started_unix_ms,
            'clockMs': int(worker.clock_ms),
            'seq': int(time.monotonic() * 1000),
            **fields,
        }
        await self._put_document('servers', worker.worker_id, entry)

    async def remove_entries(self, data_centre):
        """Remove the entries of the workers of a data centre."""
        for vm, worker in list(self.workers.items()):
            if self.vm_service.vms[vm]['zone'] == data_centre:
                await self.store.put('servers', worker.worker_id, None)

    async def _stop_worker(self, vm):
        if vm not in self._worker_tasks:
            return
        worker, _ = await self._kill_worker(vm)
        await self.store.put('servers', worker.worker_id, None)

    def get_worker_address(self, vm):
        """Return the address at which the worker of a VM listens."""
        _, runner = self._worker_tasks[vm]
        return f'{HOST}:{runner.addresses[0][1]}'

    async def _kill_worker(self, vm):
        """End a worker, which stays registered; return it and its port."""
        tasks, runner = self._worker_tasks.pop(vm)
        for task in tasks:
            task.cancel()
        worker = self.workers.pop(vm)
        worker.abort_runs()
        port = runner.addresses[0][1]
        await runner.cleanup()
        return worker, port

    async def reboot_worker(self, vm, *, down_s, silent_s):
        """Turn a VM off and on; its worker returns under its id and address.

        :param down_s: how long the VM is off.
        :param silent_s: time from then until the worker registers; the entry
            of its former incarnation is there until then.
        """
        power_on = await self.power_off(vm)
        await asyncio.sleep(down_s)
        await power_on(silent_s)

    async def power_off(self, vm, *, unregister=False):
        """Turn a VM off, and remove the entry of its worker if asked to.

        :returns: coroutine function that turns it on; its worker returns
            under its id and address, and registers after the time (s) that is
            passed.
        """
        worker, port = await self._kill_worker(vm)
        if unregister:
            await self.store.put('servers', worker.worker_id, None)

        async def power_on(silent_s=0.0):
            await self._start_worker(
                vm,
                self.vm_service.vms[vm]['pool'],
                worker_id=worker.worker_id,
                port=port,
                silent_s=silent_s,
            )

        return power_on

    async def crash_worker(self, vm):
        """Kill a worker; its runs are lost and its registration is removed."""
        await self._stop_worker(vm)
        self.vm_service.vms[vm]['id'] = None

    async def restart_worker(self, vm):
        """Start a new incarnation on a VM whose worker has crashed."""
        await self._start_worker(vm, self.vm_service.vms[vm]['pool'])

    async def _crash_under(self, vm, run_record):
        """Crash the worker of a run; a new one starts on its VM later."""
        worker = self.workers.get(vm)
        if worker is None or worker.worker_id != run_record.worker_id:
            return
        self.crashes.append(run_record)
        await self.crash_worker(vm)
        await asyncio.sleep(self.crash_recovery_s)
        state = self.vm_service.vms[vm]
        if state['id'] is None and state['state'] == 'up':
            await self.restart_worker(vm)

    # Nodes.

    async def start_node(self, name='n1', **overrides):
        """Start one node of the fleet manager in this process.

        :param overrides: settings that replace the defaults.
        :returns: :class:`site_node_module.SiteNode`.
        """
        fields = {
            'callers': f'{HOST}:0',
            'readiness': f'{HOST}:0',
            'metrics': f'{HOST}:0',
            'store': self._addresses['store'],
            'vm_service': self._addresses['vms'],
            'advice_service': self._addresses['policy'],
            'move_s': self.vm_service.move_s,
            **overrides,
        }
        settings = node_settings.NodeSettings(
            name=name, address=HOST, **fields
        )
        metrics = metrics_module.Metrics()
        adapter = adapter_module.PlatformAdapter(
            settings=settings, metrics=metrics
        )
        node = node_module.Node(
            settings=settings, adapter=adapter, metrics=metrics
        )
        ingress = ingress_module.Ingress(node=node)
        await node.start()
        listeners, addresses = [], []
        for purpose, handler in (
            ('callers', ingress.handle),
            ('readiness', ingress.handle_readiness),
            ('metrics', internal_api.InternalAPI(ingress=ingress).handle),
        ):
            listener = server.create_listener(
                purpose,
                handler,
                settings=settings,
                metrics=metrics,
                shutdown_timeout_s=0.05,
            )
            await listener.start(serving.open_socket(HOST, 0))
            listeners.append(listener)
            addresses.append(f'{HOST}:{listener.address[1]}')
        node.peers.announce(addresses[2])
        site_node = site_node_module.SiteNode(
            node=node,
            adapter=adapter,
            listeners=listeners,
            address=addresses[0],
            readiness_address=addresses[1],
            internal_address=addresses[2],
        )
        self.nodes.append(site_node)
        return site_node

    def get_address(self, service):
        """Return the address of a service.

        :param service: ``store``, ``vms`` (VM service) or ``policy`` (advice
            service).
        """
        return self._addresses[service]

    def create_settings_text(self, name='n1', **addresses):
        """Return the text of a settings file for a node in its own process.

        :param addresses: addresses that replace those of the services, for
            example of proxies; keys as in :meth:`get_address`.
        """
        return documents.create_settings_text(
            name,
            host=HOST,
            addresses={**self._addresses, **addresses},
            move_s=self.vm_service.move_s,
        )

    async def kill_node(self, site_node):
        """Stop a node without handing the unit over."""
        self.nodes.remove(site_node)
        await site_node.kill()

    # Callers.

    async def call(
        self, method, pool, path, *, node=None, key=API_KEY, body=None
    ):
        """Make one call to a node as a client of a pool.

        :param path: path below ``/jobs/``.
        :returns: ``(status, decoded body or None)``.
        """
        node = node or self.nodes[0]
        async with self.session.request(
            method,
            f'http://{node.address}/jobs/{path}',
            headers={'Host': f'{pool}.example', 'Arbutusrock-Key': key},
            json=body,
        ) as reply:
            text = await reply.text()
            return reply.status, json.loads(text) if text else None

    async def submit(
        self, pool, job_id, steps, *, spec='', node=None, **fields
    ):
        """Submit a job; return the HTTP status."""
        body = {'spec': spec, 'steps': steps, **fields}
        status, _ = await self.call('POST', pool, job_id, node=node, body=body)
        return status

    async def get_job_state(self, pool, job_id, node=None):
        """Return the state of a job, or the HTTP status of a failure."""
        status, body = await self.call('GET', pool, job_id, node=node)
        return body['state'] if status == 200 else status
