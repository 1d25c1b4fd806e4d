"""Remedies for slow, stalled and merely long runs."""

import math

import pytest

from arbutusrock.scheduling import stragglers
from arbutusrock.scheduling.stragglers import Remedy


def create_view(
    age_s, percent, stalled_s=0.1, sibling_durations_s=(), **options
):
    return stragglers.RunView(
        age_s=age_s,
        percent=percent,
        stalled_s=stalled_s,
        sibling_durations_s=sibling_durations_s,
        **options,
    )


def test_choose_remedy_ignores_underdeclared_duration():
    """Guards against restarting long runs whose declared duration is short.

    194 such runs were restarted, although their siblings took as long.
    """
    view = create_view(0.96, 12, sibling_durations_s=(7.5, 8.0, 8.2))
    assert stragglers.choose_remedy(view) is Remedy.NONE


def test_choose_remedy_without_siblings_needs_stall():
    assert stragglers.choose_remedy(create_view(3.0, 5)) is Remedy.NONE
    stalled = create_view(3.0, 5, stalled_s=1.5)
    assert stragglers.choose_remedy(stalled) is Remedy.RESTART


def test_choose_remedy_restarts_run_on_slow_worker():
    view = create_view(1.0, 16, sibling_durations_s=(1.0, 1.1, 0.9))
    assert stragglers.choose_remedy(view) is Remedy.RESTART


def test_choose_remedy_copies_speculative_run():
    view = create_view(2.0, 0, stalled_s=2.0, speculative=True)
    assert stragglers.choose_remedy(view) is Remedy.COPY


def test_choose_remedy_ignores_nearly_finished_run():
    view = create_view(2.7, 90, sibling_durations_s=(1.0, 1.0, 1.0))
    assert stragglers.choose_remedy(view) is Remedy.NONE


def test_choose_remedy_leaves_the_tail_where_it_is():
    """Restarted elsewhere it would take as long again."""
    options = {'sibling_durations_s': (1.0, 1.1, 0.9), 'vm_sound': True}
    assert stragglers.choose_remedy(create_view(1.0, 16, **options)) is (
        Remedy.NONE
    )
    stalled = create_view(3.0, 16, stalled_s=1.5, **options)
    assert stragglers.choose_remedy(stalled) is Remedy.RESTART


def test_choose_remedy_leaves_a_slow_vm_soon():
    options = {'vm_speed': 0.2, 'expected_s': 1.0}
    early = create_view(0.4, 8, **options)
    assert stragglers.choose_remedy(early) is Remedy.RESTART
    assert stragglers.choose_remedy(create_view(0.2, 4, **options)) is (
        Remedy.NONE
    )
    nearly_done = create_view(4.5, 90, **options)
    assert stragglers.choose_remedy(nearly_done) is Remedy.NONE
    saved = create_view(4.5, 90, checkpointing=True, **options)
    assert stragglers.choose_remedy(saved) is Remedy.RESTART


REPORT_INTERVAL_S = 0.5


def find_stall(duration_s, estimate_s, hangs_at_s=math.inf):
    """Return when a run that reports whole percents counts as stalled.

    :param hangs_at_s: from when on it makes no progress.
    :returns: age of the run (s); None when it ends without that.
    """
    percent, risen_at_s, rise_s, age_s = 0, 0.0, 0.0, 0.0
    while age_s < duration_s or hangs_at_s < duration_s:
        age_s += REPORT_INTERVAL_S
        done = int(100 * min(age_s, hangs_at_s) / duration_s)
        if done > percent:
            rise_s = (age_s - risen_at_s) / (done - percent)
            percent, risen_at_s = done, age_s
        view = stragglers.RunView(
            age_s=age_s,
            percent=percent,
            stalled_s=age_s - risen_at_s,
            estimate_s=estimate_s,
            rise_s=rise_s,
        )
        if stragglers.is_stalled(view):
            return age_s
    return None


@pytest.mark.parametrize('error', [0.1, 0.5, 1.0, 10.0])
@pytest.mark.parametrize(
    'duration_s', [0.01, 0.64, 5.2, 60.0, 600.0, 3600.0, 36_000.0]
)
def test_long_run_counts_as_stalled_between_two_percents(duration_s, error):
    """Guards against LOST: its VM got nothing else for as long as it ran."""
    assert find_stall(duration_s, duration_s * error) is None


@pytest.mark.parametrize('hangs_at', [0.0, 0.3])
@pytest.mark.parametrize('duration_s', [0.64, 2.1, 5.2])
def test_short_run_that_hangs_is_found_later(duration_s, hangs_at):
    """As long as their estimates say that they are short."""
    hangs_at_s = duration_s * hangs_at
    found_at_s = find_stall(duration_s, duration_s * 1.5, hangs_at_s)
    assert found_at_s - hangs_at_s <= 1.3 + 2 * REPORT_INTERVAL_S


def test_long_run_that_hangs_is_found_in_the_end():
    assert find_stall(600.0, 600.0, 300.0) - 300.0 < 100.0
