"""Replays of refused callers that come back to a store that serves again."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from arbutusrock.scheduling import return_times
from arbutusrock.scheduling.return_times import choose_retry_after_s
from arbutusrock.scheduling.return_times import Trouble


@given(
    trouble=st.sampled_from(Trouble),
    lasted_s=st.floats(0.0, 1000.0),
    left_s=st.none() | st.floats(-1.0, 1000.0),
    job_id=st.text('0123456789abcdef', max_size=16),
)
def test_hint_is_true_and_within_the_callers_time(
    trouble, lasted_s, left_s, job_id
):
    caller = {'lasted_s': lasted_s, 'left_s': left_s, 'job_id': job_id}
    hint_s = choose_retry_after_s(trouble, **caller)
    assert isinstance(hint_s, int)
    assert 1 <= hint_s <= return_times.MAX_RETRY_AFTER_S
    assert hint_s == choose_retry_after_s(trouble, **caller)
    if left_s is not None and hint_s > 1:
        # Two more tries are left to a caller that does as it is told.
        assert 2 * hint_s <= left_s


def test_callers_with_time_do_not_return_all_at_once():
    """A thousand callers are refused in the second second of an outage."""
    hints = [
        choose_retry_after_s(
            Trouble.STORE_AWAY,
            lasted_s=2.0,
            left_s=60.0,
            job_id=f'{number:016x}',
        )
        for number in range(1000)
    ]
    for hint_s in (2, 3, 4):
        assert 0.2 < hints.count(hint_s) / 1000 < 0.47


@pytest.mark.parametrize(
    'trouble', [Trouble.NODE_CUT_OFF, Trouble.NODE_NOT_READY]
)
def test_callers_of_one_bad_node_try_another_one_soon(trouble):
    """However long the node is cut off, the other nodes serve."""
    assert choose_retry_after_s(trouble, lasted_s=60.0, left_s=60.0) == 1


def test_hint_grows_with_the_outage():
    hints = [
        choose_retry_after_s(Trouble.STORE_AWAY, lasted_s=s, left_s=60.0)
        for s in (0.2, 1.6, 3.0, 8.0)
    ]
    assert hints == [1, 2, 3, 4]


def test_busy_wait_leaves_time_for_another_try():
    assert return_times.choose_busy_wait_s(-1.0) == 0.0
    for left_s in (0.1, 0.5, 3.0, 60.0):
        wait_s = return_times.choose_busy_wait_s(left_s)
        assert 0 < wait_s <= left_s / 2
