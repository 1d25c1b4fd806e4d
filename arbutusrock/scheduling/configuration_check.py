"""Checks a configuration before operators send it.

Load: none; a configuration that decodes can still hold entries that never take
effect, or limits that cannot be kept together. Callers notice them first, as
refused calls and as jobs that wait for ever.
"""

from collections import Counter
import math

import msgspec

from arbutusrock.scheduling import configuration
from arbutusrock.scheduling import wave_selection

__all__ = [
    'ConfigurationEntries',
    'Difference',
    'Finding',
    'check_configuration',
    'check_wave',
    'compare_configurations',
]

ERROR = 'error'
WARNING = 'warning'


class ConfigurationEntries(msgspec.Struct, kw_only=True):
    """The entries of a configuration as written, with those of equal names."""

    version: int
    queues: list[configuration.Queue] = []
    pools: list[configuration.Pool] = []
    accounts: list[configuration.Account] = []
    limits: configuration.RequestLimits = configuration.RequestLimits()


class Finding(msgspec.Struct, kw_only=True, frozen=True):
    """Something that is wrong or doubtful.

    :param severity: ``error`` for what cannot have been meant, ``warning`` for
        what may have been.
    :param entry: the entry concerned, such as ``queue orders``.
    """

    severity: str
    entry: str
    text: str


class Difference(msgspec.Struct, kw_only=True, frozen=True):
    """A field that two configurations have with different values.

    :param field: empty when the whole entry was added or removed.
    """

    entry: str
    field: str
    before: str
    after: str


def check_configuration(entries, *, largest_task=None):
    """Return the :class:`Finding` of a configuration, errors first.

    :param entries: :class:`ConfigurationEntries`.
    :param largest_task: :class:`configuration.Resources` of the largest task
        that callers submit; None when it is not known.
    """
    found = [
        *_find_equal_names(entries),
        *_check_queues(entries),
        *_check_pools(entries),
        *_check_accounts(entries, largest_task),
        *_check_limits(entries.limits),
    ]
    return sorted(found, key=lambda item: (item.severity, item.entry))


def _error(entry, text):
    return Finding(severity=ERROR, entry=entry, text=text)


def _warning(entry, text):
    return Finding(severity=WARNING, entry=entry, text=text)


def _find_equal_names(entries):
    for kind in ('queue', 'pool', 'account'):
        names = Counter(item.name for item in getattr(entries, f'{kind}s'))
        for name, count in names.items():
            if count > 1:
                yield _error(
                    f'{kind} {name}', f'{count} entries; only the last counts'
                )


def _check_queues(entries):
    pools = {pool.name: pool for pool in entries.pools}
    first_by_place = {}
    has_keys = any(account.keys for account in entries.accounts)
    for queue in entries.queues:
        entry = f'queue {queue.name}'
        first = first_by_place.setdefault((queue.host, queue.prefix), queue)
        if first is not queue:
            yield _error(
                entry,
                f'never gets a call: queue {first.name} has the same host and'
                ' prefix',
            )
        if not queue.host or ':' in queue.host:
            yield _error(
                entry,
                f'never gets a call: host {queue.host!r} must be a host name'
                ' without a port',
            )
        if not queue.prefix.startswith('/') or not queue.prefix.endswith('/'):
            yield _error(
                entry,
                f'never gets a job: prefix {queue.prefix!r} must begin and end'
                ' with a slash',
            )
        if not queue.open_to_all and not has_keys:
            yield _error(entry, 'nobody may use it: no account has a key')
        pool = pools.get(queue.pool)
        if pool is None:
            yield _error(entry, f'there is no pool {queue.pool}')
        elif pool.spare:
            yield _error(
                entry,
                f'its tasks never run: the VMs of pool {pool.name} are off',
            )
        yield from _check_objective(entry, queue)


def _check_objective(entry, queue):
    if queue.max_attempts < 1:
        yield _error(
            entry, f'allows {queue.max_attempts} attempts: no task can run'
        )
    if queue.stretch < 1:
        yield _warning(
            entry,
            f'stretch {queue.stretch:g} is below 1: a job longer than'
            f' {queue.objective_ms:g} ms can hardly be in time',
        )
    if queue.objective_ms < 0 or queue.timeout_ms < 0:
        yield _error(entry, 'a time is negative')
    advice = queue.advice
    if advice and advice.valid_ms <= advice.decide_ms + advice.each_ms:
        yield _error(
            entry,
            f'tickets are valid for {advice.valid_ms:g} ms, and the policy'
            f' service takes {advice.decide_ms + advice.each_ms:g} ms for one'
            ' worker',
        )


