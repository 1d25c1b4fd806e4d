"""Status of the fleet, and explanations of its objects, for operators.

All figures are as this node knows them.
"""

import time

import msgspec

from arbutusrock import audit
from arbutusrock import contracts
from arbutusrock import errors
from arbutusrock.machines import budgets

__all__ = ['describe_job', 'describe_status', 'explain']

AUDIT_LOOKBACK_S = 30 * 86_400


class TeamStatus(msgspec.Struct, kw_only=True):
    """A team, with its demand summed over all members.

    :param held: permits that members hold.
    :param running: number of running tasks.
    :param urgent: number of waiting urgent requests.
    :param patient: number of waiting patient requests and jobs.
    :param oldest_s: age of the oldest waiting request in seconds.
    """

    customer: str
    team: str
    share: float
    limit: int
    held: int
    running: int
    urgent: int
    patient: int
    oldest_s: float


class PoolStatus(msgspec.Struct, kw_only=True):
    """A pool, with the use of its disruption budget.

    :param running: number of running tasks on all members.
    :param unavailable: names of the VMs that are out of service.
    :param max_unavailable: the budget: how many may be out of service.
    """

    pool: str
    vms: int
    slots: int
    running: int
    unavailable: list[str]
    max_unavailable: int


class MemberStatus(msgspec.Struct, kw_only=True):
    """Another member as this one sees it.

    :param version: newest configuration version that it reported in force.
    :param live: whether it sent heartbeats or renewed its lease in time.
    """

    member: str
    version: int
    address: str
    caller_port: int
    operator_port: int
    live: bool


class Status(msgspec.Struct, kw_only=True):
    """Data of the command ``arbutusrock status``.

    :param member: id of the member that answers.
    :param version: configuration version that it has in force.
    :param serving: whether it may send work to workers now.
    :param members: the other members.
    """

    member: str
    version: int
    serving: bool
    members: list[MemberStatus]
    teams: list[TeamStatus]
    pools: list[PoolStatus]
    waves: list[str]


class Explanation(msgspec.Struct, kw_only=True):
    """State and history of one object.

    :param subject: ``kind/name`` of the object.
    :param now: sentences about the present state.
    :param story: entries of the audit trail, ordered by time.
    """

    subject: str
    now: list[str]
    story: list[audit.AuditEntry]


def describe_status(node):
    """Return a :class:`Status` of the fleet as this node sees it."""
    members = node.members
    live = set(members.find_live())
    rows = [
        MemberStatus(
            member=member_id,
            version=members.get_reported_version(member_id),
            address=observed.row.address,
            caller_port=observed.row.caller_port,
            operator_port=observed.row.operator_port,
            live=member_id in live,
        )
        for member_id, observed in sorted(members.others.items())
    ]
    configuration = node.configuration
    return Status(
        member=members.member_id,
        version=configuration.version,
        serving=members.is_serving(),
        members=rows,
        teams=[
            _describe_team(node, name) for name in sorted(configuration.teams)
        ],
        pools=[
            _describe_pool(node, name)
            for name in sorted(configuration.objects['pool'])
        ],
        waves=[
            f'{wave.wave}: {wave.state}, {len(wave.done)} of '
            f'{len(wave.vms)} done'
            for wave in configuration.objects['wave'].values()
        ],
    )


def _list_fleet_demand(node):
    """Yield the demand of this member and the last one of each peer."""
    yield from node.dispatcher.list_demand()
    for link in node.members.peers.links.values():
        yield from link.demand


def _describe_team(node, name):
    team = node.configuration.teams[name]
    rows = [
        row
        for row in _list_fleet_demand(node)
        if (row.customer, row.team) == (name.customer, name.team)
    ]
    permit_row = node.permits.get_row(name)
    held = sum(permit_row.held.values()) if permit_row else 0
    return TeamStatus(
        customer=name.customer,
        team=name.team,
        share=team.share,
        limit=team.limit,
        held=held,
        running=sum(row.running for row in rows),
        urgent=sum(row.urgent for row in rows),
        patient=sum(row.patient for row in rows),
        oldest_s=max((row.oldest_s for row in rows), default=0.0),
    )


def _describe_pool(node, name):
    pool = node.configuration.get('pool', name)
    pool_vms = node.configuration.pool_vms.get(name, ())
    unavailable = budgets.find_unavailable(
        node.configuration, name, node.health.find_unhealthy()
    )
    return PoolStatus(
        pool=name,
        vms=len(pool_vms),
        slots=sum(vm.slots for vm in pool_vms),
        running=sum(
            row.running for row in _list_fleet_demand(node) if row.pool == name
        ),
        unavailable=sorted(unavailable),
        max_unavailable=pool.max_unavailable,
    )


def describe_job(row):
    """Return a job as a dict for operators, without bodies and headers."""
    fields = msgspec.to_builtins(row)
    for name in ('body', 'headers', 'answer'):
        fields.pop(name)
    fields['status'] = row.answer.status if row.answer else None
    return fields


