"""Quantiles of durations, of new runs and of those that last longer."""

import random

from hypothesis import given
from hypothesis import strategies

from arbutusrock.scheduling import durations
from arbutusrock.scheduling import estimates


def create_distribution():
    """Return one of tasks of which one in thirty takes seven times as long."""
    own = random.Random(1)  # noqa: S311
    distribution = durations.RatioDistribution()
    for _ in range(2000):
        ratio = own.lognormvariate(0, 0.2)
        distribution.record(ratio * (7 if own.random() < 1 / 30 else 1))
    return distribution


def test_tail_shows_in_high_quantile_only():
    distribution = create_distribution()
    assert 0.8 < distribution.get_quantile(0.5) < 1.3
    assert distribution.get_quantile(0.9) < 1.7
    assert distribution.get_quantile(0.99) > 5


def test_run_that_outlasts_the_rest_is_one_of_the_tail():
    distribution = create_distribution()
    assert distribution.get_quantile(0.5, beyond=2.5) > 4


@given(
    strategies.lists(strategies.floats(0.01, 100), max_size=30),
    strategies.floats(0, 40),
)
def test_quantiles_grow_and_never_lie_before_what_has_passed(ratios, beyond):
    distribution = durations.RatioDistribution()
    for ratio in ratios:
        distribution.record(ratio)
    quantiles = [
        distribution.get_quantile(fraction, beyond=beyond)
        for fraction in (0.1, 0.5, 0.9, 1.0)
    ]
    assert quantiles == sorted(quantiles)
    assert quantiles[0] >= beyond


def test_estimator_learns_spread_around_the_ratio_of_the_job():
    estimator = estimates.DurationEstimator()
    prior_s = estimator.get_duration_quantile('q', 'j', 2.0, 0.9)
    assert 3.0 < prior_s < 5.0
    for _ in range(300):
        estimator.record_task('q', 'j', 2.0, 4.0)
    assert 3.9 < estimator.get_duration_quantile('q', 'j', 2.0, 0.9) < 5.0
    assert (
        estimator.get_duration_quantile('q', 'j', 2.0, 0.5, survived_s=9.0)
        >= 9.0
    )
