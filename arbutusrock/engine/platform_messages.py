"""What workers, the VM service and the policy service tell us."""

import enum

import msgspec

from arbutusrock.scheduling import Resources

__all__ = [
    'CompletionKind',
    'CompletionReport',
    'OrderOutcome',
    'OrderReply',
    'RenewalReply',
    'RunOrder',
    'RunReport',
    'Ticket',
    'VMEntry',
    'VMOutcome',
    'VMState',
    'WaveRequest',
    'WorkerEntry',
]


class WorkerEntry(msgspec.Struct, kw_only=True, frozen=True):
    """Registration of a worker.

    :param worker_id: names one life of a worker.
    :param address: ``host:port``.
    :param born_ms: Unix time of its start; 0 when not told.
    :param leaves_in_ms: least time left while it drains; None when unknown.
    :param vm: the VM that it runs on; empty when not told.
    """

    worker_id: str
    pool: str
    address: str
    data_centre: str = ''
    draining: bool = False
    capacity: Resources = Resources()
    labels: tuple[str, ...] = ()
    vm: str = ''
    born_ms: int = 0
    leaves_in_ms: float | None = None

    @property
    def rack(self):
        """Name of the rack: the second label."""
        return self.labels[1] if len(self.labels) > 1 else ''


class CompletionKind(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class RunReport(msgspec.Struct, kw_only=True, frozen=True):
    """A run that the worker holds.

    :param percent: how much of its work is done; a serving task is at work
        when it is 100.
    :param load: tail latency in ms of a task with a target, else
        thousandths of a core in use.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


class CompletionReport(msgspec.Struct, kw_only=True, frozen=True):
    """A run that has ended.

    :param number: position in the worker's list of ends.
    """

    number: int
    task: str
    run: int
    kind: CompletionKind
    checkpoint: str = ''


class RenewalReply(msgspec.Struct, kw_only=True, frozen=True):
    """Answer of a worker to a renewal of its lease.

    :param clock_ms: steady clock of the worker when it answered.
    """

    clock_ms: float
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[CompletionReport, ...]


class OrderOutcome(enum.Enum):
    """What is known after an order to a worker."""

    DONE = 'done'
    # Another owner has used a higher fencing token.
    FENCED = 'fenced'
    # The run number is not above one that was stopped or ended there.
    OLD = 'old'
    # The lease had ended when the order arrived.
    LATE = 'late'
    NO_ROOM = 'no room'
    BAD_TICKET = 'bad ticket'
    INVALID = 'invalid'
    UNHEALTHY = 'unhealthy'
    # Another life answers at the address.
    GONE = 'gone'
    # Nothing was delivered.
    UNREACHABLE = 'unreachable'
    # It may have been carried out, or may be seconds later.
    UNKNOWN = 'unknown'


class OrderReply(msgspec.Struct, kw_only=True, frozen=True):
    """Reply to an order."""

    outcome: OrderOutcome
    clock_ms: float | None = None


class RunOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order to start a run."""

    task: str
    run: int
    spec: str
    lease_until_ms: float
    epoch: int
    checkpoint: str = ''
    ticket: str = ''


class Ticket(msgspec.Struct, kw_only=True, frozen=True):
    """Leave of the policy service to run a step on a worker."""

    worker_id: str
    ticket: str


class VMState(enum.Enum):
    """State of a VM."""

    UP = 'up'
    MOVING = 'moving'
    UPKEEP = 'upkeep'
    DOWN = 'down'


class VMEntry(msgspec.Struct, kw_only=True, frozen=True):
    """A VM as the platform lists it."""

    vm: str
    pool: str
    state: VMState
    worker_id: str = ''
    data_centre: str = ''
    labels: tuple[str, ...] = ()
    capacity: Resources = Resources()


class VMOutcome(enum.Enum):
    """What is known after a call to the VM service."""

    DONE = 'done'
    FENCED = 'fenced'
    BUSY = 'busy'
    WRONG_WAVE = 'wrong wave'
    INVALID = 'invalid'
    THROTTLED = 'throttled'
    UNKNOWN = 'unknown'


class WaveRequest(msgspec.Struct, kw_only=True, frozen=True):
    """An operator's order for maintenance.

    :param duration_s: time in which every VM is to begin its maintenance.
    :param most_at_once: VMs that may be down for it at once.
    """

    number: int
    vms: tuple[str, ...]
    duration_s: float
    most_at_once: int
