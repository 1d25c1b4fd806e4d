"""Sample objects for the tests of the engine."""

import types

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.jobs import plans
from arbutusrock.engine import node_settings
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.runs import run_controller
from arbutusrock.engine.term import term as term_module
from arbutusrock.engine.vms import data_centre_cordons
from arbutusrock.engine.workers import fleet
from arbutusrock import metrics
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks

__all__ = [
    'add_run',
    'create_entry',
    'create_run_controller',
    'create_submission',
    'create_term',
]

SETTINGS = node_settings.NodeSettings(
    name='n1',
    address='127.0.0.1',
    callers='h:1',
    readiness='h:2',
    metrics='h:4',
    store='h:3',
    estimates_vm_speeds=True,
)


def create_entry(worker_id, **fields):
    """Return the entry of a worker of the pool ``p``."""
    return platform_messages.WorkerEntry(
        worker_id=worker_id, **{'pool': 'p', 'address': 'h:1', **fields}
    )


def create_submission():
    """Return a submission of one step with one task, for the pool ``p``."""
    return plans.Submission(
        queue='q',
        pool='p',
        account='a',
        accepted_ms=0.0,
        plan=plans.JobPlan(spec='', steps=(plans.StepPlan(count=1),)),
    )


def create_term(*, epoch, **fields):
    """Return a term whose claim has version 7, without a configuration.

    The store has confirmed the ownership just now, and the jobs are loaded.
    """
    term = term_module.Term(
        epoch=epoch,
        claim_version=7,
        settings=SETTINGS,
        configuration=types.SimpleNamespace(
            current=None, cordons=data_centre_cordons.DataCentreCordons()
        ),
        metrics=metrics.Metrics(),
        **{'claim_sent_at_s': clocks.now_s(), **fields},
    )
    term.jobs_loaded.set()
    return term


def create_run_controller(entries, *, epoch):
    """Return a controller without a store, with a worker for each entry."""
    term = create_term(epoch=epoch)
    for entry in entries:
        term.fleet.workers[entry.worker_id] = fleet.WorkerState(
            entry=entry, now_s=0.0
        )
    return run_controller.RunController(
        term=term,
        state_writer=types.SimpleNamespace(
            flushes_completed=0, get_next_flush_number=lambda: 1
        ),
    )


def add_run(term, worker, *, job_id='0' * 16, **fields):
    """Add a job of one task and its run on a worker, and return the run."""
    plan = plans.StepPlan(count=1, demand=Resources(cpu=1000), **fields)
    submission = plans.Submission(
        queue='q',
        pool='p',
        account='a',
        accepted_ms=0.0,
        plan=plans.JobPlan(spec='', steps=(plan,)),
    )
    job = term.job_registry.add(job_id, submission)
    term.job_registry.start_due_occurrences(
        clocks.wall_time_s(), clocks.now_s()
    )
    task = job.occurrences[0].steps[0].tasks[0]
    run = job_state.Run(
        number=term.create_run_number(),
        name=task.name,
        task=task,
        account='a',
        worker=worker,
        demand=plan.demand,
        now_s=clocks.now_s(),
    )
    term.fleet.add_run(run)
    term.job_registry.mark_active(task)
    return run
