"""The dispatcher keeps room for a large task among small ones."""

import types
from unittest import mock

import pytest

from arbutusrock.engine.dispatch import dispatcher as dispatcher_module
from arbutusrock.engine.dispatch import lookahead
from arbutusrock.engine.jobs import job_state
from arbutusrock.engine.jobs import plans
from arbutusrock.engine.ports import platform_messages
from arbutusrock.engine.tests import samples
from arbutusrock.engine.workers import fleet
from arbutusrock.scheduling import Resources
from arbutusrock.utils import clocks

CORES = 16_000


class Owner:
    """An owner of one pool, without a store or workers, at a set time."""

    def __init__(self, *, vms, now_s=1000.0):
        self.now_s = now_s
        self.started = []
        self._jobs = 0
        with self.patch_clocks():
            self.term = samples.create_term(epoch=1)
        self.term.began_at_s = now_s - 60.0
        self.term.configuration.current = types.SimpleNamespace(
            queues={}, accounts={}, version=1
        )
        tickets = mock.Mock()
        tickets.get_allowed_ids.return_value = None
        tickets.get_ticket.return_value = ''
        self.dispatcher = dispatcher_module.Dispatcher(
            term=self.term,
            links={},
            ticket_cache=tickets,
            crash_tracker=types.SimpleNamespace(culprits={}),
        )
        for name in vms:
            self.add_worker(name)

    def patch_clocks(self):
        return mock.patch.multiple(
            clocks, now_s=lambda: self.now_s, wall_time_s=lambda: self.now_s
        )

    def add_worker(self, name, labels=()):
        worker = fleet.WorkerState(
            entry=platform_messages.WorkerEntry(
                worker_id=name,
                pool='p',
                address='h:1',
                vm=name,
                capacity=Resources(cpu=CORES, memory_mb=64_000),
                labels=labels,
            ),
            now_s=self.now_s,
        )
        worker.has_answered = worker.in_roster = True
        self.term.fleet.workers[name] = worker
        self.dispatcher.links[name] = types.SimpleNamespace(
            send_start=self._start
        )

    def _start(self, run, *, spec, ticket=''):
        run.state = job_state.RunState.RUNNING
        run.started_at_s = run.confirmed_at_s = self.now_s
        self.started.append(run)

    def submit(self, *, cpu, estimate_s, account='a', age_s=0.0, **fields):
        """Add a job of one step; return its step."""
        self._jobs += 1
        # Jobs rank by their age.
        self.now_s += 0.001
        job_id = f'{self._jobs:016x}'
        fields.setdefault('count', 1)
        step = plans.StepPlan(
            demand=Resources(cpu=cpu, memory_mb=100),
            estimate_ms=estimate_s * 1000,
            **fields,
        )
        submission = plans.Submission(
            queue='q',
            pool='p',
            account=account,
            accepted_ms=(self.now_s - age_s) * 1000,
            plan=plans.JobPlan(spec='', steps=(step,)),
            stretch=4.0,
        )
        with self.patch_clocks():
            self.term.job_registry.add(job_id, submission)
            self.term.job_registry.start_due_occurrences(
                self.now_s, self.now_s
            )
        job = self.term.job_registry.open_jobs[job_id]
        return job.occurrences[0].steps[0]

    def dispatch(self):
        """Make a pass; return the runs that it started."""
        self.started.clear()
        with self.patch_clocks():
            self.term._checked_at_s = self.term.confirmed_at_s = self.now_s
            self.dispatcher.dispatch()
        return list(self.started)

    def end(self, run):
        """End a run, and complete its task."""
        self.term.fleet.remove_run(run)
        run.task.status = job_state.TaskStatus.DONE

    @property
    def reserved(self):
        """Ids of the workers with reservations."""
        plan = self.dispatcher.lookahead._plans.get('p')
        return set(plan.by_worker) if plan else set()


def fill(owner, durations_s, *, cpu=4000):
    """Fill all VMs with small runs; return them by worker and duration."""
    runs = []
    for duration_s in durations_s:
        owner.submit(cpu=cpu, estimate_s=duration_s)
        runs.extend(owner.dispatch())
    assert len(runs) == len(durations_s)
    return runs


def create_full_owner():
    """Return an owner of two full VMs, and its runs: ``a`` ends first."""
    owner = Owner(vms=['a', 'b'])
    runs = fill(owner, [1.0, 1.0, 1.0, 1.0, 6.0, 6.0, 6.0, 6.0])
    assert {run.worker.worker_id for run in runs[:4]} == {'a'}
    owner.now_s += lookahead.PLAN_INTERVAL_S
    return owner, runs


