"""Status of a node for operators and, on the owner, status of the unit."""

import msgspec

from arbutusrock.engine.vms import vm_views
from arbutusrock.utils import clocks

__all__ = [
    'AccountStatus',
    'NodeStatus',
    'PoolStatus',
    'RefusedRowStatus',
    'collect_gauges',
    'describe_node',
]


class PoolStatus(msgspec.Struct, kw_only=True):
    """One pool as the owner sees it.

    :param usable: workers that can be given runs now.
    :param evacuated: workers whose data centre is evacuated.
    :param slow: workers whose VM is judged slow.
    :param cores_used: cores in use by running tasks.
    :param waiting_tasks: tasks that wait for a worker.
    """

    pool: str
    workers: int
    usable: int
    evacuated: int
    slow: int = 0
    cores: float
    cores_used: float
    runs: int
    waiting_tasks: int


class AccountStatus(msgspec.Struct, kw_only=True):
    """What one client account has running, over all pools.

    :param share_attained: what it used over what it was due of full pools in
        the last seconds; 1 when it was due nothing.
    """

    account: str
    cores_used: float
    cores_limit: float
    share_attained: float = 1.0


class RefusedRowStatus(msgspec.Struct, kw_only=True):
    """A row that the store refuses, and that the owner has set aside.

    :param row_bytes: size of its value.
    :param cause: what the store has answered.
    :param attempts: how often it was refused.
    :param retry_in_s: time until it is tried again.
    """

    table: str
    key: str
    row_bytes: int
    cause: str
    attempts: int
    retry_in_s: float


class NodeStatus(msgspec.Struct, kw_only=True):
    """One node, with the unit if the node owns it.

    :param configuration_age_s: time since the store confirmed the version.
    :param evacuated: data centres that operators evacuate, as far as this
        node knows.
    :param owner: node whose heartbeat was seen last.
    :param owner_age_s: time since that heartbeat was seen.
    :param epoch: epoch of this node as the owner; 0 when it is not the owner.
    :param open_jobs: number of jobs that have not ended; only the owner
        knows it.
    :param suspended_jobs: ids of the jobs of which nothing is started, as a
        part of their progress could not be stored.
    """

    node: str
    ready: bool
    stopping: bool
    configuration: int
    configuration_age_s: float
    owner: str
    owner_age_s: float
    evacuated: list[str]
    epoch: int = 0
    open_jobs: int = 0
    pools: list[PoolStatus] = []
    accounts: list[AccountStatus] = []
    refused_rows: list[RefusedRowStatus] = []
    suspended_jobs: list[str] = []


def describe_node(node, *, ready):
    """Return the :class:`NodeStatus` of a node.

    :param node: :class:`arbutusrock.engine.node.Node`.
    """
    configuration, elector = node.configuration, node.elector
    current = configuration.current
    status = NodeStatus(
        node=node.settings.name,
        ready=ready,
        stopping=node.stopping,
        configuration=current.version if current else 0,
        configuration_age_s=round(configuration.age_s, 2) if current else -1,
        owner=elector.heartbeat.node if elector.heartbeat else '',
        owner_age_s=round(clocks.now_s() - elector.heartbeat_at_s, 2),
        evacuated=configuration.cordons.names,
    )
    if node.leader is None or current is None:
        return status
    term = node.leader.term
    now_s = clocks.now_s()
    status.refused_rows = [
        RefusedRowStatus(
            table=row.table,
            key=row.key,
            row_bytes=row.row_bytes,
            cause=row.cause,
            attempts=row.attempts,
            retry_in_s=round(max(0.0, row.retry_at_s - now_s), 1),
        )
        for row in node.leader.state_writer.refused
    ]
    status.suspended_jobs = term.job_registry.find_suspended()
    status.epoch = term.epoch
    status.open_jobs = len(term.job_registry.open_jobs)
    status.pools = [
        _describe_pool(term, name) for name in sorted(current.pools)
    ]
    status.accounts = [
        AccountStatus(
            account=name,
            cores_used=term.fleet.get_usage(name).cpu / 1000,
            cores_limit=account.upper_limit.cpu / 1000,
            share_attained=round(term.share_ledger.get_attainment(name), 3),
        )
        for name, account in sorted(current.accounts.items())
    ]
    return status


def _describe_pool(term, name):
    workers = [
        worker
        for worker in term.fleet.find_pool_workers(name)
        if not worker.ended
    ]
    waiting = term.job_registry.waiting_steps.get(name, {})
    return PoolStatus(
        pool=name,
        workers=len(workers),
        usable=sum(worker.usable for worker in workers),
        evacuated=sum(item.in_evacuated_data_centre for item in workers),
        slow=sum(item.vm in term.vm_speeds.slow_vms for item in workers),
        cores=sum(item.capacity.cpu for item in workers) / 1000,
        cores_used=sum(item.used_millicores for item in workers) / 1000,
        runs=sum(len(item.runs) for item in workers),
        waiting_tasks=sum(len(step.waiting) for step in waiting.values()),
    )


def collect_gauges(node, metrics):
    """Set the gauges to the present state of the node.

    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    """
    metrics.reset_gauges()
    metrics.set_gauge('configuration_age_seconds', node.configuration.age_s)
    metrics.set_gauge(
        'data_centres_evacuated', len(node.configuration.cordons.names)
    )
    metrics.set_gauge('owner', int(node.leader is not None))
    if node.leader is None:
        return
    term = node.leader.term
    metrics.set_gauge('open_jobs', len(term.job_registry.open_jobs))
    metrics.set_gauge(
        'jobs_suspended', len(term.job_registry.find_suspended())
    )
    metrics.set_gauge('rows_set_aside', len(node.leader.state_writer.refused))
    for pool, load in vm_views.compute_pool_loads(term.fleet).items():
        metrics.set_gauge('pool_load', load, (('pool', pool),))
    for worker in term.fleet.workers.values():
        pool = (('pool', worker.entry.pool),)
        name = 'workers_failing' if worker.unresponsive else 'workers_in_touch'
        value = metrics.get_gauge(name, pool)
        metrics.set_gauge(name, value + 1, pool)
        if worker.vm in term.vm_speeds.slow_vms and not worker.ended:
            slow = metrics.get_gauge('vms_slow', pool)
            metrics.set_gauge('vms_slow', slow + 1, pool)
