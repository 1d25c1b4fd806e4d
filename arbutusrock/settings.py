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
    """Base of the sections of the settings; rejects unknown keys."""


class Address(StrictStruct):
    """An IP address and a port; with port 0, the kernel chooses one."""

    address: IPAddress = '127.0.0.1'
    port: Port = 0


class Node(StrictStruct):
    """Name of this node, and the data centre and region it runs in."""

    name: Name
    data_centre: Name
    region: Name = 'region-1'


class Listen(StrictStruct):
    """Addresses at which the daemon listens for each kind of client."""

    callers: Address = Address()
    operators: Address = Address()
    peers: Address = Address()


class PlatformAccess(StrictStruct):
    """Access to the platform's table service and object store.

    :param timeout_s: time-out of one attempt.
    :param retry_budget_s: time for all attempts of one call.
    :param batch_delay_s: time that writes are collected for one commit.
    """

    address: IPAddress
    port: Port
    timeout_s: Seconds = 2.0
    retry_budget_s: Seconds = 6.0
    batch_delay_s: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.005


class Membership(StrictStruct):
    """Leases of members.

    An unresponsive member counts as serving until ``lease_s + margin_s`` have
    passed.

    :param renew_s: time between two renewals of the lease.
    :param lease_s: how long a renewal lets a member serve.
    :param margin_s: time that the others wait longer than the lease.
    :param digest_s: minimum time between two regular digests to the peers.
    """

    renew_s: Seconds = 2.0
    lease_s: Seconds = 12.0
    margin_s: Seconds = 2.0
    digest_s: Seconds = 1.0


class Limits(StrictStruct):
    """Limits on the resources that one request can use.

    :param body_bytes: maximum size of a request body.
    :param buffered_bytes: request bodies up to this size are buffered, larger
        ones streamed, unless the whole body is needed (jobs, Idempotency-Key).
    :param answer_buffer_bytes: answers up to this size are buffered.
    :param head_bytes: maximum size of the request line and of a header; a
        whole head may have four times as much.
    :param head_timeout_s: maximum time from the first byte of a head to its
        last.
    :param idle_timeout_s: maximum time between an answer and the next head.
    :param answer_timeout_s: maximum time in which a client reads an answer.
    :param held_bytes: maximum size of all requests that are not complete and
        of all answers that are not read, for each kind of client; at least
        ``body_bytes`` in any case.
    :param connections: maximum number of connections of callers; those of
        operators and of peers may be a quarter of it. Fewer, where the
        process may not open so many descriptors.
    :param body_timeout_s: maximum wait for the next part of a body.
    :param default_timeout_s: time-out of a request that states none.
    :param longest_timeout_s: maximum time-out that a request may state.
    """

    body_bytes: Bytes = 64 << 20
    buffered_bytes: Bytes = 1 << 20
    answer_buffer_bytes: Bytes = 1 << 20
    head_bytes: Bytes = 16384
    head_timeout_s: Seconds = 10.0
    idle_timeout_s: Seconds = 75.0
    answer_timeout_s: Seconds = 60.0
    held_bytes: Bytes = 64 << 20
    connections: Annotated[int, msgspec.Meta(ge=16, le=1 << 20)] = 4096
    body_timeout_s: Seconds = 30.0
    default_timeout_s: Seconds = 30.0
    longest_timeout_s: Seconds = 600.0


class Upstreams(StrictStruct):
    """Connections to workers.

    :param connect_s: time-out for making a connection.
    :param silence_s: time-out for the next bytes of an answer; a worker that
        sends none is then asked for the outcome of the task.
    :param task_lease_s: lease of a running task; asking the worker for its
        state renews it.
    :param resolve_s: how long an unresponsive worker is asked for an outcome.
    :param connections: maximum number of connections to one worker.
    """

    connect_s: Seconds = 1.0
    silence_s: Seconds = 3.0
    task_lease_s: Seconds = 30.0
    resolve_s: Seconds = 10.0
    connections: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 64


class Shutdown(StrictStruct):
    """Graceful shutdown.

    :param notice_s: time in which requests are still accepted, so that the
        load balancer can notice the shutdown.
    :param deadline_s: time after the notice for running tasks to finish.
    """

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
    :param source: name of the file in error messages.
    :raises errors.InvalidSettings: with one line for each error.

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
    messages = _find_relation_errors(loaded)
    if messages:
        raise errors.InvalidSettings(
            '\n'.join(f'{source}: {message}' for message in messages)
        )
    return loaded


def _find_relation_errors(loaded):
    """Return a message for each pair of settings that do not fit."""
    messages = []
    membership = loaded.membership
    min_lease_s = 2 * membership.renew_s + membership.margin_s / 2
    if membership.lease_s <= min_lease_s:
        message = (
            'membership.lease_s must be above twice membership.renew_s '
            f'plus half of membership.margin_s ({min_lease_s}), got '
            f'{membership.lease_s}'
        )
        messages.append(message)
    upstreams = loaded.upstreams
    if upstreams.task_lease_s < 3 * upstreams.silence_s:
        messages.append(
            'upstreams.task_lease_s must be at least three times '
            f'upstreams.silence_s ({3 * upstreams.silence_s}), got '
            f'{upstreams.task_lease_s}'
        )
    return messages
