"""A small deployment: stand-ins of the platform here, nodes as processes.

The platform, its workers and the clients are the stand-ins of
``examples/standins/site``, with the few changes of :class:`PageWorker` and
:class:`PageSite` that the protocol asks for. The nodes are started with the
command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import shutil
import socket
import sys
import tempfile
import time
import tomllib

from aiohttp import web

from examples.standins.site import faults
from examples.standins.site import site as site_module
from examples.standins.site import workers

__all__ = ['CannotRun', 'Lab', 'PageSite', 'main', 'wait_until']

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Settings of the platform, as in the settings file that its pages show.
LONGEST_LEASE_MS = 10_000
REPORT_INTERVAL_S = 1.5
MOVE_S = 1.5
GRACE_S = 6
# An entry of a worker that is silent is removed after this many intervals.
SILENT_INTERVALS = 3
CALL_TIMEOUT_S = 5.0
START_TIMEOUT_S = 20.0
# A script may take 120 seconds.
SCRIPT_TIMEOUT_S = 112.0
SETTINGS = """\
nodeName={name}
role=arbutusrockd
machineClass=frontend
serves=frontend
ip={ip}
zone=z1
region=z
zones.z1=z
listen.frontend={ip}:{callers}
listen.readiness={ip}:{readiness}
portRange={first_port},{last_port}
bootstrap=true
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
discovery=platform
entry=vip
heartbeatMs=1500
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.maxHoldMs=10000
bounds.stopMs=200
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.farFactor=2
bounds.checkpointS=0.5
bounds.restoreMs=250
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.maintenanceS=2
bounds.requireFencing=true
bounds.leaseMs=3000
orders=call
advice={advice}
platform.address={store}
platform.form=table
platform.writesPerS=600
platform.readsPerS=2000
platform.txMs=3.0
platform.writeRateS=300
platform.rowBytes=65536
platform.across=true
platform.historyS=20
cloudApi.address={vms}
cloudApi.ratePerS=64.0
cloudApi.dutyRateS=64.0
"""


class CannotRun(Exception):
    """The case could not be played."""


class HookedFaults(faults.ServiceFaults):
    """Faults of a worker, with a middleware that a script may set."""

    def __init__(self):
        super().__init__()
        self.hook = None

    @web.middleware
    async def apply(self, request, handler):
        """Pass a call through the hook, if there is one."""
        if self.hook is None:
            return await super().apply(request, handler)
        return await self.hook(request, handler)


class PageWorker(workers.StandInWorker):
    """A worker that shortens leases to the longest one that is allowed."""

    def __init__(self, **options):
        super().__init__(**options)
        self.faults = HookedFaults()

    def _extend_lease(self, deadline_ms):
        longest_ms = self.clock_ms + LONGEST_LEASE_MS
        super()._extend_lease(min(deadline_ms or 0, longest_ms))


# The site starts its workers by this name.
workers.StandInWorker = PageWorker


class PageSite(site_module.Site):
    """A site whose VMs lose power, and whose calls may be carried out late."""

    def __init__(self, *, record, **options):
        super().__init__(**options)
        self.record = record
        self.vm_service.move_s = MOVE_S
        self._late_tasks = []
        # Entries of workers that were switched off, until they are removed.
        self._removals = {}

    async def stop(self):
        """Stop what was started by this class, then the rest."""
        for task in [*self._late_tasks, *self._removals.values()]:
            task.cancel()
        await super().stop()

    async def power_off(self, vm):
        """Switch a VM off: its worker says nothing and its runs are lost.

        Its entry is removed after some report intervals of silence.
        """
        worker, port = await self._kill_worker(vm)
        self.vm_service.vms[vm].update(state='down', id=None)
        self._removals[worker.worker_id] = asyncio.ensure_future(
            self._remove_entry(worker.worker_id)
        )
        self.record(f'{vm} loses power; worker {worker.worker_id} is gone')
        return worker.worker_id, port

    async def _remove_entry(self, worker_id):
        await asyncio.sleep(SILENT_INTERVALS * REPORT_INTERVAL_S)
        await self.store.put('servers', worker_id, None)

    async def power_on(self, vm, *, worker_id=None, port=0):
        """Switch a VM on; its worker starts anew, maybe under its old id."""
        if worker_id is not None:
            self._removals.pop(worker_id).cancel()
        self.vm_service.vms[vm]['state'] = 'up'
        pool = self.vm_service.vms[vm]['pool']
        await self._start_worker(vm, pool, worker_id=worker_id, port=port)
        self.record(f'{vm} is back; worker {self.workers[vm].worker_id}')

    def deliver_late(self, vm, worker_id, body, delay_s):
        """Carry out a start order that got no answer some seconds later.

        It goes to the VM that it was sent to, as the platform does it.
        """
        task = asyncio.ensure_future(
            self._deliver(vm, worker_id, body, delay_s)
        )
        self._late_tasks.append(task)
        return task

    async def _deliver(self, vm, worker_id, body, delay_s):
        await asyncio.sleep(delay_s)
        async with self.session.post(
            f'http://{self.get_worker_address(vm)}/api/run-start',
            headers={'Arbutusrock-Expected-Instance': worker_id},
            json=body,
        ) as answer:
            text = await answer.text()
            self.record(
                f'the late order for {body["task"]} run {body["run"]} is'
                f' carried out by {worker_id}: {answer.status} {text}'
            )


class NodeProcess:
    """One node of the fleet manager in a process of its own."""

    def __init__(self, *, name, ip, ports, process):
        self.name = name
        self.ip = ip
        self.address = f'{ip}:{ports["callers"]}'
        self.readiness = f'{ip}:{ports["readiness"]}'
        self.process = process


class Lab:
    """Stand-ins and nodes of one script, and its record.

    :param folder: folder of the case.
    :param site_options: parameters of :class:`PageSite`.
    """

    def __init__(self, *, folder, **site_options):
        self.began_at_s = time.monotonic()
        self.lines = []
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.scratch = pathlib.Path(tempfile.mkdtemp(prefix='review3-'))
        self.site = PageSite(record=self.record, **site_options)
        self.nodes = []

    def record(self, text):
        """Add a line to the record."""
        now_s = time.monotonic() - self.began_at_s
        self.lines.append(f'{now_s:8.3f} s  {text}')

    def write_record(self):
        """Write what was sent, answered and run."""
        self.record('runs, as the workers saw them:')
        for run in self.site.ledger:
            begin_s = run.started_at_s - self.began_at_s
            end = 'open'
            if run.ended_at_s is not None:
                end = f'{run.ended_at_s - self.began_at_s:.3f} s'
            self.lines.append(
                f'    {run.task} run {run.run} on {run.worker_id}:'
                f' {begin_s:.3f} s to {end}, {run.outcome}'
            )
        path = self.folder / 'record.txt'
        path.write_text('\n'.join(self.lines) + '\n')

    async def start(self, nodes):
        """Start the stand-ins, then the nodes; wait until one is the owner."""
        await self.site.start()
        command = _read_command()
        ports = _find_ports()
        for number in range(nodes):
            await self._start_node(f'n{number}', number, command, ports)
        await wait_until(self._are_ready, START_TIMEOUT_S, 'nodes are ready')

    async def _start_node(self, name, number, command, ports):
        ip = f'127.0.0.{11 + number}'
        text = SETTINGS.format(
            name=name,
            ip=ip,
            store=self.site.get_address('store'),
            vms=self.site.get_address('vms'),
            advice=self.site.get_address('policy'),
            **ports,
        )
        path = self.scratch / f'{name}.conf'
        path.write_text(text)
        log = (self.scratch / f'{name}.log').open('wb')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['ARBUTUSROCK_BOOT'] = str(path)
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        node = NodeProcess(name=name, ip=ip, ports=ports, process=process)
        self.nodes.append(node)
        self.record(f'node {name} starts at {node.address}')

    async def _are_ready(self):
        return all([await self.is_ready(node) for node in self.nodes])

    async def is_ready(self, node):
        """Return whether a node says that it is ready."""
        try:
            async with self.site.session.get(
                f'http://{node.readiness}/api/ready'
            ) as answer:
                return answer.status == 200
        except OSError:
            return False

    async def call(self, method, pool, path, *, node=None, body=None):
        """Make one call as a client; return status and decoded body."""
        node = node or self.nodes[0]
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self.site.session.request(
                    method,
                    f'http://{node.address}/jobs/{path}',
                    headers={
                        'Host': f'{pool}.example',
                        'Arbutusrock-Key': site_module.API_KEY,
                        'Arbutusrock-Deadline-Ms': '3000',
                    },
                    json=body,
                ) as answer,
            ):
                text = await answer.text()
        except (OSError, TimeoutError) as exc:
            self.record(f'{method} {path} at {node.name}: {exc!r}')
            return 0, None
        self.record(f'{method} {path} at {node.name}: {answer.status} {text}')
        return answer.status, json.loads(text) if text else None

    async def submit(self, pool, job_id, steps, *, spec, node=None):
        """Hand a job in; it must be accepted."""
        body = {'spec': spec, 'steps': steps}
        status, _ = await self.call('POST', pool, job_id, node=node, body=body)
        if status != 200:
            raise CannotRun(f'job {job_id} was answered {status}')

    async def get_state(self, pool, job_id, node=None):
        """Return the state of a job, or the status of the answer."""
        status, body = await self.call('GET', pool, job_id, node=node)
        return body['state'] if status == 200 else status

    def find_runs(self, job_id):
        """Return the ledger's runs of a job."""
        return [run for run in self.site.ledger if run.task.startswith(job_id)]

    async def stop(self):
        """End all processes that were started."""
        for node in self.nodes:
            if node.process.returncode is None:
                node.process.kill()
        for node in self.nodes:
            await node.process.wait()
        await self.site.stop()
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(
                self.scratch, os.environ['KEEP_LOGS'], dirs_exist_ok=True
            )
        shutil.rmtree(self.scratch, ignore_errors=True)


