"""Command line of the soak: ``python -m soak``."""

import asyncio
import json
import pathlib
import random
import signal
import sys

import defopt

from arbutusrock import logs
from soak import runner

__all__ = ['main']


def soak(
    *,
    first: int = 0,
    seeds: int = 10,
    seconds: float = 25.0,
    nodes: int = 4,
    keep: str = '',
):
    """Play seeds one after another and check the promises.

    :param first: first seed; 0 draws fresh ones.
    :param seeds: number of runs.
    :param seconds: length of the load in each run.
    :param nodes: number of real processes.
    :param keep: folder that gets the logs of failed runs.
    :returns: 1 when a promise was broken.
    """
    logs.configure_logs(level='error')
    # Its processes end with it.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    fresh = random.getrandbits(31)  # noqa: S311
    for number in range(seeds):
        seed = (first or fresh) + number
        result = asyncio.run(
            runner.run_seed(seed, seconds=seconds, nodes=nodes)
        )
        kinds = ', '.join(sorted({fault.kind for fault in result.faults}))
        print(
            f'seed {seed}: {result.job_count} jobs, '
            f'{len(result.ledger)} runs, '
            f'{len(result.faults)} faults ({kinds}), '
            f'{len(result.broken)} broken',
            flush=True,
        )
        for line in result.broken[:20]:
            print(f'  {line}', flush=True)
        failed += bool(result.broken)
        if result.broken and keep:
            _save_failed_run(pathlib.Path(keep), result)
    print(f'{seeds - failed} passed, {failed} failed')
    return 1 if failed else 0


def _save_failed_run(folder, result):
    folder.mkdir(parents=True, exist_ok=True)
    view = {
        'seed': result.seed,
        'faults': [str(fault) for fault in result.faults],
        'broken': result.broken,
        'ledger': result.ledger,
        'logs': result.logs,
    }
    path = folder / f'seed-{result.seed}.json'
    path.write_text(json.dumps(view, indent=1))


def main():
    """Run the command line; return the exit status."""
    return defopt.run(soak)


if __name__ == '__main__':
    sys.exit(main())
