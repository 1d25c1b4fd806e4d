"""Tests of the end of maintenance waves."""

import types

import pytest

from arbutusrock.links import operator_actions
from arbutusrock.machines import waves


class RecordingChanges:
    """Change log that keeps the operations of the last change."""

    def __init__(self, configuration):
        self.configuration = configuration
        self.operations = []

    async def commit(self, *, build, **_fields):
        self.operations = build(self.configuration)


class WaveConfiguration:
    """Configuration with one wave."""

    def __init__(self, wave):
        self.wave = wave

    def get(self, _kind, _name):
        return self.wave

    def get_version(self, _kind, _name):
        return 1


@pytest.mark.parametrize(
    ('done', 'state'),
    [(['w1', 'w2'], 'done'), (['w1'], 'running')],
)
async def test_resumed_wave_without_vms_left_is_done(done, state):
    """The last VM returned to service while the wave was paused."""
    wave = waves.Wave(
        wave='night',
        vms=['w1', 'w2'],
        done=done,
        state=waves.WaveState.PAUSED,
    )
    changes = RecordingChanges(WaveConfiguration(wave))
    actions = types.SimpleNamespace(changes=changes)
    await operator_actions.OperatorActions.change_wave(
        actions, 'night', waves.WaveState.RUNNING, who='op', why=''
    )
    (operation,) = changes.operations
    assert f'"state":"{state}"' in operation.after
