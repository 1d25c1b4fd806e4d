"""Replays of an owner whose passes hold its event loop up."""

import heapq
from unittest import mock

import pytest

from arbutusrock.engine.term import owner_load
from arbutusrock.scheduling import order_window

ORDER_TIMEOUT_S = 0.8
MEASUREMENT_INTERVAL_S = 0.1
ROUND_TRIP_S = 0.004
SECONDS = 20.0


def play_owner(pass_s, order_cost_s):
    """Play an owner that may start as many of endless tasks as it orders.

    It orders them in passes that take ``pass_s``, with pauses as those of the
    dispatcher. Sending an order and reading its answer take ``order_cost_s``
    each.

    :returns: ``(answered, timed_out)``: numbers of orders in the second half.
    """
    load = owner_load.OwnerLoad(metrics=mock.Mock())
    now_s, answered, timed_out, count = 0.0, 0, 0, 1
    queue = [(0.0, 0, 'measure', 0.0), (0.0, 1, 'pass', 0.0)]
    while now_s < SECONDS:
        due_s, _, kind, sent_at_s = heapq.heappop(queue)
        began_s = now_s = max(now_s, due_s)
        match kind:
            case 'measure':
                load.record_lateness(now_s - due_s, now_s)
                due = [(now_s + MEASUREMENT_INTERVAL_S, kind, 0.0)]
            case 'pass':
                room = load.orders.get_room()
                now_s += pass_s if room else 0.0
                load.record_part(began_s, now_s)
                load.orders.add(room)
                pause_s = min(0.1, 3 * pass_s)
                if load.is_behind:
                    pause_s = max(pause_s, pass_s)
                due = [
                    *[(now_s, 'send', now_s)] * room,
                    (now_s + pause_s, kind, 0.0),
                ]
            case 'send':
                now_s += order_cost_s
                due = [(now_s + ROUND_TRIP_S, 'answer', sent_at_s)]
            case 'answer':
                now_s += order_cost_s
                load.orders.remove()
                late = now_s - sent_at_s > ORDER_TIMEOUT_S
                timed_out += late and now_s > SECONDS / 2
                answered += not late and now_s > SECONDS / 2
                due = []
        for due_s, kind, sent_at_s in due:
            count += 1
            heapq.heappush(queue, (due_s, count, kind, sent_at_s))
    return answered, timed_out


@pytest.mark.parametrize('order_cost_s', [0.0003, 0.001, 0.003, 0.006])
@pytest.mark.parametrize('pass_s', [0.05, 0.2, 0.3, 0.5])
def test_owner_with_long_passes_goes_on_sending_orders(pass_s, order_cost_s):
    """Passes of 0.2 s left it 36 orders a second of over 1,000."""
    answered, timed_out = play_owner(pass_s, order_cost_s)
    assert timed_out == 0
    # It has at least a third of its time for orders.
    assert answered >= SECONDS / 2 / 3 / (2 * order_cost_s)


def test_lateness_that_orders_cause_beside_a_pass_narrows_the_window():
    load = owner_load.OwnerLoad(metrics=mock.Mock())
    # One part has ended before the timer was due, one lasted for 0.25 s.
    load.record_part(9.0, 9.25)
    load.record_part(9.75, 10.0)
    load.record_lateness(0.5, 10.0)
    assert load.orders.limit == int(0.6 * order_window.INITIAL_ORDERS)
    assert load.is_behind
    load.record_part(10.0, 10.5)
    load.record_lateness(0.5, 10.5)
    assert load.orders.limit == int(0.6 * order_window.INITIAL_ORDERS)
