"""Promises, checked from what callers, workers and VMs have seen."""

__all__ = ['find_violations']

# A refusal or a cancellation takes effect in this time (``cancel_ms``).
MAX_CANCEL_DELAY_S = 3.0
# Rules with a time bound hold where no fault was near (``contactMs``).
FAULT_RECOVERY_S = 3.0
# A call that ends without an answer this long after it was sent was cut
# (``lossSlackMs``).
LOSS_SLACK_S = 0.2
# An accepted job is known everywhere after this time (``visible_ms``).
MAX_VISIBILITY_DELAY_S = 3.0
# Running above an upper limit: a tenth and one task (``quotaOverage``).
QUOTA_OVERAGE_FACTOR = 1.1
MAX_ATTEMPTS = 3


def find_violations(*, ledger, jobs, calls, fault_intervals, limits, orders):
    """Yield a line for each promise that was broken.

    :param ledger: lines of the workers.
    :param jobs: :class:`soak.load_generator.JobRecord` of the callers.
    :param calls: :class:`soak.load_generator.Call` of the callers.
    :param fault_intervals: (kind, begin, end) of faults.
    :param limits: ``(cpu of a worker, cpu of the account)``.
    :param orders: orders that the VM service carried out.
    """
    by_job = {}
    for line in ledger:
        by_job.setdefault(line.task.partition('.')[0], []).append(line)
    records = {job.job_id: job for job in jobs}
    yield from _check_runs(ledger)
    for job in jobs:
        lines = by_job.get(job.job_id, [])
        yield from _check_outcome(job, lines)
        yield from _check_step_order(job, lines)
        yield from _check_cancel(job, lines, fault_intervals)
    for job_id in by_job.keys() - records.keys():
        yield f'UNASKED {job_id}: runs, but nobody handed it in'
    yield from _check_capacity(ledger, records, limits)
    yield from _check_calls(calls, fault_intervals)
    yield from _check_fencing(orders)


def _is_fault_free(fault_intervals, begin_s, end_s):
    """Return whether no fault was active, or soon before."""
    return not any(
        begin < end_s and (end is None or end + FAULT_RECOVERY_S > begin_s)
        for _, begin, end in fault_intervals
    )


def _check_runs(ledger):
    by_task = {}
    for line in ledger:
        by_task.setdefault(line.task, []).append(line)
    for task, lines in by_task.items():
        lines.sort(key=lambda line: line.started_at_s)
        done = False
        for before, after in zip([None, *lines], lines, strict=False):
            if before is not None and (
                before.ended_at_s is None
                or after.started_at_s < before.ended_at_s
            ):
                yield f'TWICE {task}: two runs at once'
            if done:
                yield f'TWICE {task}: started again after it was done'
            # An end that nobody took note of may be lost with its worker.
            done = done or (
                after.outcome == 'done' and after.acknowledged_at_s is not None
            )


def _check_outcome(job, lines):
    name = job.job_id
    accepted = job.accepted_at_s is not None
    if (
        not accepted
        and lines
        and all(s in {429, 503} for s in job.submit_statuses)
    ):
        yield f'REFUSED {name}: runs although it was refused'
    if not accepted:
        return
    ended = [state for _, _, state in job.observed_states]
    for sent_at_s, seen_s, state in job.observed_states:
        if (
            state == 'unknown'
            and sent_at_s > job.accepted_at_s + MAX_VISIBILITY_DELAY_S
        ):
            yield f'LOST {name}: not known'
        if state == 'cancelled' and job.cancel_sent_at_s is None:
            yield f'LOST {name}: cancelled by nobody'
        if state == 'completed':
            done = {
                line.task
                for line in lines
                if line.outcome == 'done' and line.ended_at_s <= seen_s
            }
            if len(done) != job.task_count:
                yield f'MIXED {name}: completed with {len(done)} tasks done'
    if 'failed' in ended:
        failures = {}
        for line in lines:
            if line.outcome == 'failed':
                failures[line.task] = failures.get(line.task, 0) + 1
        if max(failures.values(), default=0) < MAX_ATTEMPTS:
            yield f'LOST {name}: failed without cause'
    over = {'completed', 'failed'} & set(ended)
    if job.cancel_sent_at_s is None and not over:
        yield f'LOST {name}: not completed in time, last {ended[-1:]}'


def _check_step_order(job, lines):
    for number, step in enumerate(job.steps):
        starts = [
            line.started_at_s
            for line in lines
            if line.task.split('.')[2] == str(number)
        ]
        for earlier in step.get('after', ()):
            ends = {}
            for line in lines:
                if line.outcome == 'done' and (
                    line.task.split('.')[2] == str(earlier)
                ):
                    ends.setdefault(line.task, line.ended_at_s)
            ready = len(ends) == job.steps[earlier]['count']
            if starts and (not ready or min(starts) < max(ends.values())):
                yield f'ORDER {job.job_id}: step {number} began too early'


def _check_cancel(job, lines, fault_intervals):
    if job.cancelled_at_s is None:
        return
    for line in lines:
        late_s = line.started_at_s - job.cancelled_at_s
        if late_s > MAX_CANCEL_DELAY_S and _is_fault_free(
            fault_intervals, line.started_at_s, line.started_at_s
        ):
            yield f'UNASKED {line.task}: started after its job was cancelled'
        end_s = job.cancelled_at_s + MAX_CANCEL_DELAY_S + 0.2
        gone = line.ended_at_s is not None and line.ended_at_s <= end_s
        if not gone and _is_fault_free(
            fault_intervals, job.cancelled_at_s, end_s
        ):
            yield f'UNASKED {line.task}: runs on after its job was cancelled'


def _check_capacity(ledger, records, limits):
    worker_cpu, account_cpu = limits
    events = []
    for line in ledger:
        job = records.get(line.task.partition('.')[0])
        if job is None:
            continue
        cpu = job.steps[int(line.task.split('.')[2])]['cpu']
        events.append((line.started_at_s, cpu, line))
        if line.ended_at_s is not None:
            events.append((line.ended_at_s, -cpu, line))
    used, whole = {}, 0
    for _, cpu, line in sorted(events, key=lambda item: item[:2]):
        whole += cpu
        used[line.worker_id] = used.get(line.worker_id, 0) + cpu
        if cpu > 0 and used[line.worker_id] > worker_cpu:
            yield f'LIMIT {line.worker_id}: {used[line.worker_id]} in use'
        if cpu > 0 and whole > account_cpu * QUOTA_OVERAGE_FACTOR + cpu:
            yield f'QUOTA {line.task}: {whole} in use'


def _check_calls(calls, fault_intervals):
    planned = {'stop', 'stop in turn', 'configuration', 'wave'}
    unplanned = [item for item in fault_intervals if item[0] not in planned]
    for call in calls:
        if call.status is not None or call.ended_at_s is None:
            continue
        held_s = call.ended_at_s - call.sent_at_s
        if held_s > LOSS_SLACK_S and _is_fault_free(
            unplanned, call.sent_at_s, call.ended_at_s
        ):
            yield f'LOST a call to {call.node.name} after {held_s:.2f} s'


def _check_fencing(orders):
    holders, fences = {}, {}
    for what, vm, holder, fence in orders:
        if fence < fences.get(vm, 0):
            yield f'ONE {vm}: {what} with an older token'
        if holders.setdefault((vm, fence), holder) != holder:
            yield f'ONE {vm}: two holders with one token'
        fences[vm] = fence
