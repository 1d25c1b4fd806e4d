"""Replays of owners that have more to start than they can send."""

import heapq

from hypothesis import given
from hypothesis import strategies
import pytest

from arbutusrock.scheduling import order_window

ORDER_TIMEOUT_S = 0.8
MEASUREMENT_INTERVAL_S = 0.1
ROUND_TRIP_S = 0.004
# Tasks that wait and for which there is room, at any time.
TASKS = 1500


def play_owner(order_cost_s, seconds, window):
    """Play an owner that starts as many of endless tasks as it may.

    Sending an order and reading its answer take ``order_cost_s`` each of its
    one processor, which serves what is due in the order in which it came due.

    :param window: :class:`order_window.OrderWindow`; None sends all at once.
    :returns: ``(answered, timed_out)``: numbers of orders.
    """
    now_s, answered, timed_out = 0.0, 0, 0
    queue = [(0.0, 0, 'measure', 0.0)]
    count = 0
    while now_s < seconds:
        if window is None:
            room = TASKS - (len(queue) - 1)
        else:
            room = window.get_room()
        for _ in range(room):
            count += 1
            heapq.heappush(queue, (now_s, count, 'send', now_s))
        if window is not None:
            window.add(room)
        due_s, _, kind, sent_at_s = heapq.heappop(queue)
        began_s = max(now_s, due_s)
        count += 1
        match kind:
            case 'measure':
                now_s = began_s
                if window is not None:
                    window.record_lateness(began_s - due_s)
                heapq.heappush(
                    queue,
                    (now_s + MEASUREMENT_INTERVAL_S, count, 'measure', 0.0),
                )
            case 'send':
                now_s = began_s + order_cost_s
                heapq.heappush(
                    queue, (now_s + ROUND_TRIP_S, count, 'answer', sent_at_s)
                )
            case 'answer':
                now_s = began_s + order_cost_s
                if window is not None:
                    window.remove()
                if seconds / 2 < now_s:
                    late = now_s - sent_at_s > ORDER_TIMEOUT_S
                    timed_out += late
                    answered += not late
    return answered, timed_out


def test_owner_with_too_many_orders_in_flight_gets_no_answer_in_time():
    """The load that the window answers: all orders are sent at once."""
    answered, timed_out = play_owner(0.003, 10.0, None)
    assert timed_out > answered


@pytest.mark.parametrize('order_cost_s', [0.0003, 0.001, 0.003, 0.006])
def test_saturated_owner_gets_its_answers_in_time(order_cost_s):
    window = order_window.OrderWindow()
    answered, timed_out = play_owner(order_cost_s, 10.0, window)
    assert timed_out == 0
    # It stays busy: two costs for each order.
    assert answered >= 0.9 * 5.0 / (2 * order_cost_s)


def test_window_of_owner_that_keeps_up_grows_with_its_orders():
    window = order_window.OrderWindow()
    for _ in range(20):
        window.add(window.get_room())
        window.record_lateness(0.01)
        while window.in_flight:
            window.remove()
    assert window.limit > 5 * order_window.INITIAL_ORDERS


def test_next_answer_asks_for_a_pass_after_a_full_window_has_grown():
    """Orders that had waited went on waiting for a pass without an event."""
    window = order_window.OrderWindow()
    window.add(window.limit)
    window.record_lateness(0.01)
    assert window.get_room() > 1
    assert window.remove()
    assert not window.remove()


@pytest.mark.parametrize('lateness_s', [0.01, 0.3])
def test_answers_ask_for_one_pass_once_there_is_room(lateness_s):
    window = order_window.OrderWindow()
    window.add(window.limit - 1)
    window.record_lateness(lateness_s)
    asked = [window.remove() for _ in range(window.in_flight)]
    assert sum(asked) == (window.limit < order_window.INITIAL_ORDERS)


@given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 60.0), strategies.integers(0, 5000)
        )
    )
)
def test_window_stays_within_its_bounds(steps):
    window = order_window.OrderWindow()
    for lateness_s, orders in steps:
        window.add(min(orders, window.get_room()))
        window.record_lateness(lateness_s)
        assert window.limit >= order_window.MIN_ORDERS
        assert window.limit <= order_window.MAX_ORDERS
        while window.in_flight > window.limit / 2:
            window.remove()
        assert window.get_room() >= window.limit // 2
