"""One daemon process of a fleet, and waiting for conditions."""

import asyncio
import json
import pathlib
import shutil
import signal
import tempfile

__all__ = ['Daemon', 'wait_for']

START_TIMEOUT_S = 60
WAIT_TIMEOUT_S = 60
# Longest time of a graceful shutdown with the settings of a fleet: notice,
# deadline of the tasks, and the bounds of all other steps.
STOP_TIMEOUT_S = 75


class Daemon:
    """One daemon process.

    :param name: node name.
    :param process: :class:`asyncio.subprocess.Process` of the daemon.
    :param log: path of its log file.
    """

    def __init__(self, *, name, process, log):
        self.name = name
        self.process = process
        self.log = log
        self.ports = {}
        self.caller_url = ''
        self.operator_url = ''
        self.member = ''
        self.killed = False

    async def wait_serving(self):
        """Wait for the ``serving`` event of the log, which has the ports."""

        def find_serving_event():
            for line in self.log.read_text().splitlines():
                if '"event": "serving"' in line:
                    return json.loads(line)
            if self.process.returncode is not None:
                raise RuntimeError(
                    f'{self.name} ended: {self.log.read_text()[-3000:]}'
                )
            return None

        event = await wait_for(find_serving_event, START_TIMEOUT_S)
        self.ports = {
            purpose: event[purpose]
            for purpose in ('callers', 'operators', 'peers')
        }
        self.caller_url = f'http://127.0.0.1:{event["callers"]}'
        self.operator_url = f'http://127.0.0.1:{event["operators"]}'
        self.member = event['member']
        return self

    def kill(self, signal_number=signal.SIGKILL):
        """Send a signal to the process, by default SIGKILL."""
        self.killed |= signal_number == signal.SIGKILL
        self.process.send_signal(signal_number)

    async def terminate(self):
        """Stop the daemon with SIGTERM and return its exit status."""
        self.kill(signal.SIGTERM)
        return await self.wait_ended()

    async def wait_ended(self, timeout_s=STOP_TIMEOUT_S):
        """Wait until the process has ended; return its exit status.

        :raises RuntimeError: it has not; its log is kept.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self.process.wait()
        except TimeoutError:
            kept = pathlib.Path(tempfile.mkdtemp(prefix='daemon-log-'))
            shutil.copy(self.log, kept)
            raise RuntimeError(
                f'{self.name} has not ended within {timeout_s} s after'
                f' SIGTERM; its log is in {kept}:'
                f' {self.log.read_text()[-3000:]}'
            ) from None


async def wait_for(condition, timeout_s=WAIT_TIMEOUT_S):
    """Wait until ``condition`` returns a true value, and return that.

    :param condition: function or coroutine function without arguments.
    """
    async with asyncio.timeout(timeout_s):
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.05)
