"""Helpers of the site tests: start nodes, wait for states, check the ledger.

The stand-in workers of a site write each run into one ledger. The checks read
it to find tasks that ran twice at once or were repeated after they were done.
"""

import asyncio
import contextlib

from examples.standins.site import Site

__all__ = [
    'JOB',
    'OTHER_JOB',
    'check_evacuations',
    'check_ledger',
    'find_violations',
    'open_site',
    'start_nodes',
    'wait_owner',
    'wait_state',
    'wait_until',
]

WAIT_S = 20.0
# An evacuation is in force this long after its request (``evacuateMs``).
MAX_EVACUATION_DELAY_S = 5.0
JOB = '00000000000000a1'
OTHER_JOB = '00000000000000b2'


@contextlib.asynccontextmanager
async def open_site(pools, **options):
    """Start the stand-ins; at the end, stop them and check their ledger.

    :param pools: number of VMs by pool.
    :param options: further parameters of the site.
    """
    site = Site(pools=pools, **options)
    await site.start()
    yield site
    await site.stop()
    check_ledger(site.ledger)
    check_evacuations(site)


async def wait_until(condition, *, what, timeout_s=WAIT_S):
    """Wait until a condition holds and return its value.

    :param condition: plain or coroutine function without arguments; it is
        called until its value is true.
    :param what: what is waited for, named in the error.
    """
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
        raise AssertionError(
            f'condition not met within {timeout_s} s: {what}'
        ) from None


async def wait_owner(site):
    """Wait until a node owns the unit and return that node."""
    return await wait_until(
        lambda: next((node for node in site.nodes if node.is_owner), None),
        what='a node owns the unit',
    )


async def wait_state(site, state, job=JOB, pool='alpha', node=None):
    """Wait until a node reports this state of a job."""

    async def has_state():
        return await site.get_job_state(pool, job, node) == state

    await wait_until(has_state, what=f'{job} is {state}')


async def wait_configured(node):
    """Wait until a node has read a configuration."""
    await wait_until(
        lambda: node.node.configuration.current,
        what='the node has a configuration',
    )


async def start_nodes(site, count, **changes):
    """Start nodes; wait until all are configured and one owns the unit.

    :param changes: settings that differ from those of the site.
    """
    nodes = [
        await site.start_node(f'n{number}', **changes)
        for number in range(1, count + 1)
    ]
    for node in nodes:
        await wait_configured(node)
    await wait_owner(site)
    return nodes


def find_violations(ledger, *, limit_by_job=None):
    """Yield a text for each violation that the ledger shows.

    Runs of one task may not overlap, none may start after one that is done,
    and their run numbers must rise.

    :param limit_by_job: maximum number of tasks that run at once, by job id;
        the beginning of an id counts all jobs with it together.
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


def find_starts_in_evacuated(
    ledger, evacuations, data_centre_by_worker, max_delay_s
):
    """Yield a text for each run that started in an evacuated data centre.

    :param evacuations: ``(data centre, begin, end)`` of each evacuation.
    :param max_delay_s: time from the begin until which runs may start.
    """
    for line in ledger:
        for data_centre, begin_s, end_s in evacuations:
            if (
                data_centre_by_worker[line.worker_id] == data_centre
                and line.started_at_s > begin_s + max_delay_s
                and (end_s is None or line.started_at_s < end_s)
            ):
                delay_s = line.started_at_s - begin_s
                yield (
                    f'{line.task}: started in {data_centre} {delay_s:.2f} s'
                    ' after its evacuation was requested'
                )


def check_evacuations(site, max_delay_s=MAX_EVACUATION_DELAY_S):
    """Fail when a run started in an evacuated data centre."""
    violations = list(
        find_starts_in_evacuated(
            site.ledger,
            site.evacuations,
            site.data_centre_by_worker,
            max_delay_s,
        )
    )
    assert not violations, violations


def check_ledger(ledger, **options):
    """Fail when the ledger shows a violation."""
    violations = list(find_violations(ledger, **options))
    assert not violations, violations