def test_small_task_waits_for_large_one():
    owner, runs = create_full_owner()
    large = owner.submit(cpu=14_000, estimate_s=2.0)
    long = owner.submit(cpu=4000, estimate_s=5.0)
    assert owner.dispatch() == []
    assert owner.reserved == {'a'}
    owner.now_s += 0.2
    owner.end(runs[0])
    assert owner.dispatch() == []
    # What ends before the large task can start goes first.
    short = owner.submit(cpu=4000, estimate_s=0.05)
    assert [run.task.step for run in owner.dispatch()] == [short]
    owner.end(runs[1])
    owner.end(runs[2])
    owner.end(runs[3])
    owner.end(owner.started[0])
    owner.now_s += 0.2
    assert [run.task.step for run in owner.dispatch()] == [large]
    assert long.waiting


def test_work_that_fits_beside_is_not_held_back():
    owner, runs = create_full_owner()
    owner.submit(cpu=10_000, estimate_s=2.0)
    beside = owner.submit(cpu=2000, estimate_s=5.0)
    owner.dispatch()
    owner.now_s += 0.2
    # The third end leaves 12 free cores, of which the large task needs 10.
    owner.end(runs[0])
    assert [run.task.step for run in owner.dispatch()] == [beside]


def test_nothing_is_reserved_for_small_tasks_or_without_others():
    owner, _ = create_full_owner()
    owner.submit(cpu=3000, estimate_s=1.0)
    owner.submit(cpu=3000, estimate_s=1.0)
    owner.dispatch()
    assert owner.reserved == set()
    alone, _ = create_full_owner()
    alone.submit(cpu=10_000, estimate_s=1.0)
    alone.dispatch()
    assert alone.reserved == set()


def test_work_in_time_is_not_held_back_for_late_work():
    owner, runs = create_full_owner()
    owner.submit(cpu=10_000, estimate_s=1.0, age_s=60.0)
    small = owner.submit(cpu=4000, estimate_s=5.0)
    owner.dispatch()
    assert owner.reserved == set()
    owner.end(runs[0])
    assert [run.task.step for run in owner.dispatch()] == [small]


def test_step_that_loses_more_than_the_large_one_wins_goes_first():
    owner, runs = create_full_owner()
    # Older, so that it goes first, and with time to wait.
    owner.submit(cpu=10_000, estimate_s=2.0, age_s=0.4)
    # Its job would be late if it waited until the large task has room, and
    # its work is several times that of the large one.
    urgent = owner.submit(cpu=4000, estimate_s=3.0, count=20, age_s=9.9)
    owner.submit(cpu=10_000, estimate_s=2.0, age_s=12.0)
    owner.dispatch()
    owner.end(runs[0])
    assert [run.task.step for run in owner.dispatch()] == [urgent]


def test_gang_gets_its_room_among_single_tasks():
    owner, runs = create_full_owner()
    gang = owner.submit(cpu=5000, estimate_s=1.0, count=3, gang=True)
    owner.submit(cpu=4000, estimate_s=2.0, count=2)
    assert owner.dispatch() == []
    assert owner.reserved == {'a'}
    for run in runs[:3]:
        owner.now_s += 0.15
        owner.end(run)
        assert owner.dispatch() == []
    owner.now_s += 0.15
    owner.end(runs[3])
    assert {run.task.step for run in owner.dispatch()} == {gang}


def lose(worker):
    worker.ended_at_s = 1.0


def drain(worker):
    worker.entry = platform_messages.WorkerEntry(
        worker_id=worker.worker_id,
        pool='p',
        address='h:1',
        vm=worker.vm,
        capacity=worker.entry.capacity,
        draining=True,
    )


def move(worker):
    worker.entry = platform_messages.WorkerEntry(
        worker_id=worker.worker_id,
        pool='other',
        address='h:1',
        vm=worker.vm,
        capacity=worker.entry.capacity,
    )


def cordon(worker):
    worker.cordon_reason = 'order'


def fall_silent(worker):
    worker.unresponsive = True


