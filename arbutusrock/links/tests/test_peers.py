"""Tests of the links between members."""

import asyncio
import time

from arbutusrock.links import messages
from arbutusrock.links import peers as peers_module
from arbutusrock import metrics


async def test_receiver_ignores_its_cancellation_while_a_message_arrives():
    """Guards against daemons that do not end after SIGTERM.

    The call to receive returned the message and swallowed the cancellation,
    so the receiver waited for the next one, and the stop waited for it.
    """
    receiver, sender = (
        peers_module.Peers(
            address='127.0.0.1',
            port=0,
            max_connections=8,
            metrics=metrics.Metrics(),
        )
        for _ in range(2)
    )
    for number, peers in enumerate((receiver, sender)):
        peers.member_id = f'm{number}'
        peers.start()
    received = []
    receiver.handlers[messages.JobCancelled] = received.append
    message = messages.JobCancelled(sender='m1', job='j')
    sender.set_peers({'m0': ('127.0.0.1', receiver.port)})
    task = asyncio.create_task(receiver.run())
    try:
        async with asyncio.timeout(10.0):
            while not received:
                sender.send('m0', message)
                await asyncio.sleep(0.05)
        assert sender.send('m0', message)
        # The message arrives while this process does not run its loop.
        time.sleep(0.2)  # noqa: ASYNC251
        task.cancel()
        done, _ = await asyncio.wait({task}, timeout=1.0)
        assert done
    finally:
        task.cancel()
        for peers in (sender, receiver):
            peers.stop()
