"""Dispatch of waiting tasks to workers, in passes.

A pass ranks the steps with waiting tasks and starts tasks while workers have
free capacity. Events that come close together share one pass.
"""

import asyncio

from arbutusrock.engine.dispatch import inherited_usage
from arbutusrock.engine.dispatch import lookahead
from arbutusrock.engine.dispatch import placement_requests
from arbutusrock.engine.dispatch import sound_workers
from arbutusrock.engine.jobs import job_ranks
from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.workers import guarded_starts
from arbutusrock import logs
from arbutusrock.scheduling import order_window
from arbutusrock.scheduling import placement
from arbutusrock.utils import clocks

__all__ = ['Dispatcher']

# Events within this time share one pass.
BATCH_DELAY_S = 0.004
# A pass is followed by a pause of this many times its duration, up to a
# bound, so that long passes do not hold up reports and orders.
PAUSE_FACTOR = 3
MAX_PAUSE_S = 0.1
# Time after which a pass is made without an event, for what depends on time
# alone, such as occurrences that become due.
PASS_INTERVAL_S = 0.2
# Occurrences start this much later than they are due, as the clocks of workers
# and callers may be behind the clock of this node.
CLOCK_MARGIN_S = 0.05
LOG = logs.get_log('dispatch')


class Dispatcher:
    """Starts waiting tasks in the order of their jobs' ranks.

    :param term: :class:`arbutusrock.engine.term.term.Term`.
    :param links: :class:`arbutusrock.engine.runs.worker_link.WorkerLink` by
        worker id.
    :param ticket_cache:
        :class:`arbutusrock.engine.workers.tickets.TicketCache`.
    :param crash_tracker: knows which tasks may crash their worker.
    """

    def __init__(self, *, term, links, ticket_cache, crash_tracker):
        self.term = term
        self.links = links
        self.ticket_cache = ticket_cache
        self.guarded_starter = guarded_starts.GuardedStarter(
            term=term, crash_tracker=crash_tracker
        )
        # How many more start orders a pass may send for its present pool.
        self._order_room = 0
        # Passes in which a pool had more to start than that.
        self._cut_passes = 0
        self._ranker = job_ranks.JobRanker(term=term)
        self.lookahead = lookahead.Lookahead(
            term=term, ranker=self._ranker, ticket_cache=ticket_cache
        )

    async def run(self):
        """Make passes until the ownership ends."""
        pause_s = 0.0
        while True:
            try:
                async with asyncio.timeout(PASS_INTERVAL_S):
                    await self.term.dispatch_due.wait()
                await asyncio.sleep(max(BATCH_DELAY_S, pause_s))
            except TimeoutError:
                # No event; occurrences may have become due.
                pass
            self.term.dispatch_due.clear()
            took_s = self.term.load.run_part(self.dispatch)
            pause_s = min(MAX_PAUSE_S, took_s * PAUSE_FACTOR)
            if self.term.load.is_behind:
                pause_s = max(pause_s, took_s)

    def dispatch(self):
        """Make one pass over all pools with waiting tasks."""
        term = self.term
        if (
            term.holds_orders
            or term.stopping
            or clocks.now_s() < term.inherited_waits.starts_after_s
            or not term.configuration.current
            or not term.load.orders.get_room()
        ):
            return
        now_s = clocks.now_s()
        term.phases.mark('first_pass')
        term.job_registry.start_due_occurrences(
            clocks.wall_time_s() - CLOCK_MARGIN_S, now_s
        )
        self._ranker.begin_pass(now_s)
        waiting = {
            pool: steps
            for pool, steps in term.job_registry.waiting_steps.items()
            if steps
        }
        self.lookahead.forget_pools(waiting)
        term.inherited_waits.begin_pass(now_s)
        term.inherited_waits.usage = inherited_usage.estimate_inherited_usage(
            term, now_s
        )
        workers = {pool: [] for pool in waiting}
        for worker in term.fleet.workers.values():
            pool = worker.entry.pool
            if pool in waiting and not worker.ended:
                workers[pool].append(worker)
        pools = self._rotate_pools(list(waiting))
        room, cut = term.load.orders.get_room(), False
        while pools and room > 0:
            # What some pools leave is for those that had more to start.
            cut_pools = []
            for count, pool in enumerate(pools):
                self._order_room = part = order_window.divide_room(
                    room, len(pools) - count
                )
                self._dispatch_pool(
                    pool, list(waiting[pool].values()), workers[pool], now_s
                )
                room -= part - self._order_room
                if self._order_room <= 0:
                    cut_pools.append(pool)
            pools, cut = cut_pools, cut or bool(cut_pools)
        self._cut_passes += cut

    def _rotate_pools(self, pools):
        """Return the pools, another one first after each pass that was cut."""
        first = self._cut_passes % max(1, len(pools))
        return pools[first:] + pools[:first]

    def _dispatch_pool(self, pool, steps, pool_workers, now_s):
        term = self.term
        workers = [item for item in pool_workers if item.usable]
        if not workers:
            self.lookahead.begin_pass(pool, steps, [], now_s)
            return
        pool_state = guarded_starts.PoolState(
            workers=pool_workers, waiting_steps=steps
        )
        vms = [worker.vm for worker in workers]
        excluded = term.vm_health.find_excluded(vms, now_s)
        suspect_vms = {
            vm for vm in vms if term.vm_health.is_suspect(vm, now_s)
        }
        workers = [item for item in workers if item.vm not in excluded]
        candidates = [
            item
            for item in workers
            if guarded_starts.is_available(item, now_s)
        ]
        steps = [step for step in steps if self._may_start(step, pool)]
        self._start_suspects(
            pool_state, steps, workers, candidates, suspect_vms, now_s
        )
        # Some may have no waiting task left.
        steps = [step for step in steps if step.waiting]
        self.lookahead.begin_pass(pool, steps, candidates, now_s)
        max_free = placement_requests.find_max_free(candidates)
        steps = self._sort_steps(pool, steps, workers, max_free, now_s)
        self._start_steps(
            pool, pool_state, steps, candidates, suspect_vms, now_s
        )

    def _start_steps(
        self, pool, pool_state, steps, candidates, suspect_vms, now_s
    ):
        """Start tasks of steps in their order while they fit.

        :param pool_state: :class:`guarded_starts.PoolState`.
        :param candidates: workers that may get runs.
        """
        max_free = placement_requests.find_max_free(candidates)
        # Demands for which no worker had free capacity in this pass; steps
        # that demand as much or more are skipped.
        unplaced_demands = []
        sound_free = sound_workers.find_sound_free(self.term, candidates)
        for step in steps:
            if self._order_room <= 0:
                return
            if not placement_requests.may_fit(step, max_free):
                continue
            demand = placement_requests.get_demand(step)
            blocked = any(
                placement_requests.is_at_least(demand, other)
                for other in unplaced_demands
            )
            if blocked and not self.lookahead.holds_workers(pool):
                continue
            before = len(step.waiting)
            allowed = self.guarded_starter.limit_workers(
                pool_state, step, candidates, now_s
            )
            usable = self.lookahead.limit_workers(
                pool, step, allowed, now_s, blocked=blocked
            )
            if not usable:
                continue
            if (
                not self._start_step(
                    step, usable, suspect_vms, now_s, sound_free
                )
                and allowed is candidates
                and not blocked
            ):
                unplaced_demands.append(demand)
            if len(step.waiting) < before:
                max_free = placement_requests.find_max_free(candidates)
                sound_free = sound_workers.find_sound_free(
                    self.term, candidates
                )

    def _sort_steps(self, pool, steps, workers, max_free, now_s):
        """Return the steps that may fit a worker, the first to start first."""
        # Skipped before the sort: under overload few steps fit anywhere.
        fitting = [
            step
            for step in steps
            if placement_requests.may_fit(step, max_free)
        ]
        self.term.share_ledger.sort_steps(
            pool, steps, fitting, workers, self._ranker.rank, now_s
        )
        return fitting

    def _may_start(self, step, pool):
        return self.term.may_start(
            step.job
        ) and not self.term.inherited_waits.holds_step(step, pool)

    def _start_step(self, step, workers, suspect_vms, now_s, sound_free):
        """Start waiting tasks of a step while they fit.

        :param sound_free: most that is free on sound VMs, or None.
        :returns: False when no worker of the pool has free capacity for the
            demand of the step.
        """
        allowed = self.ticket_cache.get_allowed_ids(step, workers, now_s)
        if allowed is not None and not allowed:
            return True
        if step.plan.gang:
            return self._start_gang(step, workers, suspect_vms, allowed, now_s)
        if allowed is None and sound_workers.waits_for_sound_vm(
            self.term, step, workers, sound_free, now_s
        ):
            return True
        # Workers that were found to have no room, when others were left out.
        full = None
        for task in list(step.waiting.values()):
            if self._order_room <= 0:
                return True
            if self._may_run(task) and not step.plan.speculative:
                continue
            if task.not_before_s > now_s:
                continue
            if self.guarded_starter.must_isolate(task, now_s):
                continue
            if not self._fits_account_limit(step, 1):
                return True
            request = placement_requests.create_request(
                self.term, step, task, suspect_vms, allowed
            )
            eligible = sound_workers.find_eligible_workers(
                self.term, workers, task, request, now_s
            )
            if eligible == full:
                continue
            worker = placement.choose_worker(eligible, request)
            if worker is None and len(eligible) < len(workers):
                # It waits for the workers that it had to leave out; other
                # tasks of the step may still fit.
                full = eligible
                continue
            if worker is None:
                restricted = step.plan.most_per_worker or step.plan.label
                return bool(restricted or allowed is not None)
            number = self.term.create_run_number()
            self._start_run(task, worker, number, now_s)
        return True

    def _may_run(self, task):
        """Return whether a waiting task may have a run all the same."""
        return (
            task.name in self.term.fleet.unwanted_runs
            or self.term.inherited_waits.holds_task(task)
        )

    def _start_gang(self, step, workers, suspect_vms, allowed, now_s):
        """Start all tasks of a gang under one run number, or none."""
        count = len(step.waiting)
        if any(
            self._may_run(task)
            or task.not_before_s > now_s
            or self.guarded_starter.must_isolate(task, now_s)
            for task in step.tasks
        ):
            return True
        if count < step.plan.count or not self._fits_account_limit(
            step, count
        ):
            return True
        request = placement_requests.create_request(
            self.term, step, step.tasks[0], suspect_vms, allowed
        )
        chosen = placement.choose_gang_workers(
            workers, request, count, same_rack=step.plan.same_rack
        )
        if chosen is None:
            return True
        number = self.term.create_run_number()
        for task, worker in zip(
            list(step.waiting.values()), chosen, strict=True
        ):
            self._start_run(task, worker, number, now_s)
        return True

    def _start_suspects(
        self, pool_state, steps, workers, candidates, suspect_vms, now_s
    ):
        """Start tasks that may crash their worker, the least likely first.

        :param pool_state: :class:`guarded_starts.PoolState`.
        :param workers: workers of the pool, with those that are held.
        :param candidates: workers for other tasks; one that a suspect gets
            is removed.
        """
        groups = [
            (step, tasks)
            for step in steps
            if step.job.progress.crashes or step.job.progress.unresolved
            for tasks in self._find_suspects(step, now_s)
        ]
        groups.sort(
            key=lambda group: (
                len(group[1][0].crashes),
                self._ranker.rank(group[0]),
            )
        )
        for step, tasks in groups:
            allowed = self.ticket_cache.get_allowed_ids(step, workers, now_s)
            if not self._fits_account_limit(step, len(tasks)):
                continue
            chosen = self.guarded_starter.choose_workers(
                pool_state,
                tasks,
                workers,
                placement_requests.create_request(
                    self.term, step, tasks[0], suspect_vms, allowed
                ),
            )
            if chosen is None:
                continue
            number = self.term.create_run_number()
            for task, worker in zip(tasks, chosen, strict=True):
                self._start_run(task, worker, number, now_s, guarded=True)
                if worker in candidates:
                    candidates.remove(worker)

    def _find_suspects(self, step, now_s):
        """Return the suspects of a step to isolate, a gang's together."""
        suspects = [
            task
            for task in step.waiting.values()
            if task.not_before_s <= now_s
            and self.guarded_starter.must_isolate(task, now_s)
        ]
        if step.plan.gang:
            complete = len(step.waiting) == step.plan.count
            free = not any(
                self._may_run(task) or task.not_before_s > now_s
                for task in step.tasks
            )
            return [step.tasks] if suspects and complete and free else []
        return [
            [task]
            for task in suspects
            if not self._may_run(task) or step.plan.speculative
        ]

    def _fits_account_limit(self, step, count):
        """Return whether ``count`` more tasks fit the account's limit."""
        return self.term.fits_account_limit(
            step.job.submission.account, step.plan.demand * count
        )

    def _start_run(self, task, worker, number, now_s, guarded=False):
        job = task.step.job
        run = job_state.Run(
            number=number,
            name=task.name,
            task=task,
            account=job.submission.account,
            worker=worker,
            demand=task.step.plan.demand,
            now_s=now_s,
        )
        if not job.run_ordered:
            job.run_ordered = True
            LOG.info(
                'first run of a job ordered',
                job=job.job_id,
                queue=job.submission.queue,
                account=job.submission.account,
                task=task.name,
                worker=worker.worker_id,
                waited_s=round(clocks.wall_time_s() - job.accepted_unix_s, 3),
                millicores=run.demand.cpu,
                tasks=task.step.plan.count,
                configuration=self.term.configuration.current.version,
            )
        task.starts += 1
        self._order_room -= 1
        self.term.phases.mark('first_start')
        if task.starts > 1:
            LOG.info(
                'a task is started again',
                task=task.name,
                run=number,
                worker=worker.worker_id,
                starts=task.starts,
                failed=len(task.failed_runs),
                waited_s=round(now_s - task.queued_at_s, 3),
            )
        self.term.fleet.add_run(run)
        self.lookahead.record_start(task, worker, now_s)
        self.term.job_registry.mark_active(task)
        link = self.links[worker.worker_id]
        ticket = self.ticket_cache.get_ticket(task.step, worker.worker_id)
        if guarded:
            link.send_reserved_start(
                run,
                spec=job.plan.spec,
                ticket=ticket,
                until_durable=self.guarded_starter.reserve(run),
            )
        else:
            link.send_start(run, spec=job.plan.spec, ticket=ticket)

    def _find_worker(self, task, taken=None):
        """Return a worker for one more run of a task, or None.

        Suspect, slow and deprioritized VMs are left out.

        :param taken: what is promised of each worker; what the run takes is
            added.
        """
        term, step = self.term, task.step
        now_s = clocks.now_s()
        workers = [
            worker
            for worker in term.fleet.find_pool_workers(
                step.job.submission.pool
            )
            if worker.usable
            and guarded_starts.is_available(worker, now_s)
            and worker.worker_id in self.links
            and worker.vm not in task.deprioritized_vms
            and worker.vm not in term.vm_speeds.slow_vms
            and not term.vm_health.is_suspect(worker.vm, now_s)
        ]
        allowed = self.ticket_cache.get_allowed_ids(step, workers, now_s)
        request = placement_requests.create_request(
            self.term, step, task, frozenset(), allowed
        )
        worker = placement.choose_worker(workers, request, taken)
        if worker is not None and taken is not None:
            placement.take(taken, worker, request)
        return worker

    def has_free_capacity(self, task, taken):
        """Return whether one more run of a task would find a worker now.

        :param taken: by worker id, what is promised to others; what the run
            takes is added.
        """
        return self._find_worker(task, taken) is not None

    def start_extra_run(self, task):
        """Start an extra run of a task; return whether one was started.

        A task that may crash its worker gets no extra runs, and a job that is
        suspended none at all.
        """
        if (
            self.term.stopping
            or guarded_starts.is_suspect(task)
            or task.step.job.progress.suspended
        ):
            return False
        worker = self._find_worker(task)
        if worker is None or not self._fits_account_limit(task.step, 1):
            return False
        number = self.term.create_run_number()
        self._start_run(task, worker, number, clocks.now_s())
        return True
