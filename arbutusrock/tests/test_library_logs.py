"""Log records of libraries.

The test starts a process of its own, as a process can configure its logs only
once.
"""

import json
import subprocess
import sys

PROGRAM = """
import logging
from arbutusrock import logs
logs.configure_logs(log_format='json')
logging.getLogger('some.library').error('it failed %s', 'twice')
try:
    raise OSError('lost')
except OSError:
    logging.getLogger('some.library').exception('crashed')
logging.getLogger('some.library').info('a detail')
"""


def test_configure_logs_formats_library_records():
    """A crash that a library logged was written as plain lines of text."""
    completed = subprocess.run(  # noqa: S603
        [sys.executable, '-c', PROGRAM],
        capture_output=True,
        text=True,
        check=True,
    )
    lines = [json.loads(line) for line in completed.stderr.splitlines()]
    assert [line['event'] for line in lines] == ['it failed twice', 'crashed']
    assert {line['logger'] for line in lines} == {'some.library'}
    assert 'OSError: lost' in lines[1]['exception']
