"""Load generator with closed-loop clients, which run in their own processes.

A closed-loop client sends its next request after the response to the last.
Run as ``python -m benchmarks.load URL --clients N --seconds S``. It prints one
JSON object: requests per second, latency quantiles in milliseconds, errors.
"""

import argparse
import asyncio
import json
import sys
import time

import aiohttp
from hdrh.histogram import HdrHistogram

__all__ = ['measure', 'run_load']

MAX_LATENCY_US = 60_000_000


async def run_load(url, headers, clients, seconds, pause_s=0.0):
    """Send GET requests from ``clients`` concurrent clients for ``seconds``.

    :param pause_s: time that a client waits between two requests.
    :returns: ``(rate, histogram, errors)``: requests per second, latencies
        in microseconds, and the number of responses other than 200.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    errors = 0
    end_s = time.monotonic() + seconds
    connector = aiohttp.TCPConnector(limit=0)

    async def run_client(session):
        nonlocal errors
        while time.monotonic() < end_s:
            start_s = time.perf_counter()
            async with session.get(url, headers=headers) as response:
                await response.read()
                errors += response.status != 200
            histogram.record_value(int((time.perf_counter() - start_s) * 1e6))
            if pause_s:
                await asyncio.sleep(pause_s)

    start_s = time.monotonic()
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(run_client(session) for _ in range(clients)))
    elapsed_s = time.monotonic() - start_s
    return histogram.get_total_count() / elapsed_s, histogram, errors


async def measure(url, headers, *, clients, seconds, processes=1, pause_s=0):
    """Run the generator in several processes and combine their results.

    :param clients: number of clients of each process.
    :returns: mapping with rate and errors, summed over the processes, and
        p50_ms and p99_ms, the highest of any process.
    """
    arguments = [
        sys.executable,
        '-m',
        'benchmarks.load',
        url,
        '--headers',
        json.dumps(headers),
        '--clients',
        str(clients),
        '--seconds',
        str(seconds),
        '--pause',
        str(pause_s),
    ]
    started = [
        await asyncio.create_subprocess_exec(
            *arguments, stdout=asyncio.subprocess.PIPE
        )
        for _ in range(processes)
    ]
    results = [
        json.loads((await process.communicate())[0]) for process in started
    ]
    return {
        'rate': sum(result['rate'] for result in results),
        'p50_ms': max(result['p50_ms'] for result in results),
        'p99_ms': max(result['p99_ms'] for result in results),
        'errors': sum(result['errors'] for result in results),
    }


def main():
    """Parse the arguments, run the clients and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('url')
    parser.add_argument('--headers', default='{}')
    parser.add_argument('--clients', type=int, default=16)
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--pause', type=float, default=0)
    args = parser.parse_args()
    rate, histogram, errors = asyncio.run(
        run_load(
            args.url,
            json.loads(args.headers),
            args.clients,
            args.seconds,
            args.pause,
        )
    )
    print(
        json.dumps(
            {
                'rate': rate,
                'p50_ms': histogram.get_value_at_percentile(50) / 1000,
                'p99_ms': histogram.get_value_at_percentile(99) / 1000,
                'errors': errors,
            }
        )
    )


if __name__ == '__main__':
    main()
