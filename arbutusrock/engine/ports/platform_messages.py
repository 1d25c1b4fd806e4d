"""Messages exchanged with workers, the VM service and the policy service.

They are free of the wire format, which the platform adapter decodes.
"""

import enum

import msgspec

from arbutusrock.scheduling import Resources

__all__ = [
    'CompletionKind',
    'CompletionReport',
    'CordonChange',
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

    :param worker_id: identifies one incarnation of a worker.
    :param address: ``host:port``.
    :param labels: labels of the worker; the second one names its rack.
    :param vm: the VM that it runs on; empty when not reported.
    :param born_ms: Unix time at which this incarnation started; 0 when not
        reported.
    :param leaves_in_ms: minimum time until a draining worker leaves; None
        when unknown.
    :param cold_ms: how much longer the worker is slow after its start.
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
    cold_ms: float = 0.0

    @property
    def rack(self):
        """Name of the rack, which is the second label; or empty."""
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
    """Report on a run that is in progress on a worker.

    :param percent: percentage of its work that is done; a serving task is
        ready at 100.
    :param load: tail latency in ms for a task with a latency target,
        otherwise millicores in use.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


class CompletionReport(msgspec.Struct, kw_only=True, frozen=True):
    """Report that a run has ended.

    :param number: position in the worker's list of completions.
    """

    number: int
    task: str
    run: int
    kind: CompletionKind
    checkpoint: str = ''


class RenewalReply(msgspec.Struct, kw_only=True, frozen=True):
    """Answer of a worker to a renewal of its lease.

    :param clock_ms: steady clock of the worker when it answered.
    :param born_ms: start of the incarnation that answered; 0 when not
        reported.
    :param running: runs in progress.
    :param ended: completions that are not acknowledged yet.
    """

    clock_ms: float
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[CompletionReport, ...]


class OrderOutcome(enum.Enum):
    """Result of an order to a worker, as far as it is known."""

    DONE = 'done'
    # Another owner has used a higher fencing token.
    FENCED = 'fenced'
    # The run number is not higher than one that was stopped or ended there.
    OLD = 'old'
    # The lease in the order had expired when it arrived.
    LATE = 'late'
    NO_ROOM = 'no room'
    BAD_TICKET = 'bad ticket'
    INVALID = 'invalid'
    UNHEALTHY = 'unhealthy'
    # A worker with another id answers at the address.
    GONE = 'gone'
    # A later incarnation of the worker answers under its id; it was not given
    # the order.
    RESTARTED = 'restarted'
    # The order was not delivered.
    UNREACHABLE = 'unreachable'
    # No answer: it may have been carried out, or may be seconds later.
    UNKNOWN = 'unknown'


class OrderReply(msgspec.Struct, kw_only=True, frozen=True):
    """Reply to an order.

    :param clock_ms: steady clock of the worker; None when not reported.
    """

    outcome: OrderOutcome
    clock_ms: float | None = None


class RunOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order to start a run.

    :param lease_until_ms: end of the lease on the worker's clock.
    :param epoch: fencing token of the owner.
    :param checkpoint: where to resume, or empty.
    :param ticket: ticket of the policy service, or empty.
    """

    task: str
    run: int
    spec: str
    lease_until_ms: float
    epoch: int
    checkpoint: str = ''
    ticket: str = ''


class Ticket(msgspec.Struct, kw_only=True, frozen=True):
    """Permission of the policy service to run a step on a worker."""

    worker_id: str
    ticket: str


class VMState(enum.Enum):
    """State of a VM."""

    UP = 'up'
    MOVING = 'moving'
    UPKEEP = 'upkeep'
    DOWN = 'down'


class VMEntry(msgspec.Struct, kw_only=True, frozen=True):
    """A VM in the listing of the VM service."""

    vm: str
    pool: str
    state: VMState
    worker_id: str = ''
    data_centre: str = ''
    labels: tuple[str, ...] = ()
    capacity: Resources = Resources()


class VMOutcome(enum.Enum):
    """Result of a call to the VM service, as far as it is known."""

    DONE = 'done'
    FENCED = 'fenced'
    BUSY = 'busy'
    WRONG_WAVE = 'wrong wave'
    INVALID = 'invalid'
    THROTTLED = 'throttled'
    UNKNOWN = 'unknown'


class CordonChange(msgspec.Struct, kw_only=True, frozen=True):
    """An operator's row about the evacuation of a data centre.

    :param active: whether the row is there; it is removed when the data
        centre is taken back.
    :param problem: why its value cannot be read; empty for a sound one.
    """

    data_centre: str
    active: bool
    problem: str = ''


class WaveRequest(msgspec.Struct, kw_only=True, frozen=True):
    """A maintenance wave that an operator ordered.

    :param duration_s: time within which every VM has to begin maintenance.
    :param most_at_once: maximum number of VMs that are down for it at once.
    """

    number: int
    vms: tuple[str, ...]
    duration_s: float
    most_at_once: int
