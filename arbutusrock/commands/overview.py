"""Commands for the state and the history of the whole fleet."""

import time
from urllib import parse

from arbutusrock.commands import client as client_module
from arbutusrock.commands import output

__all__ = ['declare_gone', 'explain', 'show_audit', 'show_status']

HOUR_S = 3600


def show_status(*, json: bool = False, server: str = ''):
    """Show members, teams, pools and waves.

    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    status = client.call('GET', '/v1/status')
    if json:
        output.print_answer(status, json=True)
        return
    print(f'member {status["member"]}, version {status["version"]}')
    for section in ('members', 'teams', 'pools'):
        print(f'\n{section}')
        output.print_table(status[section])
    print('\nwaves')
    print('\n'.join(status['waves']) or '(none)')


def show_audit(
    *,
    since: float = 24.0,
    vm: str = '',
    wave: str = '',
    subject: str = '',
    json: bool = False,
    server: str = '',
):
    """Show the newest entries of the audit trail.

    :param since: how many hours to look back
    :param vm: only entries of this VM
    :param wave: only entries of this wave
    :param subject: only entries of this kind/name
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    if vm:
        subject = f'vm/{vm}'
    if wave:
        subject = f'wave/{wave}'
    query = {'since_s': str(time.time() - since * HOUR_S)}
    if subject:
        query['subject'] = subject
    output.print_answer(
        client.call('GET', '/v1/audit', query=query),
        json=json,
        columns=['at_s', 'version', 'who', 'action', 'subject', 'why'],
    )


def explain(kind: str, name: str, *, json: bool = False, server: str = ''):
    """Show the present state and the history of one object.

    :param kind: vm, team, job, wave, key, pool, contract or member
    :param name: name of the object; that of a team is CUSTOMER/TEAM
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    found = client.call(
        'GET', f'/v1/explain/{kind}/{parse.quote(name, safe="/")}'
    )
    if json:
        output.print_answer(found, json=True)
        return
    for sentence in found['now']:
        print(sentence)
    print()
    output.print_table(
        found['story'], ['at_s', 'version', 'who', 'action', 'why']
    )


def declare_gone(
    member: str, *, why: str = '', json: bool = False, server: str = ''
):
    """Declare that the VM of a member has certainly stopped running.

    :param member: id of the member, as shown by status
    :param why: reason, for the audit trail
    :param json: print JSON
    :param server: base URL of a daemon's interface for operators; taken from
        ARBUTUSROCK_SERVER when left out
    """
    client = client_module.create_client(server=server)
    query = {'why': why} if why else {}
    output.print_answer(
        client.call('DELETE', f'/v1/members/{member}', query=query),
        json=json,
    )
