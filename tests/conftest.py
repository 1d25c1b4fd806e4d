"""Fixtures shared by the integration tests."""

import pytest_asyncio

from examples.standins import fleet as fleet_module
from examples.standins import proxy


@pytest_asyncio.fixture
async def fleet(tmp_path):
    """Yield a fleet without daemons and workers; stop it after the test.

    The test fails too if a daemon's log holds a traceback, a caller's key or
    the operator's token.
    """
    async with fleet_module.Fleet(folder=tmp_path) as started:
        yield started
        for daemon in started.daemons.values():
            text = daemon.log.read_text()
            assert 'Traceback' not in text, text[-4000:]
            for secret in started.keys.values():
                assert secret not in text
            assert fleet_module.OPERATOR_TOKEN not in text


@pytest_asyncio.fixture
async def link(site):
    """A proxy on the path of one node to the store.

    The test file has the fixture of the site.
    """
    port = int(site.get_address('store').rpartition(':')[2])
    fault_proxy = proxy.FaultProxy(target_port=port)
    await fault_proxy.start()
    yield fault_proxy
    await fault_proxy.stop()