def _check_pools(entries):
    used = {queue.pool for queue in entries.queues}
    for pool in entries.pools:
        if not pool.spare and pool.name not in used:
            yield _warning(f'pool {pool.name}', 'no queue uses it')
    if entries.pools and all(pool.spare for pool in entries.pools):
        yield _error('pools', 'the VMs of all pools are off')


def _check_accounts(entries, largest_task):
    owners = {}
    for account in entries.accounts:
        entry = f'account {account.name}'
        if not account.keys:
            yield _warning(entry, 'has no key, so that nobody can use it')
        for key in set(account.keys):
            other = owners.setdefault(key, account.name)
            if other != account.name:
                yield _error(entry, f'has a key that account {other} has too')
        if not account.weight > 0 or not math.isfinite(account.weight):
            yield _error(
                entry, f'has a share of nothing: weight {account.weight:g}'
            )
        limit = account.upper_limit
        if min(limit.cpu, limit.memory_mb, limit.accelerators) < 0:
            yield _error(entry, 'has a negative upper limit')
        if largest_task is not None:
            yield from _check_limit_holds_task(entry, limit, largest_task)


def _check_limit_holds_task(entry, limit, task):
    for name in ('cpu', 'memory_mb', 'accelerators'):
        allowed, needed = getattr(limit, name), getattr(task, name)
        if 0 < allowed < needed:
            yield _error(
                entry,
                f'upper limit of {name} is {allowed}, and one task needs'
                f' {needed}: it would wait for ever',
            )


def _check_limits(limits):
    for name in limits.__struct_fields__:
        if getattr(limits, name) <= 0:
            yield _error('limits', f'{name} must be above 0')


def check_wave(*, number, vms, duration_s, most_at_once, maintenance_s):
    """Return the :class:`Finding` of a request for a wave of maintenance.

    :param vms: names of its VMs.
    :param duration_s: time within which all must have begun.
    :param most_at_once: how many may be down at once.
    :param maintenance_s: duration of the maintenance of one VM.

    >>> check_wave(number=1, vms=('a', 'b'), duration_s=60, most_at_once=1,
    ...            maintenance_s=2)
    []
    """
    entry, found = f'wave {number}', []
    repeated = len(vms) - len(set(vms))
    if repeated:
        found.append(_warning(entry, f'names {repeated} VMs more than once'))
    if most_at_once < 1:
        found.append(_error(entry, 'no VM may be down, so that it never ends'))
        return found
    # The last round has to begin in time, not to end.
    rounds = math.ceil(len(set(vms)) / most_at_once)
    span_s = maintenance_s + wave_selection.EVACUATION_S
    needed_s = (rounds - 1) * span_s + wave_selection.EVACUATION_S
    if rounds and needed_s > duration_s:
        found.append(
            _error(
                entry,
                f'cannot end in time: {rounds} rounds take about'
                f' {needed_s:.0f} s, and it has {duration_s:g} s',
            )
        )
    return found


def compare_configurations(before, after):
    """Return ``(findings, differences)`` of a version against a later one.

    :param before: :class:`ConfigurationEntries` in force.
    :param after: those that are to be sent.
    """
    findings = []
    if after.version <= before.version:
        findings.append(
            _error(
                'version',
                f'{after.version} is not above {before.version}, which is in'
                ' force: it would be ignored',
            )
        )
    differences = []
    for kind in ('queue', 'pool', 'account'):
        old = {item.name: item for item in getattr(before, f'{kind}s')}
        new = {item.name: item for item in getattr(after, f'{kind}s')}
        for name in sorted(old.keys() | new.keys()):
            differences += _compare(
                f'{kind} {name}', old.get(name), new.get(name)
            )
    differences += _compare('limits', before.limits, after.limits)
    return findings, differences


def _compare(entry, old, new):
    if old is None or new is None:
        return [
            Difference(
                entry=entry,
                field='',
                before='absent' if old is None else 'present',
                after='absent' if new is None else 'present',
            )
        ]
    return [
        Difference(
            entry=entry,
            field=name,
            before=_describe(getattr(old, name)),
            after=_describe(getattr(new, name)),
        )
        for name in old.__struct_fields__
        if getattr(old, name) != getattr(new, name)
    ]


def _describe(value):
    if isinstance(value, msgspec.Struct):
        return ' '.join(
            f'{name}={getattr(value, name)}'
            for name in value.__struct_fields__
        )
    if isinstance(value, tuple):
        return ' '.join(value)
    return str(value)
