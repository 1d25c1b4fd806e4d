"""Links to the other members.

Each member listens on one pull socket and dials one push socket to every
peer. A digest echoes the sequence of the last digest that its sender
received from the peer. A member can so detect that its messages no longer
arrive, and dials that peer again.
"""

import asyncio
from collections import deque

import msgspec
import pynng

from arbutusrock.links import messages
from arbutusrock.links import peer_listener
from arbutusrock import logs
from arbutusrock.utils import clocks
from arbutusrock.utils import decoders

__all__ = ['PeerLink', 'Peers']

SEND_BUFFER_MESSAGES = 128
# Each connection holds one more message, and is read no further meanwhile.
RECEIVE_BUFFER_MESSAGES = 4
MAX_MESSAGE_BYTES = 8 << 20
REDIAL_AFTER_DIGESTS = 5
MAX_TRACKED_DIGESTS = 64
# Connections beyond one for each known peer. A peer that redials has a second
# one for a moment, and one that joins is not known yet.
SPARE_CONNECTIONS = 16
LOG = logs.get_log('peers')

InboundMessage = (
    messages.Digest
    | messages.ChangesWanted
    | messages.ChangesSent
    | messages.KeysWithdrawn
    | messages.PermitsFreed
    | messages.PermitsGiven
    | messages.JobCancelled
)


class PeerLink:
    """The outgoing link to one peer.

    :param member_id: id of the peer.
    :param address: IP address of the peer.
    :param port: port of the peer's pull socket.
    :ivar sequence: sequence of the last digest sent to the peer.
    :ivar echoed_sequence: last sequence that the peer echoed.
    :ivar dialled_at_sequence: sequence when the link was last dialled.
    :ivar heard_sequence: sequence of the last digest of the peer.
    :ivar unechoed_digests: ``(sequence, time)`` of the sent digests that
        were not echoed yet.
    :ivar sent_at_s: times of the last sent digests, by sequence.
    :ivar demand: the last demand that the peer reported.
    :ivar sent_demand: the last demand sent to the peer, and
        ``sent_demand_sequence`` the digest that first carried it.
    """

    __slots__ = (
        'member_id',
        'address',
        'port',
        'sequence',
        'echoed_sequence',
        'dialled_at_sequence',
        'heard_sequence',
        'last_heard_at_s',
        'echoed_sent_at_s',
        'stale_echoed_sent_at_s',
        'unechoed_digests',
        'sent_at_s',
        'digest',
        'demand',
        'sent_demand',
        'sent_demand_sequence',
        'sent_bytes',
        '_socket',
    )

    def __init__(self, *, member_id, address, port):
        self.member_id = member_id
        self.address = address
        self.port = port
        self.sequence = 0
        self.echoed_sequence = 0
        self.dialled_at_sequence = 0
        self.heard_sequence = 0
        self.last_heard_at_s = None
        # Boot-clock time when the newest echoed digest was sent.
        self.echoed_sent_at_s = None
        # The same, but set only when the digest of the peer reports an old
        # contact with the table service.
        self.stale_echoed_sent_at_s = None
        self.unechoed_digests = deque(maxlen=MAX_TRACKED_DIGESTS)
        self.sent_at_s = {}
        self.digest = None
        self.demand = []
        self.sent_demand = None
        self.sent_demand_sequence = 0
        self.sent_bytes = 0
        self._socket = None

    def dial(self):
        """Open the connection, and close an earlier one."""
        self.close()
        self.dialled_at_sequence = self.sequence
        self._socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=100,
            reconnect_time_max=2000,
        )
        self._socket.dial(f'tcp://{self.address}:{self.port}', block=False)

    def close(self):
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send(self, data):
        """Send without waiting; a message for a full buffer is dropped.

        :returns: whether the message was put into the buffer.
        """
        if self._socket is None:
            return False
        try:
            self._socket.send(data, block=False)
        except pynng.NNGException:
            return False
        self.sent_bytes += len(data)
        return True

    def record_digest_sent(self):
        """Number the next digest and record the time of sending."""
        self.sequence += 1
        now = clocks.now_s()
        self.unechoed_digests.append((self.sequence, now))
        self.sent_at_s[self.sequence] = now
        self.sent_at_s.pop(self.sequence - MAX_TRACKED_DIGESTS, None)

    def record_digest(self, digest):
        """Update the state of the link from a digest of the peer."""
        self.heard_sequence = digest.sequence
        self.digest = digest
        if digest.demand is not None:
            self.demand = digest.demand
        if digest.echo <= self.echoed_sequence:
            return
        self.echoed_sequence = digest.echo
        # The arrival time proves nothing: this digest can have waited in a
        # buffer while this process was paused. The peer certainly sent it
        # after the digest that it echoes, so that one's time counts.
        while (
            self.unechoed_digests
            and self.unechoed_digests[0][0] <= digest.echo
        ):
            self.echoed_sent_at_s = self.unechoed_digests.popleft()[1]

    def get_max_age_s(self, echo):
        """Return an upper bound on the age of a message of the peer.

        :param echo: sequence of the own digest that the message echoes.
        :returns: seconds; infinite when the time of that digest is no
            longer kept.
        """
        sent_at_s = self.sent_at_s.get(echo)
        return (
            float('inf') if sent_at_s is None else clocks.now_s() - sent_at_s
        )

    def is_echo_overdue(self):
        """Return whether the peer seems not to receive the digests.

        At least ``REDIAL_AFTER_DIGESTS`` of them were then sent since the
        last echo and since the last dial.
        """
        unechoed_count = self.sequence - max(
            self.echoed_sequence, self.dialled_at_sequence
        )
        return unechoed_count >= REDIAL_AFTER_DIGESTS


