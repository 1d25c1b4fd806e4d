"""Commands for contracts."""

import difflib
import pathlib

import msgspec
import yaml

from arbutusrock.commands import changes
from arbutusrock.commands import client as client_module
from arbutusrock.commands import output
from arbutusrock import contracts
from arbutusrock import errors

__all__ = [
    'apply_contract',
    'diff_contract',
    'list_contracts',
    'remove_contract',
    'show_contract',
]


def apply_contract(
    file: pathlib.Path,
    *,
    expect: str = '',
    why: str = '',
    wait: bool = False,
    json: bool = False,
    server: str = '',
):
    """Create or replace a contract.

    :param file: contract in YAML
    :param expect: version that the change is based on; the change is refused
        when another one is stored; * accepts any; the present version when
        left out
    :param why: reason, for the audit trail
    :param wait: wait until the change is in force on all members
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    contract = _load(file)
    client = client_module.create_client(server=server)
    if not expect:
        current = _fetch_contract(client, contract.customer)
        expect = str(current['version']) if current else '0'
    changes.make_change(
        'PUT',
        '/v1/contracts',
        data=file.read_bytes(),
        headers={'If-Match': expect},
        server=server,
        json=json,
        why=why,
        wait=wait,
    )


def diff_contract(file: pathlib.Path, *, server: str = ''):
    """Show what applying a contract would change.

    :param file: contract in YAML
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    contract = _load(file)
    client = client_module.create_client(server=server)
    current = _fetch_contract(client, contract.customer) or {}
    current.pop('version', None)
    before = _dump(current).splitlines() if current else []
    after = _dump(msgspec.to_builtins(contract)).splitlines()
    for line in difflib.unified_diff(
        before, after, 'in force', str(file), lineterm=''
    ):
        print(line)


def list_contracts(*, json: bool = False, server: str = ''):
    """List the contracts.

    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    found = client.call('GET', '/v1/objects/contract')
    if not json:
        for item in found:
            item['teams'] = [team['team'] for team in item['teams']]
            item['services'] = [s['service'] for s in item['services']]
    output.print_answer(
        found, json=json, columns=['customer', 'version', 'teams', 'services']
    )


def show_contract(customer: str, *, json: bool = False, server: str = ''):
    """Show the contract of a customer that is in force.

    :param customer: name of the customer
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    found = client.call('GET', f'/v1/objects/contract/{customer}')
    if json:
        output.print_answer(found, json=True)
        return
    version = found.pop('version')
    print(f'# version {version}')
    print(_dump(found), end='')


def remove_contract(
    customer: str,
    *,
    expect: str = '*',
    why: str = '',
    wait: bool = False,
    json: bool = False,
    server: str = '',
):
    """Remove a contract; no more work of its teams is started.

    :param customer: name of the customer
    :param expect: version that the change is based on; the change is refused
        when another one is stored; * accepts any
    :param why: reason, for the audit trail
    :param wait: wait until the change is in force on all members
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    changes.make_change(
        'DELETE',
        f'/v1/contracts/{customer}',
        headers={'If-Match': expect},
        server=server,
        json=json,
        why=why,
        wait=wait,
    )


def _load(file):
    try:
        return contracts.load_contract(file.read_text(), source=str(file))
    except UnicodeDecodeError:
        raise client_module.CommandError(
            f'{file} is not UTF-8',
            status=errors.InvalidDocument.code.exit_status,
        ) from None
    except errors.InvalidDocument as exc:
        raise client_module.CommandError(
            str(exc), status=exc.code.exit_status
        ) from None


def _fetch_contract(client, customer):
    listed = client.call('GET', '/v1/objects/contract')
    return next((c for c in listed if c['customer'] == customer), None)


def _dump(record):
    return yaml.safe_dump(record, sort_keys=False)
