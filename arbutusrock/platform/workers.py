"""Client of a worker, and decoder of the registrations of workers."""

import functools

import msgspec

from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.state import roster
from arbutusrock import logs
from arbutusrock.scheduling import Resources
from arbutusrock.utils import decoders
from arbutusrock.utils import http
from arbutusrock.utils import http_connections
from arbutusrock.utils import timeouts

__all__ = ['WorkerClient', 'decode_worker']

# One connection waits for runs to end, the others carry orders.
MAX_CONNECTIONS = 4
# Timeout of an order; a round trip takes 2 to 10 ms.
ORDER_TIMEOUT_S = 0.8
# How long the answer to a lease renewal may take beyond the wait requested of
# the worker.
RENEWAL_MARGIN_S = 0.8
# Characters of a name that is too long in a log line.
MAX_NAME_CHARACTERS = 80
INSTANCE_HEADER = 'Arbutusrock-Expected-Instance'
RENEWAL_PATH = '/api/hold'
LOG = logs.get_log('workers')

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
    """Resources on the wire: the fields ``capacity`` and ``maximum``.

    :param cpu: millicores.
    """

    cpu: decoders.Count = 0
    memMb: decoders.Count = 0  # noqa: N815
    gpus: decoders.Count = 0

    def to_resources(self):
        """Return the equivalent :class:`Resources`."""
        return Resources(
            cpu=self.cpu, memory_mb=self.memMb, accelerators=self.gpus
        )


class _WireWorker(msgspec.Struct):
    # Name of the pool.
    service: str
    address: str
    state: str
    capacity: WireResources
    # Unix time in ms when the worker started.
    born: decoders.Count
    zone: str = ''
    labels: tuple[str, ...] = ()
    # Name of the VM.
    machine: str = ''
    # How much longer it is slow after its start.
    coldRemainingMs: decoders.Figure = 0.0  # noqa: N815
    # Minimum time until a draining worker leaves.
    remainingMs: decoders.Figure | None = None  # noqa: N815


class _WireOrderReply(msgspec.Struct):
    clockMs: decoders.Figure | None = None  # noqa: N815
    reason: str = ''


class _WireRenewalReply(msgspec.Struct):
    clockMs: decoders.Figure  # noqa: N815
    # Rows of task, run, checkpoint, percent and load; load may be absent.
    running: list[list[str | float | int | None]] = []
    # Rows of number, task, run, kind and checkpoint; the last may be absent.
    ended: list[list[str | float | int | None]] = []
    born: decoders.Count = 0


class _WireIncarnation(msgspec.Struct):
    born: decoders.Count = 0


# What the decoders of answers raise for malformed data.
_DECODE_ERRORS = (ValueError, TypeError, IndexError, OverflowError)

_decode_worker = decoders.create_json_decoder(_WireWorker)
_decode_order_reply = decoders.create_json_decoder(_WireOrderReply)
_decode_incarnation = decoders.create_json_decoder(_WireIncarnation)
_decode_renewal_reply = decoders.create_json_decoder(_WireRenewalReply)
_encode = msgspec.json.Encoder().encode


def decode_worker(worker_id, data):
    """Return the registration in ``data``, or None when it is not valid.

    Entries of other programs may lack fields, or have fields of other types
    and figures out of range.
    """
    try:
        wire = _decode_worker(data)
        _check_worker(worker_id, wire)
    except msgspec.DecodeError as exc:
        LOG.warning(
            'an entry names no worker to use',
            worker=worker_id[:MAX_NAME_CHARACTERS],
            bytes=len(data),
            error=str(exc),
        )
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
        cold_ms=wire.coldRemainingMs,
    )


