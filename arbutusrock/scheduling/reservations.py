"""Reservations of room for large tasks and gangs that fit nowhere now.

Load: tasks of up to two thirds of a VM wait beside many small ones.
"""

__all__ = ['is_large']

# Demand over the capacity of a VM from which a task counts as large: three
# such tasks may not fit side by side with others, so it waits for several
# runs to end on one VM, while small tasks take each gap.
LARGE_FRACTION = 0.25


def is_large(demand, capacity):
    """Return whether a task takes a large part of a VM.

    :param demand: :class:`Resources` of the task.
    :param capacity: :class:`Resources` of the VM.
    """
    return (
        demand.cpu > LARGE_FRACTION * capacity.cpu
        or demand.memory_mb > LARGE_FRACTION * capacity.memory_mb
        or demand.accelerators > LARGE_FRACTION * capacity.accelerators
    )
