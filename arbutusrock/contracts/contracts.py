"""Contracts: what the teams of each customer may run, and where.

A contract lists teams with their share and upper limit, services with the
pool that runs them, and queues with the teams that may use them.
"""

import enum
from typing import Annotated

import msgspec

from arbutusrock import errors
from arbutusrock.utils import documents

__all__ = ['Contract', 'Priority', 'Queue', 'Service', 'Team', 'load_contract']

Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]
Share = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
Limit = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
WaitingCount = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Attempts = Annotated[int, msgspec.Meta(ge=1, le=20)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]


class Priority(enum.StrEnum):
    """Priority of a queue. Urgent work is preferred to patient work."""

    URGENT = 'urgent'
    PATIENT = 'patient'


class StrictStruct(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True
):
    """Base of the parts of a contract; unknown fields are refused."""


class Team(StrictStruct):
    """A team of a customer.

    :param team: name of the team, unique in the contract.
    :param share: weight in the division of slots when a pool is full.
    :param limit: maximum number of tasks that run at once in the whole
        fleet.
    """

    team: Name
    share: Share
    limit: Limit


class Service(StrictStruct):
    """A service of the customer, and the pool whose workers run it."""

    service: Name
    pool: Name


class Queue(StrictStruct):
    """A queue in front of a service.

    :param teams: teams that may use it.
    :param open: whether callers without a key may use it; their requests
        count towards the first of ``teams``.
    :param durable: whether every request is stored as a job.
    :param max_waiting: maximum number of requests that wait in the memory of
        one node.
    :param max_attempts: maximum number of attempts to run a job.
    :param run_timeout_s: maximum duration of one run in seconds.
    """

    queue: Name
    service: Name
    teams: Annotated[list[Name], msgspec.Meta(min_length=1)]
    priority: Priority = Priority.URGENT
    open: bool = False
    durable: bool = False
    max_waiting: WaitingCount = 1000
    max_attempts: Attempts = 3
    run_timeout_s: Seconds = 600.0


class Contract(StrictStruct):
    """The contract of one customer: its teams, services and queues."""

    customer: Name
    teams: Annotated[list[Team], msgspec.Meta(min_length=1)]
    services: list[Service] = []
    queues: list[Queue] = []

    def find_team(self, name):
        """Return the team of this name, or None."""
        return next((t for t in self.teams if t.team == name), None)


def load_contract(text, *, source='contract'):
    """Parse and validate a contract.

    :param text: YAML text.
    :param source: name of the document in error messages.
    :returns: :class:`Contract`.
    :raises errors.InvalidDocument: with one line for each error found.
    """
    contract = documents.parse_document(
        text, Contract, source=source, error_type=errors.InvalidDocument
    )
    messages = find_contract_errors(contract)
    if messages:
        raise errors.InvalidDocument(
            '\n'.join(f'{source}: {message}' for message in messages)
        )
    return contract


def find_contract_errors(contract):
    """Return messages about duplicate names and unresolved references."""
    messages = []
    teams = [team.team for team in contract.teams]
    services = [service.service for service in contract.services]
    queues = [queue.queue for queue in contract.queues]
    for kind, names in (
        ('team', teams),
        ('service', services),
        ('queue', queues),
    ):
        messages += [
            f'{kind} {name} is defined more than once'
            for name in sorted(set(names))
            if names.count(name) > 1
        ]
    for queue in contract.queues:
        if queue.service not in services:
            messages.append(
                f'queue {queue.queue}: service must be one of '
                f'{", ".join(services) or "(none)"}, got {queue.service}'
            )
        messages += [
            f'queue {queue.queue}: team must be one of '
            f'{", ".join(teams)}, got {name}'
            for name in queue.teams
            if name not in teams
        ]
    return messages
