"""Command line of the soak test: ``python -m soak``."""

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
    kind_set: str = 'all',
    keep: str = '',
):
    """Run seeds one after another and check the guarantees of the system.

    :param first: first seed; the others follow by number. 0 draws a random
        one.
    :param seeds: number of seeds to run.
    :param seconds: duration of the load for each seed.
    :param nodes: number of node processes.
    :param kind_set: set of kinds of faults to draw from: ``all``,
        ``seventh`` and so on down to ``first``.
    :param keep: folder for faults, violations and logs of failed seeds; empty
        to keep nothing.
    :returns: 1 when a guarantee was violated, else 0.
    """
    logs.configure_logs(level='error')
    # Raise KeyboardInterrupt on SIGTERM, so that the node processes are killed
    # before this one exits.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    fresh = random.getrandbits(31)  # noqa: S311
    for number in range(seeds):
        seed = (first or fresh) + number
        result = asyncio.run(
            runner.run_seed(
                seed, seconds=seconds, nodes=nodes, kind_set=kind_set
            )
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
