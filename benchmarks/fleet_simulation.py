"""A simulated fleet in virtual time, driven by the product's own decisions.

The ranking, placement, forecast and pool sizing are those of an owner
(:class:`arbutusrock.engine.ownership.leader.Leader`). The workers, the VM
service and the callers are simulated: a start is confirmed at once, a task
ends after its true duration, a move takes ``move_s`` and
``REGISTRATION_DELAY_S``.
"""

import heapq
import itertools
import math
import random
import types
from unittest import mock

import msgspec

from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.jobs import plans
from arbutusrock.engine import node_settings
from arbutusrock.engine.ownership import leader as leader_module
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.ports import rows
from arbutusrock.engine.term import term as term_module
from arbutusrock.engine.vms import vm_registry
from arbutusrock.engine.workers import fleet as fleet_module
from arbutusrock import metrics
from arbutusrock.scheduling import configuration
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks
from benchmarks import load_patterns

__all__ = ['JobResult', 'Simulation']

SPARE_POOL = 'spare'
REGISTRATION_DELAY_S = 0.3
DISPATCH_INTERVAL_S = 0.02
RESIZE_INTERVAL_S = 0.1
# Virtual time before the first job, in which pools reach their idle size.
LEAD_IN_S = 12.0
# Virtual time after the last job, for late jobs.
LEAD_OUT_S = 15.0


class JobResult:
    """A job and its outcome.

    :param late_after_s: objective by the true durations.
    :param ended_at_s: None for a job that has not ended.
    """

    __slots__ = (
        'queue',
        'account',
        'arrived_at_s',
        'work_core_s',
        'value',
        'late_after_s',
        'ended_at_s',
    )

    def __init__(
        self, *, queue, account, arrived_at_s, work_core_s, value, late_after_s
    ):
        self.queue = queue
        self.account = account
        self.arrived_at_s = arrived_at_s
        self.work_core_s = work_core_s
        self.value = value
        self.late_after_s = late_after_s
        self.ended_at_s = None

    @property
    def in_time(self):
        """Whether it ended within its objective."""
        return (
            self.ended_at_s is not None
            and self.ended_at_s - self.arrived_at_s <= self.late_after_s
        )


class _Link:
    """Stands for the connection to one worker."""

    def __init__(self, *, simulation):
        self.simulation = simulation

    def send_start(self, run, *, spec, ticket=''):
        self.simulation.start_run(run)

    def send_stop(self, run):
        self.simulation.stop_run(run)


