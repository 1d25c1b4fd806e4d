"""Calls to workers, and what they say of themselves."""

import msgspec

from arbutusrock.engine import platform_messages
from arbutusrock.scheduling import Resources
from arbutusrock.utils import http

__all__ = ['WorkerClient', 'decode_worker']

# One call waits for ends, the others carry orders.
MAX_CONNECTIONS = 4
# Latest answer to an order: round trips take 2 to 10 ms.
ORDER_TIMEOUT_S = 0.8
# Time for the answer to a hold beyond the wait that it asks for.
RENEWAL_MARGIN_S = 0.8

_OUTCOME_BY_REASON = {
    'fence': platform_messages.OrderOutcome.FENCED,
    'old': platform_messages.OrderOutcome.OLD,
    'late': platform_messages.OrderOutcome.LATE,
    'room': platform_messages.OrderOutcome.NO_ROOM,
    'ticket': platform_messages.OrderOutcome.BAD_TICKET,
}
_OUTCOME_BY_STATUS = {
    200: platform_messages.OrderOutcome.DONE,
    400: platform_messages.OrderOutcome.INVALID,
    421: platform_messages.OrderOutcome.GONE,
    429: platform_messages.OrderOutcome.UNHEALTHY,
    503: platform_messages.OrderOutcome.UNHEALTHY,
}


class WireResources(msgspec.Struct):
    """``capacity`` and ``maximum`` on the wire."""

    cpu: int = 0
    memMb: int = 0  # noqa: N815
    gpus: int = 0

    def to_resources(self):
        """Return it as :class:`Resources`."""
        return Resources(
            cpu=self.cpu, memory_mb=self.memMb, accelerators=self.gpus
        )


class _WireWorker(msgspec.Struct):
    # The pool.
    service: str
    address: str
    state: str
    capacity: WireResources
    zone: str = ''
    labels: tuple[str, ...] = ()
    machine: str = ''
    born: int = 0
    # Least time left while it drains.
    remainingMs: float | None = None  # noqa: N815


class _WireOrderReply(msgspec.Struct):
    clockMs: float | None = None  # noqa: N815
    reason: str = ''


class _WireRenewalReply(msgspec.Struct):
    clockMs: float  # noqa: N815
    running: list[list[str | float | int | None]] = []
    ended: list[list[str | float | int | None]] = []
    born: int = 0


_decode_worker = msgspec.json.Decoder(_WireWorker).decode
_decode_order_reply = msgspec.json.Decoder(_WireOrderReply).decode
_decode_renewal_reply = msgspec.json.Decoder(_WireRenewalReply).decode
_encode = msgspec.json.Encoder().encode