def _read_command():
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return next(iter(deploy['roles'].values()))['run'].split()


def _find_ports():
    """Return free ports, the same ones for all nodes."""
    with socket.socket() as first, socket.socket() as second:
        first.bind(('127.0.0.11', 0))
        second.bind(('127.0.0.11', 0))
        callers = first.getsockname()[1]
        readiness = second.getsockname()[1]
    with socket.socket() as third:
        third.bind(('127.0.0.11', 0))
        last = third.getsockname()[1]
    return {
        'callers': callers,
        'readiness': readiness,
        'first_port': last - 15,
        'last_port': last,
    }


async def wait_until(condition, timeout_s, what):
    """Wait until a condition holds; return its value.

    :param condition: plain or coroutine function without arguments.
    :raises CannotRun: it does not hold in time.
    """
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        await asyncio.sleep(0.05)
    raise CannotRun(f'not within {timeout_s} s: {what}')


async def _play(lab, scenario, nodes):
    try:
        async with asyncio.timeout(SCRIPT_TIMEOUT_S):
            await lab.start(nodes)
            return await scenario(lab)
    finally:
        await lab.stop()


def main(scenario, *, folder, nodes=3, **site_options):
    """Play a scenario; return the exit status of the script.

    :param scenario: coroutine function that is called with the :class:`Lab`
        and returns a sentence for each way in which the rule was broken.
    """
    lab = Lab(folder=folder, **site_options)
    lab.record('with the disruption' if lab.trouble else 'TROUBLE=0')
    try:
        broken = asyncio.run(_play(lab, scenario, nodes))
    except (CannotRun, TimeoutError, OSError) as exc:
        lab.record(f'the case could not run: {exc!r}')
        lab.write_record()
        print(f'could not run: {exc!r}')
        return 2
    for text in broken:
        lab.record(f'broken: {text}')
        print(f'broken: {text}')
    if not broken:
        lab.record('the rule held')
        print('the rule held')
    lab.write_record()
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit('this module has no script')
