"""What a node imports before its sockets listen."""

import os
import subprocess
import sys

import pytest

from arbutusrock.platform import listeners

EARLY_MODULES = """
import sys
before = set(sys.modules)
from arbutusrock.platform import __main__
print('\\n'.join(sorted(set(sys.modules) - before)))
"""
# All that may be imported on the path to the first listening socket. Each
# further module makes callers wait at each start of each node.
ALLOWED_MODULES = {
    '_socket',
    'array',
    'arbutusrock',
    'arbutusrock.platform',
    'arbutusrock.platform.__main__',
    'arbutusrock.platform.listeners',
    'gc',
    'math',
    'select',
    'selectors',
    'socket',
}
# What `socket` itself needs, where the interpreter has not loaded it yet.
SOCKET_NEEDS = {
    'collections',
    'collections.abc',
    '_collections',
    'copyreg',
    'enum',
    'functools',
    '_functools',
    'itertools',
    'keyword',
    '_operator',
    'operator',
    'reprlib',
    'types',
}


def test_sockets_listen_before_other_modules_are_imported():
    output = subprocess.run(  # noqa: S603
        [sys.executable, '-c', EARLY_MODULES],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    assert set(output.split()) <= ALLOWED_MODULES | SOCKET_NEEDS


def write_settings(tmp_path, text):
    path = tmp_path / 'boot.conf'
    path.write_text(text)
    return path


def test_open_listeners_takes_valid_addresses_only(tmp_path):
    path = write_settings(
        tmp_path,
        'nodeName=n1\nno separator\n# listen.readiness=127.0.0.1:0\n'
        'listen.frontend = 127.0.0.1:0\nlisten.readiness=127.0.0.1:x\n',
    )
    opened = listeners.open_listeners(path)
    assert set(opened) == {'callers'}
    opened['callers'].close()


def test_open_listeners_without_settings_file(tmp_path):
    assert listeners.open_listeners(tmp_path / 'absent') == {}


def test_open_listeners_reports_used_address(tmp_path):
    first = listeners.open_listener('127.0.0.1', 0)
    port = first.getsockname()[1]
    path = write_settings(tmp_path, f'listen.frontend=127.0.0.1:{port}\n')
    with pytest.raises(OSError, match='in use'):
        listeners.open_listeners(path)
    first.close()


HANGUP_WHILE_IMPORTING = """
import os, signal, types
from arbutusrock.platform import __main__

def load_server():
    os.kill(os.getpid(), signal.SIGHUP)
    return types.SimpleNamespace(run=lambda *_args, **_fields: 0)

__main__.load_server = load_server
raise SystemExit(__main__.main())
"""


def test_hangup_while_modules_are_imported_does_not_end_the_node(tmp_path):
    """The default of the signal ended a node that was about to serve."""
    process = subprocess.run(  # noqa: S603
        [sys.executable, '-c', HANGUP_WHILE_IMPORTING],
        check=False,
        env={**os.environ, listeners.PATH_VARIABLE: str(tmp_path / 'absent')},
    )
    assert process.returncode == 0


@pytest.mark.parametrize('port', ['70000', '\u00b2'])
def test_open_listeners_leaves_invalid_port_to_the_validation(tmp_path, port):
    path = write_settings(tmp_path, f'listen.frontend=127.0.0.1:{port}\n')
    assert listeners.open_listeners(path) == {}
