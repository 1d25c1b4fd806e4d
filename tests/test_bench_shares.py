"""Tests of the bounds that the benchmark of shares checks."""

from benchmarks import bench_shares


def create_result(worst_start_s):
    return bench_shares.Result(
        name='case',
        fill=0.96,
        attained={},
        mean=0.98,
        worst=0.9,
        p99_start_s=1.0,
        worst_start_s=worst_start_s,
        errors=0,
        over_slots=0.0,
    )


def test_find_violations_checks_start_of_urgent_requests():
    assert not bench_shares.find_violations(create_result(7.1))
    (violation,) = bench_shares.find_violations(create_result(7.3))
    assert 'urgent' in violation
