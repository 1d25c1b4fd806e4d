"""Each invariant check reports the fault that it looks for."""

from examples.standins import fleet as fleet_module
from examples.standins import worker
from tests import invariants


def make_entry(mark='m1', start_s=0.0, end_s=1.0, **changes):
    fields = {
        'worker': 'w1',
        'task': 't1',
        'epoch': 1,
        'method': 'POST',
        'path': '/',
        'team': 'c/t',
        'key_id': 'k1',
        'priority': 'urgent',
        'node': 'n1',
    }
    return worker.LedgerEntry(
        mark=mark, start_s=start_s, end_s=end_s, **(fields | changes)
    )


def make_refusal(run):
    return fleet_module.Reply(
        status=503, headers={}, body=b'', problem={'code': 302, 'run': run}
    )


def test_check_at_most_once_reports_second_run():
    ledger = [make_entry(), make_entry(worker='w2')]
    assert invariants.check_at_most_once(ledger)
    assert not invariants.check_at_most_once(
        [make_entry(), make_entry(mark='m2')]
    )


def test_check_at_most_once_allows_idempotent_repeats():
    ledger = [make_entry(method='GET'), make_entry(method='GET')]
    assert not invariants.check_at_most_once(ledger)


def test_check_not_run_reports_refused_request_that_ran():
    ledger = [make_entry()]
    refused = {'m1': make_refusal('not-run')}
    assert invariants.check_not_run(ledger, refused)
    assert not invariants.check_not_run([], refused)
    assert not invariants.check_not_run(
        ledger, {'m1': make_refusal('unknown')}
    )


def test_check_limits_reports_run_over_limit():
    ledger = [make_entry(), make_entry(start_s=0.5, end_s=2.0)]
    assert invariants.check_limits(ledger, {'c/t': 1})
    assert not invariants.check_limits(ledger, {'c/t': 2})


def test_check_limits_counts_unfinished_runs():
    ledger = [make_entry(end_s=0.0), make_entry(start_s=9.0, end_s=10.0)]
    assert invariants.check_limits(ledger, {'c/t': 1})


def test_check_withdrawn_keys_reports_late_start():
    ledger = [make_entry(start_s=10.0)]
    assert invariants.check_withdrawn_keys(ledger, {'k1': 5.0}, 4.0)
    assert not invariants.check_withdrawn_keys(ledger, {'k1': 5.0}, 6.0)


def test_check_request_teams_reports_wrong_team():
    assert invariants.check_request_teams([make_entry()], {'m1': 'c/other'})
    assert not invariants.check_request_teams([make_entry()], {'m1': 'c/t'})


def test_check_answers_reports_foreign_and_truncated_ones():
    reply = fleet_module.Reply(
        status=200, headers={'Content-Length': '9'}, body=b'w1 t1 m1'
    )
    assert invariants.check_answers({'m1': reply}, {'m1': b'm1'})
    reply.headers['Content-Length'] = '8'
    assert not invariants.check_answers({'m1': reply}, {'m1': b'm1'})
    assert invariants.check_answers({'m1': reply}, {'m1': b'm2'})


def test_check_no_starts_after_reports_new_work():
    ledger = [make_entry(start_s=7.0)]
    assert invariants.check_no_starts_after(ledger, 'w1', 1.0, 5.0)
    assert not invariants.check_no_starts_after(ledger, 'w1', 1.0, 6.5)
