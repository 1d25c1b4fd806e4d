"""Health of VMs, rate limits, learned durations and shares.

Covers faulty workers and jobs that can never succeed.
"""

from arbutusrock.scheduling import admission
from arbutusrock.scheduling import estimates
from arbutusrock.scheduling import pacing
from arbutusrock.scheduling import vm_health


def test_vm_health_ignores_one_always_failing_job():
    health = vm_health.VMHealth()
    for number in range(5):
        health.record_failure('vm', 'hopeless', 0.1 * number)
    assert not health.is_excluded('vm', 1.0)
    assert health.is_suspect('vm', 1.0)


def test_vm_health_excludes_vm_after_two_failed_jobs():
    health = vm_health.VMHealth()
    health.record_failure('vm', 'one', 0.0)
    health.record_failure('vm', 'two', 0.0)
    assert health.find_excluded(['vm', 'other'], 1.0) == {'vm'}
    assert not health.is_excluded('vm', vm_health.EXCLUSION_S + 1.0)
    health.record_success('vm')
    assert not health.is_suspect('vm', 1.0)


def test_vm_health_excludes_stalled_vm_temporarily():
    health = vm_health.VMHealth()
    health.record_stall('vm', 0.0)
    assert health.is_excluded('vm', 1.0)
    assert not health.is_excluded('vm', vm_health.EXCLUSION_S + 0.1)


def test_rate_limiter_isolates_accounts():
    limiter = admission.AccountRateLimiter()
    excess = [limiter.check_excess('hot', i / 40, 10) for i in range(40)]
    assert excess.count(False) == 10
    assert not limiter.check_excess('calm', 1.0, 10)


def test_duration_ratio_is_learned_by_queue_and_job():
    estimator = estimates.DurationEstimator()
    for _ in range(200):
        estimator.record_task('queue', 'job', 1.0, 1.5)
    assert abs(estimator.get_duration_ratio('queue', 'other') - 1.5) < 0.1
    estimator.record_task('queue', 'odd', 1.0, 4.0)
    assert estimator.get_duration_ratio('queue', 'odd') > 2.0


def test_choose_share_drops_fast_and_rises_slowly():
    share = 100
    for _ in range(3):
        share = pacing.choose_share(share, [(120, 100)])
    assert share == pacing.MIN_SHARE_PERCENT
    for _ in range(3):
        share = pacing.choose_share(share, [(20, 100), (30, 100)])
    assert share == 45
