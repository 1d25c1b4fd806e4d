"""Faults of nodes, store and workers, on stand-ins of the platform."""

import asyncio

import pytest

from arbutusrock.engine.ownership import ownership
from arbutusrock.engine.state import retention
from arbutusrock.utils import clocks
from examples.standins.site.site import create_step
from tests import site_checks
from tests.site_checks import JOB
from tests.site_checks import OTHER_JOB
from tests.site_checks import start_nodes
from tests.site_checks import wait_owner
from tests.site_checks import wait_state
from tests.site_checks import wait_until

# A task with this spec runs until it is stopped.
LASTING_SPEC = '{"lasts": 1}'
LONG_SPEC = '{"ms": 1500}'
# Paths that the faults of a worker apply to.
START_PATHS = frozenset({'/api/run-start'})
HOLD_PATHS = frozenset({'/api/hold'})


@pytest.fixture
async def site():
    """One pool with three VMs."""
    async with site_checks.open_site({'alpha': 3}) as stand_in:
        yield stand_in


def count_running(site):
    """Return the number of runs that the workers have now."""
    return sum(len(worker.running) for worker in site.workers.values())


async def test_new_owner_adopts_running_tasks(site):
    nodes = await start_nodes(site, 2)
    lasting = create_step(3, longRunning=True, mayMiss=1)
    await site.submit('alpha', JOB, [lasting], spec=LASTING_SPEC)
    await site.submit('alpha', '0' * 16, [create_step(3)], spec=LONG_SPEC)
    await wait_until(lambda: len(site.ledger) == 6, what='all tasks start')
    owner = next(node for node in nodes if node.is_owner)
    await site.kill_node(owner)
    await wait_owner(site)
    await wait_state(site, 'completed', '0' * 16)
    assert len(site.ledger) == 6
    assert count_running(site) == 3


async def test_new_owner_does_not_repeat_tasks_with_lost_completions(site):
    """The owner is killed before completions become durable.

    The store refuses progress writes, but the owner starts the second step all
    the same. The new owner must learn of the first step's completions from the
    workers, instead of running its tasks again.
    """
    nodes = await start_nodes(site, 2)
    steps = [create_step(2), create_step(2, after=[0])]
    spec = '{"ms": 400}'
    await site.submit('alpha', JOB, steps, spec=spec)
    await wait_until(lambda: len(site.ledger) == 2, what='step 0 starts')
    site.store.faults.busy = True
    await wait_until(lambda: len(site.ledger) == 4, what='step 1 starts')
    owner = next(node for node in nodes if node.is_owner)
    await site.kill_node(owner)
    site.store.faults.clear()
    await wait_owner(site)
    await wait_state(site, 'completed')
    assert len(site.ledger) == 4


async def test_restarted_owner_claims_without_heartbeat_timeout(
    site, monkeypatch
):
    await start_nodes(site, 1)
    # The new incarnation would wait this long for another owner.
    monkeypatch.setattr(ownership, 'HEARTBEAT_TIMEOUT_S', 1000.0)
    await site.kill_node(site.nodes[0])
    await site.start_node('n1')
    await wait_owner(site)


async def test_unresponsive_worker_loses_its_lease(site):
    await start_nodes(site, 1, longest_lease_s=1.0)
    await site.submit(
        'alpha', JOB, [create_step(1, longRunning=True)], spec=LASTING_SPEC
    )
    await wait_until(lambda: site.ledger, what='the task starts')
    worker = next(item for item in site.workers.values() if item.running)
    worker.faults.unresponsive = True
    await wait_until(
        lambda: len(site.ledger) == 2, what='the task starts again'
    )
    assert site.ledger[0].outcome == 'lapsed'


async def test_late_start_order_does_not_repeat_a_task(site):
    """Workers carry out start orders late and don't answer them.

    The owner sends the tasks again meanwhile. Each must be done just once.
    """
    await start_nodes(site, 1)
    for worker in site.workers.values():
        worker.faults.paths = START_PATHS
        worker.faults.execution_delay_s = 1.5
    await site.submit('alpha', JOB, [create_step(3)], spec='{"ms": 300}')
    await asyncio.sleep(0.3)
    for worker in site.workers.values():
        worker.faults.clear()
    await wait_state(site, 'completed')
    await asyncio.sleep(1.5)
    done = [line for line in site.ledger if line.outcome == 'done']
    assert len(done) == 3


