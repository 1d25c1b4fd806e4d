"""Life cycle of requests and jobs: queueing, attempts and answers."""

from arbutusrock.jobs.dispatcher import Dispatcher
from arbutusrock.jobs.handover import Handover
from arbutusrock.jobs.idempotency import IdempotencyRegistry
from arbutusrock.jobs.job_controller import JobController
from arbutusrock.jobs.job_table import JobTable
from arbutusrock.jobs.records import create_job_id
from arbutusrock.jobs.records import JobRow
from arbutusrock.jobs.records import JobState
from arbutusrock.jobs.runner import Runner
from arbutusrock.jobs.work_item import WorkItem

__all__ = [
    'Dispatcher',
    'Handover',
    'IdempotencyRegistry',
    'JobController',
    'JobRow',
    'JobState',
    'JobTable',
    'Runner',
    'WorkItem',
    'create_job_id',
]
