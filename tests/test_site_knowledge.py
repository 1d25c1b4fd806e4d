"""What an owner has learned, and the next owner that reads it."""

import base64
import types

import msgspec
import pytest

from arbutusrock.engine.ports import rows
from arbutusrock.engine.state import owner_knowledge
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import OTHER_JOB

ROW_KEY = (rows.TABLE_KNOWLEDGE, rows.OWNER_PART, owner_knowledge.KEY)


@pytest.fixture
async def site():
    """One pool with two VMs."""
    async with site_checks.open_site({'alpha': 2}) as stand_in:
        yield stand_in


def get_ratio(node):
    estimator = node.node.leader.term.duration_estimator
    return estimator.get_duration_ratio('alpha', 'none')


async def learn(site):
    """Complete a job; wait until the owner has stored what it learned."""
    await site_checks.start_nodes(site, 2)
    await site.submit('alpha', JOB, [create_step(4)], spec='{"ms": 500}')
    await site_checks.wait_state(site, 'completed')

    def is_stored():
        value, _ = site.store.rows.get(ROW_KEY, (None, 0))
        return value and b'durations' in base64.b64decode(value)

    await site_checks.wait_until(is_stored, what='the knowledge is stored')


async def replace_owner(site):
    """Kill the owner; return the next one."""
    before = await site_checks.wait_owner(site)
    await site.kill_node(before)
    return await site_checks.wait_owner(site)


async def complete_job(site, owner):
    await site.submit(
        'alpha', OTHER_JOB, [create_step(4)], spec='{"ms": 100}', node=owner
    )
    await site_checks.wait_state(site, 'completed', OTHER_JOB, node=owner)


async def test_next_owner_reads_what_was_learned(site):
    await learn(site)
    owner = await replace_owner(site)
    metrics = owner.node.metrics
    used = metrics.get_count('knowledge_used', (('part', 'durations'),))
    assert used == 1
    await complete_job(site, owner)


async def test_hand_over_passes_what_was_learned(site, monkeypatch):
    """An owner that stops gracefully writes its row, due or not."""
    monkeypatch.setattr(owner_knowledge, 'WRITE_INTERVAL_S', 3600.0)
    await site_checks.start_nodes(site, 2)
    await site.submit('alpha', JOB, [create_step(4)], spec='{"ms": 50}')
    await site_checks.wait_state(site, 'completed')
    assert ROW_KEY not in site.store.rows
    before = await site_checks.wait_owner(site)
    await before.node.hand_over()
    owner = await site_checks.wait_until(
        lambda: next(
            (node for node in site.nodes if node.is_owner and node != before),
            None,
        ),
        what='the other node owns the unit',
    )
    await site_checks.wait_until(
        lambda: owner.node.metrics.get_count(
            'knowledge_used', (('part', 'durations'),)
        ),
        what='the knowledge is used',
    )


def tear(value):
    return value[: len(value) // 2]


def set_later_version(value):
    return msgspec.msgpack.encode(
        {**msgspec.msgpack.decode(value), 'version': 99}
    )


def make_old(value):
    return msgspec.msgpack.encode(
        {**msgspec.msgpack.decode(value), 'written_unix_s': 1e9}
    )


def garble(value):
    return bytes(byte ^ 0xFF for byte in value)


@pytest.mark.parametrize('change', [tear, garble, set_later_version, make_old])
async def test_next_owner_works_with_unusable_row(site, change):
    await learn(site)
    owner = await site_checks.wait_owner(site)
    owner.node.leader.state_writer.knowledge = types.SimpleNamespace(
        create_due_rows=list
    )
    value, version = site.store.rows[ROW_KEY]
    changed = base64.b64encode(change(base64.b64decode(value))).decode()
    site.store.rows[ROW_KEY] = (changed, version)
    owner = await replace_owner(site)
    metrics = owner.node.metrics
    used = metrics.get_count('knowledge_used', (('part', 'durations'),))
    assert used == 0
    assert get_ratio(owner) == 1.0
    await complete_job(site, owner)
