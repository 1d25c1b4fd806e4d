"""Which node an owner passes the unit to."""

import pytest

from arbutusrock.scheduling import successors


def choose(*nodes):
    return successors.choose_successor(
        successors.Candidate(
            name=name, up_s=up_s, claim_delay_s=claim_delay_s, can_own=can_own
        )
        for name, up_s, claim_delay_s, can_own in nodes
    )


@pytest.mark.parametrize(
    ('nodes', 'chosen'),
    [
        ((), ''),
        ((('a', 1.0, 0.0, False),), ''),
        # In a rolling restart a is stopped next.
        ((('a', 90.0, 0.1, True), ('b', 2.0, 0.1, True)), 'b'),
        # The work of an owner needs more than b has.
        ((('a', 90.0, 0.1, True), ('b', 2.0, 0.2, True)), 'a'),
        ((('b', 2.0, 0.1, True), ('a', 2.0, 0.1, True)), 'a'),
    ],
)
def test_unit_is_passed_to_the_node_that_stays_for_longest(nodes, chosen):
    """Guards against owners that last for a moment."""
    assert choose(*nodes) == chosen
