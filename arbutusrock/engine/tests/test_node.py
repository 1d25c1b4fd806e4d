"""Tests of the hand-over before a planned stop.

Failure: the store is away when a node has to stop.
"""

import asyncio
import functools
import types

import pytest

from arbutusrock.engine import node
from arbutusrock.scheduling import successors
from arbutusrock.utils import clocks


async def _wait_forever(*_arguments, **_fields):
    await asyncio.Event().wait()


async def _find_nobody():
    return []


async def test_hand_over_ends_while_store_is_away(monkeypatch):
    """The stop waited for the store, and the process was killed at last."""
    monkeypatch.setattr(node, 'HAND_OVER_TIMEOUT_S', 0.05)
    monkeypatch.setattr(node, 'MAX_SUCCESSOR_WAIT_S', 0.05)
    term = types.SimpleNamespace(
        stopping=False,
        claim_version=7,
        request_flush=lambda: None,
        jobs_loaded=asyncio.Event(),
        handover=None,
    )
    knowledge = types.SimpleNamespace(request_write=lambda: None)
    claims_stopped = []
    stopped = types.SimpleNamespace(
        leader=types.SimpleNamespace(
            term=term,
            state_writer=types.SimpleNamespace(
                knowledge=knowledge,
                wait_until_durable=_wait_forever,
                progress_rows=types.SimpleNamespace(unrecorded=set()),
            ),
        ),
        settings=types.SimpleNamespace(grace_s=6.0),
        peers=types.SimpleNamespace(
            find_candidates=_find_nobody, addresses={'n2': 'h:2'}
        ),
        elector=types.SimpleNamespace(
            release=_wait_forever, stop=lambda: claims_stopped.append(True)
        ),
    )
    stopped._choose_successor = functools.partial(
        node.Node._choose_successor, stopped
    )
    async with asyncio.timeout(1.0):
        await node.Node.hand_over(stopped)
    assert stopped.stopping
    assert term.stopping
    assert claims_stopped


async def test_owner_goes_on_until_another_node_can_own_the_unit(monkeypatch):
    """Guards against a unit without an owner while all others stop."""
    answers = [
        [],
        [successors.Candidate(name='n2', up_s=9.0, can_own=False)],
        [
            successors.Candidate(name='n2', up_s=9.0, can_own=True),
            successors.Candidate(name='n3', up_s=0.2, can_own=True),
            successors.Candidate(name='n4', up_s=0.1, can_own=False),
        ],
    ]
    monkeypatch.setattr(node, 'SUCCESSOR_POLL_S', 0.001)
    term = types.SimpleNamespace(stopping=False)

    async def find_candidates():
        assert not term.stopping
        return answers.pop(0)

    owner = types.SimpleNamespace(
        leader=types.SimpleNamespace(term=term),
        settings=types.SimpleNamespace(grace_s=6.0),
        peers=types.SimpleNamespace(
            find_candidates=find_candidates, addresses={'n2': 'h:2'}
        ),
    )
    assert await node.Node._choose_successor(owner) == 'n3'
    assert not answers


@pytest.mark.parametrize(
    ('addresses', 'grace_s', 'calls'), [({}, 6.0, 1), ({'n2': 'h:2'}, 0.03, 3)]
)
async def test_owner_without_a_successor_does_not_wait_for_long(
    monkeypatch, addresses, grace_s, calls
):
    """It is alone, or has to end within its grace period."""
    monkeypatch.setattr(node, 'SUCCESSOR_POLL_S', 0.005)
    asked = []

    async def find_candidates():
        asked.append(True)
        return []

    owner = types.SimpleNamespace(
        leader=object(),
        settings=types.SimpleNamespace(grace_s=grace_s),
        peers=types.SimpleNamespace(
            find_candidates=find_candidates, addresses=addresses
        ),
    )
    async with asyncio.timeout(1.0):
        assert await node.Node._choose_successor(owner) == ''
    assert 1 <= len(asked) <= calls


@pytest.mark.parametrize('reason', ['stopping', 'owner', 'not configured'])
def test_node_that_cannot_own_the_unit_is_no_candidate(reason):
    asked = types.SimpleNamespace(
        stopping=reason == 'stopping',
        leader=object() if reason == 'owner' else None,
        configuration=types.SimpleNamespace(
            current=None if reason == 'not configured' else object()
        ),
        elector=types.SimpleNamespace(claim_delay_s=0.1),
        _began_at_s=clocks.now_s() - 5.0,
    )
    view = node.Node.describe_candidate(asked)
    assert not view.can_own
    assert view.up_s >= 5.0
    assert view.claim_delay_s == 0.1
