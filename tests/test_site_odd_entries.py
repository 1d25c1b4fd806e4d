"""Odd entries of other writers, before real processes.

They are written as rows: deeply nested, with numbers that are too large, with
ports out of range. The processes go on, at the owner, at the others and across
a change of owner, and callers are served.
"""

import pytest

from examples.standins.site import odd_entries
from examples.standins.site.site import create_step
from tests import site_checks
from tests import test_site_process


def find_faults(nodes):
    """Return the log lines of errors that end an ownership or a process."""
    return [
        line
        for node in nodes
        for line in node.lines
        if line.get('exception') or 'ended because' in line['event']
    ]


@pytest.mark.parametrize('over_sound_entries', [False, True])
async def test_odd_entries_end_no_process_and_no_ownership(
    tmp_path, over_sound_entries
):
    """Guards against LOST: each owner ended as it read one odd entry."""
    async with site_checks.open_site({'alpha': 2}) as site:
        nodes = []
        try:
            for name in ('n1', 'n2'):
                folder = tmp_path / name
                folder.mkdir()
                nodes.append(
                    await test_site_process.start_process(
                        folder, site.create_settings_text(name)
                    )
                )
                serving = await nodes[-1].wait_for('serving')
                nodes[-1].address = serving['callers']
            owner = await site_checks.wait_until(
                lambda: next(
                    (x for x in nodes if x.find('this node owns the unit')),
                    None,
                ),
                what='a node owns the unit',
            )
            other = next(node for node in nodes if node is not owner)
            await write_odd_rows(site, over_sound_entries)
            for number, node in enumerate(nodes):
                await run_job(site, node, f'{number + 1:016x}')
            owner.process.kill()
            await other.wait_for('this node owns the unit')
            await write_odd_rows(site, over_sound_entries)
            await run_job(site, other, f'{7:016x}')
            assert other.process.returncode is None
            assert not find_faults(nodes)
        finally:
            for node in nodes:
                if node.process.returncode is None:
                    node.process.kill()
                await node.process.wait()
                await node.reader


async def write_odd_rows(site, over_sound_entries):
    await odd_entries.write_odd_entries(
        site, over_sound_entries=over_sound_entries
    )
    await odd_entries.write_odd_operator_rows(site)


async def run_job(site, node, job):
    """Submit a job at a node, and wait until it is completed."""
    status = await site.submit('alpha', job, [create_step(4)], node=node)
    assert status == 200
    await site_checks.wait_state(site, 'completed', job, node=node)
