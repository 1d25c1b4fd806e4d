"""Which workers waiting tasks may use while some VMs work slowly."""

from arbutusrock.engine.dispatch import placement_requests
from arbutusrock.engine.workers import run_speeds
from arbutusrock.scheduling import placement

__all__ = [
    'find_eligible_workers',
    'find_sound_free',
    'waits_for_sound_vm',
]


def find_sound_free(term, workers):
    """Return the most that is free on sound VMs.

    It is None where all workers are on sound VMs, or none is.
    """
    slow_vms = term.vm_speeds.slow_vms
    if not slow_vms:
        return None
    sound = [item for item in workers if item.vm not in slow_vms]
    if not sound or len(sound) == len(workers):
        return None
    return placement_requests.find_max_free(sound)


def waits_for_sound_vm(term, step, workers, sound_free, now_s):
    """Return whether all tasks of a step wait for room on sound VMs.

    Then they need not be looked at one by one. Steps with a label or a
    bound are looked at, as the workers that they may use may all be slow.
    """
    plan = step.plan
    if (
        sound_free is None
        or plan.long_running
        or plan.label
        or plan.most_per_worker
        or placement_requests.may_fit(step, sound_free)
    ):
        return False
    slow_vms = term.vm_speeds.slow_vms
    wait_s = placement.compute_speed_wait_s(
        run_speeds.compute_expected_s(term, step),
        max(slow_vms.values()),
    )
    oldest = next(iter(step.waiting.values()))
    if now_s - oldest.queued_at_s >= wait_s:
        return False
    request = placement.PlacementRequest(
        demand=placement_requests.get_demand(step)
    )
    return any(
        worker.vm not in slow_vms and placement.could_fit(worker, request)
        for worker in workers
    )


def find_eligible_workers(term, workers, task, request, now_s):
    """Return the workers that a task may use, given how long it waits.

    Slow VMs are left out for a while only if a sound one could take it.
    """
    waited_s = now_s - task.queued_at_s
    slow_vms = term.vm_speeds.slow_vms
    if slow_vms and not task.step.plan.long_running:
        sound = placement.find_sound_workers(
            workers,
            slow_vms,
            waited_s,
            run_speeds.compute_expected_s(term, task.step),
        )
        if len(sound) == len(workers) or any(
            placement.could_fit(worker, request) for worker in sound
        ):
            workers = sound
    return placement.find_eligible_workers(
        workers, task.deprioritized_vms, waited_s
    )
