"""Messages between members, sent as msgpack over pynng.

Structs are encoded as arrays, so the order of their fields is part of the
format.
"""

import msgspec

from arbutusrock.contracts import configuration

__all__ = [
    'ChangesSent',
    'ChangesWanted',
    'Digest',
    'JobCancelled',
    'KeysWithdrawn',
    'Message',
    'PermitsFreed',
    'PermitsGiven',
    'TeamDemand',
]


class TeamDemand(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """Demand of one team for one pool, as one member sees it.

    :param running: number of running tasks.
    :param urgent: number of waiting urgent requests.
    :param patient: number of waiting patient requests and jobs.
    :param permits: permits that the member holds for the team, over all
        pools.
    :param need: permits that the member could use now, over all pools.
    :param oldest_s: age of the oldest waiting request in seconds.
    """

    pool: str
    customer: str
    team: str
    running: int
    urgent: int
    patient: int
    permits: int
    need: int
    oldest_s: float

    @property
    def slot_demand(self):
        """Number of slots that the team could use now."""
        return self.running + self.urgent + self.patient


class Message(
    msgspec.Struct, kw_only=True, frozen=True, tag=True, array_like=True
):
    """Base of all messages.

    :param sender: id of the member that sent it.
    """

    sender: str


class Digest(Message, kw_only=True, frozen=True, array_like=True):
    """Heartbeat and state of a member.

    :param sequence: number of this digest on the link to the receiver.
    :param echo: sequence of the last digest that came from the receiver;
        it shows the receiver that its messages arrive.
    :param version: configuration version that the sender has in force.
    :param store_age_s: time since the sender's last contact with the table
        service.
    :param stopping: whether the sender shuts down.
    :param demand: demand by pool and team; None when it has not changed
        since the last digest that the receiver echoed.
    :param busy: running tasks by VM, for VMs that are out of service.
    :param withdrawn: number of withdrawn keys that the table service does
        not know yet.
    :param gifts: number of permits received from peers that the table
        service does not know yet.
    :param away: VMs that the platform lists as leaving or gone; None unless
        the sender has just read the list.
    """

    sequence: int
    echo: int
    version: int
    store_age_s: float
    stopping: bool = False
    demand: list[TeamDemand] | None = None
    busy: dict[str, int] = {}
    withdrawn: int = 0
    gifts: int = 0
    away: list[str] | None = None


class ChangesWanted(Message, kw_only=True, frozen=True, array_like=True):
    """Asks for configuration changes.

    :param since: version after which the changes are wanted.
    """

    since: int


class ChangesSent(Message, kw_only=True, frozen=True, array_like=True):
    """Configuration changes, ordered by version."""

    changes: list[configuration.Change]


class KeysWithdrawn(Message, kw_only=True, frozen=True, array_like=True):
    """Withdrawn keys that the table service does not know yet.

    Members pass them on while the table service is unresponsive.

    :param hashes: SHA-256 hashes of the secrets of the keys.
    """

    hashes: list[str]


class PermitsFreed(Message, kw_only=True, frozen=True, array_like=True):
    """Permits of a team were returned to the table service."""

    customer: str
    team: str


class PermitsGiven(Message, kw_only=True, frozen=True, array_like=True):
    """Transfers permits to the receiver without the table service.

    Members send it while the table service is unresponsive.

    :param gift: id of the transfer, so that a duplicate counts once.
    :param echo: sequence of the last digest that the sender had received
        from the receiver; an old one shows that the message was delayed.
    """

    customer: str
    team: str
    count: int
    gift: str
    echo: int


class JobCancelled(Message, kw_only=True, frozen=True, array_like=True):
    """Tells the owner of a job that the job was cancelled."""

    job: str
