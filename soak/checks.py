"""Checks of the system's guarantees, made from outside.

The evidence is what API clients, workers and the VM service recorded; the
state of the nodes is not read.
"""

__all__ = ['find_violations']

# A refusal or cancellation takes effect within this time (``cancel_ms``).
MAX_CANCEL_DELAY_S = 3.0
# Time bounds are checked only where no fault was active and none ended less
# than this before (``contactMs``).
FAULT_RECOVERY_S = 3.0
# No task starts in a data centre this long after its evacuation was requested
# (``evacuateMs``).
MAX_EVACUATION_DELAY_S = 5.0
# Kinds of faults that keep an owner from reading what operators ask for.
DELAYING_KINDS = ('store', 'pause', 'data centre cut off')
# Kind of fault during which a worker may start a task this late.
LATE_START_KIND = 'worker carries out late'
LATE_START_S = 2.5
# A call without an answer counts as lost when it ended more than this after it
# was sent (``lossSlackMs``).
LOSS_SLACK_S = 0.2
# Every node knows an accepted job after this time (``visible_ms``).
MAX_VISIBILITY_DELAY_S = 3.0
# Running tasks may exceed the upper limit of an account by a tenth and one
# task (``quotaOverage``).
QUOTA_OVERAGE_FACTOR = 1.1
MAX_ATTEMPTS = 3
# A task is started less than this many times more after as many workers have
# crashed under it.
MAX_CRASHES_BEFORE_STARTS = 3
# A capacity that has shrunk counts this much later (``contactMs`` and one
# report).
CAPACITY_GRACE_S = 3.3
# A job may fail once this many workers have crashed under a task of it.
MIN_CRASHES_TO_FAIL = 2


def find_violations(
    *,
    ledger,
    jobs,
    calls,
    fault_intervals,
    limits,
    orders,
    crashes=(),
    capacity_changes=(),
    evacuations=(),
    data_centre_by_worker=None,
):
    """Yield a line for each violated guarantee.

    The first word of a line is the kind of the violation.

    :param ledger: :class:`~examples.standins.site.workers.RunRecord` of each
        run, as the workers recorded them.
    :param jobs: each :class:`soak.load_generator.JobRecord` of the load.
    :param calls: each :class:`soak.load_generator.Call` of the load.
    :param fault_intervals: ``(kind, begin, end)`` of each fault, on the steady
        clock; ``end`` is None while the fault is active.
    :param limits: ``(millicores of a worker, millicores of the account)``.
    :param orders: ``(order, VM, holder, fencing token)`` of each order that
        the VM service executed, in order of execution.
    :param crashes: the run of each crash of a worker by a task.
    :param capacity_changes: ``(instant, worker id, millicores)`` of each
        change of the capacity of a worker.
    :param evacuations: ``(data centre, begin, end)`` of each evacuation.
    :param data_centre_by_worker: data centre by worker id.
    """
    runs_by_job = {}
    for run in ledger:
        runs_by_job.setdefault(run.task.partition('.')[0], []).append(run)
    jobs_by_id = {job.job_id: job for job in jobs}
    yield from _check_runs(ledger)
    for job in jobs:
        runs = runs_by_job.get(job.job_id, [])
        yield from _check_outcome(job, runs, crashes)
        yield from _check_step_order(job, runs)
        yield from _check_cancel(job, runs, fault_intervals)
    for job_id in runs_by_job.keys() - jobs_by_id.keys():
        yield f'UNASKED {job_id}: has runs but was never submitted'
    yield from _check_capacity(ledger, jobs_by_id, limits, capacity_changes)
    yield from _check_crashes(ledger, crashes)
    yield from _check_calls(calls, fault_intervals)
    yield from _check_fencing(orders)
    for data_centre, begin_s, end_s in evacuations:
        yield from _check_evacuation(
            [
                run
                for run in ledger
                if data_centre_by_worker[run.worker_id] == data_centre
            ],
            begin_s,
            end_s,
            fault_intervals,
        )


