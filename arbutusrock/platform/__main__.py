"""Runs one node on the platform: ``python -m arbutusrock.platform``.

With ``--check`` it only validates the settings file. The sockets listen
before the modules of the node are imported; :mod:`listeners` says why.
"""

import gc
import os
import sys
import time

from arbutusrock.platform import listeners as listeners_module

__all__ = ['main']

# The node makes and accepts no TLS connections, but its HTTP library parses
# all root certificates of the system when it is imported.
ROOT_CERTIFICATE_VARIABLES = ('SSL_CERT_FILE', 'SSL_CERT_DIR')


def load_server():
    """Import the modules of the node, which takes most of its start."""
    for name in ROOT_CERTIFICATE_VARIABLES:
        os.environ[name] = os.devnull
    # What is imported stays, so that looking for garbage finds none.
    gc.disable()
    from arbutusrock.platform import server

    gc.freeze()
    gc.enable()
    return server


def ignore_hangups():
    """Ignore SIGHUP until the server handles it; by default it ends us."""
    import signal

    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main(arguments=()):
    """Run the node until a signal stops it, or only validate the settings.

    :param arguments: command line; ``--check`` only validates the settings.
    :returns: exit status.
    """
    if '--check' in arguments:
        return load_server().check()
    listeners = listeners_module.open_listeners(
        listeners_module.find_settings_path()
    )
    ignore_hangups()
    listening_cpu_s = time.process_time()
    return load_server().run(listeners, listening_cpu_s=listening_cpu_s)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
