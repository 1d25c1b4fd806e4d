"""Counting the VMs of waiting serving tasks is quick.

Failure: a thousand serving jobs of one task each wait for 276 VMs that are
full. Counting the VMs that they need took over a second of each pass.
"""

import time

from arbutusrock.scheduling import serving_room

MAX_COUNT_S = 0.1


def measure(free, memory_mb):
    """Return the processor time to place a thousand steps of one task."""
    steps = [
        serving_room.WaitingTasks(count=1, demand=(100 + number, memory_mb, 0))
        for number in range(1000)
    ]
    vms = [
        serving_room.RoomVM(vm=f'm{number}', free=free)
        for number in range(276)
    ]
    begun_s = time.process_time()
    serving_room.count_room_vms(steps, vms, (8000, 8000, 0), max_new=276)
    return time.process_time() - begun_s


def test_thousand_steps_on_full_vms_hold_up_a_pass():
    assert min(measure((8000, 100, 0), 7000) for _ in range(3)) < MAX_COUNT_S


def test_thousand_steps_that_share_vms_hold_up_a_pass():
    assert min(measure((8000, 8000, 0), 100) for _ in range(3)) < MAX_COUNT_S
