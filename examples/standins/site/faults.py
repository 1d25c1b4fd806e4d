"""Faults of one stand-in service."""

import asyncio

from aiohttp import web

__all__ = ['ServiceFaults', 'drop_connection']

# An unresponsive service holds calls for longer than any client waits.
HANG_S = 30.0


class ServiceFaults:
    """Faults that a service shows now.

    :ivar busy: whether calls are refused with 503.
    :ivar unresponsive: whether calls are held, neither carried out nor
        answered.
    :ivar lose_answers: whether calls are carried out but not answered.
    :ivar execution_delay_s: if not 0, calls are carried out after this delay
        and not answered.
    :ivar delay_s: delay before each call is handled.
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
        """Switch all faults off."""
        self.busy = self.unresponsive = self.lose_answers = False
        self.execution_delay_s = self.delay_s = 0.0
        self.paths = frozenset()

    @web.middleware
    async def apply(self, request, handler):
        """Middleware that applies the faults to a call."""
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
            return drop_connection(request)
        response = await handler(request)
        return drop_connection(request) if self.lose_answers else response

    async def _run_late(self, request, handler):
        await asyncio.sleep(self.execution_delay_s)
        await handler(request)


def drop_connection(request):
    """Break the connection of a call off, so that it gets no answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
