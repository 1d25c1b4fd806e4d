"""Which VMs fail or hold up what they run.

Load: a worker that fails all it starts takes tasks as fast as it fails them
and uses up their attempts; jobs that can never be done fail everywhere and
must not count against the VMs. So failures count by job: a VM is doubtful
once tasks of two jobs failed there and nothing has succeeded since.
"""

__all__ = ['VMHealth']

# Jobs whose tasks must have failed on a VM before it is left out.
MIN_FAILED_JOBS = 2
# How long a doubtful VM is left out before it is tried again.
EXCLUSION_S = 4.0


class VMHealth:
    """Failures and successes of VMs."""

    __slots__ = ('_failed_jobs', '_last_failure_at_s', '_stalled_until_s')

    def __init__(self):
        self._failed_jobs = {}
        self._last_failure_at_s = {}
        self._stalled_until_s = {}

    def record_success(self, vm):
        """Note that a task ended well."""
        self._failed_jobs.pop(vm, None)
        self._stalled_until_s.pop(vm, None)

    def record_failure(self, vm, job_id, now_s):
        """Note that a task failed."""
        self._failed_jobs.setdefault(vm, set()).add(job_id)
        self._last_failure_at_s[vm] = now_s

    def record_stall(self, vm, now_s):
        """Note that tasks stand still there."""
        self._stalled_until_s[vm] = now_s + EXCLUSION_S

    def is_suspect(self, vm, now_s):
        """Return whether tasks had better go elsewhere."""
        if now_s < self._stalled_until_s.get(vm, 0.0):
            return True
        failed = len(self._failed_jobs.get(vm, ()))
        return (
            failed >= 1 and now_s < self._last_failure_at_s[vm] + EXCLUSION_S
        )

    def is_excluded(self, vm, now_s):
        """Return whether nothing is to be started there."""
        if now_s < self._stalled_until_s.get(vm, 0.0):
            return True
        failed = len(self._failed_jobs.get(vm, ()))
        return (
            failed >= MIN_FAILED_JOBS
            and now_s < self._last_failure_at_s[vm] + EXCLUSION_S
        )

    def find_excluded(self, vms, now_s):
        """Return those of ``vms`` that are excluded."""
        return {vm for vm in vms if self.is_excluded(vm, now_s)}
