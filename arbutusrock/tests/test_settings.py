"""Tests of the settings, documents, result codes and errors."""

import pathlib
import re

import hypothesis
from hypothesis import strategies
import pytest

from arbutusrock import codes
from arbutusrock import contracts
from arbutusrock import errors
from arbutusrock import settings
from arbutusrock.utils import documents

ROOT = pathlib.Path(__file__).resolve().parents[2]


def test_load_settings_accepts_example():
    text = (ROOT / 'examples' / 'settings.yaml').read_text()
    assert settings.load_settings(text).node.name == 'entry-1'


def test_load_settings_reports_every_error_with_line_and_value():
    text = (
        'node: {name: UPPER, data_centre: dc}\n'
        'platform:\n'
        '  address: not-an-ip\n'
        '  port: 70000\n'
        'membership:\n'
        '  lease_s: -1\n'
        'operators:\n'
        '  - {operator: ana, token_sha256: hunter2}\n'
    )
    with pytest.raises(errors.InvalidSettings) as caught:
        settings.load_settings(text)
    message = str(caught.value)
    for expected in (
        'settings:1: node.name',
        'settings:3: platform.address',
        'settings:4: platform.port',
        'got 70000',
        'settings:6: membership.lease_s',
        'settings:8: operators[0].token_sha256',
    ):
        assert expected in message
    assert 'hunter2' not in message


def test_load_settings_rejects_short_leases():
    text = (
        'node: {name: a, data_centre: dc}\n'
        'platform: {address: 127.0.0.1, port: 1}\n'
        'membership: {renew_s: 3, lease_s: 6}\n'
        'upstreams: {silence_s: 5, task_lease_s: 10}\n'
    )
    with pytest.raises(errors.InvalidSettings) as caught:
        settings.load_settings(text)
    assert 'membership.lease_s must be above' in str(caught.value)
    assert 'upstreams.task_lease_s must be at least' in str(caught.value)


@hypothesis.given(strategies.text(max_size=200))
def test_load_contract_raises_only_invalid_document(text):
    try:
        contracts.load_contract(text)
    except errors.InvalidDocument as exc:
        assert exc.code.number == 102


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['customer', 'teams', 'team', 'share', 'x']
            ),
            children,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@hypothesis.given(json_values)
def test_find_errors_accepts_any_value(value):
    found = documents.find_errors(value, contracts.Contract)
    assert all(isinstance(text, str) for _, text in found)
    if not isinstance(value, dict):
        assert found


def test_codes_are_unique_and_documented():
    numbers = [code.number for code in codes.ALL_CODES]
    assert len(numbers) == len(set(numbers))
    rows = re.findall(
        r'\| (AR-\d+) \| (\d+) \| ([^|]+) \| (\d+) \|',
        (ROOT / 'docs' / 'CODES.md').read_text(),
    )
    assert rows == [
        (c.label, str(c.status), c.title, str(c.exit_status))
        for c in codes.ALL_CODES
    ]


def test_error_classes_have_codes():
    for name in errors.__all__:
        assert isinstance(getattr(errors, name).code, codes.Code)
