"""Accepts the connections of peers, and keeps their number bounded.

The message library accepts all connections, waits 10 s for the greeting of
each, and holds what has come of a message as long as its connection lasts.
So connections are accepted here, and handed to it once their greeting is
there; it knows sockets that others have accepted as its own transport.
"""

import asyncio
from collections import OrderedDict
import contextlib
import socket

import pynng

from arbutusrock import logs
from arbutusrock import serving
from arbutusrock.utils import clocks

__all__ = ['PeerListener']

LISTEN_BACKLOG = 128
MAX_ACCEPTS = 32
GREETING_BYTES = 8
GREETING_TIMEOUT_S = 5.0
# Time in which the library reads a greeting that is there.
HAND_OVER_S = 1.0
# Delay after a connection could not be accepted, for want of descriptors.
RETRY_S = 0.5
LOG = logs.get_log('peers')


class PeerListener:
    """Listening socket of the peers.

    :param receiver: socket of the library that receives the messages.
    :param choose_limit: returns how many connections there may be.
    :param metrics: counts connections that are closed.
    """

    def __init__(self, *, receiver, choose_limit, metrics):
        self.receiver = receiver
        self.choose_limit = choose_limit
        self.metrics = metrics
        self._socket = None
        self._target = None
        self._retry = None
        # Connections without a greeting, the oldest first, with their timers.
        self._waiting = OrderedDict()
        # Until when each connection that was handed over may not be known to
        # the library yet.
        self._handed_over = []
        # Ids of the connections that a known peer has sent a message on.
        self._known = set()

    def start(self, address, port):
        """Listen; return the port in use."""
        loop = asyncio.get_running_loop()
        # Called in a thread of the library.
        self.receiver.add_post_pipe_connect_cb(
            lambda _: loop.call_soon_threadsafe(self._record_taken)
        )
        self._target = self.receiver.listen('socket://')
        self._socket = serving.open_socket(address, port)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, serving.RECEIVE_BUFFER_BYTES
        )
        self._socket.setblocking(False)
        self._socket.listen(LISTEN_BACKLOG)
        self._listen()
        return self._socket.getsockname()[1]

    def stop(self):
        """Stop listening; connections that were handed over stay."""
        asyncio.get_running_loop().remove_reader(self._socket)
        if self._retry is not None:
            self._retry.cancel()
        self._socket.close()
        for connection in list(self._waiting):
            self._close(connection)

    def record_known(self, pipe):
        """Record that a known peer has sent a message on a connection."""
        if pipe is not None:
            self._known.add(pipe.id)

    def _listen(self):
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _record_taken(self):
        if self._handed_over:
            self._handed_over.pop(0)

    def _accept(self):
        loop = asyncio.get_running_loop()
        for _ in range(MAX_ACCEPTS):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                LOG.warning('peers cannot connect', error=str(exc))
                loop.remove_reader(self._socket)
                self._retry = loop.call_later(RETRY_S, self._listen)
                return
            connection.setblocking(False)
            if not self._make_room():
                self.metrics.count('peer_connections_closed')
                connection.close()
                continue
            # Only the whole greeting makes it readable.
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVLOWAT, GREETING_BYTES
            )
            self._waiting[connection] = loop.call_later(
                GREETING_TIMEOUT_S, self._refuse, connection
            )
            loop.add_reader(connection, self._hand_over, connection)

    def _make_room(self):
        """Close the connection worth least if there are too many.

        :returns: whether there is room for one more.
        """
        now_s = clocks.now_s()
        self._handed_over = [
            until_s for until_s in self._handed_over if until_s > now_s
        ]
        pipes = list(self.receiver.pipes)
        self._known &= {pipe.id for pipe in pipes}
        count = len(self._waiting) + len(pipes) + len(self._handed_over)
        if count < self.choose_limit():
            return True
        if self._waiting:
            self._refuse(next(iter(self._waiting)))
            return True
        for pipe in pipes:
            if pipe.id not in self._known:
                self.metrics.count('peer_connections_closed')
                # Its peer may have closed it meanwhile.
                with contextlib.suppress(pynng.NNGException):
                    pipe.close()
                return True
        return False

    def _refuse(self, connection):
        self.metrics.count('peer_connections_closed')
        self._close(connection)

    def _close(self, connection):
        self._forget(connection)
        connection.close()

    def _forget(self, connection):
        self._waiting.pop(connection).cancel()
        asyncio.get_running_loop().remove_reader(connection)

    def _hand_over(self, connection):
        """Give a connection with a greeting to the library."""
        try:
            greeting = connection.recv(GREETING_BYTES, socket.MSG_PEEK)
        except OSError:
            greeting = b''
        if len(greeting) < GREETING_BYTES:
            self._close(connection)
            return
        self._forget(connection)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, 1)
        descriptor = connection.detach()
        status = pynng.lib.nng_listener_set_int(
            self._target.listener, b'socket:fd', descriptor
        )
        if status:
            self.metrics.count('peer_connections_closed')
            socket.close(descriptor)
            return
        self._handed_over.append(clocks.now_s() + HAND_OVER_S)
