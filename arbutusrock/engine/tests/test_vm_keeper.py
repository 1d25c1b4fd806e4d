"""When a wave is completed."""

import types

from arbutusrock.engine import fleet
from arbutusrock.engine import reports
from arbutusrock.engine import vm_board
from arbutusrock.engine import vm_keeper


def create_keeper(board):
    settings = types.SimpleNamespace(maintenance_s=2.0, move_s=1.5)
    keeper = vm_keeper.VMKeeper(
        term=types.SimpleNamespace(fleet=fleet.Fleet(), settings=settings),
        journal=types.SimpleNamespace(put=lambda row: None),
        keeper=None,
        store=None,
        adapter=types.SimpleNamespace(vms=None, encode_wave_status=None),
        spawn=None,
    )
    keeper.board = board
    return keeper


def test_a_wave_waits_for_a_vm_that_is_being_moved():
    """Seen once: the last VM was on its way to another pool."""
    entry = reports.VMEntry(vm='m-2', pool='p', state=reports.VMState.UP)
    board = vm_board.VMBoard()
    board.update([entry], 0.0, lambda _order: 2.0)
    state = board.vms['m-2']
    state.order = vm_board.VMOrder(target='q', begun_s=1.0)
    wave = reports.WaveRequest(
        number=1, vms=('m-1', 'm-2'), duration_s=30.0, most_at_once=1
    )
    record = vm_keeper.WaveRecord(began_ms=0.0, done=['m-1'])
    keeper = create_keeper(board)
    keeper.records[1] = record
    keeper._work_on_wave(wave, record, 2.0)
    assert not record.completed
    state.order = None
    record.done.append('m-2')
    keeper._work_on_wave(wave, record, 3.0)
    assert record.completed
