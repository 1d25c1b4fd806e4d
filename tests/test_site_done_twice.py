"""Tasks whose end the next owner learns of late do not run again."""

import random

import pytest

from arbutusrock.engine.runs import run_controller
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_owner
from tests.site_checks import wait_state
from tests.site_checks import wait_until
from tests import test_site_process

TASKS = 900
# Ends in one report; a twentieth of what real workers report, so that as many
# reports come from as many times fewer tasks.
REPORTED_ENDS = 25


@pytest.fixture
async def site(monkeypatch):
    """One pool with one VM; the ledger is checked at the end."""
    monkeypatch.setattr(run_controller, 'COMPLETIONS_PER_PAGE', REPORTED_ENDS)
    async with site_checks.open_site(
        {'alpha': 1}, reported_ends=REPORTED_ENDS
    ) as stand_in:
        yield stand_in


@pytest.mark.parametrize('write_s', [0.0, 0.1, 0.3])
@pytest.mark.parametrize('reports', [2, 8])
async def test_next_owner_starts_what_later_reports_show_as_done(
    site, reports, write_s
):
    """Guards against TWICE: only the first report was read before starts.

    The store takes no writes of the first owner, so its worker keeps more
    ends than one report holds.
    """
    await start_nodes(site, 2)
    owner = await wait_owner(site)
    (worker,) = site.workers.values()
    faults = site.store.faults
    faults.paths = frozenset({'/api/rows-tx'})
    steps = [create_step(TASKS, cpu=20)]
    assert await site.submit('alpha', JOB, steps, spec='{"ms": 10}') == 200
    await wait_until(lambda: site.ledger, what='a task has started')
    faults.unresponsive = True
    await wait_until(
        lambda: len(worker.completions) > (reports - 1) * REPORTED_ENDS + 5,
        what='as many ends wait',
    )
    await site.kill_node(owner)
    faults.unresponsive, faults.delay_s = False, write_s
    await wait_owner(site)
    await wait_state(site, 'completed')
    assert len(site.ledger) == TASKS


@pytest.mark.parametrize('seed', range(24))
async def test_killed_owner_leaves_many_ends_at_its_workers(tmp_path, seed):
    """The same with processes, and with reports of their usual size.

    The seed chooses how many tasks end how fast, and how slow the store is
    for the next owner.
    """
    source = random.Random(seed)  # noqa: S311
    tasks = source.randint(1200, 2400)
    run_ms = source.choice([400, 800, 1600])
    async with site_checks.open_site(
        {'alpha': source.randint(1, 2)}, cores=64
    ) as site:
        nodes = []
        try:
            await _play_killed_owner(site, nodes, tmp_path, tasks, run_ms)
            faults = site.store.faults
            faults.unresponsive = False
            faults.delay_s = source.choice([0.0, 0.05, 0.2])
            await wait_state(site, 'completed', node=nodes[1])
        finally:
            for node in nodes:
                if node.process.returncode is None:
                    node.process.kill()
                await node.process.wait()


async def _play_killed_owner(site, nodes, tmp_path, tasks, run_ms):
    """Kill an owner whose workers keep the ends of all that it started."""
    for number in (1, 2):
        folder = tmp_path / f'n{number}'
        folder.mkdir()
        node = await test_site_process.start_process(
            folder, site.create_settings_text(f'n{number}')
        )
        nodes.append(node)
        node.address = (await node.wait_for('serving'))['callers']
        if number == 1:
            await node.wait_for('this node owns the unit')
    steps = [create_step(tasks, cpu=20, estimateMs=run_ms)]
    status = await site.submit(
        'alpha', JOB, steps, spec=f'{{"ms": {run_ms}}}', node=nodes[0]
    )
    assert status == 200
    await wait_until(
        lambda: len(site.ledger) > tasks * 0.8, what='most tasks have started'
    )
    faults = site.store.faults
    faults.paths = frozenset({'/api/rows-tx'})
    faults.unresponsive = True
    await wait_until(
        lambda: not any(worker.running for worker in site.workers.values()),
        what='all tasks that were started have ended',
    )
    nodes[0].process.kill()
    await nodes[0].process.wait()
