"""A small deployment: stand-ins in this process, nodes in their own ones.

The stand-ins of the store, the VM service and the workers are those of
``examples/standins/site``. Nodes are started with the command of
``deploy/system.toml`` and a settings file with the bounds of the small
installations.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import tomllib

import aiohttp

from examples.standins.site import Site

__all__ = ['Lab', 'NodeProcess', 'is_trouble', 'run_case']

HOST = '127.0.0.1'
ROOT = pathlib.Path(__file__).resolve().parents[2]
API_KEY = 'key-1'
ROLE = 'arbutusrockd'
OWNS = 'this node owns the unit'
# How long a step of the preparation may take.
SETUP_TIMEOUT_S = 20.0
# All of a script, including its end.
SCRIPT_TIMEOUT_S = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    'moveS': '1.5',
    'maintenanceS': '2',
    'graceS': '6',
    'maxHoldMs': '10000',
    'status_s': '120',
}


class NotRun(Exception):
    """The case could not be run."""


def is_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def _get_command():
    with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
        words = tomllib.load(file)['roles'][ROLE]['run'].split()
    # The interpreter of this script, as the deploy file names none by path.
    return [sys.executable if words[0] == 'python3' else words[0], *words[1:]]


class NodeProcess:
    """One node in a process of its own, and the lines that it has logged."""

    def __init__(self, *, name, process):
        self.name = name
        self.process = process
        self.lines = []
        self.address = ''
        self.reader = asyncio.ensure_future(self._read())

    async def _read(self):
        async for line in self.process.stdout:
            with contextlib.suppress(ValueError):
                self.lines.append(json.loads(line))

    def find(self, event):
        """Return the last line with an event, or None."""
        return next(
            (line for line in reversed(self.lines) if line['event'] == event),
            None,
        )

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process.returncode is None

    def send_signal(self, number):
        """Send a signal, if the process is there."""
        if self.is_running:
            self.process.send_signal(number)


class Lab:
    """Stand-ins, nodes, clients and the record of a case.

    :param folder: folder of the case; gets ``record.txt``.
    :param site_fields: parameters of :class:`Site`.
    """

    def __init__(self, *, folder, **site_fields):
        self.site = Site(**site_fields)
        self.nodes = []
        self.began_at_s = time.monotonic()
        self._record = open(  # noqa: SIM115
            pathlib.Path(folder) / 'record.txt', 'w', encoding='utf-8'
        )
        self._settings_folder = tempfile.TemporaryDirectory()
        self._recorded = {}

    def note(self, text, *, at_s=None):
        """Write a line to the record, with the time since the begin."""
        now_s = time.monotonic() if at_s is None else at_s
        line = f'{now_s - self.began_at_s:8.3f} {text}'
        self._record.write(f'{line}\n')
        self._record.flush()
        print(line, flush=True)

    async def start(self, nodes=3):
        """Start the stand-ins and the nodes, and wait for an owner."""
        await self.site.start()
        for number in range(nodes):
            await self.start_node(f'frontend-{number + 1}')
        await self.wait_for_owner()

    async def start_node(self, name):
        """Start a node and wait until it serves."""
        path = pathlib.Path(self._settings_folder.name) / f'{name}.conf'
        text = self.site.create_settings_text(name)
        for key, value in BOUNDS.items():
            text += f'bounds.{key}={value}\n'
        path.write_text(text, encoding='utf-8')
        process = await asyncio.create_subprocess_exec(
            *_get_command(),
            cwd=ROOT,
            env={**os.environ, 'ARBUTUSROCK_BOOT': str(path)},
            stdout=asyncio.subprocess.PIPE,
            limit=2**20,
        )
        node = NodeProcess(name=name, process=process)
        self.nodes.append(node)
        await self.wait_until(lambda: node.find('serving'), f'{name} serves')
        node.address = node.find('serving')['callers']
        self.note(f'node {name} serves, pid {process.pid}')
        return node

    async def wait_until(self, condition, what, timeout_s=SETUP_TIMEOUT_S):
        """Wait for a condition.

        :raises NotRun: it does not hold in time.
        """
        ends_at_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_at_s:
            found = condition()
            if found:
                return found
            await asyncio.sleep(0.02)
        raise NotRun(f'not reached in {timeout_s} s: {what}')

    def find_owner(self, besides=()):
        """Return the running node with the newest ownership, or None."""
        owners = [
            (node.find(OWNS)['epoch'], node)
            for node in self.nodes
            if node.is_running and node not in besides and node.find(OWNS)
        ]
        return max(owners, key=lambda item: item[0])[1] if owners else None

    async def wait_for_owner(self, besides=()):
        """Wait until a node other than ``besides`` owns the unit."""
        owner = await self.wait_until(
            lambda: self.find_owner(besides), 'a node owns the unit'
        )
        self.note(f'node {owner.name} owns the unit')
        return owner

    async def kill(self, node):
        """End a node with SIGKILL."""
        self.note(f'SIGKILL to node {node.name}')
        node.send_signal(signal.SIGKILL)
        await node.process.wait()

    async def call(
        self, method, pool, path, *, node=None, body=None, key=API_KEY
    ):
        """Make one call of a client; return ``(status, body)``.

        :returns: status 0 when no answer came.
        """
        node = node or next(item for item in self.nodes if item.is_running)
        try:
            async with self.site.session.request(
                method,
                f'http://{node.address}/jobs/{path}',
                headers={
                    'Host': f'{pool}.example',
                    'Arbutusrock-Key': key,
                    'Arbutusrock-Deadline-Ms': '3000',
                },
                json=body,
                timeout=aiohttp.ClientTimeout(total=3.5),
            ) as reply:
                text = await reply.text()
                return reply.status, json.loads(text) if text else None
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return 0, None

    async def submit(
        self, pool, job_id, steps, *, spec='', key=API_KEY, **fields
    ):
        """Submit a job and repeat that until it is accepted.

        :raises NotRun: no node accepts it.
        """
        body = {'spec': spec, 'steps': steps, **fields}
        for attempt in range(10):
            running = [item for item in self.nodes if item.is_running]
            node = running[attempt % len(running)]
            status, _ = await self.call(
                'POST', pool, job_id, node=node, body=body, key=key
            )
            if status == 200:
                self.note(f'POST {pool}/{job_id} at {node.name} -> {status}')
                return
            self.note(f'POST {pool}/{job_id} at {node.name} -> {status}')
            await asyncio.sleep(0.3)
        raise NotRun(f'job {job_id} is not accepted')

    async def get_state(self, pool, job_id, node=None, key=API_KEY):
        """Return the state of a job, or the status of a failed call."""
        status, body = await self.call('GET', pool, job_id, node=node, key=key)
        state = body['state'] if status == 200 else status
        if self._recorded.get(job_id) != state:
            self._recorded[job_id] = state
            self.note(f'GET {pool}/{job_id} -> {status} {state}')
        return state

    def find_pool_workers(self, pool):
        """Return the ids of the workers that are up in a pool."""
        return {
            worker.worker_id
            for vm, worker in self.site.workers.items()
            if self.site.vm_service.vms[vm]['pool'] == pool
        }

    def find_running(self, worker_ids):
        """Return the ledger entries of what runs on some workers now."""
        return [
            item
            for item in self.site.ledger
            if item.ended_at_s is None and item.worker_id in worker_ids
        ]

    def get_runs(self, job_id):
        """Return the ledger entries of the runs of a job."""
        return [
            item for item in self.site.ledger if item.task.startswith(job_id)
        ]

    def note_runs(self, limit=400):
        """Write what ran to the record, in the order of the starts."""
        runs = sorted(self.site.ledger, key=lambda item: item.started_at_s)
        self.note(f'{len(runs)} runs in all; the first {limit} follow')
        for item in runs[:limit]:
            ended = (
                'not ended'
                if item.ended_at_s is None
                else f'{item.ended_at_s - self.began_at_s:.3f} {item.outcome}'
            )
            self.note(
                f'run {item.run} of {item.task} on {item.worker_id}: '
                f'{item.started_at_s - self.began_at_s:.3f} to {ended}'
            )

    async def stop(self):
        """End all processes and stand-ins."""
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGKILL)
        for node in self.nodes:
            await node.process.wait()
            await node.reader
        with contextlib.suppress(Exception):
            await asyncio.wait_for(self.site.stop(), 5)
        self._settings_folder.cleanup()
        self._record.close()


def run_case(play, *, folder, **site_fields):
    """Play a case and end this process with its exit status.

    :param play: coroutine function, called with the :class:`Lab`; returns
        what broke the rule, a list of texts.
    """
    sys.exit(asyncio.run(_run(play, folder, site_fields)))


async def _run(play, folder, site_fields):
    lab = Lab(folder=folder, **site_fields)
    status = NOT_RUN
    try:
        async with asyncio.timeout(SCRIPT_TIMEOUT_S):
            lab.note(f'disruption: {"played" if is_trouble() else "left out"}')
            broken = await play(lab)
            for text in broken:
                lab.note(f'BROKEN: {text}')
            if not broken:
                lab.note('the rule held')
            status = BROKEN if broken else HELD
    except (NotRun, TimeoutError) as exc:
        lab.note(f'the case could not run: {exc!r}')
    finally:
        await lab.stop()
    return status
