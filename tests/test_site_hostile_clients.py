"""Clients that keep no rule end no node, and others are still served."""

import contextlib

import msgspec
import pytest

from examples.standins.site.site import create_step
from tests import crowds
from tests import site_checks
from tests.site_checks import JOB
from tests import test_site_process

pytestmark = pytest.mark.alone

LISTENERS = ('callers', 'readiness', 'metrics')
# The limits of the machine that the node is told.
MEMORY_MB = 150
DESCRIPTORS = 500
# Of these, the platform keeps some for files.
FILE_DESCRIPTORS = 200
LIMITS = f'limits.memoryMb={MEMORY_MB}\nlimits.maxFds={DESCRIPTORS}\n'
# Connections of a crowd that holds many and sends little.
MANY_CONNECTIONS = 400
RELAYED_WATCH = msgspec.msgpack.encode(['watch', 'op', 10**15, 3600.0])


@pytest.fixture
async def site():
    """One pool with two VMs."""
    async with site_checks.open_site({'alpha': 2}) as stand_in:
        yield stand_in


@contextlib.asynccontextmanager
async def run_beside_crowd(site, tmp_path, listener, create_bytes, **options):
    """Run a node beside a crowd; yield the node once the crowd has ended.

    The connections of the crowd are still open then. Memory, descriptors and
    the life of the node are checked at the end.
    """
    node = await test_site_process.start_process(
        tmp_path, site.create_settings_text() + LIMITS
    )
    try:
        serving = await node.wait_for('serving')
        await node.wait_for('this node owns the unit')
        node.address = serving['callers']
        host, _, port = serving[listener].rpartition(':')
        crowd = crowds.Crowd(
            address=(host, int(port)), create_bytes=create_bytes, **options
        )
        async with crowds.ProcessWatch(
            pid=node.process.pid, port=int(port)
        ) as watch:
            await crowd.run()
            yield node
            crowd.leave()
            await serve_ordinary_request(site, node)
            assert watch.peak_bytes < MEMORY_MB * 10**6
            assert watch.max_descriptors < DESCRIPTORS - FILE_DESCRIPTORS
        assert node.process.returncode is None
    finally:
        if node.process.returncode is None:
            node.process.kill()
        await node.process.wait()


async def serve_ordinary_request(site, node):
    """Hand in a job, as often as needed, and wait until it is completed."""

    async def is_accepted():
        with contextlib.suppress(OSError):
            return (
                await site.submit('alpha', JOB, [create_step(2)], node=node)
                == 200
            )

    await site_checks.wait_until(is_accepted, what='the job is accepted')
    await site_checks.wait_state(site, 'completed', node=node)


@pytest.mark.parametrize('listener', LISTENERS)
@pytest.mark.parametrize('flood', crowds.FLOODS)
async def test_flood_outgrows_memory_of_node(site, tmp_path, flood, listener):
    """Bytes that never become a request, or more requests than are served."""
    async with run_beside_crowd(
        site, tmp_path, listener, crowds.FLOODS[flood]
    ):
        pass


@pytest.mark.parametrize('listener', LISTENERS)
@pytest.mark.parametrize(
    'beginning',
    [b'', b'G', b'GET / HTTP/1.1\r\nHost: a\r\n'],
    ids=['nothing', 'one-byte', 'most-of-a-head'],
)
async def test_idle_connections_take_all_descriptors(
    site, tmp_path, listener, beginning
):
    """Connections that never complete a request leave room for others."""
    async with run_beside_crowd(
        site,
        tmp_path,
        listener,
        crowds.send_once(beginning),
        connections=MANY_CONNECTIONS,
    ) as node:
        await serve_ordinary_request(site, node)


@pytest.mark.parametrize('listener', ['callers', 'metrics'])
async def test_bodies_begun_take_all_descriptors(site, tmp_path, listener):
    """Bodies that do not go on leave room for the requests of others."""
    path = b'/relay' if listener == 'metrics' else b'/jobs/00000000000000c3'
    beginning = b'POST %b HTTP/1.1\r\n' % path + (
        b'Host: alpha.example\r\n'
        b'Arbutusrock-Key: key-1\r\n'
        b'Arbutusrock-Deadline-Ms: 3000000\r\n'
        b'Content-Length: 100\r\n\r\n{'
    )
    async with run_beside_crowd(
        site,
        tmp_path,
        listener,
        crowds.send_once(beginning),
        connections=MANY_CONNECTIONS,
    ) as node:
        await serve_ordinary_request(site, node)


async def test_bodies_held_back_outgrow_memory(site, tmp_path):
    """Bodies inside their limit whose last byte never comes."""
    head = (
        b'POST /jobs/00000000000000c3 HTTP/1.1\r\n'
        b'Host: alpha.example\r\n'
        b'Arbutusrock-Key: key-1\r\n'
        b'Arbutusrock-Deadline-Ms: 3000000\r\n'
        b'Content-Length: 262144\r\n\r\n'
    )
    async with run_beside_crowd(
        site,
        tmp_path,
        'callers',
        crowds.send_once(head + b' ' * 262_143),
        connections=MANY_CONNECTIONS,
        total_bytes=MANY_CONNECTIONS * 300_000,
    ) as node:
        await serve_ordinary_request(site, node)


async def test_relayed_waits_take_all_connections_to_the_store(site, tmp_path):
    """Waits of a stranger leave the node its own calls to the store."""
    head = b'POST /relay HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
    async with run_beside_crowd(
        site,
        tmp_path,
        'metrics',
        crowds.send_once(head % len(RELAYED_WATCH) + RELAYED_WATCH),
    ) as node:
        await serve_ordinary_request(site, node)
