"""Faults of one stand-in service."""

import asyncio

from aiohttp import web

__all__ = ['ServiceFaults']

# A silent service holds calls for longer than any client waits.
HANG_S = 30.0


class ServiceFaults:
    """What is wrong with a service now.

    :ivar busy: calls are refused with 503.
    :ivar unresponsive: calls are not answered and not carried out.
    :ivar lose_answers: calls are carried out and not answered.
    :ivar execution_delay_s: calls are carried out this late and not answered.
    :ivar delay_s: every answer waits this long.
    :ivar paths: paths that the faults apply to; empty means all.
    """

    def __init__(self):
        self.busy = False
        self.unresponsive = False
        self.lose_answers = False
        self.execution_delay_s = 0.0
        self.delay_s = 0.0
        self.paths = frozenset()
        self._delayed_tasks = set()

    def clear(self):
        """Be healthy again."""
        self.busy = self.unresponsive = self.lose_answers = False
        self.execution_delay_s = self.delay_s = 0.0
        self.paths = frozenset()

    @web.middleware
    async def apply(self, request, handler):
        """Middleware that brings the faults about."""
        if self.paths and request.path not in self.paths:
            return await handler(request)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.busy:
            return web.Response(status=503)
        if self.unresponsive:
            await asyncio.sleep(HANG_S)
            raise ConnectionResetError
        if self.execution_delay_s:
            await request.read()
            task = asyncio.ensure_future(self._run_late(request, handler))
            self._delayed_tasks.add(task)
            task.add_done_callback(self._delayed_tasks.discard)
            return self._drop(request)
        response = await handler(request)
        return self._drop(request) if self.lose_answers else response

    async def _run_late(self, request, handler):
        await asyncio.sleep(self.execution_delay_s)
        await handler(request)

    @staticmethod
    def _drop(request):
        request.transport.abort()
        return web.Response()
