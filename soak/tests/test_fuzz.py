"""A short run of the fuzzer with a fixed seed."""

from soak import fuzz

EXAMPLES, SEED = 6, 20261207


def test_odd_jobs_and_entries_harm_nobody_else():
    fuzz.run(EXAMPLES, seed=SEED)
    assert fuzz.COUNTS['probe'] >= 2 * EXAMPLES