@pytest.mark.parametrize('fail', [lose, drain, move, cordon, fall_silent])
def test_reservation_leaves_vm_that_gets_no_runs(fail):
    owner, runs = create_full_owner()
    large = owner.submit(cpu=10_000, estimate_s=2.0)
    owner.submit(cpu=4000, estimate_s=5.0)
    owner.dispatch()
    assert owner.reserved == {'a'}
    fail(owner.term.fleet.workers['a'])
    owner.now_s += lookahead.PLAN_INTERVAL_S
    owner.dispatch()
    assert owner.reserved == {'b'}
    for run in runs[4:7]:
        owner.end(run)
    assert [run.task.step for run in owner.dispatch()][0] is large


def test_reservation_lapses_with_its_step():
    owner, _ = create_full_owner()
    large = owner.submit(cpu=10_000, estimate_s=2.0)
    owner.submit(cpu=4000, estimate_s=5.0)
    owner.dispatch()
    owner.term.job_registry.waiting_steps['p'] = {
        key: step
        for key, step in owner.term.job_registry.waiting_steps['p'].items()
        if step is not large
    }
    owner.now_s += lookahead.PLAN_INTERVAL_S
    owner.dispatch()
    assert owner.reserved == set()
    metrics = owner.term.metrics
    assert metrics.get_count('reservations_lapsed_total', (('pool', 'p'),))
    owner.term.job_registry.waiting_steps['p'] = {}
    owner.dispatch()
    assert metrics.get_gauge('reservations_open', (('pool', 'p'),)) == 0


def test_reservation_moves_when_the_estimate_proves_wrong():
    owner, runs = create_full_owner()
    owner.submit(cpu=10_000, estimate_s=2.0)
    owner.submit(cpu=4000, estimate_s=5.0)
    owner.dispatch()
    assert owner.reserved == {'a'}
    # The runs of the tail have made little progress by now.
    owner.now_s += 1.0
    for run in runs[:4]:
        run.percent = 10.0
        run.worker.last_reply_at_s = owner.now_s
    owner.dispatch()
    assert owner.reserved == {'b'}


def test_new_owner_makes_its_own_reservations():
    """Nothing of them is stored; runs of the earlier owner are adopted."""
    first, runs = create_full_owner()
    first.submit(cpu=10_000, estimate_s=2.0)
    first.submit(cpu=4000, estimate_s=5.0)
    first.dispatch()
    assert first.reserved == {'a'}
    second = Owner(vms=['a', 'b'], now_s=first.now_s + 0.5)
    assert second.reserved == set()
    for run in runs:
        step = second.submit(cpu=4000, estimate_s=run_estimate_s(run))
        adopted = job_state.Run(
            number=run.number,
            name=step.tasks[0].name,
            task=step.tasks[0],
            account='a',
            worker=second.term.fleet.workers[run.worker.worker_id],
            demand=run.demand,
            now_s=second.now_s,
        )
        adopted.state = job_state.RunState.RUNNING
        adopted.confirmed_at_s = second.now_s
        second.term.fleet.add_run(adopted)
        second.term.job_registry.mark_active(step.tasks[0])
    large = second.submit(cpu=10_000, estimate_s=2.0)
    second.submit(cpu=4000, estimate_s=5.0)
    assert second.dispatch() == []
    assert second.reserved == {'a'}
    assert large.waiting


def run_estimate_s(run):
    return run.task.step.plan.estimate_ms / 1000


def test_nothing_is_reserved_where_large_tasks_get_through():
    """Reservations would only take room from other large tasks."""
    owner = Owner(vms=['a', 'b'])
    fill(owner, [1.0, 6.0], cpu=14_000)
    owner.now_s += lookahead.PLAN_INTERVAL_S
    owner.submit(cpu=10_000, estimate_s=2.0)
    owner.submit(cpu=4000, estimate_s=5.0)
    assert owner.dispatch() == []
    assert owner.reserved == set()


def test_step_gets_no_worker_that_its_account_may_not_use():
    owner, _ = create_full_owner()
    owner.submit(cpu=10_000, estimate_s=2.0)
    owner.submit(cpu=4000, estimate_s=5.0)
    owner.dispatch()
    tiny = owner.submit(cpu=0, estimate_s=0.01)
    worker = owner.term.fleet.workers['b']
    with owner.patch_clocks():
        limited = owner.dispatcher.lookahead.limit_workers(
            'p', tiny, [worker], owner.now_s, blocked=False
        )
    assert limited == [worker]


