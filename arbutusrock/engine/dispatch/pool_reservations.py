"""The reservations of a pool in the memory of the owner."""

import math

from arbutusrock.engine.dispatch import placement_requests
from arbutusrock.scheduling import reservations

__all__ = ['PoolPlan', 'Promise', 'ReservedWorker']


class Promise:
    """What a waiting step was promised.

    :param step: :class:`arbutusrock.engine.jobs.job_state.Step`.
    :param ready_at_s: when its first task was first expected to have room.
    """

    __slots__ = ('step', 'ready_at_s', 'kept')

    def __init__(self, *, step, ready_at_s):
        self.step = step
        self.ready_at_s = ready_at_s
        # Whether one of its tasks has started since.
        self.kept = False


class ReservedWorker:
    """A worker with reservations, as a pass sees it.

    :param reservations: those on it.
    :param ranks: ranks of their steps.
    """

    __slots__ = (
        'worker',
        'reservations',
        'ranks',
        'first_rank',
        'last_rank',
        'free',
        'ready_at_s',
        'spare',
    )

    def __init__(self, *, worker, reservations, ranks):
        self.worker = worker
        self.reservations = reservations
        self.ranks = ranks
        self.first_rank = min(ranks)
        self.last_rank = max(ranks)
        self.refresh()

    def refresh(self):
        """Look at the worker again after a start there."""
        self.free = placement_requests.get_free_amounts(self.worker)
        # What all of them leave to others.
        self.ready_at_s = min(item.ready_at_s for item in self.reservations)
        # None is negative, as a demand of 0 has room everywhere.
        self.spare = tuple(
            max(0, min(amounts))
            for amounts in zip(
                *(item.spare for item in self.reservations), strict=True
            )
        )

    def release(self):
        """Let all work go there, as the reservations have been used.

        It remains among the reserved ones for the rest of the pass, since
        steps that fit on none of the others look at these only.
        """
        self.first_rank = (math.inf,)

    def leaves_room(self, rank, amounts, end_s):
        """Return whether work may go there beside the reservations."""
        if rank <= self.first_rank or end_s <= self.ready_at_s:
            return True
        if (
            amounts[0] <= self.spare[0]
            and amounts[1] <= self.spare[1]
            and amounts[2] <= self.spare[2]
        ):
            return True
        return rank <= self.last_rank and reservations.may_backfill(
            self.find_ahead(rank), amounts, end_s
        )

    def find_ahead(self, rank):
        """Return the reservations that go before work of a rank."""
        return [
            item
            for item, own in zip(self.reservations, self.ranks, strict=True)
            if own < rank
        ]


class PoolPlan:
    """The reservations of one pool.

    :param planned_at_s: when they were made.
    """

    __slots__ = (
        'planned_at_s',
        'by_worker',
        'promises',
        'held',
        'open_workers',
        'reserved',
        'limited',
    )

    def __init__(self):
        self.planned_at_s = -math.inf
        # Reservations by worker id.
        self.by_worker = {}
        # Promises by the id of the step, which they keep alive.
        self.promises = {}
        # Whether a step is held back, by the step, since they were made.
        self.held = {}
        # Workers of the pass without reservations, and each
        # ReservedWorker by worker id.
        self.open_workers = ()
        self.reserved = {}
        # Workers that the step may use that is looked at.
        self.limited = []

    def sort_workers(self, workers, get_rank):
        """Tell the workers of a pass with reservations from the others."""
        self.open_workers = [
            item for item in workers if item.worker_id not in self.by_worker
        ]
        self.reserved = {}
        for worker in workers:
            found = self.by_worker.get(worker.worker_id)
            if found:
                self.reserved[worker.worker_id] = ReservedWorker(
                    worker=worker,
                    reservations=found,
                    ranks=[get_rank(item.claim.key) for item in found],
                )
