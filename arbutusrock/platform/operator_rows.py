"""Decodes the operator's rows: configuration, waves and evacuations."""

import hashlib

import msgspec

from arbutusrock.engine.ports import platform_messages
from arbutusrock.platform import workers
from arbutusrock.scheduling import configuration
from arbutusrock.scheduling import configuration_check
from arbutusrock.utils import decoders

__all__ = [
    'decode_entries',
    'decode_operator_row',
    'decode_wave',
    'encode_wave_status',
    'redact_configuration',
]

CONFIGURATION_KEY = 'config'
WAVE_KEY_PREFIX = 'wave/'
CORDON_KEY_PREFIX = 'evacuate/'


class _WireAdvice(msgspec.Struct):
    decideMs: decoders.Figure = 0.0  # noqa: N815
    eachMs: decoders.Figure = 0.0  # noqa: N815
    validMs: decoders.Figure = 0.0  # noqa: N815


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str  # noqa: N815
    # The pool whose workers run the tasks.
    service: str
    priority: decoders.Integer = 0
    maxAttempts: decoders.Integer = 3  # noqa: N815
    stretch: decoders.Figure = 1.0
    # The objective for the duration of a job is ``stretch`` times its critical
    # path, plus this time.
    sloMs: decoders.Figure = 1000.0  # noqa: N815
    timeoutMs: decoders.Figure = 0.0  # noqa: N815
    # Jobs may be submitted without an API key.
    public: bool = False
    advice: _WireAdvice | None = None


class _WireService(msgspec.Struct):
    name: str
    enforcesCapacity: bool = False  # noqa: N815
    spare: bool = False
    healthPath: str = ''  # noqa: N815


class _WireTenant(msgspec.Struct):
    name: str
    apiKeys: tuple[str, ...] = ()  # noqa: N815
    weight: decoders.Figure = 1.0
    # Resources that its runs may use at once; 0 means no limit.
    maximum: workers.WireResources | None = None


class _WireLimits(msgspec.Struct):
    maxHeaderBytes: decoders.Integer = 16384  # noqa: N815
    maxBodyBytes: decoders.Integer = 262144  # noqa: N815
    headerTimeoutMs: decoders.Integer = 3000  # noqa: N815
    idleTimeoutMs: decoders.Integer = 15000  # noqa: N815


class _WireConfiguration(msgspec.Struct):
    version: decoders.Integer
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    tenants: list[_WireTenant] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


class _WireWave(msgspec.Struct):
    wave: decoders.Integer
    machines: tuple[str, ...]
    durationS: decoders.Figure  # noqa: N815
    # Maximum number of VMs that may be down at once for the wave.
    maximum: decoders.Integer = 1


_decode_configuration = decoders.create_json_decoder(_WireConfiguration)
_decode_wave = decoders.create_json_decoder(_WireWave)
_decode_object = decoders.create_json_decoder(dict)


def decode_operator_row(row):
    """Return what a row of the operator's table says.

    :param row: a row, or a removed one, which has no value.
    :returns: :class:`configuration.FleetConfiguration`,
        :class:`platform_messages.WaveRequest`,
        :class:`platform_messages.CordonChange`, or None for rows with other
        keys and for removed ones that change nothing.
    :raises msgspec.DecodeError: when the row is not valid.
    """
    if row.key.startswith(CORDON_KEY_PREFIX):
        return decode_cordon(row.key, row.value)
    if row.value is None:
        return None
    if row.key == CONFIGURATION_KEY:
        return decode_configuration(row.value)
    if row.key.startswith(WAVE_KEY_PREFIX):
        return decode_wave(row.value)
    return None


def decode_configuration(data):
    """Return the :class:`configuration.FleetConfiguration` in ``data``.

    :raises msgspec.DecodeError: when the data is not a valid configuration.
    """
    entries = decode_entries(data)
    return configuration.FleetConfiguration(
        version=entries.version,
        queues=entries.queues,
        pools=entries.pools,
        accounts=entries.accounts,
        limits=entries.limits,
    )


def decode_entries(data):
    """Return the :class:`configuration_check.ConfigurationEntries`.

    :raises msgspec.DecodeError: when the data is not a valid configuration.
    """
    wire = _decode_configuration(data)
    return configuration_check.ConfigurationEntries(
        version=wire.version,
        queues=[_to_queue(route) for route in wire.routes],
        pools=[
            configuration.Pool(
                name=item.name,
                enforces_capacity=item.enforcesCapacity,
                spare=item.spare,
                health_path=item.healthPath,
            )
            for item in wire.services
        ],
        accounts=[
            configuration.Account(
                name=item.name,
                keys=item.apiKeys,
                weight=item.weight,
                upper_limit=(
                    item.maximum or workers.WireResources()
                ).to_resources(),
            )
            for item in wire.tenants
        ],
        limits=configuration.RequestLimits(
            header_bytes=wire.limits.maxHeaderBytes,
            body_bytes=wire.limits.maxBodyBytes,
            header_timeout_ms=wire.limits.headerTimeoutMs,
            idle_timeout_ms=wire.limits.idleTimeoutMs,
        ),
    )


def redact_configuration(data):
    """Return a configuration with a digest in place of each key.

    :raises msgspec.DecodeError: when the data is not a valid configuration.
    """
    wire = _decode_configuration(data)
    for tenant in wire.tenants:
        tenant.apiKeys = tuple(
            f'sha256:{hashlib.sha256(key.encode()).hexdigest()[:16]}'
            for key in tenant.apiKeys
        )
    return msgspec.json.encode(wire)


def _to_queue(route):
    advice = None
    if route.advice is not None:
        advice = configuration.AdviceSettings(
            decide_ms=route.advice.decideMs,
            each_ms=route.advice.eachMs,
            valid_ms=route.advice.validMs,
        )
    return configuration.Queue(
        name=route.name,
        host=route.host,
        prefix=route.pathPrefix,
        pool=route.service,
        urgency=route.priority,
        max_attempts=route.maxAttempts,
        stretch=route.stretch,
        objective_ms=route.sloMs,
        timeout_ms=route.timeoutMs,
        open_to_all=route.public,
        advice=advice,
    )


def decode_wave(data):
    """Return the :class:`platform_messages.WaveRequest` in ``data``.

    :raises msgspec.DecodeError: when the data is not a valid wave.
    """
    wire = _decode_wave(data)
    return platform_messages.WaveRequest(
        number=wire.wave,
        vms=wire.machines,
        duration_s=wire.durationS,
        most_at_once=wire.maximum,
    )


def decode_cordon(key, data):
    """Return the :class:`platform_messages.CordonChange` of a row.

    The key alone says what is asked for, so that a value that cannot be read
    changes nothing.

    :param data: value of the row; None when it was removed.
    :raises msgspec.DecodeError: when the key names no data centre.
    """
    name = key.removeprefix(CORDON_KEY_PREFIX)
    if not name:
        raise msgspec.DecodeError('the key names no data centre')
    problem = ''
    if data is not None:
        try:
            _decode_object(data)
        except msgspec.DecodeError as exc:
            problem = str(exc)
    return platform_messages.CordonChange(
        data_centre=name, active=data is not None, problem=problem
    )


def encode_wave_status(*, number, completed):
    """Return the value of the row that reports a wave to the operator."""
    state = 'completed' if completed else 'running'
    return msgspec.json.encode({'wave': number, 'state': state})