class Peers:
    """All links of this member to its peers.

    :param address: IP address to listen on.
    :param port: port to listen on; 0 lets the system choose one.
    :param max_connections: connections that others may have to this member.
    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    :ivar member_id: id of this member.
    :ivar links: mapping of member id to :class:`PeerLink`.
    :ivar handlers: mapping of message class to the function that handles
        its messages.
    """

    def __init__(self, *, address, port, max_connections, metrics):
        self.address = address
        self.port = port
        self.max_connections = max_connections
        self.metrics = metrics
        self.member_id = ''
        self.links = {}
        self.handlers = {}
        # Whether the list of peers was read.
        self._has_peers = False
        self._socket = None
        self._listener = None
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = decoders.create_msgpack_decoder(InboundMessage)

    def start(self):
        """Listen, and set ``port`` to the one in use."""
        self._socket = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._listener = peer_listener.PeerListener(
            receiver=self._socket,
            choose_limit=self._choose_connection_limit,
            metrics=self.metrics,
        )
        self.port = self._listener.start(self.address, self.port)

    def _choose_connection_limit(self):
        if not self._has_peers:
            # Peers may know this member before it knows them.
            return self.max_connections
        return min(self.max_connections, len(self.links) + SPARE_CONNECTIONS)

    def stop(self):
        """Close all links and stop listening."""
        for link in self.links.values():
            link.close()
        if self._socket is not None:
            self._listener.stop()
            self._socket.close()

    def set_peers(self, addresses):
        """Dial new peers and close the links to peers that are gone.

        :param addresses: mapping of member id to ``(address, port)``.
        """
        self._has_peers = True
        for member_id in list(self.links):
            if member_id not in addresses:
                self.links.pop(member_id).close()
        for member_id, (address, port) in addresses.items():
            if member_id not in self.links:
                link = PeerLink(
                    member_id=member_id, address=address, port=port
                )
                self.links[member_id] = link
                link.dial()

    def send(self, member_id, message):
        """Send a message to one peer, without waiting.

        :returns: whether the message was put into the buffer of its link.
        """
        link = self.links.get(member_id)
        if link is None:
            return False
        data = self._encode(message)
        self.metrics.count('peer_sent_bytes', amount=len(data))
        self.metrics.count('peer_sent_messages')
        return link.send(data)

    def broadcast(self, message):
        """Send a message to all peers."""
        for member_id in self.links:
            self.send(member_id, message)

    async def run(self):
        """Receive messages and call the handler of their type."""
        task = asyncio.current_task()
        # A call that has received a message swallows its cancellation.
        while not task.cancelling():
            received = await self._socket.arecv_msg()
            data = received.bytes
            self.metrics.count('peer_received_bytes', amount=len(data))
            try:
                message = self._decode(data)
            except msgspec.MsgspecError:
                LOG.warning('a message could not be decoded', size=len(data))
                continue
            link = self.links.get(message.sender)
            if link is not None:
                link.last_heard_at_s = clocks.now_s()
                self._listener.record_known(received.pipe)
            try:
                self.handlers[type(message)](message)
            except Exception:
                LOG.exception(
                    'a message could not be handled', sender=message.sender
                )
            await asyncio.sleep(0)
