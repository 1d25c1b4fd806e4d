"""Messages between members, sent as msgpack over pynng."""

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
    """What one team asks of one pool on one member.

    :param running: tasks that run.
    :param urgent: urgent requests that wait.
    :param patient: patient requests and jobs that wait.
    :param permits: permits in hand of the member, over all pools.
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
        """Slots that could be used now."""
        return self.running + self.urgent + self.patient


class Message(
    msgspec.Struct, kw_only=True, frozen=True, tag=True, array_like=True
):
    """Base of all messages.

    :param sender: member id.
    """

    sender: str


class Digest(Message, kw_only=True, frozen=True, array_like=True):
    """Heartbeat and state of a member.

    :param sequence: number of this digest.
    :param echo: last sequence heard from the receiver; shows the receiver
        that its own link works.
    :param version: configuration version in force.
    :param store_age_s: age of the sender's last word from the table service.
    :param demand: demand by pool and team; None when unchanged since the
        last digest that the receiver echoed.
    :param busy: running tasks on VMs that are out of service.
    :param away: VMs that the platform lists as leaving or gone; None unless
        the sender just read the list.
    :param gifts: permits received from peers that the store does not know.
    :param withdrawn: keys withdrawn here that the store does not know yet.
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
    """Asks for changes after ``since``."""

    since: int


class ChangesSent(Message, kw_only=True, frozen=True, array_like=True):
    """Changes in order."""

    changes: list[configuration.Change]


class KeysWithdrawn(Message, kw_only=True, frozen=True, array_like=True):
    """Hashes of withdrawn keys, passed on while the store is silent."""

    hashes: list[str]


class PermitsFreed(Message, kw_only=True, frozen=True, array_like=True):
    """Permits of a team were given back to the table service."""

    customer: str
    team: str


class PermitsGiven(Message, kw_only=True, frozen=True, array_like=True):
    """Permits that pass to the receiver while the store is silent.

    :param gift: id, so that a copy counts once.
    :param echo: last digest that the giver heard from the receiver; an old
        one shows that the message was held up.
    """

    customer: str
    team: str
    count: int
    gift: str
    echo: int


class JobCancelled(Message, kw_only=True, frozen=True, array_like=True):
    """A job that the receiver owns was cancelled."""

    job: str
