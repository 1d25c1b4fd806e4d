"""Random schedules of partitions, freezes and lost answers in virtual time.

A first owner has a run on a worker that the next owners do not reach. It must
have ended when one of them starts the task elsewhere.
"""

import random

import pytest

from arbutusrock.scheduling import dark_workers
from arbutusrock.scheduling import lease_bounds

SCHEDULES = 10_000
LEASE_S = 5.0
STEP_S = 0.1
HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.6
MAX_POLL_S = 1.0
LENGTH_S = 30.0


class Schedule:
    """One schedule.

    :param planted: name of a fault in the decisions, or empty.
    """

    def __init__(self, seed, planted=''):
        self.draw = random.Random(seed)  # noqa: S311
        self.planted = planted
        self.rate = self.draw.uniform(dark_workers.MIN_CLOCK_RATE, 1.0)
        # From then on the first owner gets no answer of the store, or some.
        self.cut_at_s = self.draw.uniform(2.0, 8.0)
        self.answer_share = self.draw.choice([0.0, 0.0, 0.5])
        # It stands still for a while, at any moment.
        self.frozen_at_s = self.draw.uniform(0.0, 20.0)
        self.thawed_at_s = self.frozen_at_s + self.draw.choice(
            [0.0, 1.0, 4.0, 9.0]
        )
        # The store takes this time, and a flush needs several transactions.
        self.latency_s = self.draw.choice([0.0, 0.0, 0.3, 0.6])
        self.batches = self.draw.choice([1, 1, 8])
        self.batches_left = 0
        self.next_write_at_s = 0.0
        self.confirmed_at_s = self.heartbeat_at_s = 0.0
        # End of the lease on the worker's clock, which starts at 0.
        self.lease_until_s = LEASE_S
        # Last reading of that clock: (clock, owner's time).
        self.reading = (0.0, 0.0)
        self.next_poll_at_s = 0.0

    def play(self):
        """Return how long the run outlives its start elsewhere (s)."""
        claims = []
        now_s = 0.0
        while now_s < LENGTH_S:
            if not self.frozen_at_s <= now_s < self.thawed_at_s:
                self.flush(now_s, bool(claims))
                self.renew(now_s)
            self.claim(now_s, claims)
            now_s += STEP_S
        if not claims:
            return -LENGTH_S
        # The first of them passes on until when it waits.
        started_at_s = claims[0] + self.compute_wait_s()
        return self.lease_until_s / self.rate - started_at_s

    def flush(self, now_s, is_replaced):
        """Write to the store, unless a claim has made that impossible."""
        if now_s < self.next_write_at_s:
            return
        cut = now_s >= self.cut_at_s
        if is_replaced or (cut and self.draw.random() > self.answer_share):
            return
        self.next_write_at_s = now_s + self.latency_s
        first = not self.batches_left
        self.batches_left = (self.batches_left or self.batches) - 1
        sent_at_s = now_s - self.draw.uniform(0.0, 0.05)
        is_due = now_s - self.heartbeat_at_s >= HEARTBEAT_INTERVAL_S / 2
        if self.planted == 'heartbeat with the first batch only':
            is_due = is_due and first
        if is_due:
            self.heartbeat_at_s = now_s
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)

    def renew(self, now_s):
        """Extend the lease; the answer, with the clock, may be lost."""
        if now_s < self.next_poll_at_s:
            return
        self.next_poll_at_s = now_s + self.draw.uniform(0.0, MAX_POLL_S)
        clock_s, read_at_s = self.reading
        end_s = lease_bounds.compute_lease_end_s(
            now_s, self.confirmed_at_s, LEASE_S
        )
        if self.planted == 'leases without a bound':
            end_s = now_s + LEASE_S
        if end_s > now_s:
            until_s = clock_s + now_s - read_at_s + end_s - now_s
            self.lease_until_s = max(self.lease_until_s, until_s)
        if self.draw.random() < 0.9:
            self.reading = (now_s * self.rate, now_s)

    def claim(self, now_s, claims):
        """Claim the unit once the heartbeats of the owner are missing.

        The next owner may be lost soon, and its process be seen to end.
        """
        silent_s = now_s - self.heartbeat_at_s
        is_due = silent_s >= HEARTBEAT_TIMEOUT_S
        if claims:
            is_due = len(claims) < 3 and self.draw.random() < 0.02
        if is_due:
            claims.append(now_s)

    def compute_wait_s(self):
        wait_s = lease_bounds.compute_inherited_wait_s(LEASE_S)
        if self.planted == 'wait of one lease':
            wait_s -= lease_bounds.MAX_UNCONFIRMED_S
        if self.planted == 'clock assumed true':
            wait_s -= (
                LEASE_S / dark_workers.MIN_CLOCK_RATE
                - LEASE_S
                + dark_workers.LEASE_MARGIN_S
            )
        return wait_s


def test_no_lease_outlives_the_wait_of_the_next_owner():
    """Guards against TWICE: a partitioned owner went on beside the next."""
    assert max(Schedule(seed).play() for seed in range(SCHEDULES)) <= 0.0


@pytest.mark.parametrize(
    'planted',
    [
        'leases without a bound',
        'wait of one lease',
        'clock assumed true',
        'heartbeat with the first batch only',
    ],
)
def test_schedules_find_a_planted_fault(planted):
    assert any(
        Schedule(seed, planted).play() > 0.0 for seed in range(SCHEDULES)
    )


def test_store_outage_of_usual_length_ends_no_run():
    """Runs outlive it, as the owner extends their leases meanwhile."""
    outage_s = 7.0
    confirmed_at_s = -HEARTBEAT_INTERVAL_S
    last_s = confirmed_at_s + lease_bounds.MAX_UNCONFIRMED_S
    end_s = lease_bounds.compute_lease_end_s(last_s, confirmed_at_s, LEASE_S)
    assert end_s >= outage_s + HEARTBEAT_INTERVAL_S
