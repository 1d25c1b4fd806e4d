"""Soak test: a short run with a fixed seed, and seeds that failed before."""

import pathlib

import pytest

from soak import runner

SHORT_RUN = (20261204, 8.0, 3)
SEEDS_PATH = pathlib.Path(__file__).with_name('seeds.txt')


def load_regression_runs():
    """Return ``(seed, seconds, nodes)`` of each run in ``seeds.txt``."""
    found = []
    for line in SEEDS_PATH.read_text().splitlines():
        if line and not line.startswith('#'):
            seed, seconds, nodes = line.split()[:3]
            found.append((int(seed), float(seconds), int(nodes)))
    return found


@pytest.mark.parametrize(
    ('seed', 'seconds', 'nodes'), [SHORT_RUN, *load_regression_runs()]
)
async def test_soak_run_has_no_violations(seed, seconds, nodes):
    result = await runner.run_seed(seed, seconds=seconds, nodes=nodes)
    assert not result.broken
    assert result.job_count > 10
    assert len(result.ledger) > 10
