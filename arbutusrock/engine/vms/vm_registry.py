"""VMs as the platform lists them, and the owner's pending orders for them."""

from arbutusrock.engine.ports import platform_messages

__all__ = ['VMOrder', 'TrackedVM', 'VMRegistry']

# A list is read in pages while VMs move, so that one list may lack a VM that
# is there. It counts as gone when all lists of this time lack it.
MISSING_GRACE_S = 2.0


class VMOrder:
    """An order for a VM whose effect has not ended yet.

    :param target: pool of the VM after the order.
    :param begun_at_s: when the order was issued.
    :param wave_number: number of the wave for which the VM goes to
        maintenance, or None for a move to another pool.
    """

    __slots__ = ('wave_number', 'target', 'begun_at_s', 'confirmed_at_s')

    def __init__(self, *, target, begun_at_s, wave_number=None):
        self.wave_number = wave_number
        self.target = target
        self.begun_at_s = begun_at_s
        # When the platform confirmed that it carries the order out.
        self.confirmed_at_s = None


class TrackedVM:
    """A VM, and what this owner does with it.

    :param entry: :class:`platform_messages.VMEntry`, as last listed.
    """

    __slots__ = (
        'entry',
        'order',
        'empty_since_s',
        'backoff_until_s',
        'cordoned_wave',
        'was_used',
        'missing_since_s',
    )

    def __init__(self, *, entry):
        self.entry = entry
        self.order = None
        self.empty_since_s = None
        self.backoff_until_s = 0.0
        # Number of the wave for which it is being evacuated, or None.
        self.cordoned_wave = None
        # Whether it had runs or got an order under this owner.
        self.was_used = False
        # When the first list without it was requested; None while listed.
        self.missing_since_s = None

    @property
    def accepts_orders(self):
        """Whether the platform carries out orders for it, as far as known."""
        return (
            self.missing_since_s is None
            and self.entry.state is platform_messages.VMState.UP
        )


class VMRegistry:
    """All VMs by name."""

    __slots__ = ('vms', 'listed_at_s')

    def __init__(self):
        self.vms = {}
        # When the newest list was requested; None before the first one.
        self.listed_at_s = None

    def update(self, entries, sent_at_s, get_order_duration_s):
        """Apply a list of VMs that was requested at ``sent_at_s``.

        The list lags: a VM that it shows as up may have gone down since. So
        an order ends only when a list that was requested long enough after
        its confirmation shows the VM as up.

        :param get_order_duration_s: returns for an order how long after its
            confirmation a list may still show the state before it.
        """
        self.listed_at_s = sent_at_s
        names = set()
        for entry in entries:
            names.add(entry.vm)
            tracked = self.vms.get(entry.vm)
            if tracked is None:
                tracked = self.vms[entry.vm] = TrackedVM(entry=entry)
            tracked.entry = entry
            tracked.missing_since_s = None
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
            self._handle_missing(name, sent_at_s)

    def _handle_missing(self, name, sent_at_s):
        tracked = self.vms[name]
        if tracked.missing_since_s is None:
            tracked.missing_since_s = sent_at_s
        elif (
            tracked.order is None
            and sent_at_s - tracked.missing_since_s > MISSING_GRACE_S
        ):
            del self.vms[name]

    def add_absent(self, name):
        """Add a VM that lists do not show, to track an order for it."""
        entry = platform_messages.VMEntry(
            vm=name, pool='', state=platform_messages.VMState.DOWN
        )
        tracked = self.vms[name] = TrackedVM(entry=entry)
        tracked.missing_since_s = self.listed_at_s
        return tracked

    def find_pool_vms(self, pool):
        """Return the VMs that are in a pool or being moved there."""
        return [
            tracked
            for tracked in self.vms.values()
            if (tracked.order.target if tracked.order else tracked.entry.pool)
            == pool
        ]

    def count_unavailable(self, wave):
        """Return how many VMs are, or may be, unavailable for a wave.

        A VM in maintenance without a confirmed order of this owner was sent
        there by an earlier one, and counts for each wave.
        """
        return sum(
            1
            for tracked in self.vms.values()
            if (
                tracked.order is not None and tracked.order.wave_number == wave
            )
            or (
                tracked.entry.state is platform_messages.VMState.UPKEEP
                and (
                    tracked.order is None
                    or tracked.order.confirmed_at_s is None
                )
            )
        )
