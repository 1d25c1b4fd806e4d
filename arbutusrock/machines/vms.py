"""VMs, the pools they belong to, and their availability budgets."""

import enum
from typing import Annotated

import msgspec

from arbutusrock import errors
from arbutusrock.utils import documents

__all__ = [
    'VM',
    'FleetDocument',
    'Pool',
    'Protocol',
    'VMState',
    'load_fleet',
]

Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]


class VMState(enum.StrEnum):
    """State of a VM in its pool; only serving VMs get new tasks."""

    SERVING = 'serving'
    DRAINING = 'draining'
    DRAINED = 'drained'
    REBOOTING = 'rebooting'


class Protocol(enum.StrEnum):
    """Protocol of the upstream on the VM.

    ``tasks`` has task leases and identifies tasks; ``http`` is a plain HTTP
    server.
    """

    TASKS = 'tasks'
    HTTP = 'http'


class StrictStruct(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True
):
    """Base of the parts of the fleet document; rejects unknown keys."""


class Pool(StrictStruct):
    """A pool of VMs.

    :param max_unavailable: availability budget: maximum number of VMs out of
        service at once, for whatever reason.
    :param spare: whether the pool holds standby VMs for other pools.
    """

    pool: Name
    max_unavailable: Count = 1
    spare: bool = False


class VM(StrictStruct):
    """A VM that runs a worker.

    There is one field ``pool``, so a VM can never belong to two pools.

    :param state: see :class:`VMState`.
    :param next_pool: pool that the VM joins after its drain, for a move.
    :param wave: maintenance wave that drains and reboots it.
    :param boot_id: boot id that the platform listed after the drain; a
        different one shows that the reboot happened.
    """

    vm: Name
    pool: Name
    address: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    rack: Name = 'rack-1'
    data_centre: Name = 'dc-1'
    region: Name = 'region-1'
    slots: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 8
    cores: Count = 32
    memory_gb: Count = 64
    accelerators: Count = 0
    protocol: Protocol = Protocol.TASKS
    state: VMState = VMState.SERVING
    next_pool: str = ''
    wave: str = ''
    boot_id: str = ''
    reason: str = ''


class FleetDocument(StrictStruct):
    """The fleet document, in which operators describe pools and VMs."""

    pools: list[Pool] = []
    vms: list[VM] = []


def load_fleet(text, *, source='fleet'):
    """Parse and validate a fleet document.

    :param source: name of the document for error messages.
    :raises errors.InvalidDocument: with one line for each error found.
    """
    fleet = documents.parse_document(
        text, FleetDocument, source=source, error_type=errors.InvalidDocument
    )
    messages = _find_duplicates('pool', [pool.pool for pool in fleet.pools])
    messages += _find_duplicates('vm', [vm.vm for vm in fleet.vms])
    if messages:
        raise errors.InvalidDocument(
            '\n'.join(f'{source}: {message}' for message in messages)
        )
    return fleet


def _find_duplicates(kind, names):
    """Return one message for each name that is defined more than once."""
    return [
        f'{kind} {name} is defined more than once'
        for name in sorted(set(names))
        if names.count(name) > 1
    ]
