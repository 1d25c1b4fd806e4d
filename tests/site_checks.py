"""Checks of the promises, from the ledgers of the stand-in workers."""

import asyncio
import contextlib

from examples.standins.site import Site

__all__ = [
    'JOB',
    'check_ledger',
    'find_violations',
    'open_site',
    'start_nodes',
    'wait_owner',
    'wait_state',
    'wait_until',
]

WAIT_S = 20.0
JOB = '00000000000000a1'


@contextlib.asynccontextmanager
async def open_site(pools):
    """Start the stand-ins; stop them and check the ledger at the end.

    :param pools: number of VMs by pool.
    """
    site = Site(pools=pools)
    await site.start()
    yield site
    await site.stop()
    check_ledger(site.ledger)


async def wait_until(condition, *, what, timeout_s=WAIT_S):
    """Wait until ``condition`` (plain or a coroutine function) holds."""
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                value = condition()
                if asyncio.iscoroutine(value):
                    value = await value
                if value:
                    return value
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError(f'not in {timeout_s} s: {what}') from None


async def wait_owner(site):
    return await wait_until(
        lambda: next((node for node in site.nodes if node.is_owner), None),
        what='a node owns the unit',
    )


async def wait_state(site, state, job=JOB, pool='alpha', node=None):
    async def has_state():
        return await site.get_job_state(pool, job, node) == state

    await wait_until(has_state, what=f'{job} is {state}')


async def wait_configured(node):
    await wait_until(
        lambda: node.node.configuration.current, what='a configuration'
    )


async def start_nodes(site, count, **changes):
    nodes = [
        await site.start_node(f'n{number}', **changes)
        for number in range(1, count + 1)
    ]
    for node in nodes:
        await wait_configured(node)
    await wait_owner(site)
    return nodes


def find_violations(ledger, *, limit_by_job=None):
    """Yield what is broken: runs of one task that overlap or follow a done.

    :param limit_by_job: most tasks of a job at once.
    """
    by_task = {}
    for line in ledger:
        by_task.setdefault(line.task, []).append(line)
    for task, lines in by_task.items():
        lines.sort(key=lambda line: line.started_at_s)
        for before, after in zip(lines, lines[1:], strict=False):
            if (
                before.ended_at_s is None
                or after.started_at_s < before.ended_at_s
            ):
                yield f'{task}: two runs at once'
            if before.outcome == 'done':
                yield f'{task}: started again after it was done'
        runs = [line.run for line in lines]
        if runs != sorted(set(runs)):
            yield f'{task}: run numbers do not rise: {runs}'
    for job, limit in (limit_by_job or {}).items():
        yield from _find_limit_violations(ledger, job, limit)


def _find_limit_violations(ledger, job, limit):
    events = []
    for line in ledger:
        if line.task.startswith(job):
            events.append((line.started_at_s, 1))
            if line.ended_at_s is not None:
                events.append((line.ended_at_s, -1))
    running = 0
    for _, change in sorted(events):
        running += change
        if running > limit:
            yield f'{job}: {running} tasks at once, over {limit}'
            return


def check_ledger(ledger, **options):
    """Fail when anything is broken."""
    violations = list(find_violations(ledger, **options))
    assert not violations, violations