async def test_submit_with_lost_store_answers_creates_one_job(site):
    """The store carries the write out, but its answer is lost."""
    await start_nodes(site, 1)
    site.store.faults.lose_answers = True
    submitted = asyncio.ensure_future(
        site.submit('alpha', JOB, [create_step(2)])
    )
    await asyncio.sleep(0.2)
    site.store.faults.clear()
    assert await submitted == 200
    await wait_state(site, 'completed')
    assert len(site.ledger) == 2


async def test_refused_job_never_runs(site):
    (node,) = await start_nodes(site, 1)
    site.store.faults.busy = True
    status, _ = await site.call(
        'POST', 'alpha', JOB, body={'spec': '', 'steps': [create_step(1)]}
    )
    assert status == 503
    site.store.faults.clear()
    await wait_until(
        lambda: node.node.configuration.age_s < 1, what='the store is back'
    )
    assert await site.get_job_state('alpha', JOB) == 410
    assert not site.ledger


async def test_stored_job_is_never_refused_as_not_run(site):
    """A stored job is sent again while the node cannot serve.

    503 means that a job never runs, which is not true of this one.
    """
    (node,) = await start_nodes(site, 1)
    body = {'spec': '', 'steps': [create_step(1)]}
    assert (await site.call('POST', 'alpha', JOB, body=body))[0] == 200
    site.store.faults.busy = True
    assert (await site.call('POST', 'alpha', JOB, body=body))[0] == 200
    site.store.faults.unresponsive = True
    await wait_until(
        lambda: node.node.store.is_unreachable, what='the store is silent'
    )
    assert (await site.call('POST', 'alpha', JOB, body=body))[0] == 504
    site.store.faults.clear()
    await wait_state(site, 'completed')
    assert len(site.ledger) == 1


async def test_job_continues_while_store_is_down(site):
    await start_nodes(site, 1)
    steps = [create_step(2), create_step(2, after=[0])]
    await site.submit('alpha', JOB, steps, spec='{"ms": 300}')
    await wait_until(lambda: len(site.ledger) == 2, what='step 0 starts')
    site.store.faults.unresponsive = True
    await wait_until(
        lambda: sum(line.outcome == 'done' for line in site.ledger) == 4,
        what='all tasks are done',
    )
    site.store.faults.clear()
    await wait_state(site, 'completed')


async def test_store_is_read_anew_after_feed_history_is_dropped(site):
    """The store answers 410 to feeds that begin at a dropped version."""
    await start_nodes(site, 2)
    site.store.min_feed_version = 10**9
    await asyncio.sleep(0.1)
    await site.submit('alpha', JOB, [create_step(2)])
    await asyncio.sleep(1.5)
    site.store.min_feed_version = 0
    await wait_state(site, 'completed')


async def test_tasks_of_crashed_worker_run_elsewhere(site):
    await start_nodes(site, 1, longest_lease_s=1.0)
    await site.submit('alpha', JOB, [create_step(3, cpu=5000)], spec=LONG_SPEC)
    await wait_until(lambda: len(site.ledger) == 3, what='all tasks start')
    await site.crash_worker('m-alpha-0')
    await wait_state(site, 'completed')


async def test_planned_stop_hands_the_unit_over(site, monkeypatch):
    nodes = await start_nodes(site, 2)
    # Without a hand-over, the other node would wait this long.
    monkeypatch.setattr(ownership, 'HEARTBEAT_TIMEOUT_S', 1000.0)
    owner = next(node for node in nodes if node.is_owner)
    await owner.node.hand_over()
    await wait_until(
        lambda: next(n for n in nodes if n is not owner).is_owner,
        what='the other node owns the unit',
    )


