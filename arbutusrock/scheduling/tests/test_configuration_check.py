"""Configurations that decode, and that callers could not be served by."""

import msgspec
import pytest

from arbutusrock.scheduling import configuration
from arbutusrock.scheduling import configuration_check
from arbutusrock.scheduling import Resources

QUEUE = configuration.Queue(name='q', host='h', prefix='/q/', pool='p')
POOL = configuration.Pool(name='p')
ACCOUNT = configuration.Account(name='a', keys=('k',))


def create_entries(**changes):
    fields = {
        'version': 7,
        'queues': [QUEUE],
        'pools': [POOL, configuration.Pool(name='off', spare=True)],
        'accounts': [ACCOUNT],
    }
    return configuration_check.ConfigurationEntries(**(fields | changes))


def change(entry, **fields):
    return msgspec.structs.replace(entry, **fields)


def test_sound_configuration_has_no_finding():
    task = Resources(cpu=4000)
    entries = create_entries()
    assert not configuration_check.check_configuration(
        entries, largest_task=task
    )


@pytest.mark.parametrize(
    ('changes', 'severity', 'entry', 'text'),
    [
        ({'queues': [QUEUE, QUEUE]}, 'error', 'queue q', '2 entries'),
        (
            {'queues': [QUEUE, change(QUEUE, name='r')]},
            'error',
            'queue r',
            'queue q has the same host and prefix',
        ),
        (
            {'queues': [change(QUEUE, prefix='/q')]},
            'error',
            'queue q',
            'never gets a job',
        ),
        (
            {'queues': [change(QUEUE, host='h:80')]},
            'error',
            'queue q',
            'without a port',
        ),
        (
            {'queues': [change(QUEUE, pool='gone')]},
            'error',
            'queue q',
            'no pool gone',
        ),
        (
            {'queues': [change(QUEUE, pool='off')]},
            'error',
            'queue q',
            'are off',
        ),
        (
            {'queues': [change(QUEUE, max_attempts=0)]},
            'error',
            'queue q',
            'no task can run',
        ),
        (
            {'queues': [change(QUEUE, stretch=0.5)]},
            'warning',
            'queue q',
            'below 1',
        ),
        (
            {
                'queues': [
                    change(
                        QUEUE,
                        advice=configuration.AdviceSettings(
                            decide_ms=200, each_ms=5, valid_ms=100
                        ),
                    )
                ]
            },
            'error',
            'queue q',
            'tickets are valid for 100 ms',
        ),
        ({'queues': []}, 'warning', 'pool p', 'no queue uses it'),
        ({'accounts': []}, 'error', 'queue q', 'nobody may use it'),
        (
            {'accounts': [change(ACCOUNT, weight=0)]},
            'error',
            'account a',
            'share of nothing',
        ),
        (
            {'accounts': [change(ACCOUNT, weight=float('nan'))]},
            'error',
            'account a',
            'share of nothing',
        ),
        (
            {'accounts': [ACCOUNT, change(ACCOUNT, name='b')]},
            'error',
            'account b',
            'that account a has too',
        ),
        (
            {'accounts': [change(ACCOUNT, upper_limit=Resources(cpu=3999))]},
            'error',
            'account a',
            'one task needs 4000',
        ),
        (
            {'limits': configuration.RequestLimits(body_bytes=0)},
            'error',
            'limits',
            'body_bytes must be above 0',
        ),
    ],
)
def test_finding_names_entry_and_reason(changes, severity, entry, text):
    found = configuration_check.check_configuration(
        create_entries(**changes), largest_task=Resources(cpu=4000)
    )
    assert any(
        (item.severity, item.entry) == (severity, entry) and text in item.text
        for item in found
    ), found


@pytest.mark.parametrize(
    ('count', 'duration_s', 'most_at_once', 'texts'),
    [
        (8, 30, 2, []),
        (8, 10, 2, ['cannot end in time']),
        (8, 30, 0, ['never ends']),
        (0, 1, 1, []),
    ],
)
def test_wave_that_cannot_end_is_found(count, duration_s, most_at_once, texts):
    found = configuration_check.check_wave(
        number=3,
        vms=tuple(f'm{number}' for number in range(count)),
        duration_s=duration_s,
        most_at_once=most_at_once,
        maintenance_s=2.0,
    )
    assert len(found) == len(texts)
    assert all(
        text in item.text for text, item in zip(texts, found, strict=True)
    )


def test_comparison_names_changed_fields_only():
    before = create_entries()
    after = create_entries(
        version=8,
        queues=[change(QUEUE, urgency=1)],
        accounts=[ACCOUNT, change(ACCOUNT, name='b', keys=('l',))],
    )
    findings, found = configuration_check.compare_configurations(before, after)
    assert not findings
    assert [
        (item.entry, item.field, item.before, item.after) for item in found
    ] == [
        ('queue q', 'urgency', '0', '1'),
        ('account b', '', 'absent', 'present'),
    ]


def test_version_that_would_be_ignored_is_an_error():
    entries = create_entries()
    (finding,), found = configuration_check.compare_configurations(
        entries, entries
    )
    assert 'would be ignored' in finding.text
    assert not found
