"""Which silent workers an owner names in its heartbeat, and what that proves.

Load: the owner is lost while a rack does not answer. The next owner cannot
ask these workers for the runs of accepted jobs, so these jobs waited until
each lease that may ever have been granted there had ended (5.4 s).

A named worker gets no longer lease and no start until a heartbeat without it
is durable. So the leases there end when the named rest has passed, and a job
that was stored after the first of these heartbeats has no run there.
"""

import math

__all__ = [
    'LEASE_MARGIN_S',
    'MAX_NAMED',
    'MIN_CLOCK_RATE',
    'DarkWorkers',
    'InheritedLease',
    'compute_lease_left_s',
    'decode_names',
    'find_inherited_lease',
]

# Rate of the slowest steady clock of a worker: it may be 2% slow.
MIN_CLOCK_RATE = 0.98
# Margin after the computed end of a lease, for delays of timers and of the
# network.
LEASE_MARGIN_S = 0.3
# Most workers that one heartbeat names. An entry has about 30 bytes.
MAX_NAMED = 64
# A worker is named once it has been silent for this time. One that is named
# gets no longer lease for a write after it has answered, so that one lost
# answer should not suffice.
MIN_SILENT_S = 1.0


class InheritedLease:
    """Until when a worker may have which runs of an earlier owner.

    :param end_at_s: when all its leases have ended; 0 when it has none.
    :param before_version: only jobs stored before this version of the store
        may have runs there.
    """

    __slots__ = ('end_at_s', 'before_version')

    def __init__(self, *, end_at_s=0.0, before_version=math.inf):
        self.end_at_s = end_at_s
        self.before_version = before_version


class DarkWorkers:
    """Workers that an owner has named and not yet taken back.

    A worker is in this container from before a heartbeat that names it is
    sent until one that does not name it is durable.

    :param epoch: of the ownership.
    """

    __slots__ = ('epoch', '_since_versions', '_sent')

    def __init__(self, *, epoch):
        self.epoch = epoch
        # Workers in the last durable heartbeat, and the version of the first
        # one of those in a row that named them.
        self._since_versions = {}
        # Workers in the heartbeat that is being written.
        self._sent = frozenset()

    def __contains__(self, worker_id):
        return worker_id in self._since_versions or worker_id in self._sent

    def __len__(self):
        return len(self._sent | self._since_versions.keys())

    def name(self, silent, *, last=False):
        """Choose the workers that the next heartbeat names.

        It must have the condition that the last heartbeat is unchanged, so
        that it cannot replace a later one.

        :param silent: ``(worker_id, silent_s, lease_left_s)`` of each worker
            that does not answer.
        :param last: the owner is about to give the unit up, and would extend
            no lease there in any case.
        :returns: plain data for :func:`decode_names`; empty without names.
        """
        chosen = sorted(
            (item for item in silent if last or item[1] >= MIN_SILENT_S),
            key=lambda item: (-item[1], item[0]),
        )[:MAX_NAMED]
        self._sent = frozenset(worker_id for worker_id, _, _ in chosen)
        if not chosen:
            return []
        workers = {
            worker_id: [
                math.ceil(max(0.0, lease_left_s) * 1000),
                self._since_versions.get(worker_id, 0),
            ]
            for worker_id, _, lease_left_s in chosen
        }
        return [self.epoch, workers]

    def record_durable(self, version):
        """Record that the heartbeat of the last :meth:`name` is durable.

        :param version: its version in the store.
        """
        self._since_versions = {
            worker_id: self._since_versions.get(worker_id, version)
            for worker_id in self._sent
        }


def compute_lease_left_s(lease_until_ms, clock_ms, clock_age_s):
    """Return the longest time until a lease has ended, with the margin.

    :param lease_until_ms: its end on the worker's clock.
    :param clock_ms: a reading of that clock.
    :param clock_age_s: time since that reading was received.

    >>> compute_lease_left_s(5000, 0, 0.0) > 5.3
    True
    >>> compute_lease_left_s(5000, 0, 6.0)
    0.0
    """
    min_clock_ms = clock_ms + clock_age_s * 1000 * MIN_CLOCK_RATE
    left_ms = lease_until_ms + LEASE_MARGIN_S * 1000 - min_clock_ms
    return max(0.0, left_ms / 1000 / MIN_CLOCK_RATE)


def decode_names(data, *, epoch, version, read_at_s):
    """Return the :class:`InheritedLease` of each worker that is named, by id.

    Names are used only if the last owner wrote them itself, as it need not
    withhold the workers that an owner before it has named.

    :param data: what :meth:`DarkWorkers.name` returned, or anything.
    :param epoch: of the last owner, from its claim.
    :param version: of the heartbeat.
    :param read_at_s: when it was received. It was created before, so that
        its rests have passed once they have from then on.
    :returns: no names when the data is not valid as a whole.
    """
    match data:
        case [int(named_epoch), dict(workers)] if named_epoch == epoch:
            pass
        case _:
            return {}
    found = {}
    for worker_id, fields in workers.items():
        match worker_id, fields:
            case (
                str(),
                [int(left_ms), int(since_version)],
            ) if left_ms >= 0 and 0 <= since_version <= version:
                found[worker_id] = InheritedLease(
                    end_at_s=read_at_s + left_ms / 1000,
                    before_version=since_version or version,
                )
            case _:
                return {}
    return found


def find_inherited_lease(worker_ids, named, latest_end_at_s):
    """Return the :class:`InheritedLease` of a worker.

    :param worker_ids: workers in the roster whose runs it may have: itself,
        and those that it may hide; may be empty.
    :param named: :class:`InheritedLease` of the workers that are named.
    :param latest_end_at_s: when any lease of an earlier owner has ended.
    """
    if not worker_ids:
        return InheritedLease()
    leases = [
        named.get(worker_id) or InheritedLease(end_at_s=latest_end_at_s)
        for worker_id in worker_ids
    ]
    end_at_s = max(lease.end_at_s for lease in leases)
    return InheritedLease(
        end_at_s=min(end_at_s, latest_end_at_s),
        before_version=max(lease.before_version for lease in leases),
    )
