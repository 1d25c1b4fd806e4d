"""Node processes, each with its own proxy before the store."""

import asyncio
import json
import os
import signal
import sys
import time

from arbutusrock.platform import listeners
from examples.standins import proxy

__all__ = ['Daemon']

# A process that has not logged its addresses within this time has failed to
# start.
START_TIMEOUT_S = 20.0
# SIGKILL follows SIGTERM after the grace time (``bounds.graceS`` of the
# settings file) and a margin for a busy machine.
STOP_TIMEOUT_S = 5.0 + 2.0
EXIT_POLL_S = 0.1
RESTART_DELAY_S = 0.3


class Daemon:
    """One node: its settings file, its process and its link to the store.

    :param name: name of the node.
    :param site: :class:`examples.standins.site.Site`.
    :param folder: folder for the settings file.
    :param network: :class:`soak.network.Network`, or None when it calls all
        services directly.
    :param root: folder of the code that the process runs; None for the
        installed code.
    :ivar store_link: proxy between the node and the store.
    """

    def __init__(self, *, name, site, folder, network=None, root=None):
        self.name = name
        self.site = site
        self.path = folder / f'{name}.conf'
        self.network = network
        self.root = root
        self.store_link = None
        # Addresses of the other services, where they are not the site's.
        self._addresses = {}
        self.process = None
        # Address of the client API.
        self.address = ''
        self.is_owner = False
        self.stopping = False
        self.paused = False
        # Unexpected exits, slow stops, errors in the log and log lines that
        # are not JSON.
        self.failures = []
        self.log_lines = []
        self._exit_expected = False
        self._log_reader = None
        self._serving = asyncio.Event()

    async def start(self):
        """Start the process and wait until it serves calls."""
        if self.store_link is None:
            address = self.site.get_address('store')
            if self.network is not None:
                self._addresses = await self.network.open(self.name)
                address = self._addresses.pop('store')
            _, _, port = address.rpartition(':')
            self.store_link = proxy.FaultProxy(target_port=int(port))
            await self.store_link.start()
        self.path.write_text(
            self.site.create_settings_text(
                self.name,
                store=f'127.0.0.1:{self.store_link.port}',
                **self._addresses,
            )
        )
        self._serving.clear()
        self._exit_expected = self.stopping = self.is_owner = False
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'arbutusrock.platform',
            cwd=self.root,
            env={
                **os.environ,
                **({'PYTHONPATH': str(self.root)} if self.root else {}),
                listeners.PATH_VARIABLE: str(self.path),
            },
            stdout=asyncio.subprocess.PIPE,
        )
        self._log_reader = asyncio.ensure_future(self._read_log(self.process))
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._serving.wait()

    async def _read_log(self, process):
        async for text in process.stdout:
            try:
                line = json.loads(text)
            except ValueError:
                self.failures.append(f'log line is not JSON: {text[:200]}')
                continue
            self.log_lines.append(line)
            self._record_log_line(line)
        status = await process.wait()
        if not self._exit_expected:
            self.failures.append(f'{self.name} exited by itself: {status}')
            self._serving.set()

    def _record_log_line(self, line):
        match line['event']:
            case 'serving':
                self.address = line['callers']
                self._serving.set()
            case 'this node owns the unit':
                self.is_owner = True
            case 'another node owns the unit' | 'the unit is released':
                self.is_owner = False
        if line.get('level') == 'error':
            self.failures.append(f'{self.name}: {line}')

    @property
    def is_serving(self):
        """Whether calls may be sent to this node."""
        return self.process is not None and self._serving.is_set()

    async def kill(self):
        """Kill the process and wait for its exit."""
        self._exit_expected = True
        self._serving.clear()
        if self.process.returncode is None:
            self.process.kill()
        await self._log_reader

    async def stop(self):
        """Stop the process; kill it when it exceeds its grace time."""
        self.stopping = self._exit_expected = True
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        if not await self._ends_in_time():
            self.failures.append(
                f'{self.name} did not end in {STOP_TIMEOUT_S} s'
            )
            await self.kill()
        self._serving.clear()

    async def _ends_in_time(self):
        """Wait for the exit; time in which it is frozen does not count."""
        left_s = STOP_TIMEOUT_S
        while left_s > 0 and not self._log_reader.done():
            began_at_s = time.monotonic()
            await asyncio.wait({self._log_reader}, timeout=EXIT_POLL_S)
            if not self.paused:
                left_s -= time.monotonic() - began_at_s
        return self._log_reader.done()

    async def restart(self):
        """Start the process again, as the platform does."""
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()

    def pause(self):
        """Freeze the process."""
        self.paused = True
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Continue a frozen process."""
        self.paused = False
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)

    def kill_nowait(self):
        """Kill the process without waiting for its exit."""
        self._exit_expected = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    async def close(self):
        """Wait for the exit of a killed process and stop the proxy."""
        if self._log_reader is not None:
            await self._log_reader
        if self.store_link is not None:
            await self.store_link.stop()
