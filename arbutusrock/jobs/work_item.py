"""A request or a job on its way through this node."""

__all__ = ['IDEMPOTENT_METHODS', 'WorkItem']

# As defined by RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset(
    {'GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE'}
)


class WorkItem:
    """A request or job that waits or runs.

    :param task_id: id that workers know the task by.
    :param epoch: fencing epoch; higher ones win.
    :param team_name: the team, a :class:`TeamName`.
    :param queue: :class:`arbutusrock.contracts.Queue`.
    :param pool: name of the pool.
    :param secret_hash: hash of the key that it came with; empty for work
        that goes on after its key was withdrawn.
    :param deadline_at_s: deadline of the caller on the steady clock, or None.
    :param patient: whether urgent work of the same team goes first.
    :param durable: whether it is a job, stored in the table service.
    :param body: bytes, or an async iterator that can be read once.
    :param replayable: whether the body can be sent again.
    """

    __slots__ = (
        'task_id',
        'epoch',
        'team_name',
        'queue',
        'pool',
        'key_id',
        'secret_hash',
        'method',
        'target',
        'headers',
        'body',
        'replayable',
        'deadline_at_s',
        'arrived_at_s',
        'started_at_s',
        'patient',
        'vm',
        'tried_vms',
        'slot_future',
        'holds_slot',
        'durable',
    )

    def __init__(
        self,
        *,
        task_id,
        team_name,
        queue,
        pool,
        method,
        target,
        headers,
        body,
        arrived_at_s,
        deadline_at_s,
        patient,
        epoch=1,
        key_id='',
        secret_hash='',
        replayable=True,
        durable=False,
    ):
        self.task_id = task_id
        self.epoch = epoch
        self.team_name = team_name
        self.queue = queue
        self.pool = pool
        self.key_id = key_id
        self.secret_hash = secret_hash
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.replayable = replayable
        self.deadline_at_s = deadline_at_s
        self.arrived_at_s = arrived_at_s
        self.started_at_s = None
        self.patient = patient
        self.vm = None
        self.tried_vms = set()
        # Result: the VM of the granted slot, or an error.
        self.slot_future = None
        self.holds_slot = False
        self.durable = durable

    @property
    def idempotent(self):
        """Return whether the method may be repeated without further effect."""
        return self.method in IDEMPOTENT_METHODS
