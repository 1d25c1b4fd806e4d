"""Which VMs of a wave go to maintenance now.

Load: a wave names up to half of all VMs while a queue bursts. VMs whose
serving tasks need most of the time left to move begin first, then those that
are empty or off; busy ones are emptied only when the time left asks for it, so
that the burst keeps its room.
"""

from collections import Counter
import math

__all__ = ['WaveVM', 'choose_wave_vms']

# Time that a VM takes to be emptied, beside its maintenance.
EVACUATION_S = 3.0
# Time until a serving task that was moved is at work again; those of one
# step move one after the other.
TASK_MOVE_S = 1.7
# The wave is to be done in this part of its time.
DEADLINE_FRACTION = 0.7


class WaveVM:
    """A VM of a wave that has not begun its maintenance.

    :param empty: nothing runs there, or it is off.
    :param cordoned: it is being emptied for the wave.
    :param serving_steps: step of each task there that must be moved.
    :param load: part of its room that is in use.
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
    """Return the VMs to empty (or to maintain, where empty) now.

    :param waiting: :class:`WaveVM` that have not begun.
    :param down: how many are down for the wave.
    :param max_down: how many may be down at once.
    :param time_left_s: until all must have begun.
    :param pool_loads: part of each pool's room that is in use.
    """
    chosen = [vm for vm in waiting if vm.cordoned]
    room = max_down - down - len(chosen)
    if room <= 0:
        return chosen
    rounds = math.ceil(len(waiting) / max_down)
    needed_s = rounds * (maintenance_s + EVACUATION_S)
    hurried = needed_s > time_left_s * DEADLINE_FRACTION
    # Tasks of one step leave one after the other, whatever their VM.
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
    for vm in others[:room]:
        calm = pool_loads.get(vm.pool, 0.0) < 0.5
        if vm.empty or hurried or calm or is_slow(vm):
            chosen.append(vm)
    return chosen
