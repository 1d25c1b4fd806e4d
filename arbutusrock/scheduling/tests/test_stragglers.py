"""Remedies for slow, stalled and merely long runs."""

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
