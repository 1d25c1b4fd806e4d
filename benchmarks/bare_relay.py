"""Baseline of ``bench_relay``: a plain aiohttp relay without any checks.

Run as ``python -m benchmarks.bare_relay PORT...`` with the ports of the
workers. It listens on a free port of 127.0.0.1 and prints that port.
"""

import argparse
import asyncio
import itertools

import aiohttp
from aiohttp import web

__all__ = ['serve']


async def serve(ports):
    """Forward requests to the workers in round-robin order, until stopped.

    :param ports: ports of the workers on 127.0.0.1.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )
    worker_ports = itertools.cycle(ports)

    async def relay(request):
        url = f'http://127.0.0.1:{next(worker_ports)}{request.raw_path}'
        async with session.request(
            request.method, url, data=await request.read() or None
        ) as response:
            return web.Response(
                status=response.status, body=await response.read()
            )

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', relay)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0, backlog=1024).start()
    print('port', runner.addresses[0][1], flush=True)
    await asyncio.Event().wait()


def main():
    """Parse the arguments and serve until stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('ports', type=int, nargs='+')
    asyncio.run(serve(parser.parse_args().ports))


if __name__ == '__main__':
    main()
