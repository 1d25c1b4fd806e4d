"""How long an owner that the store does not confirm may extend leases.

Load: a data centre is cut off with the owner and some workers. The others
elect a next owner, which starts the tasks of the workers that it does not
reach once their leases have ended. An owner that went on extending them would
run these tasks beside it. One that stopped at once would end all runs whenever
the store is away for the length of a lease.

So leases are extended for a while after the last confirmation, and the next
owner waits for that much longer. The argument and its figures are in
``docs/design/takeover.md``.
"""

from arbutusrock.scheduling import dark_workers

__all__ = [
    'CONFIRMATION_VALID_S',
    'MAX_UNCONFIRMED_S',
    'MIN_SILENCE_S',
    'MIN_START_LEASE_S',
    'compute_inherited_wait_s',
    'compute_lease_end_s',
]

# Leases are extended for this time after the request that the store confirmed
# last was sent. With the lease itself, runs outlive 8 s without the store,
# which is longer than its usual outages of 4 to 7 s.
MAX_UNCONFIRMED_S = 3.0
# Shortest time from that request to the claim of a next owner that takes this
# one for unresponsive: 1.6 s from the last heartbeat, which may be older by
# half of its interval.
MIN_SILENCE_S = 1.35
# The ownership is certain for this time after that request.
CONFIRMATION_VALID_S = 1.3
# A start order with a shorter lease is not sent.
MIN_START_LEASE_S = 1.0


def compute_lease_end_s(now_s, confirmed_at_s, lease_s):
    """Return until when a lease may be extended, which may be in the past.

    :param confirmed_at_s: when the request that the store confirmed last was
        sent.
    :param lease_s: length of a lease.

    >>> compute_lease_end_s(10.0, 9.5, 5.0)
    15.0
    >>> compute_lease_end_s(17.0, 9.5, 5.0)
    17.5
    """
    return min(now_s, confirmed_at_s + MAX_UNCONFIRMED_S) + lease_s


def compute_inherited_wait_s(lease_s):
    """Return how long after its claim a next owner waits for silent workers.

    All leases of earlier owners have ended then.

    >>> round(compute_inherited_wait_s(5.0), 2)
    7.05
    """
    return (
        lease_s / dark_workers.MIN_CLOCK_RATE
        + dark_workers.LEASE_MARGIN_S
        + MAX_UNCONFIRMED_S
        - MIN_SILENCE_S
    )
