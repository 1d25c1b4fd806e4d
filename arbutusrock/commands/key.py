"""Commands for the keys of callers."""

from urllib import parse

import msgspec

from arbutusrock.commands import changes
from arbutusrock.commands import client as client_module
from arbutusrock.commands import output

__all__ = ['grant_key', 'list_keys', 'withdraw_key']


def grant_key(
    customer: str,
    team: str,
    *,
    note: str = '',
    why: str = '',
    wait: bool = False,
    json: bool = False,
    server: str = '',
):
    """Grant a new key to a team and print its secret, which is shown once.

    :param customer: customer of the team
    :param team: name of the team
    :param note: what the key is for
    :param why: reason, for the audit trail
    :param wait: wait until the change is in force on all members
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    body = {'customer': customer, 'team': team, 'note': note}
    view = changes.make_change(
        'POST',
        '/v1/keys',
        data=msgspec.json.encode(body),
        server=server,
        json=json,
        why=why,
        wait=wait,
    )
    if not json:
        print(f'key id: {view["key_id"]}')
        print(f'secret: {view["secret"]}')


def list_keys(*, json: bool = False, server: str = ''):
    """List the keys, without secrets.

    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    output.print_answer(
        client.call('GET', '/v1/objects/key'),
        json=json,
        columns=['key_id', 'customer', 'team', 'withdrawn', 'note', 'version'],
    )


def withdraw_key(
    key_id: str,
    *,
    why: str = '',
    wait: bool = False,
    json: bool = False,
    server: str = '',
):
    """Withdraw a key; it stops working everywhere within seconds.

    :param key_id: id of the key, as shown by key list
    :param why: reason, for the audit trail
    :param wait: wait until the change is in force on all members
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    changes.make_change(
        'DELETE',
        f'/v1/keys/{parse.quote(key_id, safe="")}',
        server=server,
        json=json,
        why=why,
        wait=wait,
    )
