"""Commands that query one node of the platform directly."""

from arbutusrock.commands import client as client_module
from arbutusrock.commands import output

__all__ = ['show_node']

POOL_COLUMNS = (
    'pool',
    'workers',
    'usable',
    'evacuated',
    'slow',
    'cores',
    'cores_used',
    'runs',
    'waiting_tasks',
)


def show_node(address: str, *, json: bool = False):
    """Show a node, and its unit when it is the owner of the unit.

    :param address: host:port at which the node serves its metrics
    :param json: print JSON
    """
    client = client_module.Client(server=f'http://{address}', token='')
    view = client.call('GET', '/status')
    if json:
        output.print_answer(view, json=True)
        return
    pools, accounts = view.pop('pools'), view.pop('accounts')
    refused_rows = view.pop('refused_rows', [])
    output.print_answer(view, json=False)
    if view['epoch']:
        print()
        output.print_table(pools, POOL_COLUMNS)
        print()
        output.print_table(accounts)
    if refused_rows:
        print()
        output.print_table(refused_rows)
