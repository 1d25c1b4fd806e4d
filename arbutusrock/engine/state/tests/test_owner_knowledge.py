"""Tests of the row with what an owner has learned."""

import msgspec
import pytest

from arbutusrock.engine.state import owner_knowledge
from arbutusrock.engine.tests import samples
from arbutusrock.utils import clocks


def create_term():
    term = samples.create_term(epoch=1)
    return term, owner_knowledge.create_knowledge(term)


def learn(term):
    for _ in range(50):
        term.duration_estimator.record_task('q', 'j', 1.0, 2.0)
    now_s = clocks.now_s()
    for job in ('j1', 'j2'):
        term.vm_health.record_failure('vm-1', job, now_s)


def create_row():
    term, knowledge = create_term()
    learn(term)
    knowledge.request_write()
    (row,) = knowledge.create_due_rows()
    return row.value


def change_row(value, **changes):
    fields = {**msgspec.msgpack.decode(value), **changes}
    return msgspec.msgpack.encode(fields)


def count_discarded(term, reason):
    return term.metrics.get_count('knowledge_discarded', (('reason', reason),))


def test_next_owner_knows_durations_and_failing_vms():
    term, knowledge = create_term()
    knowledge.restore(create_row())
    ratio = term.duration_estimator.get_duration_ratio('q', 'other')
    assert ratio == pytest.approx(2.0, abs=0.05)
    assert term.vm_health.is_excluded('vm-1', clocks.now_s())
    assert not term.vm_health.is_excluded('vm-1', clocks.now_s() + 5)


def test_age_counts():
    """Old ratios count less, and old failures of VMs not at all."""
    value = create_row()
    value = change_row(value, written_unix_s=clocks.wall_time_s() - 120)
    term, knowledge = create_term()
    knowledge.restore(value)
    ratio = term.duration_estimator.get_duration_ratio('q', 'other')
    assert ratio == pytest.approx(1.5, abs=0.05)
    assert not term.vm_health.is_suspect('vm-1', clocks.now_s())
    # The health and speeds of VMs, and the shares.
    assert count_discarded(term, 'too old') == 3


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        (lambda value: value[: len(value) // 2], 'unreadable'),
        (lambda value: b'', 'unreadable'),
        (lambda value: b'\xff' * 30, 'unreadable'),
        (lambda value: change_row(value, version='one'), 'unreadable'),
        (lambda value: change_row(value, parts=[1]), 'unreadable'),
        (
            lambda value: change_row(value, version=2, parts=[1]),
            'from a later version',
        ),
        (lambda value: change_row(value, written_unix_s=0.0), 'too old'),
        (
            lambda value: change_row(value, written_unix_s=float('nan')),
            'written in the future',
        ),
        (
            lambda value: change_row(value, written_unix_s=9e9),
            'written in the future',
        ),
        (lambda value: change_row(value, parts={'new': b'1'}), 'unknown'),
        (
            lambda value: change_row(value, parts={'durations': b'\xc1'}),
            'unreadable',
        ),
    ],
)
def test_row_without_use_is_discarded(change, reason):
    value = change(create_row())
    term, knowledge = create_term()
    knowledge.restore(value)
    assert count_discarded(term, reason) >= 1
    assert term.duration_estimator.get_duration_ratio('q', 'other') == 1.0
    assert not term.vm_health.is_suspect('vm-1', clocks.now_s())


def test_unreadable_part_leaves_the_others():
    fields = msgspec.msgpack.decode(create_row())
    fields['parts']['vm_health'] = b'\xc1'
    term, knowledge = create_term()
    knowledge.restore(msgspec.msgpack.encode(fields))
    assert term.duration_estimator.get_duration_ratio('q', 'other') > 1.9
    assert count_discarded(term, 'unreadable') == 1


@pytest.mark.parametrize(
    'durations',
    [(0.0, 1.0), (-1.0, 1.0), (1.0, 0.0), (1.0, float('inf')), (1e308, 1e308)],
)
def test_values_that_cannot_be_are_left_out(durations):
    term, knowledge = create_term()
    part = msgspec.msgpack.encode({'q': durations})
    knowledge.restore(change_row(create_row(), parts={'durations': part}))
    ratio = term.duration_estimator.get_duration_ratio('q', 'other')
    assert ratio == pytest.approx(1.0)


def test_part_that_fails_to_restore_is_discarded():
    def fail(_data, _age_s):
        raise ValueError('no such account')

    term, knowledge = create_term()
    knowledge.register(
        'ledger', export=lambda: {'a': 1}, restore=fail, max_age_s=60.0
    )
    knowledge.request_write()
    (row,) = knowledge.create_due_rows()
    knowledge.restore(row.value)
    assert count_discarded(term, 'unreadable') == 1


def test_row_is_written_seldom_and_only_when_changed(monkeypatch):
    now_s = 1000.0
    monkeypatch.setattr(clocks, 'now_s', lambda: now_s)
    term, knowledge = create_term()
    learn(term)
    assert knowledge.create_due_rows() == []
    now_s += owner_knowledge.WRITE_INTERVAL_S
    assert len(knowledge.create_due_rows()) == 1
    learn(term)
    assert knowledge.create_due_rows() == []
    now_s += 10 * owner_knowledge.WRITE_INTERVAL_S
    assert len(knowledge.create_due_rows()) == 1
    now_s += owner_knowledge.WRITE_INTERVAL_S
    assert knowledge.create_due_rows() == []


def test_large_part_is_left_out():
    _, knowledge = create_term()
    knowledge.register(
        'large',
        export=lambda: 'x' * owner_knowledge.MAX_BYTES,
        restore=lambda _data, _age_s: None,
        max_age_s=60.0,
    )
    knowledge.request_write()
    (row,) = knowledge.create_due_rows()
    assert set(msgspec.msgpack.decode(row.value)['parts']) == {
        'durations',
        'shares',
        'vm_health',
        'vm_speeds',
    }