def _check_evacuation(runs, begin_s, end_s, fault_intervals):
    """Yield a line for each run that started in an evacuated data centre.

    Faults that keep an owner from reading the request excuse a start only
    while they delay the first reading; a later owner has to know it.

    :param runs: runs on the workers of the data centre.
    """
    deadline_s = begin_s + MAX_EVACUATION_DELAY_S
    for kind, fault_begin_s, fault_end_s in sorted(
        fault_intervals, key=lambda item: item[1]
    ):
        if (
            kind.startswith(DELAYING_KINDS)
            and fault_begin_s < deadline_s
            and (fault_end_s is None or fault_end_s > begin_s)
        ):
            if fault_end_s is None:
                return
            deadline_s = max(deadline_s, fault_end_s + MAX_EVACUATION_DELAY_S)
    for run in runs:
        late = any(
            kind == LATE_START_KIND
            and began_s < run.started_at_s
            and (ended_s is None or run.started_at_s < ended_s + LATE_START_S)
            for kind, began_s, ended_s in fault_intervals
        )
        if (
            run.started_at_s > deadline_s
            and (end_s is None or run.started_at_s < end_s)
            and not late
        ):
            yield (
                f'EVAC {run.task}: started on {run.worker_id}'
                f' {run.started_at_s - begin_s:.2f} s after the evacuation of'
                ' its data centre was requested'
            )


def _is_fault_free(fault_intervals, begin_at_s, end_at_s):
    """Return whether no fault was active in the span or shortly before it."""
    return not any(
        begin < end_at_s
        and (end is None or end + FAULT_RECOVERY_S > begin_at_s)
        for _, begin, end in fault_intervals
    )


def _check_runs(ledger):
    runs_by_task = {}
    for run in ledger:
        runs_by_task.setdefault(run.task, []).append(run)
    for task, runs in runs_by_task.items():
        runs.sort(key=lambda run: run.started_at_s)
        done = False
        for before, after in zip([None, *runs], runs, strict=False):
            if before is not None and (
                before.ended_at_s is None
                or after.started_at_s < before.ended_at_s
            ):
                yield f'TWICE {task}: two runs overlap'
            if done:
                yield f'TWICE {task}: started again after it was done'
            # A completion that was not acknowledged may be lost with its
            # worker; the task may then run again.
            done = done or (
                after.outcome == 'done' and after.acknowledged_at_s is not None
            )


def _check_crashes(ledger, crashes):
    crashed_at_s = {}
    for run in crashes:
        crashed_at_s.setdefault(run.task, []).append(run.ended_at_s)
    for task, instants in crashed_at_s.items():
        if len(instants) < MAX_CRASHES_BEFORE_STARTS:
            continue
        third_at_s = sorted(instants)[MAX_CRASHES_BEFORE_STARTS - 1]
        starts = sum(
            run.task == task and run.started_at_s > third_at_s
            for run in ledger
        )
        if starts >= MAX_CRASHES_BEFORE_STARTS:
            yield f'BUDGET {task}: {starts} starts after three crashes'


def _check_outcome(job, runs, crashes):
    job_id = job.job_id
    accepted = job.accepted_at_s is not None
    if (
        not accepted
        and runs
        and all(s in {429, 503} for s in job.submit_statuses)
    ):
        yield f'REFUSED {job_id}: has runs although it was refused'
    if not accepted:
        return
    states = [state for _, _, state in job.observed_states]
    for sent_at_s, answered_at_s, state in job.observed_states:
        if (
            state == 'unknown'
            and sent_at_s > job.accepted_at_s + MAX_VISIBILITY_DELAY_S
        ):
            yield f'LOST {job_id}: accepted, but a node does not know it'
        if state == 'cancelled' and job.cancel_sent_at_s is None:
            yield f'LOST {job_id}: cancelled without a request'
        if state == 'completed':
            done = {
                run.task
                for run in runs
                if run.outcome == 'done' and run.ended_at_s <= answered_at_s
            }
            if len(done) != job.task_count:
                yield f'MIXED {job_id}: completed with {len(done)} tasks done'
    if 'failed' in states:
        failures = {}
        for run in runs:
            if run.outcome == 'failed':
                failures[run.task] = failures.get(run.task, 0) + 1
        crash_count = sum(run.task.startswith(job_id) for run in crashes)
        if (
            max(failures.values(), default=0) < MAX_ATTEMPTS
            and crash_count < MIN_CRASHES_TO_FAIL
        ):
            yield f'LOST {job_id}: failed before a task used all attempts'
    final_states = {'completed', 'failed'} & set(states)
    if job.cancel_sent_at_s is None and not final_states:
        yield (
            f'LOST {job_id}: not finished in time, last state {states[-1:]}'
        )