def test_start_beside_reservation_counts_in_its_free_room():
    owner, runs = create_full_owner()
    owner.submit(cpu=10_000, estimate_s=2.0)
    owner.submit(cpu=2000, estimate_s=0.05)
    owner.dispatch()
    owner.now_s += 0.05
    owner.end(runs[0])
    (run,) = owner.dispatch()
    reserved = owner.dispatcher.lookahead._plans['p'].reserved
    assert reserved[run.worker.worker_id].free[0] == 2000


def test_labelled_step_gets_reservation_in_large_pool():
    """The VMs with its label are full, and many others have more free."""
    owner = Owner(vms=[])
    for name in ('a', 'b'):
        owner.add_worker(name, labels=('fast',))
    fill(owner, [1.0, 1.0, 1.0, 1.0, 6.0, 6.0, 6.0, 6.0])
    for number in range(lookahead.MAX_ROOMS):
        owner.add_worker(f'other{number:03}')
    owner.now_s += lookahead.PLAN_INTERVAL_S
    owner.submit(cpu=10_000, estimate_s=2.0, label='fast')
    owner.submit(cpu=CORES + 1, estimate_s=5.0)
    assert owner.dispatch() == []
    assert owner.reserved == {'a'}


def test_step_whose_suspect_started_apart_makes_no_claim():
    owner, runs = create_full_owner()
    large = owner.submit(cpu=10_000, estimate_s=2.0)
    large.job.progress.crashes['0.0.0'] = []
    owner.submit(cpu=4000, estimate_s=5.0)
    for run in runs[:4]:
        owner.end(run)
    owner.submit(cpu=10_000, estimate_s=2.0)
    worker = runs[0].worker
    owner.dispatcher.links['a'].send_reserved_start = (
        lambda run, *, spec, ticket, until_durable: owner._start(
            run, spec=spec
        )
    )
    starter = owner.dispatcher.guarded_starter
    with mock.patch.multiple(
        starter,
        must_isolate=lambda task, now_s: task.step is large,
        choose_workers=lambda *args: [worker],
        reserve=mock.Mock(),
    ):
        started = owner.dispatch()
    assert started[0].task.step is large
    assert not large.waiting


def test_room_beside_reserved_task_is_open_in_the_same_pass():
    """Also to steps of a size that no other VM has had room for."""
    owner, runs = create_full_owner()
    owner.submit(cpu=10_000, estimate_s=2.0)
    long = owner.submit(cpu=8000, estimate_s=5.0)
    owner.dispatch()
    for run in runs[:4]:
        owner.end(run)
    owner.dispatch()
    assert long.waiting
    ahead = owner.dispatcher.lookahead
    worker = runs[0].worker
    assert worker.free_millicores == 6000
    beside = owner.submit(cpu=4000, estimate_s=5.0)
    assert ahead.holds_workers('p')
    with owner.patch_clocks():
        limited = ahead.limit_workers(
            'p', beside, [worker, runs[4].worker], owner.now_s, blocked=True
        )
    assert limited == [worker]


def test_verdict_on_step_is_not_taken_for_that_on_another():
    """A step that is kept cannot have its id given to a later one."""
    owner, runs = create_full_owner()
    owner.submit(cpu=14_000, estimate_s=2.0)
    long = owner.submit(cpu=4000, estimate_s=5.0)
    owner.dispatch()
    owner.now_s += 0.2
    owner.end(runs[0])
    owner.dispatch()
    plan = owner.dispatcher.lookahead._plans['p']
    assert plan.held == {long: True}


def test_reservations_lapse_when_no_vm_is_left():
    owner, _ = create_full_owner()
    owner.submit(cpu=10_000, estimate_s=2.0)
    owner.submit(cpu=4000, estimate_s=5.0)
    owner.dispatch()
    assert owner.reserved == {'a'}
    for worker in owner.term.fleet.workers.values():
        cordon(worker)
    owner.now_s += lookahead.PLAN_INTERVAL_S
    owner.dispatch()
    assert owner.reserved == set()
    metrics = owner.term.metrics
    assert metrics.get_gauge('reservations_open', (('pool', 'p'),)) == 0


def test_large_serving_task_gets_its_room_in_stream_of_small_ones():
    owner, runs = create_full_owner()
    live = runs[:4]
    serving = owner.submit(cpu=14_000, estimate_s=0.0, long_running=True)
    for _ in range(20):
        owner.submit(cpu=4000, estimate_s=1.0)
        if live:
            owner.end(live.pop(0))
        owner.now_s += 0.25
        live.extend(owner.dispatch())
    assert not serving.waiting
