"""Client of the platform's VM service."""

import msgspec

from arbutusrock.engine.ports import platform_messages
from arbutusrock import logs
from arbutusrock.platform import workers
from arbutusrock.utils import decoders
from arbutusrock.utils import http

__all__ = ['VMClient']

# A call takes a few ms; the callers of this client repeat it when no answer
# arrives.
TIMEOUT_S = 1.0
LOG = logs.get_log('vms')
_OUTCOME_BY_REASON = {
    'fence': platform_messages.VMOutcome.FENCED,
    'busy': platform_messages.VMOutcome.BUSY,
    'wave': platform_messages.VMOutcome.WRONG_WAVE,
}


class _WireVM(msgspec.Struct):
    machine: str
    pool: str
    state: str
    zone: str = ''
    labels: tuple[str, ...] = ()
    capacity: workers.WireResources = msgspec.field(
        default_factory=workers.WireResources
    )
    # Id of the worker that runs on the VM.
    id: str | None = None


class _WirePage(msgspec.Struct):
    machines: list[_WireVM] = []
    nextToken: str | None = None  # noqa: N815


class _WireRefusal(msgspec.Struct):
    reason: str = ''


_decode_page = decoders.create_json_decoder(_WirePage)
_decode_refusal = decoders.create_json_decoder(_WireRefusal)


class VMClient:
    """Lists VMs, moves them between pools and sends them to maintenance.

    :param address: ``host:port``.
    :param lease_holder: name of this node, sent with each order.
    :param metrics: counts calls.
    """

    def __init__(self, *, address, lease_holder, metrics):
        self.lease_holder = lease_holder
        self.metrics = metrics
        self._http = http.HTTPClient(
            base_url=f'http://{address}', max_connections=4
        )

    async def close(self):
        """Close all connections."""
        await self._http.close()

    async def list_vms(self):
        """Return a :class:`platform_messages.VMEntry` for each VM.

        Returns None when a call failed.
        """
        found, token = [], None
        while True:
            query = {'pageToken': token} if token else None
            try:
                answer = await self._http.call(
                    'GET', '/api/machines', query=query, timeout_s=TIMEOUT_S
                )
            except (http.NotSent, http.NoAnswer):
                return None
            self.metrics.count('vm_calls')
            if answer.status != 200:
                return None
            try:
                page = _decode_page(answer.body)
                found += [_to_vm_entry(item) for item in page.machines]
            except ValueError as exc:
                LOG.warning('a list of VMs cannot be decoded', error=str(exc))
                return None
            token = page.nextToken
            if not token:
                return found

    async def move_vm(self, vm, pool, epoch):
        """Move a VM to another pool; all runs on it end at once.

        :param epoch: fencing token of the owner.
        :returns: :class:`platform_messages.VMOutcome`.
        """
        body = {'machine': vm, 'pool': pool}
        return await self._send_order('/api/machine-move', body, epoch)

    async def start_maintenance(self, vm, wave, epoch):
        """Begin the maintenance of a VM; all runs on it end.

        :param wave: number of the wave that orders the maintenance.
        :param epoch: fencing token of the owner.
        :returns: :class:`platform_messages.VMOutcome`.
        """
        body = {'machine': vm, 'wave': wave}
        return await self._send_order('/api/machine-upkeep', body, epoch)

    async def _send_order(self, path, body, epoch):
        self.metrics.count('vm_calls')
        try:
            answer = await self._http.call(
                'POST',
                path,
                body=msgspec.json.encode(body),
                headers={
                    'Arbutusrock-Lease-Holder': self.lease_holder,
                    'Arbutusrock-Fencing-Token': str(epoch),
                },
                timeout_s=TIMEOUT_S,
            )
        except http.NotSent:
            return platform_messages.VMOutcome.THROTTLED
        except http.NoAnswer:
            return platform_messages.VMOutcome.UNKNOWN
        return _to_outcome(answer)


def _to_outcome(answer):
    match answer.status:
        case 200:
            return platform_messages.VMOutcome.DONE
        case 400:
            return platform_messages.VMOutcome.INVALID
        case 409:
            try:
                reason = _decode_refusal(answer.body).reason
            except ValueError:
                return platform_messages.VMOutcome.UNKNOWN
            return _OUTCOME_BY_REASON.get(
                reason, platform_messages.VMOutcome.BUSY
            )
        case 429 | 503:
            return platform_messages.VMOutcome.THROTTLED
        case _:
            return platform_messages.VMOutcome.UNKNOWN


def _to_vm_entry(wire):
    return platform_messages.VMEntry(
        vm=wire.machine,
        pool=wire.pool,
        state=platform_messages.VMState(wire.state),
        worker_id=wire.id or '',
        data_centre=wire.zone,
        labels=wire.labels,
        capacity=wire.capacity.to_resources(),
    )
