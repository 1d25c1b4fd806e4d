"""Reaches the store through a peer when it does not serve this node.

Load: for seconds, the store refuses the calls of a third of the nodes or
leaves them unanswered, while it serves the other nodes. Callers of those
nodes would be refused, retry a second later at another node and be late.
"""

import asyncio
import functools

import msgspec

from arbutusrock.engine.ports import rows
from arbutusrock import logs
from arbutusrock.utils import clocks
from arbutusrock.utils import decoders
from arbutusrock.utils import http

__all__ = ['FailoverStore']

# How often a node whose direct path is down probes the store, and how long it
# waits for the answer: longer than a slow store takes.
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.7
# After this time without an answer, directly or through a peer, the store
# counts as unreachable for all nodes: two attempts of a caller would fail too.
UNREACHABLE_AFTER_S = 1.0
# When no peer can serve a call either, the store is down for all nodes, and no
# peer is asked for this time.
PEERS_RETRY_DELAY_S = 0.5
# An answer of too many calls (429) means that all nodes together send too
# many, and the call is not relayed. If this node gets nothing else for longer
# than this, its direct path counts as down.
MAX_BUSY_S = 0.3
# Number of peers that one call is offered to, and how long a peer that could
# not serve one is excluded: a third of the nodes may lose their direct path
# together.
MAX_PEER_ATTEMPTS = 3
PEER_EXCLUSION_S = 2.0
# Time-out of a relayed call, beyond the wait that it asks the store for:
# shorter than callers wait, longer than a slow store takes (0.5 s).
RELAY_TIMEOUT_S = 1.2
# Calls that are made for other nodes at a time, so that those of this node
# find a connection to the store. A node has up to three watch calls open.
MAX_SERVED_CALLS = 16
# The store takes no longer wait of a watch call.
MAX_WATCH_S = 30.0
LOG = logs.get_log('relay')


class RowData(msgspec.Struct, array_like=True):
    """A row as it is sent between nodes."""

    table: str
    key: str
    value: bytes | None
    version: int
    part: str


class Transact(msgspec.Struct, tag='transact', array_like=True):
    """A transaction for the store."""

    expected: list[RowData]
    puts: list[RowData]
    removes: list[RowData]


class ReadRange(msgspec.Struct, tag='read', array_like=True):
    """A read of a range of rows."""

    table: str
    part: str
    first: str
    last: str
    limit: int


class Watch(msgspec.Struct, tag='watch', array_like=True):
    """A wait for changes of a table."""

    table: str
    after: int
    wait_s: float


class Answer(msgspec.Struct, array_like=True):
    """The answer of the store to a relayed call.

    :param outcome: ``done``, or the name of an exception of :mod:`rows`.
    """

    outcome: str
    rows: list[RowData] = []
    version: int = 0
    text: str = ''


_encode = msgspec.msgpack.Encoder().encode
_decode_call = decoders.create_msgpack_decoder(Transact | ReadRange | Watch)
_decode_answer = decoders.create_msgpack_decoder(Answer)