async def test_worker_registering_after_takeover_keeps_its_runs(site):
    """The new owner begins while the worker is not registered.

    The worker's tasks still run, so they must not be started again before it
    has registered and answered.
    """
    nodes = await start_nodes(site, 2)
    step = create_step(2, longRunning=True)
    await site.submit('alpha', JOB, [step], spec=LASTING_SPEC)
    await wait_until(lambda: len(site.ledger) == 2, what='both tasks start')
    vm = next(vm for vm, item in site.workers.items() if item.running)
    worker = site.workers[vm]
    owner = next(node for node in nodes if node.is_owner)
    await wait_until(
        lambda: owner.node.leader.state_writer.roster,
        what='the owner has written a roster',
    )
    tasks, runner = site._worker_tasks[vm]
    tasks[1].cancel()
    await site.store.put('servers', worker.worker_id, None)
    # The owner makes a pass over waiting tasks before the worker's first
    # answer.
    worker.faults.delay_s = 0.3
    await site.kill_node(owner)
    await wait_owner(site)
    address = f'127.0.0.1:{runner.addresses[0][1]}'
    await site.register_worker(vm, 'alpha', worker, address)
    leader = site.nodes[0].node.leader
    await wait_until(
        lambda: any(
            item.has_answered and item.runs
            for item in leader.term.fleet.workers.values()
        ),
        what='the worker answers',
    )
    await asyncio.sleep(0.5)
    assert len(site.ledger) == 2


async def test_slow_store_accepts_jobs_of_many_callers(site):
    """Jobs are spread over parts of the store, so none is refused.

    Each part takes one transaction after another. A slow store needs about
    0.2 s for each, the stand-in a little more; with one part, too many would
    wait and the store would refuse some of them.
    """
    nodes = await start_nodes(site, 8)
    site.store.transaction_s = 0.25
    calls = [
        site.submit(
            'alpha',
            f'{number:016x}',
            [create_step(1)],
            node=nodes[number % 8],
        )
        for number in range(32)
    ]
    assert set(await asyncio.gather(*calls)) == {200}
    site.store.transaction_s = 0.0
    for number in range(32):
        await wait_state(site, 'completed', f'{number:016x}')


async def test_retry_waits_for_worker_without_earlier_failure(site):
    await start_nodes(site, 1)
    # A task that lasts on each VM keeps all of them switched on.
    lasting = create_step(3, cpu=1000, antiAffinity=1, longRunning=True)
    await site.submit('alpha', '1' * 16, [lasting], spec=LASTING_SPEC)
    await wait_until(
        lambda: len(site.ledger) == 3, what='all workers are in use'
    )
    full = create_step(2, cpu=7000, antiAffinity=1)
    await site.submit('alpha', '0' * 16, [full], spec='{"ms": 900}')
    await wait_until(
        lambda: len(site.ledger) == 5, what='two workers are full'
    )
    full_ids = {line.worker_id for line in site.ledger[3:]}
    for worker in site.workers.values():
        worker.failing = worker.worker_id not in full_ids
    await site.submit('alpha', JOB, [create_step(1, cpu=1000)])
    await wait_state(site, 'completed')
    lines = [line for line in site.ledger if line.task.startswith(JOB)]
    assert [line.outcome for line in lines] == ['failed', 'done']


async def test_job_with_unanswered_start_orders_counts_as_waiting(site):
    """A start order that was not answered does not count as a start."""
    await start_nodes(site, 1)
    for worker in site.workers.values():
        worker.faults.paths = START_PATHS
        worker.faults.unresponsive = True
    await site.submit('alpha', JOB, [create_step(1)])

    async def is_counted():
        status, body = await site.call('GET', 'alpha', '')
        return status == 200 and body == {'waiting': 1}

    await wait_until(is_counted, what='the job is counted')
    await asyncio.sleep(1.5)
    assert await is_counted()
    for worker in site.workers.values():
        worker.faults.clear()
    await wait_state(site, 'completed')


async def test_ended_jobs_are_removed_after_retention(site, monkeypatch):
    monkeypatch.setattr(retention, 'PASS_INTERVAL_S', 0.1)
    await start_nodes(site, 1, status_s=0.5)
    await site.submit('alpha', JOB, [create_step(2)])
    await wait_state(site, 'completed')
    await wait_until(
        lambda: (
            not [
                key
                for key, (value, _) in site.store.rows.items()
                if value is not None and key[2].startswith(JOB)
            ]
        ),
        what='its rows are removed',
    )
    assert JOB not in site.nodes[0].node.leader.term.job_registry.jobs


