"""Soak test: a short run with a fixed seed, and seeds that failed before."""

import pathlib

import pytest

from soak import runner

SHORT_RUN = (20261204, 8.0, 3, 'first')
# Draws deadly tasks, workers that shrink and kills of the owner.
CRASH_RUN = (20261909, 12.0, 3, 'second')
# Draws evacuations that overlap, kills of the owner and a silent store.
EVACUATION_RUN = (7633, 14.0, 4, 'third')
# Draws workers that are silent but registered, and kills of the owner.
SILENCE_RUN = (8238, 14.0, 4, 'fourth')
# Draws workers that reboot, odd entries and kills of the owner.
REBOOT_RUN = (9337, 14.0, 4, 'sixth')
# Draws data centres that are cut off with the owner and part of the workers.
PARTITION_RUN = (9632, 14.0, 4, 'seventh')
SEEDS_PATH = pathlib.Path(__file__).with_name('seeds.txt')


def load_regression_runs():
    """Return ``(seed, seconds, nodes, kind_set)`` of each listed run."""
    found = []
    for line in SEEDS_PATH.read_text().splitlines():
        if line and not line.startswith('#'):
            seed, seconds, nodes, kind_set = line.split()[:4]
            found.append((int(seed), float(seconds), int(nodes), kind_set))
    return found


@pytest.mark.parametrize(
    ('seed', 'seconds', 'nodes', 'kind_set'),
    [
        SHORT_RUN,
        CRASH_RUN,
        EVACUATION_RUN,
        SILENCE_RUN,
        REBOOT_RUN,
        PARTITION_RUN,
        *load_regression_runs(),
    ],
)
async def test_soak_run_has_no_violations(seed, seconds, nodes, kind_set):
    result = await runner.run_seed(
        seed, seconds=seconds, nodes=nodes, kind_set=kind_set
    )
    assert not result.broken
    assert result.job_count > 10
    assert len(result.ledger) > 10
