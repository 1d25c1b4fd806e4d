"""What the owner knows of VMs, and of its orders to them."""

from arbutusrock.engine import platform_messages

__all__ = ['VMOrder', 'TrackedVM', 'VMRegistry']


class VMOrder:
    """An order for a VM that is not over yet.

    :param wave_number: number of the wave, or None for a move.
    :param target: pool that the VM joins.
    """

    __slots__ = ('wave_number', 'target', 'begun_at_s', 'confirmed_at_s')

    def __init__(self, *, target, begun_at_s, wave_number=None):
        self.wave_number = wave_number
        self.target = target
        self.begun_at_s = begun_at_s
        # When the platform confirmed that it has begun.
        self.confirmed_at_s = None


class TrackedVM:
    """One VM."""

    __slots__ = (
        'entry',
        'order',
        'empty_since_s',
        'backoff_until_s',
        'cordoned_wave',
        'was_used',
    )

    def __init__(self, *, entry):
        self.entry = entry
        self.order = None
        self.empty_since_s = None
        self.backoff_until_s = 0.0
        # Wave for which it is being emptied.
        self.cordoned_wave = None
        # Whether it had work, or was moved, under this owner.
        self.was_used = False


class VMRegistry:
    """All VMs by name."""

    __slots__ = ('vms',)

    def __init__(self):
        self.vms = {}

    def update(self, entries, sent_at_s, get_order_duration_s):
        """Take over a list of VMs that was asked for at ``sent_at_s``.

        The list lags: a VM that it shows as up may have gone down since.

        :param get_order_duration_s: tells for an order how long after its
            confirmation the list cannot show the state before it.
        """
        names = set()
        for entry in entries:
            names.add(entry.vm)
            tracked = self.vms.get(entry.vm)
            if tracked is None:
                tracked = self.vms[entry.vm] = TrackedVM(entry=entry)
            tracked.entry = entry
            order = tracked.order
            if (
                order is not None
                and order.confirmed_at_s is not None
                and order.confirmed_at_s + get_order_duration_s(order)
                < sent_at_s
                and entry.state is platform_messages.VMState.UP
            ):
                tracked.order = None
        for name in set(self.vms) - names:
            del self.vms[name]

    def find_pool_vms(self, pool):
        """Return the VMs that are in a pool or on their way there."""
        return [
            tracked
            for tracked in self.vms.values()
            if (tracked.order.target if tracked.order else tracked.entry.pool)
            == pool
        ]

    def count_unavailable(self, wave):
        """Return how many VMs are, or may be, down for a wave.

        One without an order of ours went down for an earlier owner.
        """
        return sum(
            1
            for tracked in self.vms.values()
            if (
                tracked.entry.state is platform_messages.VMState.UPKEEP
                if tracked.order is None
                else tracked.order.wave_number == wave
            )
        )
