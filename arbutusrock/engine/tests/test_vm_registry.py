"""What a lagging list of VMs says about orders."""

from arbutusrock.engine import platform_messages
from arbutusrock.engine import vm_registry


def create_entry(state=platform_messages.VMState.UP):
    return platform_messages.VMEntry(vm='m', pool='p', state=state)


def create_board():
    """Return a board with one VM that went down for wave 1 at 10 s."""
    board = vm_registry.VMBoard()
    board.update([create_entry()], 0.0, lambda _order: 2.3)
    state = board.vms['m']
    state.order = vm_registry.VMOrder(target='p', begun_s=9.9, wave=1)
    state.order.answered_s = 10.0
    return board


def test_a_list_that_may_be_older_than_an_order_does_not_end_it():
    board = create_board()
    board.update([create_entry()], 10.7, lambda _order: 2.3)
    assert board.count_down(1) == 1
    board.update([create_entry()], 12.4, lambda _order: 2.3)
    assert board.count_down(1) == 0


def test_a_vm_that_an_earlier_owner_sent_counts_as_down():
    board = vm_registry.VMBoard()
    board.update(
        [create_entry(platform_messages.VMState.UPKEEP)],
        0.0,
        lambda _order: 2.3,
    )
    assert board.count_down(1) == 1
