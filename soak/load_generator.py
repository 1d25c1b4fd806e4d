"""Load of a soak test: submits jobs, polls their state, cancels some."""

import asyncio
import json
import random
import time

import aiohttp

from examples.standins.site.site import API_KEY
from examples.standins.site.site import create_step

__all__ = ['LoadGenerator', 'JobRecord']

# How long a call waits for its answer.
CALL_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.2
POLL_INTERVAL_S = 0.4
# Fraction of the jobs that are cancelled.
CANCELLED_FRACTION = 0.1
# Fraction of the jobs with a deadly task while there are any.
DEADLY_FRACTION = 0.1
# Submitters run side by side; each pauses 0 to 2 times the mean interval after
# a job.
SUBMITTER_COUNT = 3
MEAN_SUBMIT_INTERVAL_S = 0.4
# The job may have been stored after these answers; None means no answer.
AMBIGUOUS_STATUSES = frozenset({502, 504, None})


class Call:
    """One call to a node, as its client saw it.

    :param node: the :class:`soak.daemons.Daemon` that was called.
    :ivar status: HTTP status; None when no complete answer arrived.
    """

    __slots__ = ('node', 'sent_at_s', 'ended_at_s', 'status')

    def __init__(self, *, node, sent_at_s):
        self.node = node
        self.sent_at_s = sent_at_s
        self.ended_at_s = None
        self.status = None


class JobRecord:
    """A submitted job and the answers that its client got."""

    __slots__ = (
        'job_id',
        'pool',
        'steps',
        'task_count',
        'submit_statuses',
        'accepted_at_s',
        'cancel_sent_at_s',
        'cancelled_at_s',
        'observed_states',
    )

    def __init__(self, *, job_id, pool, steps):
        self.job_id = job_id
        self.pool = pool
        self.steps = steps
        self.task_count = sum(step['count'] for step in steps)
        # Statuses of all attempts to submit it.
        self.submit_statuses = []
        self.accepted_at_s = None
        self.cancel_sent_at_s = None
        self.cancelled_at_s = None
        # (instant of the poll, instant of its answer, state) of each poll.
        self.observed_states = []


