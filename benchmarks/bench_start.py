"""Measures the processor time of a node's start, by stage.

    python -m benchmarks.bench_start

A node with half a core spends twice this time before callers reach it. The
bounds are shares of the whole start, so they hold on any machine.
"""

import argparse
import pathlib
import statistics
import subprocess
import sys
import tempfile

__all__ = ['measure_start', 'main']

# Greatest share of the start that may pass before the sockets listen.
MAX_LISTENING_SHARE = 1 / 3
# Greatest processor time of the whole start, as a multiple of what the HTTP
# library alone takes with all root certificates.
MAX_START_RATIO = 1.5
DEFAULT_RUNS = 7

LIBRARY_CODE = """
import time
import aiohttp.web
print(time.process_time())
"""
START_CODE = """
import sys, time
from arbutusrock.platform import __main__
from arbutusrock.platform import listeners
assert listeners.open_listeners(sys.argv[1])
print(time.process_time())
__main__.load_server()
print(time.process_time())
"""
SETTINGS = 'listen.frontend=127.0.0.1:0\nlisten.readiness=127.0.0.1:0\n'


def run_code(code, *arguments):
    """Run code in a new interpreter; return the numbers that it prints."""
    output = subprocess.run(  # noqa: S603
        [sys.executable, '-c', code, *arguments],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    return [float(line) for line in output.split()]


def measure_start(runs):
    """Return medians of processor times (s).

    :param runs: how often each is measured.
    :returns: ``(listening_s, loaded_s, library_s)``.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'boot.conf'
        path.write_text(SETTINGS)
        samples = [
            (*run_code(START_CODE, str(path)), *run_code(LIBRARY_CODE))
            for _ in range(runs)
        ]
    return tuple(
        statistics.median(column) for column in zip(*samples, strict=True)
    )


def main(arguments=None):
    """Print the times; return 1 when a bound is exceeded."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--runs', type=int, default=DEFAULT_RUNS)
    options = parser.parse_args(arguments)
    listening_s, loaded_s, library_s = measure_start(options.runs)
    share, ratio = listening_s / loaded_s, loaded_s / library_s
    print(
        f'listening after {listening_s:.3f} s of processor time, '
        f'loaded after {loaded_s:.3f} s, library alone {library_s:.3f} s'
    )
    print(f'share {share:.3f}, bound {MAX_LISTENING_SHARE:.3f}')
    print(f'ratio {ratio:.2f}, bound {MAX_START_RATIO:.2f}')
    return int(share > MAX_LISTENING_SHARE or ratio > MAX_START_RATIO)


if __name__ == '__main__':
    sys.exit(main())
