"""Settings of the daemon, read from one YAML file."""

from typing import Annotated

import msgspec

from arbutusrock import errors
from arbutusrock.utils import documents

__all__ = ['Address', 'Settings', 'load_settings']

Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
IPAddress = Annotated[
    str, msgspec.Meta(pattern=r'^(\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]+)$')
]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Bytes = Annotated[int, msgspec.Meta(ge=1024, le=1 << 30)]
Sha256 = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}$')]


class StrictStruct(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True
):
    """Base of the sections: unknown keys are refused."""


class Address(StrictStruct):
    """An IP number and a port; port 0 lets the kernel choose."""

    address: IPAddress = '127.0.0.1'
    port: Port = 0


class Node(StrictStruct):
    """Who this process is and where it stands."""

    name: Name
    data_centre: Name
    region: Name = 'region-1'


class Listen(StrictStruct):
    """Where the daemon listens."""

    callers: Address = Address()
    operators: Address = Address()
    peers: Address = Address()


class PlatformAccess(StrictStruct):
    """How the platform's table service and object store are reached."""

    address: IPAddress
    port: Port
    timeout_s: Seconds = 2.0
    retry_budget_s: Seconds = 6.0
    batch_delay_s: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.005


class Membership(StrictStruct):
    """Leases of members. A silent member counts until lease + margin."""

    renew_s: Seconds = 2.0
    lease_s: Seconds = 12.0
    margin_s: Seconds = 2.0
    digest_s: Seconds = 1.0


class Limits(StrictStruct):
    """Bounds on what one caller can hold."""

    body_bytes: Bytes = 64 << 20
    buffered_bytes: Bytes = 1 << 20
    answer_buffer_bytes: Bytes = 1 << 20
    head_bytes: Bytes = 16384
    body_timeout_s: Seconds = 30.0
    default_timeout_s: Seconds = 30.0
    longest_timeout_s: Seconds = 600.0


class Upstreams(StrictStruct):
    """How workers are reached."""

    connect_s: Seconds = 1.0
    silence_s: Seconds = 3.0
    task_lease_s: Seconds = 30.0
    resolve_s: Seconds = 10.0
    connections: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 64


class Shutdown(StrictStruct):
    """Graceful shutdown. ``notice_s`` lets the balancer see the change."""

    notice_s: Annotated[float, msgspec.Meta(ge=0, le=300)] = 2.0
    deadline_s: Seconds = 60.0


class OperatorAccess(StrictStruct):
    """An operator and the SHA-256 of the operator's token, in hex."""

    operator: Name
    token_sha256: Sha256


class Settings(StrictStruct):
    """All settings of one daemon."""

    node: Node
    platform: PlatformAccess
    listen: Listen = Listen()
    membership: Membership = Membership()
    limits: Limits = Limits()
    upstreams: Upstreams = Upstreams()
    shutdown: Shutdown = Shutdown()
    operators: list[OperatorAccess] = []


def load_settings(text, *, source='settings'):
    """Return checked settings.

    :param text: YAML text.
    :param source: file name for messages.
    :raises errors.InvalidSettings: with a line for every fault.

    >>> load_settings('node: {name: a, data_centre: dc1}\\nspeed: 3')
    Traceback (most recent call last):
    ...
    arbutusrock.errors.InvalidSettings: AR-101 the settings are not valid: \
settings:2: speed is not a known key; allowed: limits, listen, membership, \
node, operators, platform, shutdown, upstreams
    settings:1: document lacks the required key platform
    """
    loaded = documents.parse_document(
        text, Settings, source=source, error_type=errors.InvalidSettings
    )
    faults = _find_relation_errors(loaded)
    if faults:
        raise errors.InvalidSettings(
            '\n'.join(f'{source}: {fault}' for fault in faults)
        )
    return loaded


def _find_relation_errors(loaded):
    faults = []
    members = loaded.membership
    shortest_s = 2 * members.renew_s + members.margin_s / 2
    if members.lease_s <= shortest_s:
        fault = (
            'membership.lease_s must be above twice membership.renew_s '
            f'plus half of membership.margin_s ({shortest_s}), got '
            f'{members.lease_s}'
        )
        faults.append(fault)
    workers = loaded.upstreams
    if workers.task_lease_s < 3 * workers.silence_s:
        faults.append(
            'upstreams.task_lease_s must be at least three times '
            f'upstreams.silence_s ({3 * workers.silence_s}), got '
            f'{workers.task_lease_s}'
        )
    return faults
