"""Tests of the retries of one request."""

from unittest import mock

import pytest

from arbutusrock import errors
from arbutusrock.jobs import runner
from arbutusrock.links import upstream_client


def create_runner(outcome):
    """Return a runner whose upstreams all answer with ``outcome``."""
    upstreams = mock.Mock(exchange=mock.AsyncMock(return_value=outcome))
    return runner.Runner(
        dispatcher=mock.Mock(acquire=mock.AsyncMock()),
        upstreams=upstreams,
        members=mock.Mock(),
        health=mock.Mock(),
        metrics=mock.Mock(),
    )


async def test_one_request_breaks_upstream_after_upstream():
    """Each upstream closes the connection while it runs the request."""
    outcome = upstream_client.Unknown(reason='connection lost', ended=True)
    request_runner = create_runner(outcome)
    work = mock.Mock(
        idempotent=True, replayable=True, deadline_at_s=None, epoch=1
    )
    with pytest.raises(errors.OutcomeUnknown):
        await request_runner.run(work)
    assert request_runner.upstreams.exchange.await_count <= 3
