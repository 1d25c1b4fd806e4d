"""The current configuration: queues, pools, client accounts, limits."""

import msgspec

__all__ = [
    'Account',
    'AdviceSettings',
    'FleetConfiguration',
    'Pool',
    'Queue',
    'RequestLimits',
    'Resources',
]


class Resources(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """An amount of each resource.

    :param cpu: millicores.
    :param memory_mb: memory in megabytes.
    :param accelerators: number of whole accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other):
        return Resources(
            cpu=self.cpu + other.cpu,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __mul__(self, count):
        return Resources(
            cpu=self.cpu * count,
            memory_mb=self.memory_mb * count,
            accelerators=self.accelerators * count,
        )

    def limit(self, most):
        """Return the smaller amount of each resource.

        >>> Resources(cpu=3, memory_mb=1).limit(Resources(cpu=2, memory_mb=5))
        Resources(cpu=2, memory_mb=1, accelerators=0)
        """
        return Resources(
            cpu=min(self.cpu, most.cpu),
            memory_mb=min(self.memory_mb, most.memory_mb),
            accelerators=min(self.accelerators, most.accelerators),
        )


class AdviceSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Time costs of a request to the policy service of a queue.

    :param decide_ms: time that one request takes.
    :param each_ms: additional time for each worker named in the request.
    :param valid_ms: how long the returned ticket may be used.
    """

    decide_ms: float
    each_ms: float
    valid_ms: float


class Queue(msgspec.Struct, kw_only=True, frozen=True):
    """A queue of jobs, with the requests that it accepts and its objective.

    A job should be completed within ``stretch`` times its critical path plus
    ``objective_ms``.

    :param host: host name of the requests that go to this queue.
    :param prefix: path prefix of these requests.
    :param pool: name of the pool that runs the tasks.
    :param urgency: 0 is the most urgent.
    :param max_attempts: failed runs after which a task fails permanently.
    :param stretch: factor on the critical path of a job in its objective.
    :param objective_ms: time added to the stretched critical path.
    :param open_to_all: requests without an account are accepted.
    :param advice: :class:`AdviceSettings` of the policy service that decides
        which workers may run its tasks; None for no such service.
    """

    name: str
    host: str
    prefix: str
    pool: str
    urgency: int = 0
    max_attempts: int = 3
    stretch: float = 1.0
    objective_ms: float = 1000.0
    timeout_ms: float = 0.0
    open_to_all: bool = False
    advice: AdviceSettings | None = None


class Pool(msgspec.Struct, kw_only=True, frozen=True):
    """A group of VMs that run the tasks of the same queues.

    :param enforces_capacity: whether workers refuse tasks that do not fit.
    :param spare: the VMs in this pool are switched off.
    """

    name: str
    enforces_capacity: bool = False
    spare: bool = False
    health_path: str = ''


class Account(msgspec.Struct, kw_only=True, frozen=True):
    """A client account.

    :param keys: API keys of the account.
    :param weight: share of the capacity when all of it is in use.
    :param upper_limit: maximum :class:`Resources` of its running tasks; 0
        means no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    upper_limit: Resources = Resources()


class RequestLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Bounds on requests to the caller API."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class FleetConfiguration:
    """One version of the configuration, indexed for look-ups.

    :param version: increases with each change.
    """

    __slots__ = (
        'version',
        'queues',
        'pools',
        'accounts',
        'limits',
        '_queues_by_host',
        '_accounts_by_key',
    )

    def __init__(self, *, version, queues, pools, accounts, limits):
        self.version = version
        self.queues = {queue.name: queue for queue in queues}
        self.pools = {pool.name: pool for pool in pools}
        self.accounts = {account.name: account for account in accounts}
        self.limits = limits
        self._queues_by_host = {}
        for queue in sorted(queues, key=lambda item: -len(item.prefix)):
            self._queues_by_host.setdefault(queue.host, []).append(queue)
        self._accounts_by_key = {
            key: account for account in accounts for key in account.keys
        }

    def find_queue(self, host, path):
        """Return the queue with the longest matching prefix, or None."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def find_account(self, key):
        """Return the account that owns the API key ``key``, or None."""
        return self._accounts_by_key.get(key)