class FailoverStore:
    """Client of the store that fails over to a peer.

    It has the methods of the client that it wraps.

    :param direct: client that calls the store directly.
    :param peers: :class:`arbutusrock.engine.callers.peers.Peers`.
    :param metrics: counts relayed calls.
    """

    def __init__(self, *, direct, peers, metrics):
        self.direct = direct
        self.peers = peers
        self.metrics = metrics
        # The peer that served the last relayed call.
        self._last_peer = None
        # Until when each peer that could not serve a call is excluded.
        self._excluded = {}
        self._peers_retry_at_s = 0.0
        self._unreachable_at_s = None
        self._probe = None
        self._failed_at_s = 0.0
        # Calls of other nodes that are being made.
        self._served_calls = 0
        # When the store last answered this node directly.
        self._answered_at_s = 0.0
        # Since when the store has answered only 429 (too many calls); None
        # when it has not.
        self._busy_at_s = None
        self._direct_path_restored = asyncio.Event()

    @property
    def direct_path_down(self):
        """Whether the store does not serve this node directly."""
        return self._probe is not None

    @property
    def unreachable_for_s(self):
        """How long neither this node nor a peer has reached the store."""
        if not self.direct_path_down or self._unreachable_at_s is None:
            return 0.0
        return clocks.now_s() - self._unreachable_at_s

    @property
    def is_unreachable(self):
        """Whether the store counts as unreachable, so calls are refused."""
        return self.unreachable_for_s > UNREACHABLE_AFTER_S

    async def transact(self, *, expected=(), puts=(), removes=()):
        """Apply the whole transaction or nothing, as the client does."""
        direct = functools.partial(
            self.direct.transact, expected=expected, puts=puts, removes=removes
        )
        message = functools.partial(_pack_transaction, expected, puts, removes)
        # An unanswered transaction may have been applied, so it is not sent
        # again here.
        answer = await self._call(direct, message, repeatable=False)
        return answer.version if isinstance(answer, Answer) else answer

    async def read_range(self, table, *, first='', last='', limit=0, part=''):
        """Read rows in key order, as the client does."""
        fields = {'part': part, 'first': first, 'last': last, 'limit': limit}
        answer = await self._call(
            functools.partial(self.direct.read_range, table, **fields),
            functools.partial(ReadRange, table=table, **fields),
        )
        return _get_rows(answer)

    async def watch(self, table, *, after, wait_s):
        """Wait for changed rows of a table, as the client does."""
        fields = {'after': after, 'wait_s': wait_s}
        answer = await self._call(
            functools.partial(self.direct.watch, table, **fields),
            functools.partial(Watch, table=table, **fields),
            wait_s=wait_s,
        )
        return _get_rows(answer)

    async def _call(self, direct, message, *, wait_s=0.0, repeatable=True):
        """Make a call directly, or through a peer when that fails.

        :param direct: makes the direct call; its result is returned as it is.
        :param message: creates the message for a peer, whose :class:`Answer`
            is returned.
        :param wait_s: how long the store may hold the call.
        :param repeatable: whether the call may be sent again when it may
            have been executed.
        """
        if self.direct_path_down:
            answer = await self._offer(message(), wait_s, repeatable)
            if answer is not None:
                return answer
        began_at_s = clocks.now_s()
        try:
            result = None
            if self.direct_path_down and repeatable:
                # The store does not answer a call that was sent while the
                # path was down.
                result = await self._wait_until_restored(direct())
            if result is None:
                result = await direct()
        except (rows.Conflicted, rows.HistoryLost, rows.WriteRejected):
            self._record_success()
            raise
        except (rows.StoreRefused, rows.StoreSilent) as exc:
            if isinstance(exc, rows.StoreBusy):
                self._record_busy(str(exc), began_at_s)
                raise_now = not self.direct_path_down
            else:
                self._record_failure(str(exc), began_at_s)
                raise_now = (
                    isinstance(exc, rows.StoreSilent) and not repeatable
                )
            if raise_now:
                raise
            answer = await self._offer(message(), wait_s, repeatable)
            if answer is None:
                raise
            return answer
        self._record_success()
        return result

    async def _wait_until_restored(self, call):
        """Return the result of a reading call.

        :returns: None when the direct path was restored before.
        """
        restored = asyncio.ensure_future(self._direct_path_restored.wait())
        pending_call = asyncio.ensure_future(call)
        try:
            await asyncio.wait(
                {restored, pending_call}, return_when=asyncio.FIRST_COMPLETED
            )
            return await pending_call if pending_call.done() else None
        finally:
            restored.cancel()
            pending_call.cancel()

    async def _offer(self, call, wait_s, repeatable):
        """Offer a call to peers; a reading one until the path is restored.

        A peer that has just ended holds a call up for over a second.

        :returns: as :meth:`_relay`.
        """
        relayed = self._relay(call, wait_s)
        if repeatable:
            return await self._wait_until_restored(relayed)
        return await relayed

    async def _relay(self, call, wait_s):
        """Offer a call to peers.

        :returns: the :class:`Answer`, or None when no peer can serve it.
        """
        if clocks.now_s() < self._peers_retry_at_s:
            return None
        body = _encode(call)
        for _ in range(MAX_PEER_ATTEMPTS):
            name = self._last_peer or self._choose_peer()
            if name is None:
                break
            try:
                reply = await self.peers.call(
                    name, body, timeout_s=wait_s + RELAY_TIMEOUT_S
                )
                answer = None if reply is None else _decode_answer(reply)
            except http.NotSent:
                answer = None
            except (http.NoAnswer, msgspec.DecodeError) as exc:
                # An answer that cannot be decoded is not one of a peer, as of
                # a process that has taken its address.
                if isinstance(call, Transact):
                    self._exclude(name)
                    raise rows.StoreSilent(str(exc)) from exc
                answer = None
            if answer is not None:
                self._last_peer = name
                self._unreachable_at_s = None
                self.metrics.count('store_relayed')
                return _check_answer(answer)
            self._exclude(name)
        self._record_unreachable()
        return None

    def _exclude(self, name):
        self._excluded[name] = clocks.now_s() + PEER_EXCLUSION_S
        if self._last_peer == name:
            self._last_peer = None

    def _choose_peer(self):
        now_s = clocks.now_s()
        self._excluded = {
            name: ends_at_s
            for name, ends_at_s in self._excluded.items()
            if ends_at_s > now_s
        }
        return self.peers.choose(self._excluded.keys())

    def _record_unreachable(self):
        now_s = clocks.now_s()
        self._peers_retry_at_s = now_s + PEERS_RETRY_DELAY_S
        if self._unreachable_at_s is None:
            self._unreachable_at_s = now_s

    def _record_failure(self, reason, began_at_s):
        # A call sent before the last direct answer says nothing about the
        # present state of the path.
        if self._probe is None and began_at_s >= self._answered_at_s:
            LOG.warning('the store does not serve this node', reason=reason)
            self._failed_at_s = clocks.now_s()
            self._direct_path_restored.clear()
            self._probe = asyncio.ensure_future(self._probe_store())

    def _record_busy(self, reason, began_at_s):
        now_s = clocks.now_s()
        if self._busy_at_s is None:
            self._busy_at_s = now_s
        if now_s - self._busy_at_s > MAX_BUSY_S:
            self._record_failure(reason, began_at_s)

    def _record_success(self):
        self._unreachable_at_s = self._busy_at_s = None
        self._answered_at_s = clocks.now_s()
        if self._probe is None:
            return
        self._probe.cancel()
        self._probe = None
        self._direct_path_restored.set()
        LOG.info(
            'the store serves this node again',
            after_s=round(clocks.now_s() - self._failed_at_s, 2),
        )

    async def _probe_store(self):
        """Probe the store until it answers this node again."""
        key = self.peers.node
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    await self.direct.read_range(
                        rows.TABLE_NODES,
                        part=rows.OWNER_PART,
                        first=key,
                        last=f'{key}\0',
                        limit=1,
                    )
            except (rows.StoreRefused, rows.StoreSilent, TimeoutError):
                # The path is still down, which was logged when it failed.
                continue
            self._record_success()
            return

    async def serve(self, body):
        """Execute a call of a peer at the store.

        Calls of peers are not relayed further: a node whose direct path is
        down serves none.

        :returns: the encoded :class:`Answer`, or None when this node does
            not reach the store directly, or makes as many calls for others
            as it can.
        :raises msgspec.DecodeError: the body is not a valid call.
        """
        call = _decode_call(body)
        if self.direct_path_down or self._served_calls >= MAX_SERVED_CALLS:
            return None
        began_at_s = clocks.now_s()
        self._served_calls += 1
        try:
            answer = await _execute(self.direct, call)
        finally:
            self._served_calls -= 1
        if answer.outcome == 'StoreRefused':
            self._record_failure(answer.text, began_at_s)
            return None
        return _encode(answer)

    async def close(self):
        """Stop the probe and close the connections to peers."""
        if self._probe is not None:
            self._probe.cancel()
        await self.peers.close()


