"""Evacuations of data centres, as a node learns of them."""

import pytest

from arbutusrock.engine import configuration_watcher
from arbutusrock.engine.ports import rows
from arbutusrock.platform import operator_rows


class FakeStore:
    """Holds the operators' table at one version."""

    def __init__(self):
        self.found, self.version = [], 1

    async def read_range(self, _table, *, part):
        assert not part
        return self.found, self.version


def create_row(data_centre, *, version, value=b'{}'):
    return rows.Row(
        table=rows.TABLE_OPERATOR,
        part='',
        key=f'evacuate/{data_centre}',
        value=value,
        version=version,
    )


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def watcher(store):
    return configuration_watcher.ConfigurationWatcher(
        store=store, decode=operator_rows.decode_operator_row
    )


def test_evacuations_overlap_and_are_taken_back(watcher):
    calls = []
    watcher.listeners = [lambda: calls.append(watcher.cordons.names)]
    watcher._apply_rows([create_row('z1', version=2)], False, 2)
    watcher._apply_rows([create_row('z2', version=3)], False, 3)
    assert watcher.cordons.names == ['z1', 'z2']
    watcher._apply_rows([create_row('z1', version=4, value=None)], False, 4)
    assert calls == [['z1'], ['z1', 'z2'], ['z2']]


def test_reread_table_lifts_evacuation_whose_removal_was_lost(watcher):
    """The store has dropped the history in which the row was removed."""
    watcher._apply_rows([create_row('z1', version=2)], False, 2)
    watcher._apply_rows([create_row('z2', version=9)], True, 9)
    assert watcher.cordons.names == ['z2']


def test_answer_overtaken_by_newer_one_is_ignored(watcher):
    """A new owner reads the table while the feed goes on.

    The read may end after a later answer of the feed. It must neither lift
    what the feed has shown nor bring back what was taken back.
    """
    watcher._apply_rows([create_row('z1', version=5)], False, 5)
    watcher._apply_rows([create_row('z2', version=3)], True, 3)
    assert watcher.cordons.names == ['z1']


@pytest.mark.parametrize('value', [b'', b'\xff\xfe', b'[1]', b'{"a"'])
def test_unreadable_value_evacuates_by_its_key(watcher, value):
    watcher._apply_rows([create_row('z1', version=2, value=value)], False, 2)
    assert watcher.cordons.names == ['z1']


def test_row_without_data_centre_changes_nothing(watcher):
    watcher._apply_rows([create_row('', version=2)], False, 2)
    assert not watcher.cordons.names


async def test_refresh_reads_what_a_stalled_feed_has_missed(watcher, store):
    store.found, store.version = [create_row('z1', version=7)], 8
    await watcher.refresh()
    assert watcher.cordons.names == ['z1']