def _check_worker(worker_id, wire):
    """Check what the types of a registration do not tell.

    :raises msgspec.DecodeError: it names no worker.
    """
    if wire.state not in {'ready', 'draining'}:
        raise msgspec.DecodeError(f'unknown state {wire.state[:20]!r}')
    if not decoders.is_address(wire.address):
        raise msgspec.DecodeError(f'no address: {wire.address[:40]!r}')
    if not wire.service:
        raise msgspec.DecodeError('no pool')
    # It is sent as a header.
    if not worker_id.isprintable():
        raise msgspec.DecodeError('its id is not printable')
    # They become parts of rows, which have a limited size.
    for name in (worker_id, wire.service, wire.machine, wire.zone):
        if len(name.encode(errors='replace')) > roster.MAX_NAME_BYTES:
            raise msgspec.DecodeError(f'a name is too long: {name[:20]!r}')


class WorkerClient:
    """Client of one incarnation of a worker.

    A worker may start again under its id, so the id does not tell whether the
    incarnation that answers is the one that is meant. Each new connection
    therefore begins with a renewal that extends no lease and acknowledges no
    completion; its answer says when the incarnation started. A connection ends
    with the process that accepted it, so all later calls reach the same one.

    :param address: ``host:port``.
    :param worker_id: worker that must answer; any other one at the address
        refuses the call.
    :param born_ms: Unix time at which the incarnation started; 0 accepts the
        one that answers first.
    :param metrics: counts calls.
    """

    def __init__(self, *, address, worker_id, metrics, born_ms=0):
        self.metrics = metrics
        self.worker_id = worker_id
        self.born_ms = born_ms
        # Set once a later incarnation has answered.
        self._is_over = False
        self._http = http_connections.PersistentClient(
            address=address,
            max_connections=MAX_CONNECTIONS,
            headers={INSTANCE_HEADER: worker_id},
            create_timeout=timeouts.create_call_timeout,
        )

    async def close(self):
        """Close all connections."""
        await self._http.close()

    async def start_run(self, order):
        """Order the worker to start a run.

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
        """Order the worker to stop a run.

        The order also holds for a run whose start order arrives later.
        """
        body = {'task': task, 'run': run, 'fenceToken': epoch}
        return await self._send_order('/api/run-stop', body)

    async def set_run_pace(self, task, run, percent, epoch):
        """Set the speed of a run to ``percent`` of its full speed."""
        body = {
            'task': task,
            'run': run,
            'percent': percent,
            'fenceToken': epoch,
        }
        return await self._send_order('/api/pace', body)

    async def renew_lease(self, *, epoch, cursor, lease_until_ms, wait_s):
        """Renew the worker's lease; return its runs and completion reports.

        :param cursor: acknowledges the completion reports up to this number;
            the worker may delete them.
        :param lease_until_ms: end of the lease on the worker's clock; None
            does not extend the lease.
        :param wait_s: how long the worker may delay its answer until a run
            ends.
        :returns: :class:`platform_messages.RenewalReply` or
            :class:`platform_messages.OrderReply` when it failed.
        """
        body = {'fenceToken': epoch, 'ackCursor': cursor}
        if lease_until_ms is not None:
            body['deadlineMs'] = int(lease_until_ms)
        if wait_s:
            body['waitMs'] = int(wait_s * 1000)
        answer = await self._call(
            RENEWAL_PATH, body, timeout_s=wait_s + RENEWAL_MARGIN_S
        )
        if isinstance(answer, platform_messages.OrderReply):
            return answer
        if answer.status != 200:
            return _to_order_reply(answer)
        try:
            return _to_renewal_reply(_decode_renewal_reply(answer.body))
        except _DECODE_ERRORS as exc:
            self._log_malformed(exc)
            return platform_messages.OrderReply(
                outcome=platform_messages.OrderOutcome.UNKNOWN
            )

    async def _send_order(self, path, body):
        answer = await self._call(path, body, timeout_s=ORDER_TIMEOUT_S)
        if isinstance(answer, platform_messages.OrderReply):
            return answer
        return _to_order_reply(answer)

    async def _call(self, path, body, *, timeout_s):
        self.metrics.count('worker_calls', (('path', path),))
        try:
            if self._is_over:
                raise _OtherIncarnation(self.worker_id)
            return await self._http.call(
                'POST',
                path,
                body=_encode(body),
                timeout_s=timeout_s,
                greet=functools.partial(self._greet, path, body['fenceToken']),
            )
        except _OtherIncarnation:
            outcome = platform_messages.OrderOutcome.RESTARTED
        except http_connections.GreetingRefused as exc:
            return _to_order_reply(exc.answer)
        except (http.NotSent, http_connections.NothingWritten):
            outcome = platform_messages.OrderOutcome.UNREACHABLE
        except http.NoAnswer:
            outcome = platform_messages.OrderOutcome.UNKNOWN
        return platform_messages.OrderReply(outcome=outcome)

    async def _greet(self, path, epoch, send):
        """Check which incarnation has accepted a new connection.

        :param path: of the call that the connection was opened for.
        :param epoch: fencing token of that call.
        :returns: the answer, which is also that to a renewal; None for
            orders.
        :raises _OtherIncarnation: another one did.
        :raises http_connections.GreetingRefused: the worker did not answer
            with a report.
        :raises http.NotSent: its report is malformed.
        """
        self.metrics.count('worker_greetings')
        answer = await send(
            'POST',
            RENEWAL_PATH,
            _encode({'fenceToken': epoch, 'ackCursor': 0}),
        )
        if answer.status != 200:
            raise http_connections.GreetingRefused(answer=answer)
        try:
            born_ms = _decode_incarnation(answer.body).born
        except _DECODE_ERRORS as exc:
            self._log_malformed(exc)
            raise http.NotSent('a greeting has a malformed answer') from exc
        if not self.born_ms:
            self.born_ms = born_ms
        elif born_ms and born_ms != self.born_ms:
            self._is_over = True
            LOG.info(
                'a later incarnation of a worker has accepted a connection',
                worker=self.worker_id,
                call=path,
                expected_born_ms=self.born_ms,
                born_ms=born_ms,
            )
            raise _OtherIncarnation(self.worker_id)
        return answer if path == RENEWAL_PATH else None

    def _log_malformed(self, exc):
        LOG.warning(
            'the reply of a worker cannot be decoded',
            worker=self.worker_id,
            error=str(exc),
        )


class _OtherIncarnation(http.NotSent):
    pass


def _to_order_reply(answer):
    try:
        wire = _decode_order_reply(answer.body)
    except msgspec.DecodeError:
        wire = _WireOrderReply()
    outcome = _OUTCOME_BY_STATUS.get(
        answer.status, platform_messages.OrderOutcome.UNKNOWN
    )
    if answer.status == 409:
        outcome = _OUTCOME_BY_REASON.get(
            wire.reason, platform_messages.OrderOutcome.UNKNOWN
        )
    return platform_messages.OrderReply(outcome=outcome, clock_ms=wire.clockMs)


def _to_renewal_reply(wire):
    return platform_messages.RenewalReply(
        clock_ms=wire.clockMs,
        born_ms=wire.born,
        running=tuple(map(_to_run_report, wire.running)),
        ended=tuple(map(_to_completion_report, wire.ended)),
    )


def _to_count(value):
    """Return an integer of a report.

    :raises ValueError: it is out of range, and could not be stored.
    """
    number = int(value)
    if not 0 <= number <= decoders.MAX_FIGURE:
        raise ValueError(f'{number} is out of range')
    return number


def _to_run_report(row):
    return platform_messages.RunReport(
        task=row[0],
        run=_to_count(row[1]),
        checkpoint=row[2] or '',
        percent=float(row[3] or 0),
        load=float(row[4] or 0) if len(row) > 4 else 0.0,
    )


def _to_completion_report(row):
    return platform_messages.CompletionReport(
        number=_to_count(row[0]),
        task=row[1],
        run=_to_count(row[2]),
        kind=platform_messages.CompletionKind(row[3]),
        checkpoint=(row[4] or '') if len(row) > 4 else '',
    )
