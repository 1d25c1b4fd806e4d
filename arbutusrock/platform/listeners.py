"""Opens the sockets of a node before the modules that serve them are loaded.

The load: after a kill of all nodes, callers connect again at once, while a
node with half a core needs about a second to import what it runs. Sockets
that listen meanwhile keep these callers in their backlog, and the node
answers them when it can; without them, the kernel refuses each call.

This module is on the path to the first listening socket, so it imports
nothing but ``os`` and ``socket``.
"""

import os
import socket

__all__ = ['PATH_VARIABLE', 'find_settings_path', 'open_listeners']

PATH_VARIABLE = 'ARBUTUSROCK_BOOT'
DEFAULT_PATH = '/etc/arbutusrock/boot.conf'
LISTEN_BACKLOG = 512
MAX_PORT = 65_535
# Fields with the addresses on which others call a node. The metrics are on
# the last port of the range and need no early socket.
EARLY_FIELDS = {
    'callers': 'listen.frontend',
    'readiness': 'listen.readiness',
}


def find_settings_path():
    """Return the path of the settings file of this process."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def open_listeners(path):
    """Listen on the addresses in a settings file.

    A field that is missing or not valid gets no socket: the settings are
    validated later, and reported as a whole.

    :param path: path of the settings file.
    :returns: listening sockets by the name of their purpose.
    :raises OSError: an address cannot be used.
    """
    try:
        with open(path, encoding='utf-8') as file:
            lines = file.read().splitlines()
    except (OSError, UnicodeDecodeError):
        return {}
    values = dict(
        (part.strip() for part in line.split('=', 1))
        for line in lines
        if '=' in line
    )
    listeners = {}
    for purpose, field in EARLY_FIELDS.items():
        host, _, port = values.get(field, '').rpartition(':')
        if host and port.isdecimal() and int(port) <= MAX_PORT:
            listeners[purpose] = open_listener(host, int(port))
    return listeners


def open_listener(host, port):
    """Return a socket that listens on an address."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
