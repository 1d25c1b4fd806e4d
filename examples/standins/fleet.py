"""Starts processes on loopback: stand-in platform and workers, daemons.

Used by the tests, the benchmarks and ``make run``.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import resource
import signal
import sys

import aiohttp
import msgspec
import yaml

from examples.standins.daemon import Daemon
from examples.standins.daemon import START_TIMEOUT_S
from examples.standins.daemon import STOP_TIMEOUT_S
from examples.standins.daemon import wait_for
from examples.standins.daemon import WAIT_TIMEOUT_S
from examples.standins import proxy
from examples.standins import worker as worker_module

__all__ = ['Daemon', 'Fleet', 'Reply', 'wait_for']

ROOT = pathlib.Path(__file__).resolve().parents[2]
OPERATOR_TOKEN = 'operator-token-of-the-examples'


class Reply(msgspec.Struct, kw_only=True):
    """An HTTP response.

    :param problem: decoded problem document of a refusal, or None.
    """

    status: int
    headers: dict
    body: bytes
    problem: dict | None = None

    @property
    def code(self):
        """Number of the result code, or 0 without a problem document."""
        return self.problem['code'] if self.problem else 0

    @property
    def run(self):
        """Whether the request was executed, as the refusal says."""
        return self.problem['run'] if self.problem else 'ran'

    def decode(self):
        """Return the JSON body."""
        return msgspec.json.decode(self.body)


class Fleet:
    """A whole deployment on loopback; an async context manager.

    :param folder: folder for the settings and logs of the daemons.
    :param root: folder of the code that the daemons run.
    """

    def __init__(self, *, folder, root=ROOT):
        self.folder = pathlib.Path(folder)
        self.root = pathlib.Path(root)
        self.daemons = {}
        self.workers = {}
        self.proxies = {}
        self.keys = {}
        self.key_ids = {}
        self.platform_port = 0
        self.platform_proxy = None
        self._processes = []
        self._session = None

    async def __aenter__(self):
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=120),
            auto_decompress=False,
        )
        (self.platform_port,) = await self.start_server(
            'examples.standins.platform', [], 1
        )
        return self

    async def __aexit__(self, *_):
        for daemon in self.daemons.values():
            if daemon.process.returncode is None:
                daemon.kill(signal.SIGCONT)
                daemon.kill()
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            for process in self._processes:
                await process.wait()
        for fault_proxy in self.proxies.values():
            await fault_proxy.stop()
        await self._session.close()

    async def start_server(self, module, arguments, port_count):
        """Start a module as a process and return the ports that it prints."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        self._processes.append(process)
        ports = []
        for _ in range(port_count):
            line = await asyncio.wait_for(
                process.stdout.readline(), START_TIMEOUT_S
            )
            ports.append(int(line.split()[1]))
        return ports

    async def start_workers(self, names, *, plain=False, behind_proxy=False):
        """Start workers in one process and put them on the VM list as live.

        :param plain: whether they are plain HTTP upstreams.
        :param behind_proxy: whether daemons reach each one through its own
            :class:`FaultProxy`.
        """
        arguments = [*names, '--plain'] if plain else list(names)
        ports = await self.start_server(
            'examples.standins.worker', arguments, len(names)
        )
        for name, port in zip(names, ports, strict=True):
            self.workers[name] = port
            if behind_proxy:
                self.proxies[name] = await proxy.FaultProxy(
                    target_port=port
                ).start()
            await self.control_platform(f'/control/vm/{name}/live')

    def get_worker_port(self, name):
        """Return the port that daemons use for a worker."""
        if name in self.proxies:
            return self.proxies[name].port
        return self.workers[name]

    def _create_settings(self, name, overrides):
        """Return the settings of a daemon, with short intervals."""
        settings = {
            'node': {'name': name, 'data_centre': 'dc-1'},
            'platform': {
                'address': '127.0.0.1',
                'port': self.platform_port,
                'timeout_s': 1.0,
                'retry_budget_s': 2.0,
            },
            'membership': {
                'renew_s': 0.5,
                'lease_s': 3.0,
                'margin_s': 0.5,
                'digest_s': 0.3,
            },
            'upstreams': {
                'silence_s': 1.0,
                'task_lease_s': 4.0,
                'resolve_s': 3.0,
            },
            'shutdown': {'notice_s': 0.5, 'deadline_s': 30},
            'operators': [
                {
                    'operator': 'ana',
                    'token_sha256': hashlib.sha256(
                        OPERATOR_TOKEN.encode()
                    ).hexdigest(),
                }
            ],
        }
        for section, values in overrides.items():
            settings.setdefault(section, {}).update(values)
        return settings

    async def start_daemon(
        self, name, *, wait=True, max_descriptors=None, **overrides
    ):
        """Start a daemon with short intervals and time-outs for tests.

        :param wait: whether to wait until it serves.
        :param max_descriptors: how many descriptors it may open.
        :param overrides: sections of settings, each a dict of the keys to
            replace.
        """
        settings = self._create_settings(name, overrides)
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        log = self.folder / f'{name}.log'

        def limit_descriptors():
            if max_descriptors is not None:
                resource.setrlimit(
                    resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors)
                )

        with log.open('w') as stream:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'arbutusrock.daemon',
                '--settings',
                str(path),
                '--log-format',
                'json',
                cwd=self.root,
                env={**os.environ, 'PYTHONPATH': str(self.root)},
                stderr=stream,
                preexec_fn=limit_descriptors,
            )
        self._processes.append(process)
        daemon = Daemon(name=name, process=process, log=log)
        self.daemons[name] = daemon
        if wait:
            await daemon.wait_serving()
        return daemon

    async def start_daemons(self, count, **overrides):
        """Start ``count`` daemons; wait until each sees all the others."""
        started = await asyncio.gather(
            *(
                self.start_daemon(f'node-{index + 1}', **overrides)
                for index in range(count)
            )
        )
        await self.wait_members(count)
        return started

    async def wait_members(self, count):
        """Wait until ``count`` daemons are live in the view of each one.

        The members in a daemon's status do not include itself.
        """

        async def all_see_members():
            for daemon in self.list_live():
                status = await self.call_api('GET', '/v1/status', at=daemon)
                live = [m for m in status['members'] if m['live']]
                if len(live) != count - 1:
                    return False
            return True

        await wait_for(all_see_members, WAIT_TIMEOUT_S)

    def list_live(self):
        """Return the daemons that have served and whose process still runs."""
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.process.returncode is None
            and daemon.operator_url
            and not daemon.killed
        ]

    async def send(self, method, url, **options):
        """Make one HTTP call and return the :class:`Reply`."""
        async with self._session.request(method, url, **options) as response:
            body = await response.read()
            problem = None
            if response.content_type == 'application/problem+json':
                problem = msgspec.json.decode(body)
            return Reply(
                status=response.status,
                headers=dict(response.headers),
                body=body,
                problem=problem,
            )

    async def call_api(
        self, method, path, *, at=None, data=None, match=None, query=None
    ):
        """Make one operator call that must succeed; return its JSON.

        :param at: daemon to call; by default the first live one.
        :param match: version for the If-Match header.
        """
        reply = await self.try_call_api(
            method, path, at=at, data=data, match=match, query=query
        )
        if reply.status >= 400:
            raise AssertionError(f'{method} {path}: {reply.problem}')
        return reply.decode()

    async def try_call_api(
        self, method, path, *, at=None, data=None, match=None, query=None
    ):
        """Make one operator call and return the :class:`Reply`."""
        daemon = at or self.list_live()[0]
        headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        if match is not None:
            headers['If-Match'] = str(match)
        return await self.send(
            method,
            daemon.operator_url + path,
            data=data,
            headers=headers,
            params=query,
        )

    async def apply_change(self, method, path, **options):
        """Make a change and wait until all members apply it."""
        view = await self.call_api(method, path, **options)
        await self.wait_in_force(view['version'])
        return view

    async def wait_in_force(self, version):
        """Wait until all members have applied a version of the documents."""

        async def is_in_force():
            path = f'/v1/versions/{version}'
            return not (await self.call_api('GET', path))['pending']

        await wait_for(is_in_force, WAIT_TIMEOUT_S)

    async def apply_fleet(self, pools, vms):
        """Apply a fleet document with pools and the VMs of started workers.

        :param pools: list of pool documents.
        :param vms: mapping of worker name to the fields of its VM; ``pool``
            is required.
        """
        documents = [
            {
                'vm': name,
                'address': '127.0.0.1',
                'port': self.get_worker_port(name),
                **fields,
            }
            for name, fields in vms.items()
        ]
        text = yaml.safe_dump({'pools': pools, 'vms': documents})
        return await self.apply_change('PUT', '/v1/fleet', data=text)

    async def apply_contract(self, contract):
        """Apply a contract; grant a key to each team that has none."""
        await self.apply_change(
            'PUT', '/v1/contracts', data=yaml.safe_dump(contract), match='*'
        )
        customer = contract['customer']
        for team in contract['teams']:
            if (customer, team['team']) not in self.keys:
                await self.grant_key(customer, team['team'])

    async def grant_key(self, customer, team):
        """Grant a key to a team; keep its secret and id."""
        view = await self.apply_change(
            'POST',
            '/v1/keys',
            data=msgspec.json.encode({'customer': customer, 'team': team}),
        )
        self.keys[(customer, team)] = view['secret']
        self.key_ids[(customer, team)] = view['key_id']
        return view

    async def request(
        self,
        daemon,
        service,
        path='/',
        *,
        method='POST',
        key=None,
        headers=None,
        data=None,
    ):
        """Send one request to a service, as a caller does."""
        fields = dict(headers or {})
        if key is not None:
            fields['Authorization'] = f'Bearer {key}'
        return await self.send(
            method,
            f'{daemon.caller_url}/services/{service}{path}',
            headers=fields,
            data=data,
        )

    async def control_platform(self, path, data=None):
        """Make a POST call to the control routes of the stand-in platform."""
        url = f'http://127.0.0.1:{self.platform_port}{path}'
        return await self.send('POST', url, data=data)

    async def set_platform_faults(self, **faults):
        """Replace the faults of the stand-in platform.

        :param faults: fields of :class:`platform.PlatformFaults`.
        """
        await self.control_platform('/faults', json.dumps(faults))

    async def count_store_calls(self):
        """Return how many read and write calls the store received."""
        url = f'http://127.0.0.1:{self.platform_port}/control/counts'
        return (await self.send('GET', url)).decode()

    async def set_worker_mode(self, name, **mode):
        """Replace the mode of a worker.

        :param mode: fields of :class:`worker.Mode`.
        """
        url = f'http://127.0.0.1:{self.workers[name]}/control/mode'
        await self.send('POST', url, data=json.dumps(mode))

    async def read_ledger(self, *names):
        """Return the runs of the named workers, or of all, by start time."""
        entries = []
        for name in names or self.workers:
            url = f'http://127.0.0.1:{self.workers[name]}/control/ledger'
            reply = await self.send('GET', url)
            entries += msgspec.json.decode(
                reply.body, type=list[worker_module.LedgerEntry]
            )
        return sorted(entries, key=lambda entry: entry.start_s)


def read_cpu_s(process):
    """Return the CPU time of a process in seconds, user and system."""
    fields = pathlib.Path(f'/proc/{process.pid}/stat').read_text()
    parts = fields.rpartition(')')[2].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf('SC_CLK_TCK')


def read_memory_mb(process):
    """Return the resident memory of a process in MB."""
    for line in (
        pathlib.Path(f'/proc/{process.pid}/status').read_text().splitlines()
    ):
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0
