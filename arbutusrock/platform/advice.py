"""Client of the policy service.

The service decides which workers may run the tasks of a queue that has a
placement policy.
"""

import msgspec

from arbutusrock.engine.ports import platform_messages
from arbutusrock import logs
from arbutusrock.utils import decoders
from arbutusrock.utils import http

__all__ = ['AdviceClient']


class _WireTickets(msgspec.Struct):
    # Pairs of worker id and ticket, for the workers that may run the step.
    good: list[tuple[str, str]] = []
    validMs: decoders.Figure = 0.0  # noqa: N815


LOG = logs.get_log('advice')
_decode = decoders.create_json_decoder(_WireTickets)


class AdviceClient:
    """Asks the policy service which workers may run a step.

    :param address: ``host:port``.
    :param metrics: counts calls.
    """

    def __init__(self, *, address, metrics):
        self.metrics = metrics
        # The service handles the calls of one node one after the other.
        self._http = http.HTTPClient(
            base_url=f'http://{address}', max_connections=2
        )

    async def close(self):
        """Close all connections."""
        await self._http.close()

    async def request_tickets(self, step, worker_ids, *, timeout_s):
        """Request tickets to run a step on the given workers.

        :param step: name of the step.
        :param worker_ids: the workers, at most 100.
        :returns: ``(tickets, valid_s)`` with a ticket for each worker that
            may run the step, or None when the call failed.
        """
        body = {'step': step, 'workers': list(worker_ids)}
        self.metrics.count('advice_calls')
        try:
            answer = await self._http.call(
                'POST',
                '/api/advise',
                body=msgspec.json.encode(body),
                timeout_s=timeout_s,
            )
        except (http.NotSent, http.NoAnswer):
            return None
        if answer.status != 200:
            return None
        try:
            wire = _decode(answer.body)
        except ValueError as exc:
            LOG.warning('tickets cannot be decoded', error=str(exc))
            return None
        tickets = [
            platform_messages.Ticket(worker_id=worker_id, ticket=ticket)
            for worker_id, ticket in wire.good
        ]
        return tickets, wire.validMs / 1000
