"""Invariants of the fleet, checked against the ledgers of the workers.

The ledgers show what ran, whatever the daemons report. Each check returns a
list of faults as text; an empty list means that the invariant holds.
"""

from examples.standins import fleet as fleet_module

__all__ = [
    'assert_invariants',
    'check_withdrawn_keys',
    'check_limits',
    'check_not_run',
    'check_at_most_once',
    'check_answers',
    'check_request_teams',
    'check_no_starts_after',
]

IDEMPOTENT_METHODS = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE')


def check_at_most_once(ledger):
    """Check that no non-idempotent request ran more than once."""
    starts = {}
    for entry in ledger:
        if entry.method not in IDEMPOTENT_METHODS and entry.mark:
            starts.setdefault(entry.mark, []).append(entry)
    return [
        f'{mark} ran {len(found)} times: '
        + ', '.join(f'{e.worker} epoch {e.epoch}' for e in found)
        for mark, found in starts.items()
        if len(found) > 1
    ]


def check_not_run(ledger, replies):
    """Check that no request that was refused as ``not-run`` has run.

    :param replies: mapping of mark to reply.
    """
    ran = {entry.mark for entry in ledger}
    return [
        f'{mark} was refused as not run with code {reply.code}, but ran'
        for mark, reply in replies.items()
        if reply.problem and reply.run == 'not-run' and mark in ran
    ]


def check_limits(ledger, limits, tolerance_s=0.0):
    """Check that no team ran more tasks at once than its upper limit.

    A run without an end counts as still running.

    :param limits: mapping of ``customer/team`` to limit.
    :param tolerance_s: a run that ends at most this long after the start of
        another one counts as ended before it.
    """
    events = []
    for entry in ledger:
        if entry.team in limits:
            end_s = entry.end_s or float('inf')
            events.append((entry.start_s, 1, entry.team))
            events.append((end_s - tolerance_s, 0, entry.team))
    running = dict.fromkeys(limits, 0)
    faults = []
    for at_s, start, team in sorted(events):
        running[team] += 1 if start else -1
        if running[team] > limits[team]:
            faults.append(
                f'{team} ran {running[team]} tasks at once at {at_s:.3f} s'
            )
    return faults


def check_withdrawn_keys(ledger, withdrawn_at_s, max_delay_s):
    """Check that no request started too long after its key was withdrawn.

    :param withdrawn_at_s: mapping of key id to the instant of withdrawal.
    :param max_delay_s: how long requests of a withdrawn key may still start.
    """
    return [
        f'{entry.mark} started {entry.start_s - at_s:.2f} s after its key '
        'was withdrawn'
        for entry in ledger
        for at_s in [withdrawn_at_s.get(entry.key_id)]
        if at_s is not None and entry.start_s > at_s + max_delay_s
    ]


def check_request_teams(ledger, expected_teams):
    """Check that each request ran for the team that it counts for.

    That is the team of the key that came with it, or of its open queue.

    :param expected_teams: mapping of mark to ``customer/team``.
    """
    return [
        f'{entry.mark} of {expected_teams[entry.mark]} ran for {entry.team}'
        for entry in ledger
        if entry.mark in expected_teams
        and entry.team != expected_teams[entry.mark]
    ]


def check_answers(replies, expected_fragments):
    """Check that each answer is complete and belongs to its request.

    :param replies: mapping of mark to reply.
    :param expected_fragments: mapping of mark to the bytes that the answer
        must contain.
    """
    faults = []
    for mark, reply in replies.items():
        if reply.status != 200:
            continue
        if expected_fragments[mark] not in reply.body:
            faults.append(f'{mark} got the answer {reply.body[:80]!r}')
        length = reply.headers.get('Content-Length')
        if length is not None and int(length) != len(reply.body):
            faults.append(f'{mark} got {len(reply.body)} of {length} bytes')
    return faults


def check_no_starts_after(ledger, worker, at_s, max_delay_s):
    """Check that a worker started no new task after it left service.

    :param at_s: instant at which the worker left service.
    :param max_delay_s: how long after that instant tasks may still start.
    """
    return [
        f'{entry.mark} started on {worker} {entry.start_s - at_s:.2f} s '
        'after it left service'
        for entry in ledger
        if entry.worker == worker and entry.start_s > at_s + max_delay_s
    ]


async def assert_invariants(
    fleet, replies, *, limits=None, expected_fragments=None
):
    """Check what must hold in every test; raise on a fault.

    :param replies: mapping of mark to reply.
    :param limits: as in :func:`check_limits`, which needs them.
    :param expected_fragments: as in :func:`check_answers`, which needs them.
    :returns: the ledgers of all workers.
    """
    ledger = await fleet.read_ledger()
    faults = check_at_most_once(ledger) + check_not_run(ledger, replies)
    if limits:
        faults += check_limits(ledger, limits)
    if expected_fragments:
        faults += check_answers(replies, expected_fragments)
    assert not faults, '\n'.join(faults)
    return ledger


wait_for = fleet_module.wait_for
