"""Proxies between each node and all that it calls, for partitions."""

import asyncio
import base64
import json

from aiohttp import web

from examples.standins import proxy

__all__ = ['Network']

HOST = '127.0.0.1'


class _Link:
    """A proxy from a node to an address in a data centre."""

    __slots__ = ('source', 'place', 'proxy')

    def __init__(self, *, source, place, fault_proxy):
        self.source = source
        self.place = place
        self.proxy = fault_proxy


class Network:
    """Gives each node links of its own, so that data centres can be cut off.

    A node learns addresses from the store. So each node has a view of the
    store in which the addresses of workers and other nodes are those of its
    links. The store and the VM service are outside all data centres.

    :param site: :class:`examples.standins.site.Site`.
    :param places: data centre by name of the node.
    """

    def __init__(self, *, site, places):
        self.site = site
        self.places = places
        self.cut_places = set()
        # By (node, address).
        self._links = {}
        self._runners = []
        self._lock = asyncio.Lock()

    async def open(self, node):
        """Return the addresses of the services for a node, by service."""
        view = await self._serve_store_view(node)
        return {
            'store': await self.link(node, view, ''),
            'vms': await self.link(node, self.site.get_address('vms'), ''),
        }

    async def link(self, node, address, place):
        """Return the address at which a node reaches another one."""
        async with self._lock:
            found = self._links.get((node, address))
            if found is None:
                port = int(address.rpartition(':')[2])
                found = _Link(
                    source=self.places[node],
                    place=place,
                    fault_proxy=proxy.FaultProxy(target_port=port),
                )
                await found.proxy.start()
                self._links[node, address] = found
                self._update(found)
        return f'{HOST}:{found.proxy.port}'

    def cut(self, place):
        """Cut a data centre off from all others, silently."""
        self.cut_places.add(place)
        for link in self._links.values():
            self._update(link)

    def heal(self, place):
        """Connect a data centre again; open connections stay silent."""
        self.cut_places.discard(place)
        for link in self._links.values():
            self._update(link)

    def _update(self, link):
        is_cut = link.source != link.place and bool(
            {link.source, link.place} & self.cut_places
        )
        if is_cut:
            faults = link.proxy.faults
            faults.drop_requests = faults.drop_answers = True
        elif link.proxy.faults.drop_requests:
            link.proxy.faults = proxy.LinkFaults()

    async def _serve_store_view(self, node):
        @web.middleware
        async def translate(request, handler):
            response = await handler(request)
            if response.status != 200 or not response.body:
                return response
            body = json.loads(response.body)
            for row in body.get('rows', ()):
                if row.get('value') is not None and row['key'] != node:
                    await self._translate(node, row)
            return web.json_response(body)

        app = self.site.store.create_app()
        app.middlewares.append(translate)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        self._runners.append(runner)
        return f'{HOST}:{runner.addresses[0][1]}'

    async def _translate(self, node, row):
        """Replace the address in a row of a worker or of another node."""
        value = base64.b64decode(row['value'])
        match row['table']:
            case 'servers':
                try:
                    entry = json.loads(value)
                    place = self.site.data_centre_by_worker[row['key']]
                    address = entry['address']
                    entry['address'] = await self.link(node, address, place)
                except (ValueError, KeyError, TypeError, RecursionError):
                    # An odd entry of another writer.
                    return
                value = json.dumps(entry).encode()
            case 'arbutusrock-nodes':
                place = self.places[row['key']]
                address = await self.link(node, value.decode(), place)
                value = address.encode()
            case _:
                return
        row['value'] = base64.b64encode(value).decode()

    async def close(self):
        """Close all links and views."""
        for link in self._links.values():
            await link.proxy.stop()
        for runner in self._runners:
            await runner.cleanup()
