"""Runs one node on the platform: ``python -m arbutusrock.platform``.

With ``--check`` it only validates the settings file.
"""

import asyncio
import gc
import signal
import sys

from aiohttp import web
import uvloop

from arbutusrock.engine import node as node_module
from arbutusrock import errors
from arbutusrock import logs
from arbutusrock import metrics as metrics_module
from arbutusrock.platform import adapter as adapter_module
from arbutusrock.platform import ingress as ingress_module
from arbutusrock.platform import internal_api
from arbutusrock.platform import settings_file
from arbutusrock.utils import clocks

__all__ = ['main']

LISTEN_BACKLOG = 512
# The load balancer probes each node once a second and stops sending requests
# after two failed probes.
DEREGISTRATION_DELAY_S = 2.5
# Time kept free before SIGKILL, so that the process ends by itself.
EXIT_MARGIN_S = 1.2
LOG = logs.get_log('daemon')


async def _listen(handler, address, port, runners):
    runner = web.ServerRunner(
        web.Server(handler, access_log=None, keepalive_timeout=75)
    )
    await runner.setup()
    site = web.TCPSite(runner, address, port, backlog=LISTEN_BACKLOG)
    await site.start()
    runners.append(runner)
    return f'{address}:{runner.addresses[0][1]}'


async def _serve(settings):
    metrics = metrics_module.Metrics()
    adapter = adapter_module.PlatformAdapter(
        settings=settings, metrics=metrics
    )
    node = node_module.Node(
        settings=settings, adapter=adapter, metrics=metrics
    )
    ingress = ingress_module.Ingress(node=node)
    runners = []
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _handle_sighup)

    await node.start()
    addresses = {}
    for name, handler, listen_address in (
        ('callers', ingress.handle, settings.callers),
        ('readiness', ingress.handle_readiness, settings.readiness),
        (
            'metrics',
            internal_api.InternalAPI(ingress=ingress).handle,
            settings.metrics,
        ),
    ):
        address, _, port = listen_address.rpartition(':')
        addresses[name] = await _listen(handler, address, int(port), runners)
    node.peers.announce(addresses['metrics'])
    LOG.info('serving', node=settings.name, **addresses)
    waiters = {
        asyncio.ensure_future(stop.wait()),
        asyncio.ensure_future(node.wait_until_stopped()),
    }
    await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    if node.crashed:
        LOG.error('the node has failed', exc_info=node.crash_reason)
        return errors.ArbutusrockError.code.exit_status
    await _shut_down(node, ingress, settings)
    for runner in runners:
        await runner.cleanup()
    await node.stop()
    await adapter.close()
    LOG.info('stopped', node=settings.name)
    return 0


def _handle_sighup():
    # The fields that the node uses do not change while a process runs.
    LOG.info('SIGHUP ignored: the settings are read only at start')


async def _shut_down(node, ingress, settings):
    """Hand the unit over, then complete the requests within the grace period.

    New requests are accepted until the load balancer has stopped sending them.
    """
    began_at_s = clocks.now_s()
    LOG.info('graceful shutdown begins', requests=ingress.open_requests)
    await node.hand_over()
    latest_at_s = began_at_s + settings.grace_s - EXIT_MARGIN_S
    deregistered_at_s = min(began_at_s + DEREGISTRATION_DELAY_S, latest_at_s)
    await asyncio.sleep(max(0.0, deregistered_at_s - clocks.now_s()))
    try:
        async with asyncio.timeout(max(0.0, latest_at_s - clocks.now_s())):
            await ingress.wait_idle()
    except TimeoutError:
        LOG.warning(
            'stopping with open requests', requests=ingress.open_requests
        )


def main(arguments=()):
    """Run the node until a signal stops it, or only validate the settings.

    :param arguments: command line; ``--check`` only validates the settings.
    :returns: exit status.
    """
    output = logs.NonBlockingOutput(descriptor=sys.stdout.fileno())
    logs.configure_logs(log_format='json', level='info', stream=output)
    try:
        settings = settings_file.load_node_settings()
    except errors.InvalidSettings as exc:
        LOG.error('the settings are not valid', error=str(exc))
        return exc.code.exit_status
    if '--check' in arguments:
        print(f'the settings of {settings.name} are valid')
        return 0
    gc.freeze()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(settings))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
