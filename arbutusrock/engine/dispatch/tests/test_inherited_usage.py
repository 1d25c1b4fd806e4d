"""What a new owner holds back of an account's limit."""

import math

import msgspec
import pytest

from arbutusrock.engine.dispatch import inherited_usage
from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.tests import samples
from arbutusrock.engine.workers import fleet
from arbutusrock.scheduling import configuration
from arbutusrock.scheduling import dark_workers
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks

LEASE_S = 5.0


@pytest.fixture
def term():
    """The term of a new owner; a worker of 4 cores has not answered it."""
    found = samples.create_term(epoch=2)
    entry = platform_messages.WorkerEntry(
        worker_id='i-1',
        pool='p',
        address='h:1',
        capacity=Resources(cpu=4000, memory_mb=8000),
    )
    worker = fleet.WorkerState(entry=entry, now_s=0.0)
    worker.inherited_lease = dark_workers.InheritedLease(
        end_at_s=clocks.now_s() + LEASE_S, before_version=math.inf
    )
    found.fleet.workers['i-1'] = worker
    found.configuration.current = configuration.FleetConfiguration(
        version=1,
        queues=[],
        pools=[],
        accounts=[
            configuration.Account(
                name='a', weight=1.0, upper_limit=Resources(cpu=4000)
            )
        ],
        limits=configuration.RequestLimits(),
    )
    return found


def add_job(term, number, count, *, inherited=True):
    submission = samples.create_submission()
    step = plans.StepPlan(count=count, demand=Resources(cpu=1000))
    term.job_registry.add(
        f'{number:016x}',
        msgspec.structs.replace(
            submission, plan=plans.JobPlan(spec='', steps=(step,))
        ),
        inherited=inherited,
        stored_version=number,
    )
    term.job_registry.start_due_occurrences(1e9, clocks.now_s())


def update(term, after_s=0.0):
    usage = inherited_usage.estimate_inherited_usage(
        term, clocks.now_s() + after_s
    )
    term.inherited_waits.usage = usage
    return usage


def test_account_may_run_its_limit_again_beside_a_dark_worker(term):
    """Guards against QUOTA: its runs there are not known to the new owner."""
    add_job(term, 1, 4)
    assert update(term) == {'a': Resources(cpu=4000)}
    assert not term.fits_account_limit('a', Resources(cpu=1000))
    # Once the leases there have ended, or the worker has answered, its limit
    # is free.
    assert update(term, LEASE_S + 0.1) == {}
    assert term.fits_account_limit('a', Resources(cpu=4000))
    term.fleet.workers['i-1'].has_answered = True
    assert update(term) == {}


def test_only_listed_tasks_are_held_back(term):
    """The earlier owner has passed on what may run there."""
    add_job(term, 1, 4)
    term.fleet.workers['i-1'].inherited_tasks = frozenset(
        {f'{1:016x}.0.0.2', 'unknown.0.0.0'}
    )
    assert update(term) == {'a': Resources(cpu=1000)}
    assert update(term, LEASE_S + 0.1) == {}


def test_no_more_is_held_back_than_may_be_running(term):
    add_job(term, 1, 2)
    assert update(term) == {'a': Resources(cpu=2000)}
    add_job(term, 2, 50)
    assert update(term) == {'a': Resources(cpu=4000)}


def test_jobs_without_runs_there_hold_nothing_back(term):
    """They are new, or stored after the worker was known to be dark."""
    add_job(term, 9, 4, inherited=False)
    assert update(term) == {}
    term.fleet.workers['i-1'].inherited_lease.before_version = 5
    add_job(term, 6, 4)
    assert update(term) == {}
    add_job(term, 4, 1)
    assert update(term) == {'a': Resources(cpu=1000)}


def test_worker_of_unknown_capacity_may_have_any_number_of_runs(term):
    worker = term.fleet.workers['i-1']
    worker.entry = msgspec.structs.replace(worker.entry, capacity=Resources())
    add_job(term, 1, 30)
    assert update(term) == {'a': Resources(cpu=30_000)}
