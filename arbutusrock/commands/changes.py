"""Shared by all commands that change the configuration."""

from arbutusrock.commands import client as client_module
from arbutusrock.commands import output

__all__ = ['make_change']


def make_change(
    method, path, *, server, json, why, wait, data=None, headers=None
):
    """Send a change to the daemon and print the result.

    :param json: whether to print JSON.
    :param why: reason, for the audit trail.
    :param wait: whether to wait until it is in force on all members.
    :returns: the daemon's answer.
    """
    client = client_module.create_client(server=server)
    query = {'why': why} if why else {}
    view = client.call(method, path, data=data, headers=headers, query=query)
    if wait and view['version']:
        client.wait_in_force(view['version'], output.print_pending)
        view['pending'] = []
    output.print_change(view, json=json)
    return view
