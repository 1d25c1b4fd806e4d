"""The configuration in force on this node: one version, many objects.

Contracts, keys, pools, VMs and waves change only through numbered changes.
Every change is one transaction that also holds its audit entry.
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
    :param before: the object before the change, as JSON.
    :param after: the object after the change, as JSON.
    """

    kind: str
    name: str
    before: str | None = None
    after: str | None = None


class Change(msgspec.Struct, kw_only=True, frozen=True):
    """One accepted change; also its audit entry.

    :param version: configuration version that it makes.
    :param change_id: id for reading back a lost answer.
    :param at_s: wall-clock time in seconds since the epoch.
    :param who: operator or node.
    """

    version: int
    change_id: str
    at_s: float
    who: str
    action: str
    why: str = ''
    operations: list[Operation] = []


class TeamName(msgspec.Struct, frozen=True, order=True):
    """Full name of a team."""

    customer: str
    team: str

    def __str__(self):
        return f'{self.customer}/{self.team}'


class Configuration:
    """All objects at one version, with the look-ups of the request path."""

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
        # Hashes of keys that peers reported withdrawn before the store knew.
        self.unstored_withdrawals = set()
        self._index()

    def load(self, version, rows):
        """Replace everything.

        :param version: configuration version of the snapshot.
        :param rows: mapping of kind to a list of ``(name, data, version)``.
        """
        self.objects = {kind: {} for kind in OBJECT_TYPES}
        self.versions = {}
        for kind, items in rows.items():
            for name, data, changed in items:
                self.objects[kind][name] = msgspec.json.decode(
                    data, type=OBJECT_TYPES[kind]
                )
                self.versions[(kind, name)] = changed
        self.version = version
        self._index()

    def apply(self, change):
        """Put one change in force.

        :returns: whether it was the next version and is now in force.
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
        """Return an object or None."""
        return self.objects[kind].get(name)

    def get_version(self, kind, name):
        """Return the version that last changed an object; 0 if absent."""
        return self.versions.get((kind, name), 0)

    def find_key(self, secret_hash):
        """Return the granted key with this hash, or None."""
        key = self.keys.get(secret_hash)
        if (
            key is None
            or key.withdrawn
            or secret_hash in self.unstored_withdrawals
        ):
            return None
        return key

    def find_queue(self, service, queue):
        """Return the queue of a service; the first one without a name."""
        queues = self.queues.get(service, ())
        if not queue:
            return queues[0] if queues else None
        return next((q for q in queues if q.queue == queue), None)

    def get_limit(self, name):
        """Return the upper limit of a team; 0 when it is gone."""
        team = self.teams.get(name)
        return team.limit if team else 0

    def get_max_orphan_run_s(self, task_lease_s):
        """Return how long a task can run on without its member, in seconds.

        Workers end tasks whose lease lapsed; a plain upstream knows no
        leases, so there the longest run time of any queue counts.

        :param task_lease_s: lease of tasks in seconds.
        """
        plain = any(
            vm.protocol is vms.Protocol.HTTP
            for vm in self.objects['vm'].values()
        )
        if not plain:
            return task_lease_s
        longest = [
            queue.run_timeout_s
            for contract in self.objects['contract'].values()
            for queue in contract.queues
        ]
        return max([task_lease_s, *longest])

    def _index(self):
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
