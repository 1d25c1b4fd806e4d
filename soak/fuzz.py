"""Hands in what is odd or large, and checks that it harms nobody else.

    python -m soak.fuzz --examples 200 [--seed N]

One account hands in jobs, cancellations and entries at, near and beyond the
bounds of the product; rows of its jobs are refused by the store; queues lose
their routes; owners are killed between. From another account a small job goes
to each queue, which must end in time. Nodes and stand-ins run in this process,
and the store takes short rows, so that their limit is near.
"""

import argparse
import asyncio
import base64
import collections
import json
import logging
import time

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import structlog

from arbutusrock.engine.ports import rows
from arbutusrock.utils import clocks
from examples.standins.site import odd_entries
from examples.standins.site import Site
from examples.standins.site.site import create_step
from tests import site_checks

__all__ = ['BlastRadius', 'COUNTS', 'main', 'run']

ODD_KEY, SMALL_KEY = 'key-odd', 'key-small'
POOLS = {'alpha': 2, 'beta': 2}
NODES = 2
# Limit of the store for a value in base64, and the value that fits.
ROW_CHARACTERS, ROW_BYTES = 2048, 1536
# A small job ends in this time, also beside a change of owner.
PROBE_S = 15.0
MAX_HEARTBEAT_AGE_S = 6.0
# Calls that the store rejects, for each row that it refuses and each probe.
MAX_REJECTED_CALLS = 40
STEPS = 12
# How often each rule was carried out, over all examples.
COUNTS = collections.Counter()

numbers = strategies.sampled_from([0, 1, 2, 7, 100, 2**31 - 1, 2**31, 10**30])
counts = strategies.sampled_from([1, 2, 3, 20, 150])
steps = strategies.lists(
    strategies.builds(
        create_step,
        counts,
        cpu=strategies.sampled_from([1, 100, 1000, 10**9]),
        estimateMs=strategies.sampled_from([0, 10, 60_000, 3.6e7]),
        checkpointing=strategies.booleans(),
        antiAffinity=strategies.sampled_from([0, 1, 3]),
        requires=strategies.sampled_from(['', '', '', 'none', 'x' * 300]),
        mayMiss=strategies.sampled_from([0, 1]),
        image=strategies.sampled_from(['', 'i' * 150]),
    ),
    min_size=1,
    max_size=8,
)
specs = strategies.fixed_dictionaries(
    {'ms': strategies.sampled_from([0, 10, 200])},
    optional={
        'fail': strategies.just(1),
        'pad': strategies.sampled_from(['x' * 1000, 'x' * 3900]),
    },
)


# Their last step waits for a label that no worker has, so that what is kept of
# the others grows.
stuck_steps = strategies.integers(1, 6).map(
    lambda count: (
        [create_step(1, cpu=20) for _ in range(count)]
        + [create_step(1, requires='none')]
    )
)
jobs = strategies.fixed_dictionaries(
    {
        'pool': strategies.sampled_from(sorted(POOLS)),
        'steps': strategies.one_of(steps, stuck_steps),
        'spec': specs,
        'times': strategies.sampled_from([0, 0, 1, 60, 400]),
        'odd': strategies.one_of(
            strategies.none(),
            strategies.none(),
            strategies.tuples(
                strategies.sampled_from(
                    ['times', 'intervalMs', 'startAtMs', 'count', 'after']
                ),
                numbers,
            ),
        ),
    }
)


def create_body(job):
    """Return the body of the call that hands in a drawn job."""
    body = {
        'spec': json.dumps(job['spec']),
        'steps': [dict(step) for step in job['steps']],
    }
    if job['times']:
        body.update(
            times=job['times'],
            startAtMs=time.time() * 1000 - 1000,
            intervalMs=10,
        )
    match job['odd']:
        case ('count', value):
            body['steps'][0]['count'] = value
        case ('after', value):
            body['steps'][-1]['after'] = [min(value, 2**63)]
        case (name, value):
            body[name] = value
    return body