def decode_worker(worker_id, data):
    """Return the registration in ``data``, or None where it names none.

    Entries of other writers may lack fields or hold other types.
    """
    try:
        wire = _decode_worker(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    host, _, port = wire.address.rpartition(':')
    if wire.state not in {'ready', 'draining'} or not port.isdigit():
        return None
    if not host or not wire.service or wire.capacity.cpu <= 0:
        return None
    return platform_messages.WorkerEntry(
        worker_id=worker_id,
        pool=wire.service,
        address=wire.address,
        data_centre=wire.zone,
        draining=wire.state == 'draining',
        capacity=wire.capacity.to_resources(),
        labels=wire.labels,
        vm=wire.machine,
        born_ms=wire.born,
        leaves_in_ms=wire.remainingMs,
    )


class WorkerClient:
    """Connections to one life of one worker.

    :param address: ``host:port``.
    :param worker_id: the life that must answer.
    :param metrics: counts calls.
    """

    def __init__(self, *, address, worker_id, metrics):
        self.metrics = metrics
        self._headers = {'Arbutusrock-Expected-Instance': worker_id}
        self._http = http.HTTPClient(
            base_url=f'http://{address}', max_connections=MAX_CONNECTIONS
        )

    async def close(self):
        """Close all connections."""
        await self._http.close()

    async def start_run(self, order):
        """Order a run to start.

        :param order: :class:`platform_messages.RunOrder`.
        :returns: :class:`platform_messages.OrderReply`.
        """
        body = {
            'task': order.task,
            'run': order.run,
            'spec': order.spec,
            'deadlineMs': int(order.lease_until_ms),
            'fenceToken': order.epoch,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        return await self._send_order('/api/run-start', body)

    async def stop_run(self, task, run, epoch):
        """Order a run to stop, also one that has not arrived yet."""
        body = {'task': task, 'run': run, 'fenceToken': epoch}
        return await self._send_order('/api/run-stop', body)

    async def set_run_pace(self, task, run, percent, epoch):
        """Let a run work at ``percent`` of its speed."""
        body = {
            'task': task,
            'run': run,
            'percent': percent,
            'fenceToken': epoch,
        }
        return await self._send_order('/api/pace', body)

    async def renew_lease(self, *, epoch, cursor, lease_until_ms, wait_s):
        """Renew the lease and learn what runs and what has ended.

        :param cursor: ends up to this number may be forgotten.
        :param lease_until_ms: on the worker's clock; None renews nothing.
        :param wait_s: how long the answer may wait for an end.
        :returns: :class:`platform_messages.RenewalReply` or
            :class:`platform_messages.OrderReply` when it failed.
        """
        body = {'fenceToken': epoch, 'ackCursor': cursor}
        if lease_until_ms is not None:
            body['deadlineMs'] = int(lease_until_ms)
        if wait_s:
            body['waitMs'] = int(wait_s * 1000)
        answer = await self._call(
            '/api/hold', body, timeout_s=wait_s + RENEWAL_MARGIN_S
        )
        if isinstance(answer, platform_messages.OrderReply):
            return answer
        if answer.status != 200:
            return _to_order_reply(answer)
        wire = _decode_renewal_reply(answer.body)
        return platform_messages.RenewalReply(
            clock_ms=wire.clockMs,
            born_ms=wire.born,
            running=tuple(map(_to_run_report, wire.running)),
            ended=tuple(map(_to_completion_report, wire.ended)),
        )

    async def _send_order(self, path, body):
        answer = await self._call(path, body, timeout_s=ORDER_TIMEOUT_S)
        if isinstance(answer, platform_messages.OrderReply):
            return answer
        return _to_order_reply(answer)

    async def _call(self, path, body, *, timeout_s):
        self.metrics.count('worker_calls', (('path', path),))
        try:
            return await self._http.call(
                'POST',
                path,
                body=_encode(body),
                headers=self._headers,
                timeout_s=timeout_s,
            )
        except http.NotSent:
            outcome = platform_messages.OrderOutcome.UNREACHABLE
        except http.NoAnswer:
            outcome = platform_messages.OrderOutcome.UNKNOWN
        return platform_messages.OrderReply(outcome=outcome)


def _to_order_reply(answer):
    try:
        wire = _decode_order_reply(answer.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        wire = _WireOrderReply()
    outcome = _OUTCOME_BY_STATUS.get(
        answer.status, platform_messages.OrderOutcome.UNKNOWN
    )
    if answer.status == 409:
        outcome = _OUTCOME_BY_REASON.get(
            wire.reason, platform_messages.OrderOutcome.UNKNOWN
        )
    return platform_messages.OrderReply(outcome=outcome, clock_ms=wire.clockMs)


def _to_run_report(row):
    return platform_messages.RunReport(
        task=row[0],
        run=int(row[1]),
        checkpoint=row[2] or '',
        percent=float(row[3] or 0),
        load=float(row[4] or 0) if len(row) > 4 else 0.0,
    )


def _to_completion_report(row):
    return platform_messages.CompletionReport(
        number=int(row[0]),
        task=row[1],
        run=int(row[2]),
        kind=platform_messages.CompletionKind(row[3]),
        checkpoint=(row[4] or '') if len(row) > 4 else '',
    )
