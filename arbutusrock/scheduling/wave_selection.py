"""Which VMs of a wave start their maintenance now.

Load: a wave names up to half of all VMs while a queue bursts. VMs whose
serving tasks need most of the remaining time to move start first, then those
that are empty or switched off. Busy VMs are evacuated only when the remaining
time requires it or their pool is lightly used, so that the burst keeps its
capacity.
"""

from collections import Counter
import math

__all__ = ['WaveVM', 'choose_wave_vms']

# Time to evacuate a VM, in addition to its maintenance.
EVACUATION_S = 3.0
# Time until a serving task that was moved is ready again; the tasks of one
# step move one after the other.
TASK_MOVE_S = 1.7
# The wave is planned to be done within this part of its remaining time.
DEADLINE_FRACTION = 0.7


class WaveVM:
    """A VM of a wave that has not started its maintenance.

    :param empty: nothing runs on it, or it is switched off.
    :param cordoned: it is being evacuated for this wave.
    :param serving_steps: for each serving task on it, which must be moved,
        the id of its step.
    :param load: part of its capacity that is in use.
    """

    __slots__ = ('vm', 'pool', 'empty', 'cordoned', 'serving_steps', 'load')

    def __init__(self, *, vm, pool, empty, cordoned, serving_steps, load):
        self.vm = vm
        self.pool = pool
        self.empty = empty
        self.cordoned = cordoned
        self.serving_steps = serving_steps
        self.load = load


def choose_wave_vms(
    waiting, *, down, max_down, time_left_s, maintenance_s, pool_loads
):
    """Return the VMs to evacuate now, or to maintain where they are empty.

    :param waiting: :class:`WaveVM` that have not started their maintenance.
    :param down: number of VMs that are down for the wave.
    :param max_down: how many VMs may be down or being evacuated at once.
    :param time_left_s: time until all VMs must have started.
    :param maintenance_s: duration of the maintenance of one VM.
    :param pool_loads: by pool, part of its capacity that is in use.
    """
    chosen = [vm for vm in waiting if vm.cordoned]
    free_places = max_down - down - len(chosen)
    if free_places <= 0:
        return chosen
    rounds = math.ceil(len(waiting) / max_down)
    needed_s = rounds * (maintenance_s + EVACUATION_S)
    is_late = needed_s > time_left_s * DEADLINE_FRACTION
    # Tasks of one step move one after the other, even from different VMs.
    counts = Counter(step for vm in waiting for step in vm.serving_steps)

    def is_slow(vm):
        moves = max((counts[step] for step in vm.serving_steps), default=0)
        moves_s = moves * TASK_MOVE_S + maintenance_s
        return bool(moves) and moves_s > time_left_s * DEADLINE_FRACTION

    others = sorted(
        (vm for vm in waiting if not vm.cordoned),
        key=lambda vm: (
            not is_slow(vm),
            not vm.empty,
            pool_loads.get(vm.pool, 0.0) > 0.7,
            len(vm.serving_steps),
            vm.load,
            vm.vm,
        ),
    )
    for vm in others[:free_places]:
        is_pool_lightly_used = pool_loads.get(vm.pool, 0.0) < 0.5
        if vm.empty or is_late or is_pool_lightly_used or is_slow(vm):
            chosen.append(vm)
    return chosen
