"""Cost of the reservations of a pass, by workers and waiting steps.

Exits with 1 when the cost at 870 workers exceeds :data:`MAX_PASS_MS`.
``bench_capacity`` prints it too.
"""

import logging
import sys
import time
import types
from unittest import mock

import structlog

from arbutusrock.engine.dispatch import lookahead
from arbutusrock.engine.jobs import job_ranks
from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.jobs import plans
from arbutusrock.engine import node_settings
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.term import term as term_module
from arbutusrock.engine.workers import fleet
from arbutusrock import metrics
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks

__all__ = ['MAX_PASS_MS', 'measure_pass_ms', 'print_costs']

# At 870 workers and 2,000 waiting steps.
MAX_PASS_MS = 20.0
ROUNDS = 5
RUNS_PER_WORKER = 6
CAPACITY = Resources(cpu=16_000, memory_mb=64_000)
# One waiting step in this many is a large one, and one a gang.
LARGE_SHARE = 4
GANG_SHARE = 50


def create_term():
    """Return a term without a store."""
    return term_module.Term(
        epoch=1,
        claim_version=1,
        claim_sent_at_s=clocks.now_s(),
        settings=node_settings.NodeSettings(
            name='n',
            address='h',
            callers='h:1',
            readiness='h:2',
            metrics='h:3',
            store='h:4',
        ),
        configuration=types.SimpleNamespace(
            current=types.SimpleNamespace(queues={}, accounts={})
        ),
        metrics=metrics.Metrics(),
    )


def add_step(term, number, plan):
    """Add a job of one step; return the step."""
    job_id = f'{number:016x}'
    term.job_registry.add(
        job_id,
        plans.Submission(
            queue=f'q{number % 4}',
            pool='p',
            account=f'a{number % 20}',
            accepted_ms=clocks.wall_time_s() * 1000,
            plan=plans.JobPlan(spec='', steps=(plan,)),
            stretch=4.0,
        ),
    )
    term.job_registry.start_due_occurrences(
        clocks.wall_time_s() + 1, clocks.now_s()
    )
    return term.job_registry.open_jobs[job_id].occurrences[0].steps[0]


def fill_worker(term, number):
    """Return a worker with runs that leave a gap."""
    worker = fleet.WorkerState(
        entry=platform_messages.WorkerEntry(
            worker_id=f'w{number}',
            pool='p',
            address='h:1',
            vm=f'vm{number}',
            capacity=CAPACITY,
        ),
        now_s=clocks.now_s(),
    )
    worker.has_answered = worker.in_roster = True
    term.fleet.workers[worker.worker_id] = worker
    for index in range(RUNS_PER_WORKER):
        plan = plans.StepPlan(
            count=1,
            demand=Resources(cpu=2_400, memory_mb=4_000),
            estimate_ms=1000.0 + 100 * index,
        )
        key = 1_000_000 + number * RUNS_PER_WORKER + index
        step = add_step(term, key, plan)
        run = job_state.Run(
            number=key,
            name=step.tasks[0].name,
            task=step.tasks[0],
            account='a',
            worker=worker,
            demand=plan.demand,
            now_s=clocks.now_s(),
        )
        run.state = job_state.RunState.RUNNING
        term.fleet.add_run(run)
        term.job_registry.mark_active(step.tasks[0])
    return worker


def create_plan(number):
    """Return the plan of a waiting step."""
    if number % GANG_SHARE == 0:
        return plans.StepPlan(
            count=16,
            demand=Resources(cpu=4_500, memory_mb=100),
            estimate_ms=1000.0,
            gang=True,
        )
    large = number % LARGE_SHARE == 0
    return plans.StepPlan(
        count=8,
        demand=Resources(cpu=9_000 if large else 1_500, memory_mb=100),
        estimate_ms=1000.0,
    )


def measure_pass_ms(workers, steps):
    """Return the processor time of planning and of limiting all steps.

    It is that of a pass in which a plan is due, the least of some rounds; the
    ranks are cached, as the pass needs them also without reservations.

    :returns: milliseconds.
    """
    term = create_term()
    fleet_workers = [fill_worker(term, number) for number in range(workers)]
    waiting = [
        add_step(term, number, create_plan(number)) for number in range(steps)
    ]
    ranker = job_ranks.JobRanker(term=term)
    tickets = mock.Mock()
    tickets.get_allowed_ids = lambda *_args: None
    ahead = lookahead.Lookahead(term=term, ranker=ranker, ticket_cache=tickets)
    waiting.sort(key=ranker.rank)
    min_s = float('inf')
    for index in range(ROUNDS):
        now_s = clocks.now_s() + index * lookahead.PLAN_INTERVAL_S
        began_s = time.process_time()
        ahead.begin_pass('p', waiting, fleet_workers, now_s)
        for step in waiting:
            ahead.limit_workers('p', step, fleet_workers, now_s, blocked=True)
        min_s = min(min_s, time.process_time() - began_s)
    if not ahead.holds_workers('p'):
        raise RuntimeError('nothing was reserved')
    return min_s * 1000


def print_costs():
    """Print the cost at growing sizes; return that at the largest."""
    for workers in (180, 276, 870):
        cost_ms = measure_pass_ms(workers, 2000)
        print(f'reserve at {workers} workers, 2000 steps: {cost_ms:.1f} ms')
    return cost_ms


if __name__ == '__main__':
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    sys.exit(print_costs() > MAX_PASS_MS)
