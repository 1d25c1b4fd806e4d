"""Which VMs fail or stall the tasks that run on them.

Load: a worker on which each task fails takes new tasks as fast as it fails
them, and uses up their attempts. Jobs that can never succeed fail on any VM
and must not count against the VMs. Failures are therefore counted by job: a
VM is suspect once a task failed there, and excluded once tasks of two jobs
failed there and no task has succeeded since. A VM on which tasks stall is
excluded, too.
"""

__all__ = ['VMHealth']

# Number of jobs whose tasks must have failed on a VM before it is excluded.
MIN_FAILED_JOBS = 2
# How long a VM is suspect or excluded before it is tried again.
EXCLUSION_S = 4.0


class VMHealth:
    """Recent failures, stalls and successes on each VM."""

    __slots__ = ('_failed_jobs', '_last_failure_at_s', '_stalled_until_s')

    def __init__(self):
        # By VM, ids of the jobs that failed there since the last success.
        self._failed_jobs = {}
        self._last_failure_at_s = {}
        self._stalled_until_s = {}

    def record_success(self, vm):
        """Record that a task succeeded; this clears failures and stalls."""
        self._failed_jobs.pop(vm, None)
        self._stalled_until_s.pop(vm, None)

    def record_failure(self, vm, job_id, now_s):
        """Record that a task failed."""
        self._failed_jobs.setdefault(vm, set()).add(job_id)
        self._last_failure_at_s[vm] = now_s

    def record_stall(self, vm, now_s):
        """Record that tasks stall on a VM."""
        self._stalled_until_s[vm] = now_s + EXCLUSION_S

    def is_suspect(self, vm, now_s):
        """Return whether a VM should be used only as a last choice."""
        if now_s < self._stalled_until_s.get(vm, 0.0):
            return True
        failed = len(self._failed_jobs.get(vm, ()))
        return (
            failed >= 1 and now_s < self._last_failure_at_s[vm] + EXCLUSION_S
        )

    def is_excluded(self, vm, now_s):
        """Return whether no task may be started on a VM."""
        if now_s < self._stalled_until_s.get(vm, 0.0):
            return True
        failed = len(self._failed_jobs.get(vm, ()))
        return (
            failed >= MIN_FAILED_JOBS
            and now_s < self._last_failure_at_s[vm] + EXCLUSION_S
        )

    def export(self, now_s):
        """Return the VMs on which tasks failed lately, for the next owner.

        :returns: by VM, ids of the jobs and the time since the last failure.
        """
        return {
            vm: (
                sorted(jobs)[:MIN_FAILED_JOBS],
                round(now_s - self._last_failure_at_s[vm], 2),
            )
            for vm, jobs in self._failed_jobs.items()
            if now_s < self._last_failure_at_s[vm] + EXCLUSION_S
        }

    def restore(self, data, age_s, now_s):
        """Restore what an earlier owner has exported.

        :param data: as returned by :meth:`export`.
        :param age_s: time since it was exported.
        """
        for vm, (jobs, failure_age_s) in data.items():
            failure_age_s += age_s
            if 0 <= failure_age_s < EXCLUSION_S:
                self._failed_jobs.setdefault(vm, set()).update(jobs)
                self._last_failure_at_s[vm] = now_s - failure_age_s

    def find_excluded(self, vms, now_s):
        """Return those of ``vms`` that are excluded."""
        return {vm for vm in vms if self.is_excluded(vm, now_s)}