class Simulation:
    """One play of a pattern.

    :param pattern: :class:`load_patterns.Pattern`.
    :param seed: of arrivals and sizes.
    :param max_heads: number of waiting steps of a pool that get reservations;
        None for that of the product.
    """

    def __init__(self, *, pattern, seed, max_heads=None):
        self.pattern = pattern
        self.seed = seed
        self.max_heads = max_heads
        self.random = random.Random(seed)  # noqa: S311
        self.now_s = 1000.0
        self.began_at_s = self.now_s + LEAD_IN_S
        self.results = {}
        self._accounts = load_patterns.create_accounts(pattern)
        self.vm_seconds = 0.0
        self.moves = 0
        # By started task: whether of a gang, its demand (millicores) and its
        # wait.
        self.waits = []
        self._durations = {}
        # True duration by run, for reports of progress.
        self._true_durations = {}
        self._events = []
        self._order = itertools.count()
        self._completions = itertools.count(1)
        self._worker_numbers = itertools.count(1)

    def run(self):
        """Play the pattern; the results are in ``results``."""
        with (
            mock.patch.object(clocks, 'now_s', lambda: self.now_s),
            mock.patch.object(clocks, 'wall_time_s', lambda: self.now_s),
        ):
            self._create_owner()
            self._create_vms()
            last_at_s = self._create_arrivals()
            self._play(last_at_s + LEAD_OUT_S)

    def _create_owner(self):
        queues = [
            configuration.Queue(
                name=name,
                host='h',
                prefix=f'/{name}/',
                pool=queue.pool or name,
                urgency=queue.urgency,
                stretch=queue.stretch,
                objective_ms=queue.objective_s * 1000,
            )
            for name, queue in self.pattern.queues.items()
        ]
        pools = [
            configuration.Pool(name=name)
            for name in dict.fromkeys(queue.pool for queue in queues)
        ]
        pools.append(configuration.Pool(name=SPARE_POOL, spare=True))
        current = configuration.FleetConfiguration(
            version=1,
            queues=queues,
            pools=pools,
            accounts=[
                configuration.Account(name=name, weight=account.weight)
                for name, account in self._accounts.items()
            ],
            limits=configuration.RequestLimits(),
        )
        settings = node_settings.NodeSettings(
            name='n',
            address='h',
            callers='h:1',
            readiness='h:2',
            metrics='h:3',
            store='h:4',
            move_s=self.pattern.move_s,
            vm_calls_per_s=300.0,
        )
        self.term = term_module.Term(
            epoch=1,
            claim_version=1,
            claim_sent_at_s=self.now_s,
            settings=settings,
            configuration=types.SimpleNamespace(
                current=current, waves={}, cordons=frozenset()
            ),
            metrics=metrics.Metrics(),
        )
        self.leader = leader_module.Leader(
            term=self.term,
            store=None,
            adapter=mock.Mock(),
            on_heartbeat=None,
        )
        if self.max_heads is not None:
            self.leader.dispatcher.lookahead.max_heads = self.max_heads
        self.vms = self.leader.vm_controller
        self.vms.issue_order = self._move_vm

    def _create_vms(self):
        entries = []
        pools = {
            queue.pool or name: queue.vms
            for name, queue in self.pattern.queues.items()
            if not queue.pool or queue.pool == name
        }
        for pool, count in {
            **pools,
            SPARE_POOL: self.pattern.spare_vms,
        }.items():
            for number in range(count):
                entry = platform_messages.VMEntry(
                    vm=f'{pool}-{number}',
                    pool=pool,
                    state=platform_messages.VMState.UP,
                    capacity=self._capacity,
                )
                entries.append(entry)
                if pool != SPARE_POOL:
                    self._add_worker(entry.vm, pool)
        self.vms.vm_registry.update(entries, self.now_s, lambda _order: 1e9)
        for name, queue in self.pattern.queues.items():
            if queue.serving_tasks:
                step = plans.StepPlan(
                    count=queue.serving_tasks,
                    demand=Resources(cpu=int(queue.serving_cores * 1000)),
                    long_running=True,
                    most_per_worker=max(1, queue.serving_tasks // 8),
                    may_miss=1,
                )
                self._submit(name, (step,))

    @property
    def _capacity(self):
        return Resources(
            cpu=int(self.pattern.vm_cores * 1000), memory_mb=1 << 20
        )

    def _add_worker(self, vm, pool):
        worker_id = f'w{next(self._worker_numbers)}'
        worker = fleet_module.WorkerState(
            entry=platform_messages.WorkerEntry(
                worker_id=worker_id,
                pool=pool,
                address='h:1',
                vm=vm,
                capacity=self._capacity,
            ),
            now_s=self.now_s,
        )
        worker.has_answered = worker.in_roster = True
        self.term.fleet.workers[worker_id] = worker
        self.leader.links[worker_id] = _Link(simulation=self)
        self.term.request_dispatch()

    # Arrivals.

    def _draw_account(self):
        """Return the account of a job that arrives now."""
        parts = {}
        for name, account in self._accounts.items():
            since_s = self.now_s - self.began_at_s - account.hot_at_s
            hot = 0 <= since_s < account.hot_s
            parts[name] = account.part * (account.hot_factor if hot else 1.0)
        return self.random.choices(list(parts), parts.values())[0]

    def _create_arrivals(self):
        names = list(self.pattern.queues)
        turns = 2 if self.pattern.together else len(names)
        length_s = turns * self.pattern.burst_s * self.pattern.rounds
        for turn, name in enumerate(names):
            queue = self.pattern.queues[name]
            at_s = 0.0
            peak = queue.jobs_per_s * self.pattern.burst_factor * 2
            while True:
                at_s += self.random.expovariate(peak)
                if at_s >= length_s:
                    break
                own_turn = 0 if self.pattern.together else turn
                rate = self._get_rate(queue, own_turn, at_s, turns)
                if self.random.random() < rate / peak:
                    self._schedule(
                        self.began_at_s + at_s, self._arrive, name, queue
                    )
        return self.began_at_s + length_s

    def _get_rate(self, queue, turn, at_s, count):
        """Return the rate: in the turn of the queue a burst."""
        if queue.steady:
            return queue.jobs_per_s
        turns = at_s / self.pattern.burst_s
        if int(turns) % count != turn:
            return queue.jobs_per_s * self.pattern.quiet_factor
        height = 1.0
        if not self.pattern.sudden:
            height = math.sin(math.pi * (turns % 1)) * math.pi / 2
        return queue.jobs_per_s * self.pattern.burst_factor * height

    def _draw(self, mean, sigma=0.5):
        return mean * self.random.lognormvariate(-sigma * sigma / 2, sigma)

    def _arrive(self, name, queue):
        count = max(1, round(self._draw(queue.steps, 0.4)))
        cores = min(self._draw(queue.cores, 0.45), self.pattern.vm_cores * 0.9)
        task_s = max(0.05, self._draw(queue.task_s))
        error = self.random.gauss(0, queue.declared_error)
        steps, work_core_s = [], 0.0
        for number in range(count):
            width = min(32, max(1, round(self._draw(queue.width, 0.6))))
            work_core_s += width * cores * task_s
            steps.append(
                plans.StepPlan(
                    count=width,
                    demand=Resources(cpu=int(cores * 1000), memory_mb=100),
                    estimate_ms=task_s * math.exp(error) * 1000,
                    after=(number - 1,) if number else (),
                    gang=queue.gang,
                )
            )
        account = self._draw_account() if self.pattern.accounts else ''
        job_id = self._submit(name, tuple(steps), account)
        if self.term.job_registry.jobs[job_id].excess:
            # Its caller is not owed anything.
            self._durations[job_id] = task_s
            return
        mean = queue.steps * queue.width * queue.cores * queue.task_s
        self._durations[job_id] = task_s
        self.results[job_id] = JobResult(
            queue=name,
            account=account,
            arrived_at_s=self.now_s,
            work_core_s=work_core_s,
            value=queue.value * min(4.0, 0.3 + 0.7 * work_core_s / mean),
            late_after_s=queue.stretch * count * task_s + queue.objective_s,
        )

    def _submit(self, name, steps, account=''):
        queue = self.pattern.queues[name]
        job_id = f'{next(self._order):016x}'
        submission = plans.Submission(
            queue=name,
            pool=queue.pool or name,
            account=account or f'a{int(job_id, 16) % load_patterns.ACCOUNTS}',
            accepted_ms=self.now_s * 1000,
            plan=plans.JobPlan(spec='', steps=steps),
            stretch=queue.stretch,
            objective_ms=queue.objective_s * 1000,
        )
        row = rows.Row(
            table=rows.TABLE_JOBS,
            key=job_id,
            value=plans.encode_row(submission),
            version=1,
        )
        self.leader._apply_job_rows([row], False, 0)
        return job_id

    # Workers and VMs.

    def start_run(self, run):
        """Confirm a run, and schedule its end."""
        run.state = job_state.RunState.RUNNING
        run.confirmed_at_s = run.started_at_s = self.now_s
        run.task.step.job.started = True
        if run.task.step.plan.long_running:
            run.percent = 100.0
            run.ready_at_s = self.now_s
            return
        true_s = self._durations[run.task.step.job.job_id]
        queue = self.pattern.queues[run.task.step.job.submission.queue]
        # The same for each order of starts, so that policies compare.
        own = random.Random(f'{self.seed} {run.name}')  # noqa: S311
        true_s *= own.lognormvariate(0, queue.uneven)
        if queue.tail and own.random() < queue.tail:
            true_s *= queue.tail_factor
        self.waits.append(
            (
                queue.gang,
                run.demand.cpu,
                self.now_s - run.task.queued_at_s,
            )
        )
        self._true_durations[run] = true_s
        self._schedule(self.now_s + true_s, self._end_run, run, 'done')

    def stop_run(self, run):
        """Stop a run after a short time."""
        self._schedule(self.now_s + 0.05, self._end_run, run, 'stopped')

    def _end_run(self, run, kind):
        if run.worker.runs.get((run.name, run.number)) is not run:
            return
        self._true_durations.pop(run, None)
        completion = platform_messages.CompletionReport(
            number=next(self._completions),
            task=run.name,
            run=run.number,
            kind=platform_messages.CompletionKind(kind),
        )
        self.leader.run_controller.completions.handle(
            run.worker, completion, self.now_s
        )
        self.term.job_registry.dirty_jobs.clear()
        job_id = run.task.step.job.job_id
        result = self.results.get(job_id)
        if result is not None and run.task.step.job.ended:
            result.ended_at_s = result.ended_at_s or self.now_s

    def _move_vm(self, tracked, worker, *, target=None, **_fields):
        order = vm_registry.VMOrder(target=target, begun_at_s=self.now_s)
        order.confirmed_at_s = self.now_s
        tracked.order = order
        tracked.was_used = True
        self.moves += 1
        if worker is not None:
            del self.term.fleet.workers[worker.worker_id]
        tracked.entry = msgspec.structs.replace(tracked.entry, pool=target)
        if target != SPARE_POOL:
            self._schedule(
                self.now_s + self.pattern.move_s + REGISTRATION_DELAY_S,
                self._add_worker,
                tracked.entry.vm,
                target,
            )

    def _report_progress(self):
        for run, true_s in self._true_durations.items():
            run.worker.last_reply_at_s = self.now_s
            run.percent = 100 * (self.now_s - run.started_at_s) / true_s

    # Time.

    def _schedule(self, at_s, function, *args):
        heapq.heappush(self._events, (at_s, next(self._order), function, args))

    def _play(self, until_s):
        resize_at_s = self.now_s
        while self.now_s < until_s:
            self.now_s += DISPATCH_INTERVAL_S
            while self._events and self._events[0][0] <= self.now_s:
                _, _, function, args = heapq.heappop(self._events)
                function(*args)
            self.term._checked_at_s = self.now_s
            self.term.confirmed_at_s = self.now_s
            if self.now_s >= resize_at_s:
                resize_at_s = self.now_s + RESIZE_INTERVAL_S
                self.vms._update_orders(self.now_s)
                self.vms._resize_pools(self.now_s)
                self._report_progress()
            self.leader.dispatcher.dispatch()
            if self.now_s >= self.began_at_s:
                self.vm_seconds += DISPATCH_INTERVAL_S * sum(
                    tracked.entry.pool != SPARE_POOL
                    for tracked in self.vms.vm_registry.vms.values()
                )