async def explain(node, kind, name):
    """Return the :class:`Explanation` of one object.

    :param kind: vm, team, job, wave, key, pool, contract or member.
    :param name: name of the object; of a team ``customer/team``.
    :raises errors.NotFound: when there is no such object.
    """
    match kind:
        case 'vm':
            now = _explain_vm(node, name)
        case 'team':
            now = _explain_team(node, name)
        case 'job':
            now = await _explain_job(node, name)
        case 'wave':
            now = _explain_wave(node, name)
        case 'key' | 'pool' | 'contract':
            now = _explain_object(node, kind, name)
        case 'member':
            now = _explain_member(node, name)
        case _:
            raise errors.NotFound(
                'kind must be one of vm, team, job, wave, key, pool, '
                f'contract, member; got {kind}'
            )
    subject = f'{kind}/{name}'
    # A team is changed by changes of its contract.
    if kind == 'team':
        subject = f'contract/{name.partition("/")[0]}'
    story = await audit.read_trail(
        node.platform, since_s=time.time() - AUDIT_LOOKBACK_S, subject=subject
    )
    return Explanation(subject=f'{kind}/{name}', now=now, story=story)


def _explain_vm(node, name):
    vm = node.configuration.get('vm', name)
    if vm is None:
        raise errors.NotFound(f'VM {name}')
    now = [
        f'VM {name} is {vm.state} in pool {vm.pool}.',
        f'It stands in rack {vm.rack}, data centre {vm.data_centre}.',
        f'This node runs {node.dispatcher.count_running_on(name)} tasks '
        f'on it; other nodes report {node.members.count_peer_tasks(name)} '
        f'while it drains.',
    ]
    if vm.next_pool:
        now.append(f'It moves to pool {vm.next_pool} when it is empty.')
    if vm.wave:
        now.append(f'Wave {vm.wave} maintains it.')
    reason = node.health.explain_exclusion(name)
    if reason:
        now.append(f'This node sends it no work: {reason}.')
    return now


def _explain_team(node, name):
    customer, _, team = name.partition('/')
    team_name = contracts.TeamName(customer, team)
    if team_name not in node.configuration.teams:
        raise errors.NotFound(f'team {name}')
    status = _describe_team(node, team_name)
    waiting = status.urgent + status.patient
    now = [
        f'Team {name} has share {status.share} and upper limit '
        f'{status.limit}.',
        f'{status.running} tasks run, {status.urgent} urgent and '
        f'{status.patient} patient wait; the oldest waits '
        f'{status.oldest_s} s.',
    ]
    if waiting:
        now.append(_describe_constraint(node, team_name, status))
    return now


def _describe_constraint(node, team_name, status):
    """Return a sentence on why waiting work of a team does not start."""
    if status.running >= status.limit:
        return f'The team has reached its upper limit of {status.limit}.'
    if status.held >= status.limit:
        return (
            f'All {status.limit} permits are held by members; they move to '
            'where work waits.'
        )
    pools = {
        row.pool
        for row in _list_fleet_demand(node)
        if row.customer == team_name.customer and row.team == team_name.team
    }
    for pool in sorted(pools):
        pool_status = _describe_pool(node, pool)
        if pool_status.unavailable:
            return (
                f'Pool {pool} is short of VMs: out of service are '
                f'{", ".join(pool_status.unavailable)}.'
            )
        if pool_status.running >= pool_status.slots:
            return (
                f'Pool {pool} is full; the share of the team limits its tasks.'
            )
    return (
        'Free slots of other members become available with the next digests.'
    )


async def _explain_job(node, name):
    row, _ = await node.job_table.read(name)
    now = [
        f'Job {name} of team {row.customer}/{row.team} is {row.state}.',
        f'{row.attempts} attempts; the owner is {row.owner or "nobody"}.',
    ]
    if row.worker:
        now.append(f'The last attempt was sent to {row.worker}.')
    if row.reason:
        now.append(f'Reason: {row.reason}.')
    if row.state == 'waiting':
        team_name = contracts.TeamName(row.customer, row.team)
        if team_name in node.configuration.teams:
            status = _describe_team(node, team_name)
            now.append(_describe_constraint(node, team_name, status))
    return now


def _explain_wave(node, name):
    wave = node.configuration.get('wave', name)
    if wave is None:
        raise errors.NotFound(f'wave {name}')
    now = [
        f'Wave {name} is {wave.state}: {len(wave.done)} of '
        f'{len(wave.vms)} VMs are done.'
    ]
    unhealthy = node.health.find_unhealthy()
    for vm_name in wave.vms:
        vm = node.configuration.get('vm', vm_name)
        if vm is None or vm_name in wave.done:
            continue
        if vm.state != 'serving':
            now.append(f'VM {vm_name} is {vm.state}.')
            continue
        try:
            budgets.check_budget(node.configuration, vm, unhealthy)
            now.append(f'VM {vm_name} is next.')
        except errors.BudgetExceeded as exc:
            now.append(f'VM {vm_name} waits: {exc.detail}.')
    return now


def _explain_object(node, kind, name):
    found = node.configuration.get(kind, name)
    if found is None:
        raise errors.NotFound(f'{kind} {name}')
    version = node.configuration.get_version(kind, name)
    now = [f'{kind} {name} was last changed by version {version}.']
    if kind == 'key':
        state = 'withdrawn' if found.withdrawn else 'granted'
        if found.secret_hash in node.configuration.unstored_withdrawals:
            state = 'withdrawn, not stored yet'
        now.append(f'It belongs to {found.customer}/{found.team}: {state}.')
    return now


def _explain_member(node, name):
    observed = node.members.others.get(name)
    if observed is None and name != node.members.member_id:
        return [f'Member {name} has no row.']
    version = node.configuration.version
    if observed is not None:
        version = node.members.get_reported_version(name)
    live = name in node.members.find_live()
    return [
        f'Member {name} has version {version} in force.',
        'It sends heartbeats.' if live else 'It is unresponsive.',
    ]