@pytest.mark.parametrize('stored_after_naming', [True, False])
async def test_accepted_job_does_not_wait_for_dark_worker(
    site, stored_after_naming
):
    """The owner is killed beside a worker that it has named as dark.

    A job that was stored after that cannot have a run there, and an earlier
    one waits only for the rest of the lease. Both waited for a full lease,
    counted from the claim.
    """
    await start_nodes(site, 2)
    owner = await wait_owner(site)
    term = owner.node.leader.term
    await wait_until(
        lambda: sum(item.usable for item in term.fleet.workers.values()) == 3,
        what='all workers can be used',
    )
    # The pool keeps its VMs, as the others have work.
    lasting = create_step(2, longRunning=True, antiAffinity=1)
    await site.submit('alpha', OTHER_JOB, [lasting], spec=LASTING_SPEC)
    await wait_until(lambda: count_running(site) == 2, what='it is at work')
    dark = next(item for item in site.workers.values() if not item.running)
    # The job is accepted, but this owner does not come to start it.
    term.stopping = True
    if not stored_after_naming:
        await site.submit('alpha', JOB, [create_step(4)])
    dark.faults.unresponsive = True
    await wait_until(
        lambda: dark.worker_id in term.dark_workers, what='it is named'
    )
    await owner.node.leader.state_writer.wait_until_durable()
    if stored_after_naming:
        await site.submit('alpha', JOB, [create_step(4)])
    else:
        state = term.fleet.workers[dark.worker_id]
        await wait_until(
            lambda: state.get_lease_left_s(clocks.now_s()) < 0.5,
            what='its lease has nearly ended',
        )
        await owner.node.leader.state_writer.wait_until_durable()
    await site.kill_node(owner)
    claimed_at_s = (await wait_owner(site)).node.leader.term.began_at_s
    await wait_until(lambda: len(site.ledger) == 6, what='all tasks start')
    assert clocks.now_s() - claimed_at_s < 1.5
    metrics = site.nodes[0].node.metrics
    assert metrics.get_count('takeover_workers_named') == 1


async def test_dark_worker_gets_no_longer_lease_while_it_is_named(site):
    """It answers again while the store takes no heartbeat without it.

    A later owner would read the last one, and rely on the rest in it.
    """
    (node,) = await start_nodes(site, 1)
    term = node.node.leader.term
    await site.submit(
        'alpha', JOB, [create_step(3, longRunning=True)], spec=LASTING_SPEC
    )
    await wait_until(lambda: len(site.ledger) == 3, what='all tasks start')
    dark = next(item for item in site.workers.values() if item.running)
    dark.faults.unresponsive = True
    await wait_until(
        lambda: dark.worker_id in term.dark_workers, what='it is named'
    )
    await node.node.leader.state_writer.wait_until_durable()
    site.store.faults.busy = True
    lease_until_ms = dark.lease_until_ms
    dark.faults.clear()
    state = term.fleet.workers[dark.worker_id]
    await wait_until(lambda: not state.is_silent, what='it answers again')
    await asyncio.sleep(1.0)
    assert dark.lease_until_ms == lease_until_ms
    assert not state.usable
    site.store.faults.clear()
    await wait_until(
        lambda: dark.lease_until_ms > lease_until_ms, what='it is extended'
    )
    assert state.usable


async def test_pool_with_dark_worker_gives_its_last_vms_away(site):
    """An accepted job waits beside a dark worker after a takeover."""
    await start_nodes(site, 2)
    owner = await wait_owner(site)
    term = owner.node.leader.term
    await wait_until(
        lambda: sum(item.usable for item in term.fleet.workers.values()) == 3,
        what='all workers can be used',
    )
    term.stopping = True
    await site.submit('alpha', JOB, [create_step(4)])
    dark = next(iter(site.workers.values()))
    dark.faults.unresponsive = True
    await site.kill_node(owner)
    began_at_s = (await wait_owner(site)).node.leader.term.began_at_s
    await wait_until(
        lambda: len(site.ledger) == 4, what='all tasks start', timeout_s=30
    )
    assert clocks.now_s() - began_at_s < 8
