"""HTTP interface for operators and other nodes: metrics, status, relay.

The relay makes store calls for nodes whose direct path to the store is down.
"""

import asyncio

from aiohttp import web
import msgspec

from arbutusrock.engine.callers import peers
from arbutusrock.engine.callers import status
from arbutusrock import logs
from arbutusrock.platform import operator_rows
from arbutusrock import serving

__all__ = ['InternalAPI']

# A transaction of the store has at most 1 MB.
MAX_RELAYED_BYTES = 1 << 20
# Time in which the body of a relayed call comes; its node waits less.
BODY_TIMEOUT_S = 10.0
LOG = logs.get_log('inside')


class InternalAPI:
    """Handles requests of operators and other nodes.

    :param ingress: :class:`arbutusrock.platform.ingress.Ingress`.
    """

    def __init__(self, *, ingress):
        self.ingress = ingress
        self.node = ingress.node

    async def handle(self, request):
        """Handle one request; unknown paths get the metrics."""
        match request.path:
            case peers.RELAY_PATH:
                return await self._relay(request)
            case peers.CANDIDATE_PATH:
                view = self.node.describe_candidate()
                return web.Response(body=msgspec.json.encode(view))
            case '/status':
                view = status.describe_node(
                    self.node, ready=self.ingress.is_ready()
                )
                return web.Response(
                    body=msgspec.json.encode(view),
                    content_type='application/json',
                )
            case '/configuration':
                return self._show_configuration()
        status.collect_gauges(self.node, self.node.metrics)
        body, headers = self.node.metrics.render()
        return web.Response(body=body, headers=headers)

    def _show_configuration(self):
        """Answer with the configuration in force, without its keys."""
        data = self.node.configuration.current_data
        if not data:
            return web.Response(status=503)
        return web.Response(
            body=operator_rows.redact_configuration(data),
            content_type='application/json',
        )

    async def _relay(self, request):
        """Make a call to the store for a node whose direct path is down.

        The response has status 503 when this node cannot reach the store
        either.
        """
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await serving.read_body(request, MAX_RELAYED_BYTES)
        except serving.BodyOverLimit:
            return web.Response(status=413)
        except TimeoutError:
            return web.Response(status=408)
        try:
            answer = await self.node.store.serve(body)
        except msgspec.DecodeError as exc:
            LOG.warning('a relayed call cannot be decoded', error=str(exc))
            return web.Response(status=400)
        if answer is None:
            return web.Response(status=503)
        return web.Response(body=answer)
