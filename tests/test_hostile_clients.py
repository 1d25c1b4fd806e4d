"""Clients that keep no rule end no daemon, and others are still served."""

import contextlib

import aiohttp
import pytest

from examples.standins import fleet as fleet_module
from tests import crowds
from tests import harness

pytestmark = pytest.mark.alone

HTTP_LISTENERS = ('callers', 'operators')
LISTENERS = (*HTTP_LISTENERS, 'peers')
# Memory of the machines that the platform has for such a process.
MAX_MEMORY_BYTES = 300 * 10**6
# Descriptors that the process may open, and those that it may use.
DESCRIPTORS = 300
MAX_USED_DESCRIPTORS = 250
MANY_CONNECTIONS = 400
BODY_BYTES = 8 << 20
# What a peer sends first: the protocol's name, version 0, a push socket.
PEER_GREETING = b'\x00SP\x00\x00\x50\x00\x00'
MESSAGE_BYTES = 8 << 20


def _send_messages():
    """Yield messages of the largest size that nobody can decode."""
    yield PEER_GREETING
    while True:
        yield MESSAGE_BYTES.to_bytes(8, 'big')
        yield b'\xc1' * MESSAGE_BYTES


def _withhold_last_byte():
    """Yield a message of the largest size, but for its last byte."""
    yield PEER_GREETING + MESSAGE_BYTES.to_bytes(8, 'big')
    yield b'\xc1' * (MESSAGE_BYTES - 1)


PEER_FLOODS = {
    'messages-without-end': _send_messages,
    'messages-held-back': _withhold_last_byte,
    'requests': crowds.FLOODS['requests-without-reading-answers'],
    'noise': crowds.FLOODS['noise'],
}


@contextlib.asynccontextmanager
async def run_beside_crowd(fleet, listener, create_bytes, **options):
    """Run a daemon beside a crowd; yield it once the crowd has ended.

    The connections of the crowd are still open then. Memory, descriptors and
    the life of the daemon are checked at the end.
    """
    (daemon,) = await harness.start_fleet(
        fleet,
        daemons=1,
        workers=1,
        max_descriptors=DESCRIPTORS,
        limits={'body_bytes': BODY_BYTES},
    )
    crowd = crowds.Crowd(
        address=('127.0.0.1', daemon.ports[listener]),
        create_bytes=create_bytes,
        **options,
    )
    async with crowds.ProcessWatch(
        pid=daemon.process.pid, port=daemon.ports[listener]
    ) as watch:
        await crowd.run()
        yield daemon
        crowd.leave()
        await serve_ordinary_request(fleet, daemon)
        assert watch.peak_bytes < MAX_MEMORY_BYTES
        assert watch.max_descriptors < MAX_USED_DESCRIPTORS
    assert daemon.process.returncode is None


async def serve_ordinary_request(fleet, daemon):
    """Send a request, as often as needed, until it is answered."""
    key = fleet.keys[('pesajes', 'auction')]

    async def is_served():
        with contextlib.suppress(OSError, aiohttp.ClientError):
            reply = await fleet.request(daemon, 'records', key=key)
            return reply.status == 200

    await fleet_module.wait_for(is_served)


@pytest.mark.parametrize('listener', HTTP_LISTENERS)
@pytest.mark.parametrize('flood', crowds.FLOODS)
async def test_flood_outgrows_memory_of_daemon(fleet, flood, listener):
    """Bytes that never become a request, or more requests than are served."""
    async with run_beside_crowd(fleet, listener, crowds.FLOODS[flood]):
        pass


@pytest.mark.parametrize('flood', PEER_FLOODS)
async def test_flood_of_peer_messages_outgrows_memory(fleet, flood):
    """Messages of strangers at the address of the peers."""
    async with run_beside_crowd(fleet, 'peers', PEER_FLOODS[flood]):
        pass


@pytest.mark.parametrize('listener', LISTENERS)
@pytest.mark.parametrize(
    'beginning',
    [b'', b'G', PEER_GREETING],
    ids=['nothing', 'one-byte', 'greeting'],
)
async def test_idle_connections_take_all_descriptors(
    fleet, listener, beginning
):
    """Connections that never complete a request leave room for others."""
    async with run_beside_crowd(
        fleet,
        listener,
        crowds.send_once(beginning),
        connections=MANY_CONNECTIONS,
    ) as daemon:
        await serve_ordinary_request(fleet, daemon)


async def test_bodies_held_back_outgrow_memory(fleet):
    """Bodies of jobs, inside their limit, whose last byte never comes."""

    def send_body():
        key = fleet.keys[('pesajes', 'auction')]
        head = (
            'POST /services/records/ HTTP/1.1\r\nHost: a\r\n'
            f'Authorization: Bearer {key}\r\nPrefer: respond-async\r\n'
            f'Content-Length: {BODY_BYTES}\r\n\r\n'
        )
        yield head.encode()
        for _ in range(127):
            yield b' ' * (BODY_BYTES // 128)
        yield b' ' * (BODY_BYTES // 128 - 1)

    async with run_beside_crowd(fleet, 'callers', send_body) as daemon:
        await serve_ordinary_request(fleet, daemon)