def _check_step_order(job, runs):
    for number, step in enumerate(job.steps):
        starts = [
            run.started_at_s
            for run in runs
            if run.task.split('.')[2] == str(number)
        ]
        for earlier in step.get('after', ()):
            completions = {}
            for run in runs:
                if run.outcome == 'done' and (
                    run.task.split('.')[2] == str(earlier)
                ):
                    completions.setdefault(run.task, run.ended_at_s)
            ready = len(completions) == job.steps[earlier]['count']
            if starts and (
                not ready or min(starts) < max(completions.values())
            ):
                yield f'ORDER {job.job_id}: step {number} started too early'


def _check_cancel(job, runs, fault_intervals):
    if job.cancelled_at_s is None:
        return
    for run in runs:
        delay_s = run.started_at_s - job.cancelled_at_s
        if delay_s > MAX_CANCEL_DELAY_S and _is_fault_free(
            fault_intervals, run.started_at_s, run.started_at_s
        ):
            yield f'UNASKED {run.task}: started after its job was cancelled'
        end_at_s = job.cancelled_at_s + MAX_CANCEL_DELAY_S + 0.2
        ended_in_time = (
            run.ended_at_s is not None and run.ended_at_s <= end_at_s
        )
        if not ended_in_time and _is_fault_free(
            fault_intervals, job.cancelled_at_s, end_at_s
        ):
            yield f'UNASKED {run.task}: still runs after its job was cancelled'


def _get_capacity(changes, worker_id, millicores, now_s):
    """Return the largest capacity of a worker that still counts."""
    levels = [(0.0, millicores)] + [
        (at_s, level) for at_s, other, level in changes if other == worker_id
    ]
    ends_s = [at_s for at_s, _ in levels[1:]] + [now_s]
    return max(
        level
        for (at_s, level), end_s in zip(levels, ends_s, strict=True)
        if at_s <= now_s and end_s >= now_s - CAPACITY_GRACE_S
    )


def _check_capacity(ledger, jobs_by_id, limits, capacity_changes):
    worker_millicores, account_millicores = limits
    events = []
    for run in ledger:
        job = jobs_by_id.get(run.task.partition('.')[0])
        if job is None:
            continue
        millicores = job.steps[int(run.task.split('.')[2])]['cpu']
        events.append((run.started_at_s, millicores, run))
        if run.ended_at_s is not None:
            events.append((run.ended_at_s, -millicores, run))
    used, total = {}, 0
    for _, millicores, run in sorted(events, key=lambda item: item[:2]):
        total += millicores
        used[run.worker_id] = used.get(run.worker_id, 0) + millicores
        if millicores > 0 and used[run.worker_id] > _get_capacity(
            capacity_changes,
            run.worker_id,
            worker_millicores,
            run.started_at_s,
        ):
            yield f'LIMIT {run.worker_id}: {used[run.worker_id]} millicores'
        if (
            millicores > 0
            and total > account_millicores * QUOTA_OVERAGE_FACTOR + millicores
        ):
            yield f'QUOTA {run.task}: {total} millicores'


def _check_calls(calls, fault_intervals):
    # Planned changes must not lose calls, so they excuse none.
    planned = {
        'stop',
        'stop in turn',
        'configuration',
        'wave',
        'evacuation',
    }
    unplanned = [item for item in fault_intervals if item[0] not in planned]
    for call in calls:
        if call.status is not None or call.ended_at_s is None:
            continue
        duration_s = call.ended_at_s - call.sent_at_s
        if duration_s > LOSS_SLACK_S and _is_fault_free(
            unplanned, call.sent_at_s, call.ended_at_s
        ):
            yield (
                f'LOST a call to {call.node.name}: '
                f'no answer after {duration_s:.2f} s'
            )


def _check_fencing(orders):
    holders, last_tokens = {}, {}
    for order, vm, holder, token in orders:
        if token < last_tokens.get(vm, 0):
            yield f'ONE {vm}: {order} with an older fencing token'
        if holders.setdefault((vm, token), holder) != holder:
            yield f'ONE {vm}: two holders of one fencing token'
        last_tokens[vm] = token
