"""Reads the settings of the node from the settings file of the platform."""

import pathlib

from arbutusrock.engine import node_settings
from arbutusrock import errors
from arbutusrock.platform import listeners

__all__ = ['load_node_settings']

# Of the memory of the process, the share that callers may hold. A request
# takes several times the size of its bytes while it is decoded.
HELD_SHARE = 1 / 16
DEFAULT_MEMORY_MB = 256
# Those of the process itself, and a few for callers.
MIN_DESCRIPTORS = 256


class _Fields:
    """Fields of a settings file of lines ``a.b=value``.

    The look-ups validate the value and raise an error that names the field.
    """

    def __init__(self, *, text, source):
        self.source = source
        self.values = {}
        for line in text.splitlines():
            name, separator, value = line.partition('=')
            if separator and not line.lstrip().startswith('#'):
                self.values[name.strip()] = value.strip()

    def get_text(self, name, default=None):
        value = self.values.get(name, default)
        if value is None:
            raise errors.InvalidSettings(f'{self.source}: {name} is missing')
        return value

    def get_number(self, name, default, min_value=0.0):
        text = self.values.get(name, '')
        if not text:
            return default
        try:
            value = float(text)
        except ValueError:
            value = None
        if value is None or not min_value <= value < float('inf'):
            raise errors.InvalidSettings(
                f'{self.source}: {name} must be a number of at least '
                f'{min_value:g}; got {text!r}'
            )
        return value

    def get_count(self, name, default, min_value):
        return int(self.get_number(name, default, min_value))

    def get_ports(self, name, default):
        text = self.get_text(name, default)
        first, separator, last = text.partition(',')
        if not (separator and first.isdigit() and last.isdigit()):
            raise errors.InvalidSettings(
                f'{self.source}: {name} must be two ports, like 7000,7015; '
                f'got {text!r}'
            )
        return int(first), int(last)

    def get_address(self, name, default=None):
        text = self.get_text(name, default)
        host, separator, port = text.rpartition(':')
        if not (separator and host and port.isdigit()):
            raise errors.InvalidSettings(
                f'{self.source}: {name} must be host:port; got {text!r}'
            )
        return text


def _get_value_bytes(row_bytes):
    """Return the size of the largest value of a row, in bytes.

    The limit of the store is taken as that of the value's text in base64, the
    stricter of its two readings: a row that is too long is never written.

    :param row_bytes: limit of the store.
    """
    return int(row_bytes) // 4 * 3


def _get_held_bytes(fields):
    memory_mb = fields.get_number('limits.memoryMb', DEFAULT_MEMORY_MB, 16)
    return int(memory_mb * 2**20 * HELD_SHARE)


def load_node_settings(path=None):
    """Read the settings of this process.

    :param path: path of the file; None takes the one in the environment
        variable ``ARBUTUSROCK_BOOT``, or the default path.
    :returns: :class:`node_settings.NodeSettings`.
    :raises errors.InvalidSettings: when the file cannot be read or a field is
        not valid; the text names the file, the field and the allowed range.
    """
    path = path or listeners.find_settings_path()
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.InvalidSettings(f'{path}: {exc}') from exc
    fields = _Fields(text=text, source=str(path))
    _, last_port = fields.get_ports('portRange', '7000,7015')
    address = fields.get_text('ip')
    get_number = fields.get_number
    return node_settings.NodeSettings(
        name=fields.get_text('nodeName'),
        address=address,
        callers=fields.get_address('listen.frontend'),
        readiness=fields.get_address('listen.readiness'),
        metrics=f'{address}:{last_port}',
        cores=get_number('limits.cpuShare', 1.0)
        * get_number('limits.cores', 1),
        store=fields.get_address('platform.address'),
        store_row_bytes=_get_value_bytes(
            get_number('platform.rowBytes', 65536, 1024)
        ),
        vm_service=fields.values.get('cloudApi.address', ''),
        advice_service=fields.values.get('advice', ''),
        grace_s=get_number('bounds.graceS', 6),
        longest_lease_s=get_number('bounds.maxHoldMs', 6000, 1) / 1000,
        status_s=get_number('bounds.status_s', 120),
        # Not one of the platform's: a deployment adds it to its file.
        estimates_vm_speeds=get_number('vmSpeeds', 0) > 0,
        move_s=get_number('bounds.moveS', 1.5),
        maintenance_s=get_number('bounds.maintenanceS', 2),
        vm_calls_per_s=get_number('cloudApi.dutyRateS', 64.0),
        worker_report_s=get_number('heartbeatMs', 1500) / 1000,
        max_descriptors=fields.get_count(
            'limits.maxFds', 4096, MIN_DESCRIPTORS
        ),
        # As for the speeds of VMs, a deployment may add these.
        held_bytes=fields.get_count(
            'callers.heldBytes', _get_held_bytes(fields), 1 << 20
        ),
        head_bytes=fields.get_count('callers.headBytes', 65_536, 1024),
        head_timeout_s=get_number('callers.headTimeoutS', 10.0, 0.1),
        idle_timeout_s=get_number('callers.idleTimeoutS', 75.0, 0.1),
        answer_timeout_s=get_number('callers.answerTimeoutS', 30.0, 0.1),
        discarded_bytes=fields.get_count(
            'callers.discardedBytes', 1 << 20, 1024
        ),
        longest_deadline_s=get_number('callers.longestDeadlineS', 60.0, 0.1),
    )
