"""Commands for pools, VMs and waves."""

import pathlib
from urllib import parse

import msgspec

from arbutusrock.commands import changes
from arbutusrock.commands import client as client_module
from arbutusrock.commands import output

__all__ = [
    'abort_wave',
    'apply_fleet',
    'drain_vm',
    'list_pools',
    'list_vms',
    'list_waves',
    'move_vm',
    'pause_wave',
    'remove_vm',
    'resume_wave',
    'return_vm',
    'start_wave',
]


def apply_fleet(
    file: pathlib.Path,
    *,
    why: str = '',
    wait: bool = False,
    json: bool = False,
    server: str = '',
):
    """Create or change the pools and VMs that a file describes.

    :param file: description of pools and VMs in YAML
    :param why: reason, for the audit trail
    :param wait: wait until the change is in force on all members
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    changes.make_change(
        'PUT',
        '/v1/fleet',
        data=file.read_bytes(),
        server=server,
        json=json,
        why=why,
        wait=wait,
    )


def list_pools(*, json: bool = False, server: str = ''):
    """List the pools and how much of their budgets is used.

    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    status = client.call('GET', '/v1/status')
    output.print_answer(status['pools'], json=json)


def list_vms(*, pool: str = '', json: bool = False, server: str = ''):
    """List the VMs.

    :param pool: only VMs of this pool
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    found = client.call('GET', '/v1/objects/vm')
    output.print_answer(
        [vm for vm in found if pool in ('', vm['pool'])],
        json=json,
        columns=[
            'vm',
            'pool',
            'state',
            'next_pool',
            'wave',
            'rack',
            'data_centre',
            'slots',
            'address',
            'port',
        ],
    )


def list_waves(*, json: bool = False, server: str = ''):
    """List the maintenance waves.

    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    found = client.call('GET', '/v1/objects/wave')
    if not json:
        for wave in found:
            wave['progress'] = f'{len(wave["done"])}/{len(wave["vms"])}'
    output.print_answer(
        found, json=json, columns=['wave', 'state', 'progress', 'reason']
    )


def drain_vm(
    vm: str,
    *,
    why: str = '',
    wait: bool = False,
    json: bool = False,
    server: str = '',
):
    """Take a VM out of service: no new tasks start, running ones finish.

    :param vm: name of the VM
    :param why: reason, for the audit trail
    :param wait: wait until the change is in force on all members
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    _change_vm(vm, 'drain', server=server, json=json, why=why, wait=wait)


def return_vm(
    vm: str,
    *,
    why: str = '',
    wait: bool = False,
    json: bool = False,
    server: str = '',
):
    """Put a drained VM back into service.

    :param vm: name of the VM
    :param why: reason, for the audit trail
    :param wait: wait until the change is in force on all members
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    _change_vm(vm, 'return', server=server, json=json, why=why, wait=wait)


def move_vm(
    vm: str,
    pool: str,
    *,
    why: str = '',
    wait: bool = False,
    json: bool = False,
    server: str = '',
):
    """Drain a VM and move it to another pool when its tasks have finished.

    :param vm: name of the VM
    :param pool: name of the new pool
    :param why: reason, for the audit trail
    :param wait: wait until the drain is in force on all members
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    action = f'move/{parse.quote(pool, safe="")}'
    _change_vm(vm, action, server=server, json=json, why=why, wait=wait)


def remove_vm(
    vm: str,
    *,
    why: str = '',
    wait: bool = False,
    json: bool = False,
    server: str = '',
):
    """Remove a VM that is drained, or that the platform lists as gone.

    :param vm: name of the VM
    :param why: reason, for the audit trail
    :param wait: wait until the change is in force on all members
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    changes.make_change(
        'DELETE',
        f'/v1/vms/{parse.quote(vm, safe="")}',
        server=server,
        json=json,
        why=why,
        wait=wait,
    )


def start_wave(
    wave: str,
    *vms: str,
    rack: str = '',
    pool: str = '',
    why: str = '',
    wait: bool = False,
    json: bool = False,
    server: str = '',
):
    """Start a maintenance wave over VMs, a rack or a pool.

    :param wave: name of the wave
    :param vms: names of the VMs, when neither rack nor pool is given
    :param rack: all VMs of this rack
    :param pool: all VMs of this pool
    :param why: reason, for the audit trail
    :param wait: wait until the change is in force on all members
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    body = {'wave': wave, 'vms': list(vms), 'rack': rack, 'pool': pool}
    changes.make_change(
        'POST',
        '/v1/waves',
        data=msgspec.json.encode(body),
        server=server,
        json=json,
        why=why,
        wait=wait,
    )


def pause_wave(
    wave: str, *, why: str = '', json: bool = False, server: str = ''
):
    """Pause a wave: no further VM of it is drained.

    :param wave: name of the wave
    :param why: reason, for the audit trail
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    _change_wave(wave, 'pause', server=server, json=json, why=why)


def resume_wave(
    wave: str, *, why: str = '', json: bool = False, server: str = ''
):
    """Continue a paused wave.

    :param wave: name of the wave
    :param why: reason, for the audit trail
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    _change_wave(wave, 'resume', server=server, json=json, why=why)


def abort_wave(
    wave: str, *, why: str = '', json: bool = False, server: str = ''
):
    """Abort a wave.

    Draining VMs return to service, and reboots that have begun are finished.

    :param wave: name of the wave
    :param why: reason, for the audit trail
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    _change_wave(wave, 'abort', server=server, json=json, why=why)


def _change_vm(vm, action, **options):
    path = f'/v1/vms/{parse.quote(vm, safe="")}/{action}'
    changes.make_change('POST', path, **options)


def _change_wave(wave, action, **options):
    path = f'/v1/waves/{parse.quote(wave, safe="")}/{action}'
    changes.make_change('POST', path, wait=False, **options)
