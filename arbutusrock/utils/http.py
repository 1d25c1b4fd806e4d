"""HTTP client whose errors tell whether a call may have been carried out."""

import asyncio

import aiohttp
from yarl import URL

__all__ = ['Answer', 'HTTPClient', 'NoAnswer', 'NotSent']


class NotSent(Exception):
    """The call was not sent, so it was not carried out."""


class NoAnswer(Exception):
    """No complete answer came.

    The call may have been carried out, or may still be carried out later.
    """


class Answer:
    """Status, headers and body of one answer."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(self, *, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class HTTPClient:
    """Client with a pool of connections to one server.

    :param base_url: ``http://host:port``.
    :param max_connections: maximum number of connections at a time.
    """

    def __init__(self, *, base_url, max_connections):
        self.base_url = base_url
        self.max_connections = max_connections
        self._session = None
        self._closed = False

    def _create_session(self):
        # Idle connections are kept open, as a new one costs more.
        connector = aiohttp.TCPConnector(
            limit=self.max_connections,
            keepalive_timeout=600,
            force_close=False,
        )
        return aiohttp.ClientSession(
            connector=connector,
            skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Accept'),
            auto_decompress=False,
        )

    async def close(self):
        """Close all connections; later calls raise :class:`NotSent`."""
        self._closed = True
        if self._session is not None:
            await self._session.close()

    async def call(
        self, method, path, *, timeout_s, query=None, body=None, headers=None
    ):
        """Make one call.

        :raises NotSent: no connection was made, or the client is closed.
        :raises NoAnswer: no complete answer came within ``timeout_s``, or the
            connection broke.
        """
        if self._closed:
            raise NotSent(f'{self.base_url}: the client is closed')
        if self._session is None:
            self._session = self._create_session()
        headers = dict(headers or ())
        if body is not None:
            headers['Content-Type'] = 'application/json'
        url = URL(self.base_url + path, encoded=True)
        if query:
            url = url.with_query(query)
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    method, url, data=body, headers=headers
                ) as reply:
                    data = await reply.read()
                    return Answer(
                        status=reply.status, headers=reply.headers, body=data
                    )
        except aiohttp.ClientConnectorError as exc:
            raise NotSent(f'{self.base_url}: {exc}') from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise NoAnswer(f'{self.base_url}: {type(exc).__name__}') from exc
