"""Client for small calls over a few persistent HTTP/1.1 connections.

It does what orders to workers need and nothing else: no redirects, cookies,
proxies, TLS, compression or streams. Errors are those of
:mod:`arbutusrock.utils.http`.
"""

import asyncio
import collections

import httptools

from arbutusrock.utils import decoders
from arbutusrock.utils import http

__all__ = ['GreetingRefused', 'NothingWritten', 'PersistentClient']

# A longer answer counts as malformed. One with 500 reports of completion has
# about 100 KB.
MAX_ANSWER_BYTES = 16 * 1024**2
# Status line and headers, with interim answers before them.
MAX_HEAD_BYTES = 256 * 1024
# Callers have a handful of paths; more would be a leak.
MAX_CACHED_HEADS = 64

# Their answers may lack the body that their headers announce.
_UNSUPPORTED_METHODS = frozenset({'CONNECT', 'HEAD'})
# Written by the client itself.
_OWN_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'content-type',
        'expect',
        'host',
        'transfer-encoding',
        'upgrade',
    }
)


class GreetingRefused(http.NotSent):
    """The server refused the greeting of a new connection.

    The request that the connection was opened for was not written.

    :param answer: :class:`http.Answer` to the greeting.
    """

    def __init__(self, *, answer):
        super().__init__(f'a greeting was answered with {answer.status}')
        self.answer = answer


class NothingWritten(http.NoAnswer):
    """The time-out has passed before the request was written."""


class PersistentClient:
    """Client with a few persistent connections to one server.

    Nothing is sent twice: a request that was written and got no complete
    answer raises :class:`http.NoAnswer`, also on a connection that the server
    was closing at that moment. Connections that are known to be closed are
    not used.

    :param address: ``host:port``; calls to an invalid one raise
        :class:`http.NotSent`.
    :param max_connections: maximum number of connections at a time; further
        calls wait in order of arrival.
    :param headers: headers of all calls.
    :param create_timeout: returns an asynchronous context manager that raises
        ``TimeoutError`` after a number of seconds.
    """

    def __init__(
        self,
        *,
        address,
        max_connections,
        headers=None,
        create_timeout=asyncio.timeout,
    ):
        self.address = address
        self._host, _, self._port = address.rpartition(':')
        self._address_is_valid = decoders.is_address(address)
        self._create_timeout = create_timeout
        self._constant_headers = _encode_headers(headers)
        # Request line and constant headers by method and path.
        self._heads = {}
        self._free_slots = max_connections
        # Calls that wait for a slot, and those that were cancelled while they
        # waited.
        self._waiters = collections.deque()
        # All connections that are open or being opened.
        self._connections = set()
        self._idle = []
        self._closed = False

    async def close(self):
        """Close all connections.

        Calls that wait for an answer raise :class:`http.NoAnswer`; those that
        have written nothing, and later ones, raise :class:`http.NotSent`.
        """
        self._closed = True
        for connection in tuple(self._connections):
            connection.close('the client was closed')
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_exception(self._create_closed_error())

    async def call(
        self, method, path, *, timeout_s, body=None, headers=None, greet=None
    ):
        """Make one call; its connection is closed unless it is answered.

        The time-out includes the wait for a free connection. It raises
        :class:`http.NoAnswer` even if nothing was written by then, like
        :class:`http.HTTPClient`: an overdue call says less about the server
        than a refused connection, and callers treat the two differently. Its
        subclass :class:`NothingWritten` tells those that want to know.

        :param body: JSON, as bytes.
        :param greet: coroutine function that makes the first call of a new
            connection, so that a server which has changed is noticed before
            anything else is written. It is called with a coroutine function
            that takes ``(method, path, body)``. What it returns is the result
            of the whole call, unless that is None; what it raises ends the
            call and closes the connection.
        :returns: :class:`http.Answer`; the names of its headers are in lower
            case.
        :raises NotSent: nothing was written: no connection was made, its
            greeting failed, or the client is closed.
        :raises NoAnswer: no complete answer came within ``timeout_s``, it is
            malformed or too long, or the connection broke.
        :raises ValueError: the call cannot be expressed in HTTP.
        """
        if self._closed:
            raise self._create_closed_error()
        if not self._address_is_valid:
            raise http.NotSent(f'{self.address!r} is not an address')
        request = self._encode_request(method, path, body or b'', headers)
        connection, written = None, False
        try:
            async with self._create_timeout(timeout_s):
                if self._free_slots:
                    self._free_slots -= 1
                else:
                    await self._wait_for_slot()
                try:
                    connection = self._take_idle()
                    if connection is None:
                        connection = await self._connect()
                        greeting = greet and await self._greet(
                            connection, greet
                        )
                        if greeting:
                            return greeting
                    written = True
                    return await connection.send(request)
                except BaseException:
                    # A late answer would be taken for that of the next call.
                    if connection is not None:
                        connection.close('the call ended')
                    raise
                finally:
                    self._release_slot(connection)
        except TimeoutError as exc:
            error = http.NoAnswer if written else NothingWritten
            raise error(f'{self.address}: TimeoutError') from exc

    async def _wait_for_slot(self):
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            # The slot was passed on just before the call was cancelled.
            if not waiter.cancelled() and waiter.exception() is None:
                self._release_slot(None)
            raise

    def _release_slot(self, connection):
        if connection is not None and connection.is_open():
            self._idle.append(connection)
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free_slots += 1

    def _take_idle(self):
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open():
                return connection
        return None

    async def _connect(self):
        connection = _Connection(
            address=self.address, forget=self._forget_connection
        )
        self._connections.add(connection)
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: connection, self._host.strip('[]'), int(self._port)
            )
        except (OSError, OverflowError, ValueError) as exc:
            connection.close('no connection')
            raise http.NotSent(f'{self.address}: {exc}') from exc
        except BaseException:
            connection.close('the call ended')
            raise
        if not connection.is_open():
            raise http.NotSent(f'{self.address}: closed before the request')
        return connection

    async def _greet(self, connection, greet):
        async def send(method, path, body):
            return await connection.send(
                self._encode_request(method, path, body, None)
            )

        try:
            greeting = await greet(send)
        except http.NoAnswer as exc:
            raise http.NotSent(f'no greeting: {exc}') from exc
        if not (greeting or connection.is_open()):
            raise http.NotSent(f'{self.address}: closed after its greeting')
        return greeting

    def _forget_connection(self, connection):
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _encode_request(self, method, path, body, headers):
        head = self._heads.get((method, path))
        if head is None:
            head = self._encode_head(method, path)
        return b'%b%bContent-Length: %d\r\n\r\n%b' % (
            head,
            _encode_headers(headers) if headers else b'',
            len(body),
            body,
        )

    def _encode_head(self, method, path):
        if (
            not (method.isalpha() and _is_visible(method + path))
            or not path.startswith('/')
            or method in _UNSUPPORTED_METHODS
        ):
            raise ValueError(f'{method!r} {path!r} cannot be called')
        head = (
            b'%b %b HTTP/1.1\r\nHost: %b\r\n'
            b'Content-Type: application/json\r\n%b'
        ) % (
            method.encode(),
            path.encode(),
            self.address.encode(),
            self._constant_headers,
        )
        if len(self._heads) >= MAX_CACHED_HEADS:
            self._heads.clear()
        self._heads[method, path] = head
        return head

    def _create_closed_error(self):
        return http.NotSent(f'{self.address}: the client is closed')


