"""Learned durations when declared durations are wrong in both directions."""

import random

import pytest

from arbutusrock.scheduling import estimates


def test_duration_ratio_of_queue_is_unbiased():
    """Guards against a bias of the sum of estimates.

    The sums were 28% too high, and pools were too large by as much.
    """
    draw = random.Random(7)
    estimator = estimates.DurationEstimator()
    tasks = []
    for number in range(4000):
        true_s = draw.lognormvariate(0.0, 0.5)
        declared_s = true_s * draw.lognormvariate(0.0, 0.5)
        estimator.record_task('q', f'job-{number}', declared_s, true_s)
        tasks.append((declared_s, true_s))
    ratio = estimator.get_duration_ratio('q', 'new')
    estimated = sum(declared_s * ratio for declared_s, _ in tasks)
    true = sum(true_s for _, true_s in tasks)
    assert estimated == pytest.approx(true, rel=0.15)


def test_duration_ratio_is_learned_by_job():
    estimator = estimates.DurationEstimator()
    for _ in range(9):
        estimator.record_task('q', 'other', 1.0, 1.0)
    for _ in range(9):
        estimator.record_task('q', 'slow', 1.0, 3.0)
    assert estimator.get_duration_ratio('q', 'slow') > 2.5
    assert estimator.get_duration_ratio('q', 'other') < 1.5