class BlastRadius(stateful.RuleBasedStateMachine):
    """One site with nodes, an odd account and a small one."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.site = Site(pools=POOLS, cores=8)
        self.accepted, self.refused = {}, set()
        self.number = 0
        self._run(self._start())

    def _run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def _start(self):
        site = self.site
        maximum = {'cpu': 8000, 'memMb': 0, 'gpus': 0}
        site.accounts = {
            'odd': {'apiKeys': [ODD_KEY], 'weight': 50, 'maximum': maximum},
            'small': {'apiKeys': [SMALL_KEY], 'weight': 50},
        }
        site.store.max_value_characters = ROW_CHARACTERS
        await site.start()
        for number in range(1, NODES + 1):
            await self._start_node(f'n{number}')
        await site_checks.wait_owner(site)

    async def _start_node(self, name):
        node = await self.site.start_node(name, store_row_bytes=ROW_BYTES)
        await site_checks.wait_configured(node)

    @stateful.rule(found=strategies.lists(jobs, min_size=1, max_size=4))
    def submit(self, found):
        """Hand in jobs of the odd account."""
        for job in found:
            self._submit(job)

    @stateful.rule(found=strategies.lists(jobs, min_size=1, max_size=4))
    def submit_others(self, found):
        """Do the same; half of the rules hand in jobs."""
        self.submit(found)

    def _submit(self, job):
        self.number += 1
        job_id = f'{self.number:016x}'
        pool, body = job['pool'], create_body(job)
        status, _ = self._run(
            self.site.call(
                'POST',
                pool,
                job_id,
                body=body,
                key=ODD_KEY,
                node=self.site.nodes[self.number % len(self.site.nodes)],
            )
        )
        COUNTS[f'submit {status}'] += 1
        assert status in {200, 400, 404, 413, 429, 503, 504}, status
        if status == 200:
            self.accepted[job_id] = pool
        elif status in {400, 413}:
            self.refused.add((job_id, pool))

    @stateful.precondition(lambda self: self.accepted)
    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        """Cancel one of its jobs."""
        job_id = data.draw(strategies.sampled_from(sorted(self.accepted)))
        status, _ = self._run(
            self.site.call(
                'DELETE', self.accepted[job_id], job_id, key=ODD_KEY
            )
        )
        COUNTS['cancel'] += 1
        assert status in {200, 404, 410, 503, 504}, status

    @stateful.precondition(lambda self: self.accepted)
    @stateful.rule(data=strategies.data(), part=strategies.booleans())
    def refuse_row(self, data, part):
        """Have the store refuse a row of one of its jobs from now on."""
        job_id = data.draw(strategies.sampled_from(sorted(self.accepted)))
        key = f'{job_id}/0' if part else job_id
        self.site.store.rejected_rows.add((rows.TABLE_PROGRESS, key))
        COUNTS['refuse a row'] += 1

    @stateful.rule()
    def take_rows(self):
        """Have the store take all rows again."""
        self.site.store.rejected_rows.clear()
        COUNTS['take rows'] += 1

    @stateful.rule(number=strategies.integers(0, 20))
    def write_odd_entry(self, number):
        """Write the entry of a worker that is none."""
        entry = {
            'service': 'alpha',
            'address': '127.0.0.1:9',
            'zone': 'z1',
            'state': 'ready',
            'seq': 1,
            'born': 1,
            'labels': ['k', 'r'],
            'capacity': {'cpu': 1000, 'memMb': 1, 'gpus': 0},
        }
        values = list(odd_entries.create_odd_values(entry))
        value = values[number % len(values)]
        COUNTS['odd entry'] += 1
        self._run(
            self.site.store.put(
                'servers', f'odd-{number}', base64.b64encode(value).decode()
            )
        )

    @stateful.rule(dropped=strategies.booleans())
    def change_routes(self, dropped):
        """Drop the route of a third queue, or bring it back."""
        COUNTS['change routes'] += 1
        if dropped:
            self.site.queues.pop('gamma', None)
        else:
            self.site.queues['gamma'] = {
                'service': 'beta',
                'host': 'gamma.example',
                'advice': {'decideMs': 10, 'eachMs': 1, 'validMs': 3000},
            }
        self._run(self.site.configure())

    @stateful.rule()
    def kill_owner(self):
        """Kill the owner, and start another node in its place."""
        COUNTS['kill the owner'] += 1
        self._run(self._replace_owner())

    async def _replace_owner(self):
        owner = await site_checks.wait_owner(self.site)
        await self.site.kill_node(owner)
        self.number += 1
        await self._start_node(f'n{self.number}-{owner.node.settings.name}')
        await site_checks.wait_owner(self.site)

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 1.0]))
    def wait(self, seconds):
        """Let time pass."""
        COUNTS['wait'] += 1
        self._run(asyncio.sleep(seconds))

    @stateful.rule()
    def probe(self):
        """Check that small jobs on each queue end in time."""
        COUNTS['probe'] += 1
        before = self.site.store.call_counts.get('rejected', 0)
        self._run(self._probe())
        rejected = self.site.store.call_counts.get('rejected', 0) - before
        most = MAX_REJECTED_CALLS * (1 + len(self.site.store.rejected_rows))
        assert rejected <= most, f'{rejected} calls were rejected'

    async def _probe(self):
        jobs = {}
        for pool in POOLS:
            self.number += 1
            jobs[pool] = f'{self.number:016x}'
            async with asyncio.timeout(PROBE_S):
                while True:
                    status, _ = await self.site.call(
                        'POST',
                        pool,
                        jobs[pool],
                        key=SMALL_KEY,
                        body={'spec': '', 'steps': [create_step(1, cpu=100)]},
                    )
                    if status == 200:
                        break
                    assert status in {429, 503, 504}, status
                    await asyncio.sleep(0.2)
        for pool, job_id in jobs.items():
            await site_checks.wait_until(
                lambda pool=pool, job_id=job_id: self._is_completed(
                    pool, job_id
                ),
                what=f'the small job on {pool} is completed',
                timeout_s=PROBE_S,
            )
        for node in self.site.nodes:
            elector = node.node.elector
            age_s = clocks.now_s() - elector.heartbeat_at_s
            assert age_s < MAX_HEARTBEAT_AGE_S, f'no heartbeat for {age_s} s'

    async def _is_completed(self, pool, job_id):
        status, body = await self.site.call('GET', pool, job_id, key=SMALL_KEY)
        return status == 200 and body['state'] == 'completed'

    def teardown(self):
        """Probe again, by a node that reads all rows anew, and stop."""
        try:
            self.probe()
            for job_id, pool in sorted(self.refused):
                status, _ = self._run(
                    self.site.call('GET', pool, job_id, key=ODD_KEY)
                )
                assert status == 410, f'{job_id} was refused, yet is known'
            self._run(self._replace_owner())
            self.probe()
            violations = list(site_checks.find_violations(self.site.ledger))
            assert not violations, violations[:5]
        finally:
            self._run(self.site.stop())
            self.loop.close()


def run(examples, *, seed=None):
    """Play examples; the first one that fails is shrunk and raised."""
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
        phases=[hypothesis.Phase.generate, hypothesis.Phase.shrink],
    )
    machine = BlastRadius
    if seed is not None:
        machine = hypothesis.seed(seed)(machine)
    stateful.run_state_machine_as_test(machine, settings=settings)


def main(arguments=None):
    """Play examples and print how often each rule was carried out."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--examples', type=int, default=50)
    parser.add_argument('--seed', type=int)
    options = parser.parse_args(arguments)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    try:
        run(options.examples, seed=options.seed)
    finally:
        for name, count in sorted(COUNTS.items()):
            print(f'{name}: {count}')


if __name__ == '__main__':
    main()
