"""Reads the settings of the node from the settings file of the platform."""

import pathlib

from arbutusrock.engine import node_settings
from arbutusrock import errors
from arbutusrock.platform import listeners

__all__ = ['load_node_settings']


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
    )
