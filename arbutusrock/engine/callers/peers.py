"""Finds the other nodes and sends relayed calls to them."""

import asyncio
import random

import msgspec

from arbutusrock.engine.ports import feeds
from arbutusrock.engine.ports import rows
from arbutusrock import logs
from arbutusrock.scheduling import successors
from arbutusrock.utils import decoders
from arbutusrock.utils import http

__all__ = ['CANDIDATE_PATH', 'RELAY_PATH', 'CandidateView', 'Peers']

# Path on which nodes take calls from each other, at their metrics address.
RELAY_PATH = '/relay'
# Path at which a node says whether it can own the unit.
CANDIDATE_PATH = '/candidate'
# Time for that answer.
CANDIDATE_TIMEOUT_S = 0.3
# How often the list of nodes is read; new nodes are known within seconds.
REFRESH_INTERVAL_S = 5.0
RETRY_DELAY_S = 0.5
# Connections to one peer: three for watch calls of feeds, the others for all
# other calls.
MAX_CONNECTIONS = 8
LOG = logs.get_log('peers')


class CandidateView(msgspec.Struct, kw_only=True):
    """Answer of a node that is asked whether it can own the unit.

    Further fields as in :class:`successors.Candidate`.
    """

    can_own: bool
    up_s: decoders.Figure
    claim_delay_s: decoders.Figure = 0.0


_decode_candidate = decoders.create_json_decoder(CandidateView)


class Peers:
    """Addresses of the other nodes, read from the row that each node writes.

    :param store: client of the store.
    :param node: name of this node.
    """

    def __init__(self, *, store, node):
        self.store = store
        self.node = node
        self.addresses = {}
        self._own_address = ''
        self._announced = asyncio.Event()
        self._clients = {}

    def announce(self, address):
        """Set the address at which this node takes calls from the others."""
        self._own_address = address
        self._announced.set()

    async def run(self):
        """Write the row of this node, and keep reading those of the others."""
        await self._announced.wait()
        row = rows.Row(
            table=rows.TABLE_NODES,
            key=self.node,
            value=self._own_address.encode(),
        )
        written = False
        while True:
            try:
                if not written:
                    await self.store.transact(puts=[row])
                    written = True
                found, _ = await feeds.read_parts(
                    self.store, rows.TABLE_NODES, (rows.OWNER_PART,)
                )
            except (rows.StoreRefused, rows.StoreSilent):
                # The present list stays. Failures of the store are reported by
                # the parts that need an answer.
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            addresses = _decode_addresses(found)
            # A late write of an earlier process of this node may follow.
            written = addresses.pop(self.node, '') == self._own_address
            self.addresses = addresses
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def choose(self, excluded):
        """Return the name of a random other node, or None.

        :param excluded: names of nodes not to choose.
        """
        names = sorted(self.addresses.keys() - excluded)
        return random.choice(names) if names else None  # noqa: S311

    async def call(self, name, body, *, timeout_s):
        """Send a relayed call to a node.

        :returns: body of the answer, or None when the node did not serve it.
        :raises http.NotSent: the call did not reach the node.
        :raises http.NoAnswer: the node may have executed the call.
        """
        answer = await self._get_client(name).call(
            'POST', RELAY_PATH, body=body, timeout_s=timeout_s
        )
        return answer.body if answer.status == 200 else None

    def _get_client(self, name):
        address = self.addresses.get(name)
        if address is None:
            raise http.NotSent(f'{name} is not known any more')
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = http.HTTPClient(
                base_url=f'http://{address}', max_connections=MAX_CONNECTIONS
            )
        return client

    async def find_candidates(self):
        """Ask all other nodes whether they can own the unit.

        :returns: :class:`successors.Candidate` of each that has answered.
        """
        found = await asyncio.gather(
            *(self._ask_candidate(name) for name in self.addresses)
        )
        return [item for item in found if item is not None]

    async def _ask_candidate(self, name):
        try:
            answer = await self._get_client(name).call(
                'GET', CANDIDATE_PATH, timeout_s=CANDIDATE_TIMEOUT_S
            )
            view = _decode_candidate(answer.body)
        except (http.NotSent, http.NoAnswer, msgspec.DecodeError) as exc:
            LOG.debug('a node is no candidate', node=name, error=str(exc))
            return None
        return successors.Candidate(
            name=name,
            up_s=view.up_s,
            claim_delay_s=view.claim_delay_s,
            can_own=view.can_own,
        )

    async def close(self):
        """Close the connections to all peers."""
        for client in self._clients.values():
            await client.close()


def _decode_addresses(found):
    """Return the addresses in rows by node, without those of no use."""
    addresses = {}
    for row in found:
        address = (row.value or b'').decode(errors='replace')
        if decoders.is_address(address):
            addresses[row.key] = address
        else:
            LOG.error(
                'the address of a node is malformed',
                node=row.key,
                address=address,
            )
    return addresses
