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
    """Life of a VM in its pool."""

    SERVING = 'serving'
    DRAINING = 'draining'
    DRAINED = 'drained'
    REBOOTING = 'rebooting'


class Protocol(enum.StrEnum):
    """What the upstream on the VM understands."""

    TASKS = 'tasks'
    HTTP = 'http'


class StrictStruct(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True
):
    """Base of the document parts: unknown keys are refused."""


class Pool(StrictStruct):
    """A pool of VMs.

    :param max_unavailable: availability budget: most VMs out of service at
        once, for whatever reason.
    :param spare: whether the pool holds VMs that stand in for others.
    """

    pool: Name
    max_unavailable: Count = 1
    spare: bool = False


class VM(StrictStruct):
    """A VM that runs a worker.

    The single field ``pool`` makes a second pool impossible.

    :param state: see :class:`VMState`.
    :param next_pool: pool that a drain ends in, for a move.
    :param wave: maintenance wave that drains it.
    :param boot_id: boot that the platform listed when maintenance began.
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
    """Pools and VMs as operators write them."""

    pools: list[Pool] = []
    vms: list[VM] = []


def load_fleet(text, *, source='fleet'):
    """Return a checked fleet document.

    :raises errors.InvalidDocument: with a line for every fault.
    """
    fleet = documents.parse_document(
        text, FleetDocument, source=source, error_type=errors.InvalidDocument
    )
    faults = _find_duplicates('pool', [pool.pool for pool in fleet.pools])
    faults += _find_duplicates('vm', [vm.vm for vm in fleet.vms])
    if faults:
        raise errors.InvalidDocument(
            '\n'.join(f'{source}: {fault}' for fault in faults)
        )
    return fleet


def _find_duplicates(kind, names):
    return [
        f'{kind} {name} stands twice'
        for name in sorted(set(names))
        if names.count(name) > 1
    ]
