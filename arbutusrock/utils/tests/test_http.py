"""Tests of the errors of the HTTP client."""

import pytest

from arbutusrock.utils import http


async def test_http_client_call_raises_not_sent_after_close():
    """A node that was stopping crashed on a call with a closed client."""
    client = http.HTTPClient(base_url='http://127.0.0.1:9', max_connections=1)
    await client.close()
    with pytest.raises(http.NotSent):
        await client.call('GET', '/', timeout_s=1.0)
