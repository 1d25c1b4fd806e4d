"""What the owner leaves out of its passes over VMs while it is behind."""

import asyncio
import time
import types
from unittest import mock

from arbutusrock.engine.term import owner_load
from arbutusrock.engine.vms import vm_controller
from arbutusrock.utils import clocks

SIZING_S = 0.1


async def test_owner_that_is_behind_lists_vms_as_often_as_before():
    """Without the store only the list shows the capacity of workers."""
    load = owner_load.OwnerLoad(metrics=mock.Mock())
    load.lateness_s = 1.0
    client = mock.Mock(list_vms=mock.AsyncMock(return_value=[]))
    controller = vm_controller.VMController(
        term=mock.Mock(
            load=load, holds_orders=False, stopping=False, began_at_s=0.0
        ),
        run_controller=mock.Mock(),
        state_writer=mock.Mock(),
        store=mock.Mock(),
        adapter=types.SimpleNamespace(
            vm_client=client, encode_wave_status=None
        ),
        spawn=mock.Mock(),
    )
    controller.waves = mock.AsyncMock(misses_vms=True)
    controller._update_orders = mock.Mock()
    controller._resize_pools = mock.Mock(
        side_effect=lambda _now_s: time.sleep(SIZING_S)
    )
    began_at_s = clocks.now_s()
    running = asyncio.create_task(controller.run())
    await asyncio.sleep(2.5)
    running.cancel()
    passes = controller.waves.reconcile.await_count
    sizings = controller._resize_pools.call_count
    assert client.list_vms.await_count >= 3
    assert passes >= 8
    # At most a tenth of the time.
    elapsed_s = clocks.now_s() - began_at_s
    assert sizings <= 1 + elapsed_s / (SIZING_S * owner_load.TIME_PARTS)
