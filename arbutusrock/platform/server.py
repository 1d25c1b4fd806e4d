"""Serves callers and operators on the sockets of one node."""

import asyncio
import signal
import sys
import time

from aiohttp import web
import uvloop

from arbutusrock.engine import node as node_module
from arbutusrock import errors
from arbutusrock import logs
from arbutusrock import metrics as metrics_module
from arbutusrock.platform import adapter as adapter_module
from arbutusrock.platform import ingress as ingress_module
from arbutusrock.platform import internal_api
from arbutusrock.platform import listeners as listeners_module
from arbutusrock.platform import settings_file
from arbutusrock.utils import clocks

__all__ = ['check', 'run']

# The load balancer probes each node once a second and stops sending requests
# after two failed probes.
DEREGISTRATION_DELAY_S = 2.5
# Time kept free before SIGKILL, so that the process ends by itself.
EXIT_MARGIN_S = 1.2
# Callers that came early wait in the backlog until the first configuration is
# read, as no call can be served without one, but no longer than this.
FIRST_CONFIGURATION_WAIT_S = 1.0
LOG = logs.get_log('daemon')


async def _serve_socket(handler, listener, runners):
    runner = web.ServerRunner(
        web.Server(handler, access_log=None, keepalive_timeout=75)
    )
    await runner.setup()
    site = web.SockSite(
        runner, listener, backlog=listeners_module.LISTEN_BACKLOG
    )
    await site.start()
    runners.append(runner)
    host, port = listener.getsockname()
    return f'{host}:{port}'


def _open_missing(listeners, settings):
    """Open the sockets that were not opened before the imports."""
    for purpose, address in (
        ('callers', settings.callers),
        ('readiness', settings.readiness),
        ('metrics', settings.metrics),
    ):
        if purpose not in listeners:
            host, _, port = address.rpartition(':')
            listeners[purpose] = listeners_module.open_listener(
                host, int(port)
            )


async def _serve(settings, listeners, listening_cpu_s):
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
    _open_missing(listeners, settings)
    addresses = {}
    internal_handler = internal_api.InternalAPI(ingress=ingress).handle
    addresses['metrics'] = await _serve_socket(
        internal_handler, listeners['metrics'], runners
    )
    node.peers.announce(addresses['metrics'])
    configured = await node.configuration.wait_until_read(
        FIRST_CONFIGURATION_WAIT_S
    )
    for purpose, handler in (
        ('callers', ingress.handle),
        ('readiness', ingress.handle_readiness),
    ):
        addresses[purpose] = await _serve_socket(
            handler, listeners[purpose], runners
        )
    LOG.info(
        'serving',
        node=settings.name,
        configured=configured,
        loading_cpu_s=round(time.process_time() - listening_cpu_s, 3),
        **addresses,
    )
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


def check():
    """Validate the settings file; return the exit status."""
    settings = _load_settings()
    if settings is None:
        return errors.InvalidSettings.code.exit_status
    print(f'the settings of {settings.name} are valid')
    return 0


def run(listeners, *, listening_cpu_s):
    """Run the node until a signal stops it.

    :param listeners: sockets that listen already, by their purpose.
    :param listening_cpu_s: processor time until they listened (s).
    :returns: exit status.
    """
    settings = _load_settings()
    if settings is None:
        return errors.InvalidSettings.code.exit_status
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(settings, listeners, listening_cpu_s))


def _load_settings():
    """Return the settings of this process, or None and a log line."""
    output = logs.NonBlockingOutput(descriptor=sys.stdout.fileno())
    logs.configure_logs(log_format='json', level='info', stream=output)
    try:
        return settings_file.load_node_settings()
    except errors.InvalidSettings as exc:
        LOG.error('the settings are not valid', error=str(exc))
        return None
