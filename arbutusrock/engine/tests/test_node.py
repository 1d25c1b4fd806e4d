"""Tests of the hand-over before a planned stop.

Failure: the store is away when a node has to stop.
"""

import asyncio
import types

from arbutusrock.engine import node


async def _wait_forever(*_arguments, **_fields):
    await asyncio.Event().wait()


async def test_hand_over_ends_while_store_is_away(monkeypatch):
    """The stop waited for the store, and the process was killed at last."""
    monkeypatch.setattr(node, 'HAND_OVER_TIMEOUT_S', 0.05)
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
        elector=types.SimpleNamespace(
            release=_wait_forever, stop=lambda: claims_stopped.append(True)
        ),
    )
    async with asyncio.timeout(1.0):
        await node.Node.hand_over(stopped)
    assert stopped.stopping
    assert term.stopping
    assert claims_stopped
