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
from arbutusrock import serving
from arbutusrock.utils import clocks

__all__ = ['check', 'create_listener', 'run']

# The load balancer probes each node once a second and stops sending requests
# after two failed probes.
DEREGISTRATION_DELAY_S = 2.5
# Time kept free before SIGKILL, so that the process ends by itself.
EXIT_MARGIN_S = 1.2
# Callers that came early wait in the backlog until the first configuration is
# read, as no call can be served without one, but no longer than this.
FIRST_CONFIGURATION_WAIT_S = 1.0
# Connections that each listener may have in any case.
MIN_CONNECTIONS = 8
# Shares of the descriptors that the connections of each listener may take. The
# others are for calls to the store, workers and other nodes, and for files.
DESCRIPTOR_SHARES = {'callers': 0.4, 'readiness': 0.02, 'metrics': 0.15}
# Descriptors of a process that are kept for files.
FILE_DESCRIPTORS = 200
LOG = logs.get_log('daemon')


def create_listener(
    purpose, handler, *, settings, metrics, shutdown_timeout_s=60.0
):
    """Return a listener for the requests of one kind of client.

    :param purpose: key of :data:`DESCRIPTOR_SHARES`.
    :param handler: coroutine function that answers a request.
    :param settings: :class:`arbutusrock.engine.node_settings.NodeSettings`.
    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    :param shutdown_timeout_s: bound of the wait for open requests at the end.
    """
    sockets = settings.max_descriptors - FILE_DESCRIPTORS
    table = serving.ConnectionTable(
        listener=purpose,
        limits=serving.ConnectionLimits(
            connections=max(
                MIN_CONNECTIONS, int(sockets * DESCRIPTOR_SHARES[purpose])
            ),
            line_bytes=settings.head_bytes // 2,
            head_bytes=settings.head_bytes,
            head_timeout_s=settings.head_timeout_s,
            idle_timeout_s=settings.idle_timeout_s,
            answer_timeout_s=settings.answer_timeout_s,
            discarded_bytes=settings.discarded_bytes,
            held_bytes=settings.held_bytes,
        ),
        metrics=metrics,
    )
    return serving.Listener(
        runner=web.ServerRunner(
            web.Server(handler), shutdown_timeout=shutdown_timeout_s
        ),
        table=table,
        auto_decompress=True,
    )


def _open_missing(sockets, settings):
    """Open the sockets that were not opened before the imports."""
    for purpose, address in (
        ('callers', settings.callers),
        ('readiness', settings.readiness),
        ('metrics', settings.metrics),
    ):
        if purpose not in sockets:
            host, _, port = address.rpartition(':')
            sockets[purpose] = listeners_module.open_listener(host, int(port))


async def _serve(settings, sockets, listening_cpu_s):
    metrics = metrics_module.Metrics()
    adapter = adapter_module.PlatformAdapter(
        settings=settings, metrics=metrics
    )
    node = node_module.Node(
        settings=settings, adapter=adapter, metrics=metrics
    )
    ingress = ingress_module.Ingress(node=node)
    listeners = []
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _handle_sighup)

    await node.start()
    _open_missing(sockets, settings)
    addresses = {}

    async def listen(purpose, handler):
        listener = create_listener(
            purpose, handler, settings=settings, metrics=metrics
        )
        listeners.append(listener)
        await listener.start(
            sockets[purpose], backlog=listeners_module.LISTEN_BACKLOG
        )
        host, port = listener.address
        addresses[purpose] = f'{host}:{port}'

    await listen('metrics', internal_api.InternalAPI(ingress=ingress).handle)
    node.peers.announce(addresses['metrics'])
    configured = await node.configuration.wait_until_read(
        FIRST_CONFIGURATION_WAIT_S
    )
    await listen('callers', ingress.handle)
    await listen('readiness', ingress.handle_readiness)
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
    for listener in listeners:
        await listener.cleanup()
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


def run(sockets, *, listening_cpu_s):
    """Run the node until a signal stops it.

    :param sockets: sockets that listen already, by their purpose.
    :param listening_cpu_s: processor time until they listened (s).
    :returns: exit status.
    """
    settings = _load_settings()
    if settings is None:
        return errors.InvalidSettings.code.exit_status
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(settings, sockets, listening_cpu_s))


def _load_settings():
    """Return the settings of this process, or None and a log line."""
    output = logs.NonBlockingOutput(descriptor=sys.stdout.fileno())
    logs.configure_logs(log_format='json', level='info', stream=output)
    try:
        return settings_file.load_node_settings()
    except errors.InvalidSettings as exc:
        LOG.error('the settings are not valid', error=str(exc))
        return None