async def _execute(store, call):
    """Execute the call of a peer; return the :class:`Answer`."""
    try:
        match call:
            case Transact():
                found = []
                version = await store.transact(
                    expected=[_unpack(row) for row in call.expected],
                    puts=[_unpack(row) for row in call.puts],
                    removes=[_unpack(row) for row in call.removes],
                )
            case ReadRange():
                found, version = await store.read_range(
                    call.table,
                    part=call.part,
                    first=call.first,
                    last=call.last,
                    limit=call.limit,
                )
            case Watch():
                found, version = await store.watch(
                    call.table,
                    after=call.after,
                    wait_s=min(MAX_WATCH_S, max(0.0, call.wait_s)),
                )
    except rows.Conflicted as exc:
        return Answer(
            outcome='Conflicted', rows=[_pack(row) for row in exc.rows]
        )
    except (
        rows.HistoryLost,
        rows.StoreBusy,
        rows.StoreRefused,
        rows.StoreSilent,
        rows.WriteRejected,
    ) as exc:
        return Answer(outcome=type(exc).__name__, text=str(exc))
    return Answer(
        outcome='done', rows=[_pack(row) for row in found], version=version
    )


def _check_answer(answer):
    """Return the answer, or raise the exception that it names."""
    match answer.outcome:
        case 'done':
            return answer
        case 'Conflicted':
            raise rows.Conflicted([_unpack(item) for item in answer.rows])
        case 'HistoryLost':
            raise rows.HistoryLost(answer.text)
        case 'StoreBusy':
            raise rows.StoreBusy(answer.text)
        case 'WriteRejected':
            raise rows.WriteRejected(answer.text)
        case 'StoreSilent':
            raise rows.StoreSilent(answer.text)
        case _:
            raise rows.StoreRefused(answer.text)


def _pack(row):
    return RowData(row.table, row.key, row.value, row.version, row.part)


def _unpack(item):
    return rows.Row(
        table=item.table,
        key=item.key,
        value=item.value,
        version=item.version,
        part=item.part,
    )


def _pack_transaction(expected, puts, removes):
    return Transact(
        expected=[_pack(row) for row in expected],
        puts=[_pack(row) for row in puts],
        removes=[_pack(row) for row in removes],
    )


def _get_rows(answer):
    """Return ``(rows, version)`` of a direct result or an answer of a peer."""
    if isinstance(answer, Answer):
        return [_unpack(item) for item in answer.rows], answer.version
    return answer
