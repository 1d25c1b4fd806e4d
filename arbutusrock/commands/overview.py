"""Commands that show and explain: status, audit, explain."""

import time
from urllib import parse

from arbutusrock.commands import client as client_module
from arbutusrock.commands import output

__all__ = ['declare_gone', 'explain', 'show_audit', 'show_status']

HOUR_S = 3600


def show_status(*, json: bool = False, server: str = ''):
    """Show members, teams, pools and waves.

    :param json: print JSON
    :param server: address of a daemon's operators' interface
    """
    client = client_module.create_client(server=server)
    status = client.call('GET', '/v1/status')
    if json:
        output.print_answer(status, json=True)
        return
    print(f'member {status["member"]}, version {status["version"]}')
    for part in ('members', 'teams', 'pools'):
        print(f'\n{part}')
        output.print_table(status[part])
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
    """Show the audit trail.

    :param since: hours to look back
    :param vm: only entries of this VM
    :param wave: only entries of this wave
    :param subject: only entries of this kind/name
    :param json: print JSON
    :param server: address of a daemon's operators' interface
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
    """Tell the story of a vm, team, job, wave, key, pool or member.

    :param kind: vm, team, job, wave, key, pool, contract or member
    :param name: its name; a team is CUSTOMER/TEAM
    :param json: print JSON
    :param server: address of a daemon's operators' interface
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
    """Say that a member's VM certainly does not run any more.

    :param member: member id as shown by status
    :param why: reason, for the audit trail
    :param json: print JSON
    :param server: address of a daemon's operators' interface
    """
    client = client_module.create_client(server=server)
    query = {'why': why} if why else {}
    output.print_answer(
        client.call('DELETE', f'/v1/members/{member}', query=query),
        json=json,
    )
