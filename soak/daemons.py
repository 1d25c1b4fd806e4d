"""The real programs as processes, each behind proxies of its own."""

import asyncio
import json
import os
import signal
import sys

from arbutusrock.platform import settings_file
from examples.standins import proxy

__all__ = ['Daemon']

# A process that has not told its addresses by then has failed.
START_TIMEOUT_S = 20.0
# SIGKILL follows SIGTERM after this time (``bounds.graceS`` of the settings
# file) and a margin for a busy machine.
STOP_TIMEOUT_S = 5.0 + 2.0
RESTART_DELAY_S = 0.3


class Daemon:
    """One node: its settings file, its process, its link to the store.

    :param site: :class:`examples.standins.site.Site`.
    :param folder: where the settings file goes.
    """

    def __init__(self, *, name, site, folder):
        self.name = name
        self.site = site
        self.path = folder / f'{name}.conf'
        self.store_link = None
        self.process = None
        # Address for callers.
        self.address = ''
        self.is_owner = False
        self.stopping = False
        self.paused = False
        # Ends that nobody asked for, and lines that are no JSON.
        self.failures = []
        self.log_lines = []
        self._exit_expected = False
        self._log_reader = None
        self._serving = asyncio.Event()

    async def start(self):
        """Start the process and wait until it serves."""
        if self.store_link is None:
            _, _, port = self.site.get_address('store').rpartition(':')
            self.store_link = proxy.FaultProxy(target_port=int(port))
            await self.store_link.start()
        self.path.write_text(
            self.site.create_settings_text(
                self.name, store=f'127.0.0.1:{self.store_link.port}'
            )
        )
        self._serving.clear()
        self._exit_expected = self.stopping = self.is_owner = False
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'arbutusrock.platform',
            env={**os.environ, settings_file.PATH_VARIABLE: str(self.path)},
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
                self.failures.append(f'no JSON in the log: {text[:200]}')
                continue
            self.log_lines.append(line)
            self._record_log_line(line)
        status = await process.wait()
        if not self._exit_expected:
            self.failures.append(f'{self.name} ended by itself: {status}')
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
        """Whether callers may be sent there."""
        return self.process is not None and self._serving.is_set()

    async def kill(self):
        """End the process at once."""
        self._exit_expected = True
        self._serving.clear()
        if self.process.returncode is None:
            self.process.kill()
        await self._log_reader

    async def stop(self):
        """Ask the process to end, and make it end after its grace time."""
        self.stopping = self._exit_expected = True
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await asyncio.shield(self._log_reader)
        except TimeoutError:
            self.failures.append(
                f'{self.name} did not end in {STOP_TIMEOUT_S} s'
            )
            await self.kill()
        self._serving.clear()

    async def restart(self):
        """Start the process again, as the platform does."""
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()

    def pause(self):
        """Freeze the process."""
        self.paused = True
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Let a frozen process go on."""
        self.paused = False
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)

    def kill_nowait(self):
        """Kill the process without waiting for its end."""
        self._exit_expected = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    async def close(self):
        """Wait for the end of a killed process, and end the proxy."""
        if self._log_reader is not None:
            await self._log_reader
        if self.store_link is not None:
            await self.store_link.stop()
