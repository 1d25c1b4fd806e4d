"""One connection of a client, on top of the HTTP server of aiohttp.

That server bounds each line and the number of lines of a head. It has no
bound on a head as a whole, on empty lines before it, on what a client sends
behind an error or behind a request that is still served, or on the time in
which a client reads an answer. Those are kept here, by counting bytes and
time; nothing of the protocol is parsed.
"""

from aiohttp import http
from aiohttp import web

from arbutusrock.scheduling import connections
from arbutusrock.serving import connection_table

__all__ = ['Connection']

# The server parses what was received in pieces of this size, so that what
# follows a request or an error is not parsed with it.
PIECE_BYTES = 16_384
# Length of the text of a parser's error that the client is shown.
MAX_ERROR_TEXT = 200
_REFUSALS = {
    connection_table.Ending.HEAD_TOO_LONG: (
        b'431 Request Header Fields Too Large'
    ),
    connection_table.Ending.HEAD_TIMEOUT: b'408 Request Timeout',
}


class Connection(web.RequestHandler):
    """Protocol of one connection.

    :param server: :class:`aiohttp.web.Server` that handles its requests.
    :param table: :class:`connection_table.ConnectionTable`.
    :param options: further parameters of the base class.
    :ivar stage: :class:`connections.Stage`.
    :ivar stage_began_at_s: start of the stage; for a head that has begun,
        that of its first byte.
    :ivar held_bytes: what the table has on record for this connection.
    """

    __slots__ = (
        'table',
        'stage',
        'stage_began_at_s',
        'held_bytes',
        '_socket',
        '_unparsed',
        '_is_feeding',
        '_is_reading',
        '_has_paused',
        '_head_bytes',
        '_open_requests',
        '_body',
        '_buffered_bytes',
        '_discarded_bytes',
        '_closing_since_s',
    )

    def __init__(self, server, *, table, **options):
        super().__init__(server, **options)
        self.table = table
        self.stage = connections.Stage.HEAD
        self.stage_began_at_s = 0.0
        self.held_bytes = 0
        # Unlike that of the base class, it stays until the connection is lost.
        self._socket = None
        # Received, and not given to the parser yet.
        self._unparsed = b''
        self._is_feeding = False
        # False once nothing more that is received counts.
        self._is_reading = True
        # Whether reading is paused because of what is not parsed yet.
        self._has_paused = False
        # Received of a head that is not complete.
        self._head_bytes = 0
        # Requests that were parsed and have no complete answer yet.
        self._open_requests = 0
        # Body of the last request; None before the first one.
        self._body = None
        # Size of the body or of the answer that is in memory.
        self._buffered_bytes = 0
        # Received of the body of a request that is answered already.
        self._discarded_bytes = 0
        self._closing_since_s = None

    def connection_made(self, transport):
        """Start to serve, or close the connection if there is no room."""
        self._socket = transport
        self.stage_began_at_s = self._loop.time()
        super().connection_made(transport)
        if not self.table.add(self):
            self._is_reading = False
            transport.abort()

    def connection_lost(self, exc):
        """Forget the connection."""
        self._is_reading = False
        self._unparsed = b''
        self.table.discard(self)
        super().connection_lost(exc)

    def end(self, cause):
        """Close the connection; a client that sends a head is told why."""
        self._is_reading = False
        self._unparsed = b''
        self.table.record(cause)
        refusal = _REFUSALS.get(cause)
        if refusal is None or self._socket.is_closing():
            self._socket.abort()
            return
        self._socket.write(
            b'HTTP/1.1 %b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
            % refusal
        )
        self.force_close()

    def find_overdue(self, now_s):
        """Return the cause for which to end the connection now, or None."""
        limits = self.table.limits
        if self._socket.is_closing():
            # It closes once its client has read what was written.
            if self._closing_since_s is None:
                self._closing_since_s = now_s
            waited_s = now_s - self._closing_since_s
        elif self.stage is connections.Stage.ANSWER:
            waited_s = now_s - self.stage_began_at_s
        else:
            age_s = now_s - self.stage_began_at_s
            if self._head_bytes and age_s > limits.head_timeout_s:
                return connection_table.Ending.HEAD_TIMEOUT
            return None
        if waited_s > limits.answer_timeout_s:
            return connection_table.Ending.ANSWER_NOT_READ
        return None

    def hold(self, size):
        """Record that a body or an answer of this size is in memory."""
        self._buffered_bytes = size
        self._record_held()

    def data_received(self, data):
        """Parse what was received, as far as it can be served now."""
        if not self._is_reading:
            return
        if data:
            self._unparsed = self._unparsed + data if self._unparsed else data
        else:
            # The parser goes on with what it has kept.
            self._feed_piece(data)
        self._feed()

    def resume_reading(self, resume_parser=True):
        """Read on; first what has been received already."""
        super().resume_reading(resume_parser)
        self._feed()

    async def finish_response(self, request, resp, start_time):
        """Send an answer, and turn to the next request."""
        self._set_stage(connections.Stage.ANSWER)
        body = getattr(resp, 'body', None)
        self.hold(len(body) if isinstance(body, bytes) else 0)
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.hold(0)
            # More of them may have been parsed behind a refused upgrade.
            self._open_requests = 0
            if self._messages:
                self._begin_requests(len(self._messages))
            elif self._body.is_eof():
                self._await_head()
            else:
                self._set_stage(connections.Stage.BODY)
                self.table.record_waiting(self)

    def handle_error(self, request, status=500, exc=None, message=None):
        """Answer an error without what the client has sent."""
        if message is not None:
            message = message.partition('\n')[0][:MAX_ERROR_TEXT]
        return super().handle_error(request, status, exc, message)

    def _await_head(self):
        self._head_bytes = self._discarded_bytes = 0
        self._set_stage(connections.Stage.HEAD)
        self.table.record_waiting(self)
        if self._unparsed:
            self._loop.call_soon(self._feed)

    def _begin_work(self):
        self._set_stage(connections.Stage.WORK)
        self.table.record_work(self)

    def _set_stage(self, stage):
        self.stage = stage
        self.stage_began_at_s = self._loop.time()

    def _feed(self):
        """Give the parser what was received, up to the next whole request."""
        if self._is_feeding:
            return
        self._is_feeding = True
        try:
            while self._unparsed and self._is_reading and self._may_parse():
                piece = self._unparsed[:PIECE_BYTES]
                self._unparsed = self._unparsed[PIECE_BYTES:]
                self._feed_piece(piece)
        finally:
            self._is_feeding = False
        self._record_held()
        if self._unparsed:
            self._has_paused = True
            self._pause_transport_reading()
        elif self._has_paused and self._is_reading:
            self._has_paused = False
            if not (self._reading_paused or self._buffer_paused):
                self._resume_transport_reading()

    def _may_parse(self):
        if self._reading_paused:
            return False
        return not self._open_requests or not self._body.is_eof()

    def _feed_piece(self, piece):
        """Give the parser one piece, and count what it belongs to."""
        had_head = self._body is not None and not self._body.is_eof()
        before = len(self._messages)
        super().data_received(piece)
        added = len(self._messages) - before
        if added:
            self._begin_requests(added)
        elif self._open_requests:
            if self._body.is_eof():
                self._begin_work()
        elif had_head:
            self._count_discarded(len(piece))
        elif piece:
            self._count_head(len(piece))

    def _begin_requests(self, count):
        message, self._body = self._messages[-1]
        self._open_requests += count
        self._head_bytes = self._discarded_bytes = 0
        if self._body.is_eof():
            self._begin_work()
        else:
            self._set_stage(connections.Stage.BODY)
        is_error = not isinstance(message, http.RawRequestMessage)
        if is_error and self._is_reading:
            # Behind an error, the parser finds an error in each piece.
            self._is_reading = False
            self._unparsed = b''
            self._pause_transport_reading()
            self.table.record(connection_table.Ending.MALFORMED)

    def _count_head(self, size):
        if not self._head_bytes:
            self.stage_began_at_s = self._loop.time()
        self._head_bytes += size
        if self._head_bytes > self.table.limits.head_bytes:
            self.end(connection_table.Ending.HEAD_TOO_LONG)

    def _count_discarded(self, size):
        if self._body.is_eof():
            self._await_head()
            return
        self._discarded_bytes += size
        if self._discarded_bytes > self.table.limits.discarded_bytes:
            self.end(connection_table.Ending.BODY_AFTER_REFUSAL)

    def _record_held(self):
        size = len(self._unparsed) + self._head_bytes + self._buffered_bytes
        if size != self.held_bytes:
            self.table.hold(self, size)
