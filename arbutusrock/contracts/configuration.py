"""The configuration that is in force on this node.

Contracts, keys, pools, VMs and waves change only through changes with
consecutive versions. Each change is stored in one transaction together with
its audit entry.
"""

import msgspec

from arbutusrock.contracts import contracts
from arbutusrock.contracts import keys
from arbutusrock.machines import vms
from arbutusrock.machines import waves

__all__ = ['Change', 'Configuration', 'Operation', 'TeamName']

OBJECT_TYPES = {
    'contract': contracts.Contract,
    'key': keys.Key,
    'pool': vms.Pool,
    'vm': vms.VM,
    'wave': waves.Wave,
}


class Operation(msgspec.Struct, kw_only=True, frozen=True):
    """Sets one object, or removes it when ``after`` is None.

    :param kind: one of contract, key, pool, vm, wave.
    :param name: name of the object, unique in its kind.
    :param before: the object before the change, as JSON; None if there was
        none.
    :param after: the object after the change, as JSON.
    """

    kind: str
    name: str
    before: str | None = None
    after: str | None = None


class Change(msgspec.Struct, kw_only=True, frozen=True):
    """One accepted change; also its audit entry.

    :param version: configuration version that the change results in.
    :param change_id: id of the transaction; after a lost answer it shows
        whether the change was stored.
    :param at_s: wall-clock time in seconds since the epoch.
    :param who: operator or member that made the change.
    :param action: what the change does.
    :param why: reason that was given for it.
    :param operations: objects that it sets or removes.
    """

    version: int
    change_id: str
    at_s: float
    who: str
    action: str
    why: str = ''
    operations: list[Operation] = []


class TeamName(msgspec.Struct, frozen=True, order=True):
    """Name of a team, unique in the fleet."""

    customer: str
    team: str

    def __str__(self):
        return f'{self.customer}/{self.team}'


class Configuration:
    """All objects at one version, indexed for the look-ups of each request."""

    __slots__ = (
        'version',
        'objects',
        'versions',
        'unstored_withdrawals',
        'teams',
        'services',
        'queues',
        'keys',
        'pool_vms',
    )

    def __init__(self):
        self.version = 0
        self.objects = {kind: {} for kind in OBJECT_TYPES}
        self.versions = {}
        # Hashes of keys that were withdrawn here or on a peer while the store
        # has not recorded it yet.
        self.unstored_withdrawals = set()
        self._index()

    def load(self, version, rows):
        """Replace all objects.

        :param version: configuration version of the snapshot.
        :param rows: mapping of kind to a list of ``(name, data, version)``:
            the object as JSON, and the version that last changed it.
        """
        self.objects = {kind: {} for kind in OBJECT_TYPES}
        self.versions = {}
        for kind, items in rows.items():
            for name, data, changed_version in items:
                self.objects[kind][name] = msgspec.json.decode(
                    data, type=OBJECT_TYPES[kind]
                )
                self.versions[(kind, name)] = changed_version
        self.version = version
        self._index()

    def apply(self, change):
        """Apply a change if its version is the next one.

        :returns: whether the change was applied.
        """
        if change.version != self.version + 1:
            return False
        for item in change.operations:
            if item.after is None:
                self.objects[item.kind].pop(item.name, None)
                self.versions.pop((item.kind, item.name), None)
                continue
            self.objects[item.kind][item.name] = msgspec.json.decode(
                item.after, type=OBJECT_TYPES[item.kind]
            )
            self.versions[(item.kind, item.name)] = change.version
        self.version = change.version
        self._index()
        return True

    def get(self, kind, name):
        """Return the object, or None if there is none of this name."""
        return self.objects[kind].get(name)

    def get_version(self, kind, name):
        """Return the version that last changed an object; 0 if absent."""
        return self.versions.get((kind, name), 0)

    def find_key(self, secret_hash):
        """Return the key with this hash; None if absent or withdrawn."""
        key = self.keys.get(secret_hash)
        if (
            key is None
            or key.withdrawn
            or secret_hash in self.unstored_withdrawals
        ):
            return None
        return key

    def find_queue(self, service, queue):
        """Return a queue of a service, or None.

        :param queue: name of the queue; when empty, the first queue of the
            service is returned.
        """
        queues = self.queues.get(service, ())
        if not queue:
            return queues[0] if queues else None
        return next((q for q in queues if q.queue == queue), None)

    def get_limit(self, name):
        """Return the upper limit of a team; 0 when the team was removed."""
        team = self.teams.get(name)
        return team.limit if team else 0

    def get_max_orphan_run_s(self, task_lease_s):
        """Return how long a task can outlive its member, in seconds.

        Workers stop tasks whose lease expired. A plain HTTP upstream has no
        leases, so with such a VM the longest run timeout of any queue counts
        as well.

        :param task_lease_s: lease of a task in seconds.
        """
        has_plain_upstream = any(
            vm.protocol is vms.Protocol.HTTP
            for vm in self.objects['vm'].values()
        )
        if not has_plain_upstream:
            return task_lease_s
        run_timeouts_s = [
            queue.run_timeout_s
            for contract in self.objects['contract'].values()
            for queue in contract.queues
        ]
        return max([task_lease_s, *run_timeouts_s])

    def _index(self):
        """Rebuild the indexes, and drop withdrawals that are stored now."""
        self.teams = {}
        self.services = {}
        self.queues = {}
        for contract in self.objects['contract'].values():
            self._index_contract(contract)
        self.keys = {
            key.secret_hash: key for key in self.objects['key'].values()
        }
        self.unstored_withdrawals = {
            item
            for item in self.unstored_withdrawals
            if item not in self.keys or not self.keys[item].withdrawn
        }
        self.pool_vms = {name: [] for name in self.objects['pool']}
        for name in sorted(self.objects['vm']):
            vm = self.objects['vm'][name]
            self.pool_vms.setdefault(vm.pool, []).append(vm)

    def _index_contract(self, contract):
        for team in contract.teams:
            name = TeamName(contract.customer, team.team)
            self.teams[name] = team
        for service in contract.services:
            self.services[service.service] = (contract, service)
            self.queues[service.service] = tuple(
                queue
                for queue in contract.queues
                if queue.service == service.service
            )
