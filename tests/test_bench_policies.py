"""The simulated fleet completes all jobs, and repeats itself by seed."""

import msgspec
import pytest

from benchmarks import bench_policies
from benchmarks import fleet_simulation
from benchmarks import load_patterns
from benchmarks import lookahead_cost

PATTERN = {
    'spare_vms': 4,
    'burst_s': 3.0,
    'queues': {
        'a': {'jobs_per_s': 3, 'vms': 4, 'serving_tasks': 4},
        'b': {'jobs_per_s': 1, 'vms': 4, 'serving_tasks': 0},
    },
}


def play(seed):
    simulation = fleet_simulation.Simulation(
        pattern=msgspec.convert(PATTERN, load_patterns.Pattern), seed=seed
    )
    simulation.run()
    return simulation


def test_simulation_completes_all_jobs():
    simulation = play(1)
    results = simulation.results.values()
    assert len(results) > 10
    assert all(item.ended_at_s is not None for item in results)
    assert simulation.moves > 0
    # The tasks that last keep running, each on one worker.
    runs = [
        run
        for worker in simulation.term.fleet.workers.values()
        for run in worker.runs.values()
    ]
    assert len(runs) == 4


def test_simulation_repeats_itself_by_seed():
    assert bench_policies.summarize(play(2)) == bench_policies.summarize(
        play(2)
    )


def test_load_pattern_names_unknown_field(tmp_path):
    path = tmp_path / 'pattern.yaml'
    path.write_text('queues: {a: {jobs_per_s: 1, wide: 3}}')
    with pytest.raises(msgspec.ValidationError, match='wide'):
        bench_policies.load_pattern(path)


def test_patterns_of_the_benchmark_are_valid():
    paths = sorted(bench_policies.PATTERNS.glob('*.yaml'))
    assert paths
    for path in paths:
        assert bench_policies.load_pattern(path).queues


def test_cost_of_reservations_is_measured():
    assert lookahead_cost.measure_pass_ms(16, 40) > 0
