"""A planned stop while a call is open."""

import asyncio
import types
from unittest import mock

from arbutusrock.platform import ingress as ingress_module
from arbutusrock.platform import server


async def test_stop_waits_for_open_call_beyond_the_hand_over(monkeypatch):
    monkeypatch.setattr(server, 'DEREGISTRATION_DELAY_S', 0.0)
    node = mock.Mock(stopping=True, hand_over=mock.AsyncMock())
    ingress = ingress_module.Ingress(node=node)
    released = asyncio.Event()
    response = mock.Mock(status=200)

    async def answer(_request):
        await released.wait()
        return response

    monkeypatch.setattr(ingress, '_answer', answer)
    call = asyncio.ensure_future(ingress.handle(mock.Mock(method='POST')))
    await asyncio.sleep(0)
    stop = asyncio.ensure_future(
        server._shut_down(node, ingress, types.SimpleNamespace(grace_s=6.0))
    )
    await asyncio.sleep(0.05)
    assert node.hand_over.await_count == 1
    assert not stop.done()
    released.set()
    await stop
    assert await call is response
    # The caller opens its next connection to another node.
    response.force_close.assert_called_once_with()
