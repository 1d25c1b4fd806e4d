"""Stand-in of a worker that reports how far its tasks have come.

As the workers of the pages, it reports whole percents of a task's duration.
``spec`` may hold, beside what :mod:`examples.standins.site.workers` knows,
``step_ms``: durations by number of the step, which go before ``ms``.
"""

import asyncio
import json
import time

from examples.standins.site import workers

__all__ = ['install', 'rejected']

# (worker, task, ticket) of each start that was rejected for its ticket.
rejected = []


class ProgressWorker(workers.StandInWorker):
    """Worker whose percentages rise with the time that a task has run."""

    async def _work(self, run_record):
        behaviour = _decode_spec(run_record.spec)
        if 'crash' in behaviour or 'lasts' in behaviour:
            await super()._work(run_record)
            return
        await asyncio.sleep(_get_duration_s(run_record))
        failed = self.failing or behaviour.get('fail')
        await self._record_completion(
            run_record, 'failed' if failed else 'done'
        )

    def _get_percent(self, run_record):
        if 'lasts' in _decode_spec(run_record.spec):
            return super()._get_percent(run_record)
        age_s = time.monotonic() - run_record.started_at_s
        return min(99, int(100 * age_s / _get_duration_s(run_record)))


class TicketWorker(ProgressWorker):
    """Worker that starts nothing without the ticket of the policy."""

    async def start(self, request):
        body = request[workers.BODY_KEY]
        ticket = body.get('ticket', '')
        if ticket != f'ticket-{self.worker_id}':
            rejected.append((self.worker_id, body['task'], ticket))
            return self._create_response(status=409, reason='ticket')
        return await super().start(request)


def _decode_spec(spec):
    return json.loads(spec) if spec else {}


def _get_duration_s(run_record):
    behaviour = _decode_spec(run_record.spec)
    step = run_record.task.split('.')[2]
    ms = behaviour.get('step_ms', {}).get(
        step, behaviour.get('ms', workers.DEFAULT_DURATION_MS)
    )
    return max(ms, 1) / 1000


def install(*, needs_ticket=False):
    """Have the stand-ins of the platform start these workers.

    :param needs_ticket: whether they start nothing without a ticket.
    """
    workers.StandInWorker = TicketWorker if needs_ticket else ProgressWorker