class LoadGenerator:
    """Generates the load of one seed and records jobs and calls.

    :param nodes: list of :class:`soak.daemons.Daemon`.
    :param seed: seed for job sizes, choice of nodes and pauses.
    :param pools: names of the pools that jobs are submitted to.
    :param draws_deadly_jobs: returns whether some of the jobs have a task now
        that crashes its workers.
    :param lasting_tasks: number of tasks of each pool that run from the start
        until no new jobs are submitted.
    """

    def __init__(
        self, *, nodes, seed, pools, draws_deadly_jobs, lasting_tasks=0
    ):
        self.nodes = nodes
        self.pools = pools
        self.draws_deadly_jobs = draws_deadly_jobs
        self.lasting_tasks = lasting_tasks
        self.rng = random.Random(seed)  # noqa: S311
        self.jobs = []
        self.calls = []
        self.session = None
        self._stop = asyncio.Event()

    async def run(self):
        """Submit jobs until :meth:`stop`; return when all jobs are over."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self.session:
            async with asyncio.TaskGroup() as group:
                for pool in self.pools if self.lasting_tasks else ():
                    group.create_task(self._run_lasting_job(pool))
                for _ in range(SUBMITTER_COUNT):
                    group.create_task(self._run_submitter(group))

    def stop(self):
        """Submit no new jobs."""
        self._stop.set()

    async def _run_lasting_job(self, pool):
        step = create_step(self.lasting_tasks, cpu=500, longRunning=True)
        job = JobRecord(
            job_id=f'{self.rng.getrandbits(64):016x}', pool=pool, steps=[step]
        )
        self.jobs.append(job)
        body = {'spec': json.dumps({'lasts': 1}), 'steps': job.steps}
        while job.accepted_at_s is None:
            status = await self._call(job, 'POST', body)
            job.submit_statuses.append(status)
            if status is not None and 200 <= status < 300:
                job.accepted_at_s = time.monotonic()
            else:
                await asyncio.sleep(RETRY_DELAY_S)
        await self._stop.wait()
        await self._cancel(job)

    async def _run_submitter(self, group):
        while not self._stop.is_set():
            job = self._create_job()
            self.jobs.append(job)
            group.create_task(self._drive_job(job))
            await asyncio.sleep(
                self.rng.uniform(0.0, 2 * MEAN_SUBMIT_INTERVAL_S)
            )

    def _create_job(self):
        rng = self.rng
        steps = [create_step(rng.randint(1, 5), cpu=rng.randint(1, 8) * 500)]
        if rng.random() < 0.5:
            steps.append(create_step(rng.randint(1, 3), cpu=500, after=[0]))
        return JobRecord(
            job_id=f'{rng.getrandbits(64):016x}',
            pool=rng.choice(self.pools),
            steps=steps,
        )

    async def _drive_job(self, job):
        """Submit a job as a real client does: retry until it is accepted.

        Then cancel it, or poll its state until it is finished.
        """
        behaviour = {'ms': self.rng.randint(20, 600)}
        if self.draws_deadly_jobs() and self.rng.random() < DEADLY_FRACTION:
            behaviour.update(crash=[0], crash_ms=self.rng.choice([5, 200]))
        body = {'spec': json.dumps(behaviour), 'steps': job.steps}
        cancel = self.rng.random() < CANCELLED_FRACTION
        while job.accepted_at_s is None:
            status = await self._call(job, 'POST', body)
            job.submit_statuses.append(status)
            if status is not None and 200 <= status < 300:
                job.accepted_at_s = time.monotonic()
            elif status not in AMBIGUOUS_STATUSES and self._stop.is_set():
                return
            else:
                await asyncio.sleep(RETRY_DELAY_S)
        if cancel:
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            await self._cancel(job)
            return
        if self.rng.random() < 0.2:
            # Submit the same job again although it was accepted.
            await self._call(job, 'POST', body)
        while not self._is_finished(job):
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.poll_state(job)

    @staticmethod
    def _is_finished(job):
        return bool(job.observed_states) and job.observed_states[-1][2] in {
            'completed',
            'failed',
        }

    async def poll_state(self, job):
        """Poll the state of a job once."""
        sent_at_s = time.monotonic()
        answer = []
        status = await self._call(job, 'GET', answer=answer)
        if status == 200:
            job.observed_states.append(
                (sent_at_s, time.monotonic(), answer[0]['state'])
            )
        elif status == 410:
            job.observed_states.append(
                (sent_at_s, time.monotonic(), 'unknown')
            )

    async def _cancel(self, job):
        job.cancel_sent_at_s = time.monotonic()
        while job.cancelled_at_s is None:
            status = await self._call(job, 'DELETE')
            if status in {200, 410}:
                job.cancelled_at_s = time.monotonic()
            else:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _call(self, job, method, body=None, answer=None):
        """Call a random serving node; return the status.

        None stands for a call without a complete answer, 503 for one that
        reached no process.
        """
        serving = [node for node in self.nodes if node.is_serving]
        if not serving:
            await asyncio.sleep(RETRY_DELAY_S)
            return 503
        node = self.rng.choice(serving)
        call = Call(node=node, sent_at_s=time.monotonic())
        self.calls.append(call)
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self.session.request(
                    method,
                    f'http://{node.address}/jobs/{job.job_id}',
                    headers={
                        'Host': f'{job.pool}.example',
                        'Arbutusrock-Key': API_KEY,
                        'Arbutusrock-Deadline-Ms': str(
                            int(CALL_TIMEOUT_S * 1000)
                        ),
                    },
                    json=body,
                ) as response,
            ):
                text = await response.read()
                if answer is not None and response.status == 200:
                    answer.append(json.loads(text))
                call.status = response.status
        except aiohttp.ClientConnectorError:
            # The process is down, so nothing was sent.
            call.status = 503
        except (aiohttp.ClientError, TimeoutError, OSError):
            # No complete answer; the record of the call has None as status.
            call.status = None
        call.ended_at_s = time.monotonic()
        return call.status
