"""Checks a configuration, or a wave, before it is sent to the platform."""

import pathlib
import sys

import msgspec

from arbutusrock import codes
from arbutusrock.commands import client as client_module
from arbutusrock.commands import output
from arbutusrock.platform import operator_rows
from arbutusrock.scheduling import configuration_check
from arbutusrock.scheduling import Resources
from arbutusrock.utils import decoders

__all__ = ['check_config']

CONFIGURATION_PATH = '/configuration'


def check_config(
    file: pathlib.Path,
    *,
    against: str = '',
    task_millicores: int = 0,
    task_memory_mb: int = 0,
    maintenance_s: float = 2.0,
    json: bool = False,
):
    """Check a configuration or a request for a wave in a file.

    Prints errors, entries that can never match, limits that contradict each
    other, and what differs from the version in force. The exit status is 0
    unless there is an error.

    :param file: the configuration or the wave, as it is to be sent
    :param against: file with the version in force, or host:port at which a
        node serves its metrics
    :param task_millicores: cores of the largest task that callers submit
    :param task_memory_mb: memory of the largest task that callers submit
    :param maintenance_s: duration of the maintenance of one VM, for a wave
    :param json: print JSON
    """
    data = file.read_bytes()
    findings, differences = [], []
    if _holds_wave(data):
        findings = _check_wave(file, data, maintenance_s)
    else:
        entries = _decode(file, data)
        largest_task = Resources(cpu=task_millicores, memory_mb=task_memory_mb)
        findings = configuration_check.check_configuration(
            entries, largest_task=largest_task
        )
        if against:
            more, differences = configuration_check.compare_configurations(
                _read_version_in_force(against),
                _decode(file, operator_rows.redact_configuration(data)),
            )
            findings = more + findings
    _print(findings, differences, compared=bool(against), json=json)
    if any(item.severity == configuration_check.ERROR for item in findings):
        sys.exit(codes.EXIT_INPUT)


def _holds_wave(data):
    try:
        return 'wave' in decoders.decode_json(data, dict)
    except msgspec.DecodeError:
        return False


def _decode(name, data):
    """Decode a configuration as the daemon does.

    :raises client_module.CommandError: naming the field that is wrong.
    """
    try:
        return operator_rows.decode_entries(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise client_module.CommandError(
            f'{name}: {exc}', status=codes.EXIT_INPUT
        ) from exc


def _check_wave(file, data, maintenance_s):
    try:
        wave = operator_rows.decode_wave(data)
    except msgspec.DecodeError as exc:
        raise client_module.CommandError(
            f'{file}: {exc}', status=codes.EXIT_INPUT
        ) from exc
    return configuration_check.check_wave(
        number=wave.number,
        vms=wave.vms,
        duration_s=wave.duration_s,
        most_at_once=wave.most_at_once,
        maintenance_s=maintenance_s,
    )


def _read_version_in_force(source):
    """Return the entries of a file or of a node, with digests for keys."""
    path = pathlib.Path(source)
    if path.exists() or ':' not in source:
        data = operator_rows.redact_configuration(path.read_bytes())
    else:
        client = client_module.Client(server=f'http://{source}', token='')
        data = client.fetch('GET', CONFIGURATION_PATH)
    return _decode(source, data)


def _print(findings, differences, *, compared, json):
    if json:
        answer = {'findings': findings, 'differences': differences}
        print(msgspec.json.encode(answer).decode())
        return
    for item in findings:
        print(f'{item.severity}: {item.entry}: {item.text}')
    if not findings:
        print('no errors found')
    if not compared:
        return
    print()
    if differences:
        output.print_table([msgspec.structs.asdict(it) for it in differences])
    else:
        print('no difference from the version in force')