class _Connection(asyncio.Protocol):
    """One connection, which carries one call at a time.

    :param address: named in errors.
    :param forget: called with the connection once it is closed.
    """

    __slots__ = (
        '_address',
        '_forget',
        '_transport',
        '_parser',
        '_closed',
        '_answer',
        '_received_bytes',
        '_status',
        '_headers',
        '_body',
        '_complete',
        '_reusable',
    )

    def __init__(self, *, address, forget):
        self._address = address
        self._forget = forget
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._closed = False
        # Future of the answer; None while no call waits for one.
        self._answer = None
        self._clear()

    def _clear(self):
        self._received_bytes = 0
        # 0 until the head of the final answer is complete.
        self._status = 0
        self._headers = {}
        self._body = []
        self._complete = False
        self._reusable = False

    def is_open(self):
        """Tell whether a request can be sent, as far as is known."""
        return not self._closed and not self._transport.is_closing()

    def send(self, request):
        """Write a request; return the future of its answer."""
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._answer

    def close(self, reason):
        """Close at once; a call that waits for its answer gets none."""
        if self._closed:
            return
        self._closed = True
        # They refer to each other.
        self._parser = None
        if self._transport is not None:
            # What was not written yet must not be written later.
            self._transport.abort()
        answer, self._answer = self._answer, None
        if answer is not None and not answer.done():
            answer.set_exception(http.NoAnswer(f'{self._address}: {reason}'))
        self._forget(self)

    def connection_made(self, transport):
        self._transport = transport
        if self._closed:
            transport.abort()

    def data_received(self, data):
        if self._answer is None:
            self.close('unexpected data')
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # More data after the answer spoils the connection only.
            self._reusable = False
            if not self._complete:
                self.close(f'malformed answer: {exc}')
                return
        if self._complete:
            self._finish()
        elif self._received_bytes > (
            MAX_ANSWER_BYTES if self._status else MAX_HEAD_BYTES
        ):
            self.close('the answer is too long')

    def eof_received(self):
        if self._answer is not None and self._ends_with_connection():
            self._finish()
        self.close('the connection was closed')

    def connection_lost(self, exc):
        self.close(f'the connection broke: {exc}')

    def _ends_with_connection(self):
        return (
            self._status > 0
            and 'content-length' not in self._headers
            and 'transfer-encoding' not in self._headers
        )

    def _finish(self):
        answer, self._answer = self._answer, None
        if not self._reusable:
            self.close('not persistent')
        if not answer.done():
            body = self._body
            answer.set_result(
                http.Answer(
                    status=self._status,
                    headers=self._headers,
                    body=body[0] if len(body) == 1 else b''.join(body),
                )
            )
        self._clear()

    # Called by the parser.

    def on_message_begin(self):
        if self._complete:
            raise ValueError('data after the answer')

    def on_header(self, name, value):
        name = name.decode('latin-1').lower()
        value = value.decode('latin-1')
        if name in self._headers:
            value = f'{self._headers[name]}, {value}'
        self._headers[name] = value

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if status >= 200:
            self._status = status
            self._reusable = (
                self._parser.should_keep_alive()
                and self._parser.get_http_version() == '1.1'
            )

    def on_body(self, data):
        self._body.append(data)

    def on_message_complete(self):
        if self._status:
            self._complete = True
        else:
            # An interim answer, as 100.
            self._headers = {}
            self._body = []


def _is_visible(text):
    """Tell whether ``text`` has visible ASCII characters only."""
    return text.isascii() and text.isprintable() and ' ' not in text


def _encode_headers(headers):
    lines = []
    for name, value in (headers or {}).items():
        if (
            not _is_visible(name)
            or ':' in name
            or not value.isprintable()
            or name.lower() in _OWN_HEADERS
        ):
            raise ValueError(f'the header {name!r} cannot be sent: {value!r}')
        lines.append(f'{name}: {value}\r\n')
    return ''.join(lines).encode()
