"""Contracts: what each customer's teams may run, and where.

A contract names teams with share and upper limit, services with the pool
that runs them, and queues with the teams that may use them.
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
    """Class of work. Urgent work runs before patient work."""

    URGENT = 'urgent'
    PATIENT = 'patient'


class StrictStruct(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True
):
    """Base of the document parts: unknown keys are refused."""


class Team(StrictStruct):
    """A team of a customer.

    :param share: weight in the division of full pools.
    :param limit: most tasks that run at once, fleet-wide.
    """

    team: Name
    share: Share
    limit: Limit


class Service(StrictStruct):
    """A service of the customer and the pool whose workers run it."""

    service: Name
    pool: Name


class Queue(StrictStruct):
    """A queue in front of a service.

    :param teams: teams with the right to use it.
    :param open: whether callers without a key may use it; such work counts
        for the first of ``teams``.
    :param durable: whether every request becomes a job.
    :param max_waiting: most requests that wait in one node's memory.
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
    """All that one customer was granted."""

    customer: Name
    teams: Annotated[list[Team], msgspec.Meta(min_length=1)]
    services: list[Service] = []
    queues: list[Queue] = []

    def find_team(self, name):
        """Return the team called ``name``, or None."""
        return next((t for t in self.teams if t.team == name), None)


def load_contract(text, *, source='contract'):
    """Return a checked contract.

    :param text: YAML text.
    :param source: name for messages.
    :raises errors.InvalidDocument: with a line for every fault.
    """
    contract = documents.parse_document(
        text, Contract, source=source, error_type=errors.InvalidDocument
    )
    faults = find_contract_errors(contract)
    if faults:
        raise errors.InvalidDocument(
            '\n'.join(f'{source}: {fault}' for fault in faults)
        )
    return contract


def find_contract_errors(contract):
    """Return messages for references that do not resolve."""
    faults = []
    teams = [team.team for team in contract.teams]
    services = [service.service for service in contract.services]
    queues = [queue.queue for queue in contract.queues]
    for kind, names in (
        ('team', teams),
        ('service', services),
        ('queue', queues),
    ):
        faults += [
            f'{kind} {name} stands twice'
            for name in sorted(set(names))
            if names.count(name) > 1
        ]
    for queue in contract.queues:
        if queue.service not in services:
            faults.append(
                f'queue {queue.queue}: service must be one of '
                f'{", ".join(services) or "(none)"}, got {queue.service}'
            )
        faults += [
            f'queue {queue.queue}: team must be one of '
            f'{", ".join(teams)}, got {name}'
            for name in queue.teams
            if name not in teams
        ]
    return faults
