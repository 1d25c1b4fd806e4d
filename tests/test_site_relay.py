"""Nodes that don't reach the store, on stand-ins of the platform."""

import asyncio

import pytest

from examples.standins import proxy
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import wait_until


@pytest.fixture
async def site():
    """One pool with three VMs."""
    async with site_checks.open_site({'alpha': 3}) as stand_in:
        yield stand_in


async def start_node_behind(site, link):
    """Start an owner, and a node that reaches the store through the link.

    Returns when that node knows its peer.
    """
    await site_checks.start_nodes(site, 1)
    node = await site.start_node('n2', store=f'127.0.0.1:{link.port}')
    await site_checks.wait_configured(node)
    await wait_until(lambda: node.node.peers.addresses, what='peers are known')
    return node


async def serve_job(site, node):
    """Submit a job at a node and wait until that node reports it completed."""
    status = await site.submit('alpha', JOB, [create_step(2)], node=node)
    assert status == 200
    await site_checks.wait_state(site, 'completed', node=node)


async def refuse_connections(link):
    """Reset all connections and close new ones at once."""
    link.faults = proxy.LinkFaults(refuse=True)
    link.reset_all()


async def drop_messages(link):
    """Keep connections open, but drop all requests and answers."""
    link.faults.drop_answers = link.faults.drop_requests = True


@pytest.mark.parametrize('fault', [refuse_connections, drop_messages])
async def test_node_with_direct_path_down_serves_through_peer(
    site, link, fault
):
    node = await start_node_behind(site, link)
    await fault(link)
    await wait_until(
        lambda: node.node.store.direct_path_down,
        what='the direct path is marked down',
    )
    await serve_job(site, node)
    # New versions of the configuration reach the node too.
    await site.configure()
    await wait_until(
        lambda: node.node.configuration.current.version == site.version,
        what='the newest configuration is in force',
    )
    assert node.node.metrics.get_count('store_relayed') > 0
    link.faults = proxy.LinkFaults()
    link.reset_all()
    await wait_until(
        lambda: not node.node.store.direct_path_down,
        what='the direct path is up again',
    )


async def test_store_is_used_again_after_outage_for_all_nodes(site):
    nodes = await site_checks.start_nodes(site, 3)
    await wait_until(
        lambda: all(len(node.node.peers.addresses) == 2 for node in nodes),
        what='peers are known',
    )
    site.store.faults.busy = True
    await wait_until(
        lambda: all(node.node.store.direct_path_down for node in nodes),
        what='all direct paths are marked down',
    )
    status = await site.submit('alpha', JOB, [create_step(1)])
    assert status == 503
    site.store.faults.clear()
    await wait_until(
        lambda: not any(node.node.store.direct_path_down for node in nodes),
        what='the store is back',
    )
    await serve_job(site, nodes[2])


async def test_relay_refuses_malformed_call(site):
    (node,) = await site_checks.start_nodes(site, 1)
    async with site.session.post(
        f'http://{node.internal_address}/relay', data=b'\xc1'
    ) as reply:
        assert reply.status == 400


async def test_owner_with_direct_path_down_stays_owner(site, link):
    node = await site.start_node('n1', store=f'127.0.0.1:{link.port}')
    await site_checks.wait_configured(node)
    await site_checks.wait_owner(site)
    other = await site.start_node('n2')
    await wait_until(lambda: node.node.peers.addresses, what='peers are known')
    epoch = node.node.leader.term.epoch
    await refuse_connections(link)
    await serve_job(site, other)
    await asyncio.sleep(3)
    assert node.is_owner
    assert node.node.leader.term.epoch == epoch
    assert not other.is_owner


async def test_calls_are_refused_at_once_while_store_is_unreachable(
    site,
):
    nodes = await site_checks.start_nodes(site, 2)
    await wait_until(
        lambda: all(node.node.peers.addresses for node in nodes),
        what='peers are known',
    )
    site.store.faults.unresponsive = True
    await wait_until(
        lambda: all(node.node.store.is_unreachable for node in nodes),
        what='the store is unreachable for all nodes',
    )
    for node in nodes:
        status = await site.submit('alpha', JOB, [create_step(1)], node=node)
        assert status == 503
        assert await site.get_job_state('alpha', JOB, node) == 503
    site.store.faults.clear()
    await wait_until(
        lambda: all(node.node.configuration.age_s < 1 for node in nodes),
        what='the store is back',
    )
    assert await site.get_job_state('alpha', JOB, nodes[1]) == 410
    assert not site.ledger
    await serve_job(site, nodes[1])
