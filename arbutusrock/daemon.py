"""The daemon of one node, started by ``arbutusrockd --settings FILE``."""

import asyncio
import os
import pathlib
import resource
import signal
import sys

from aiohttp import web
import defopt
import mode
import uvloop

from arbutusrock import audit
from arbutusrock.contracts import change_log
from arbutusrock.contracts import configuration as configuration_module
from arbutusrock.contracts import permits as permits_module
from arbutusrock import errors
from arbutusrock import jobs
from arbutusrock.links import batches
from arbutusrock.links import caller_api
from arbutusrock.links import messages
from arbutusrock.links import operator_actions
from arbutusrock.links import operator_api
from arbutusrock.links import peers as peers_module
from arbutusrock.links import platform_client
from arbutusrock.links import upstream_client
from arbutusrock import logs
from arbutusrock.machines import fleet_controller
from arbutusrock.machines import health as health_module
from arbutusrock.machines import members as members_module
from arbutusrock import metrics as metrics_module
from arbutusrock import serving
from arbutusrock import settings as settings_module
from arbutusrock.utils import bounded_steps
from arbutusrock.utils import clocks

__all__ = ['Daemon', 'main']

# Exit status of a member that the others removed. After a restart, the process
# joins as a new member.
EXIT_EXPELLED = 75
LISTEN_BACKLOG = 1024
DIVISION_DELAY_S = 0.05
# A head may have this many times the size of its longest line.
HEAD_LINES = 4
# Shares of the connections in the settings, and of the descriptors of the
# process, that each kind of client may have. The other descriptors are for the
# platform, the upstreams and files.
CONNECTION_SHARES = {'callers': 1.0, 'operators': 0.25, 'peers': 0.25}
DESCRIPTOR_SHARES = {'callers': 0.4, 'operators': 0.1, 'peers': 0.1}
# A step of a shutdown that calls the platform makes at most this many calls
# one after the other, which give up while the platform is away.
PLATFORM_STEP_CALLS = 2
# Bound of the stop of all services and connections, and of each connection.
STOP_STEP_S = 10.0
CLOSE_STEP_S = 2.0
# Bound of what is left when everything has been stopped.
CANCEL_STEP_S = 1.0
LOG = logs.get_log('daemon')


class Daemon(mode.Service):
    """One node: creates, connects, starts and stops its services.

    :param settings: :class:`arbutusrock.settings.Settings`.
    """

    def __init__(self, *, settings):
        super().__init__()
        self.settings = settings
        self.stopping = False
        self.metrics = metrics_module.Metrics()
        self._create_links()
        self._create_fleet_services()
        self._create_job_services()
        self.caller_port = 0
        self.operator_port = 0
        self._listeners = []
        self.shutdown_steps = bounded_steps.BoundedSteps()
        self._division_due = asyncio.Event()
        self._connect_callbacks()

    def _create_links(self):
        settings = self.settings
        listen = settings.listen.peers
        self.platform = platform_client.PlatformClient(
            access=settings.platform, metrics=self.metrics
        )
        self.batcher = batches.Batcher(
            platform=self.platform, delay_s=settings.platform.batch_delay_s
        )
        self.peers = peers_module.Peers(
            address=listen.address,
            port=listen.port,
            max_connections=self._count_connections('peers'),
            metrics=self.metrics,
        )
        self.upstreams = upstream_client.UpstreamClient(
            settings=settings.upstreams,
            answer_buffer_bytes=settings.limits.answer_buffer_bytes,
            node_name=settings.node.name,
        )

    def _create_fleet_services(self):
        self.configuration = configuration_module.Configuration()
        self.changes = change_log.ChangeLog(
            platform=self.platform, configuration=self.configuration
        )
        self.members = members_module.Members(
            settings=self.settings,
            platform=self.platform,
            peers=self.peers,
            changes=self.changes,
        )
        self.health = health_module.WorkerHealth(
            configuration=self.configuration
        )
        self.permits = permits_module.PermitController(
            platform=self.platform,
            members=self.members,
            configuration=self.configuration,
        )
        self.operator_actions = operator_actions.OperatorActions(
            changes=self.changes,
            platform=self.platform,
            members=self.members,
            health=self.health,
        )
        self.fleet_controller = fleet_controller.FleetController(node=self)

    def _create_job_services(self):
        self.audit_trail = audit.AuditTrail(
            platform=self.platform, configuration=self.configuration
        )
        self.dispatcher = jobs.Dispatcher(
            configuration=self.configuration,
            members=self.members,
            permits=self.permits,
            health=self.health,
        )
        self.runner = jobs.Runner(
            dispatcher=self.dispatcher,
            upstreams=self.upstreams,
            members=self.members,
            health=self.health,
            metrics=self.metrics,
        )
        self.job_table = jobs.JobTable(
            platform=self.platform,
            batcher=self.batcher,
            members=self.members,
        )
        self.job_controller = jobs.JobController(
            platform=self.platform,
            batcher=self.batcher,
            job_table=self.job_table,
            members=self.members,
            runner=self.runner,
            configuration=self.configuration,
            audit_trail=self.audit_trail,
        )
        self.handover = jobs.Handover(
            job_controller=self.job_controller,
            job_table=self.job_table,
            platform=self.platform,
            members=self.members,
            permits=self.permits,
        )
        self.idempotency = jobs.IdempotencyRegistry(
            platform=self.platform,
            batcher=self.batcher,
            members=self.members,
            upstreams=self.upstreams,
            configuration=self.configuration,
        )

    def _connect_callbacks(self):
        dispatcher = self.dispatcher
        self.members.report_demand = self._report_demand
        self.members.report_busy = dispatcher.count_running_out_of_service
        self.members.report_unsettled_permits = (
            self.permits.count_unsettled_permits
        )
        self.members.on_digest.append(self.permits.handle_digest)
        self.members.on_digest.append(self._handle_digest)
        self.changes.on_applied.append(self.permits.request_reconcile_all)
        self.changes.on_applied.append(dispatcher.divide_all_pools)
        self.health.on_changed.append(dispatcher.divide_all_pools)
        self.permits.on_permits_added.append(dispatcher.dispatch_team)
        self.permits.get_oldest_age_s = dispatcher.get_oldest_age_s
        self.upstreams.check_send = self.runner.check_serving
        self.upstreams.may_renew = self.members.is_serving
        handlers = self.peers.handlers
        handlers[messages.PermitsFreed] = self.permits.handle_permits_freed
        handlers[messages.PermitsGiven] = self.permits.handle_permits_given
        handlers[messages.JobCancelled] = self.job_controller.handle_cancel

    def _report_demand(self):
        self._division_due.set()
        return self.dispatcher.report_demand()

    def _handle_digest(self, digest):
        if digest.away is not None:
            self.health.set_not_live(set(digest.away))
        if digest.demand is not None:
            self._division_due.set()

    async def on_start(self):
        """Open connections and listeners, register as a member, then serve."""
        await self.platform.start()
        await self.upstreams.start()
        self.peers.start()
        listen = self.settings.listen
        self.operator_port = await self._listen(
            'operators',
            operator_api.OperatorAPI(node=self).create_app(),
            listen.operators,
        )
        self.caller_port = await self._listen(
            'callers',
            caller_api.CallerAPI(node=self).create_app(),
            listen.callers,
        )
        self.audit_trail.member_id = self.members.member_id
        self.add_future(self.batcher.run())
        await self.members.register(
            address=listen.peers.address,
            operator_port=self.operator_port,
            caller_port=self.caller_port,
        )
        self.add_future(self.peers.run())
        for service in (
            self.members,
            self.permits,
            self.audit_trail,
            self.job_controller,
            self.fleet_controller,
        ):
            await self.add_runtime_dependency(service)

    async def _listen(self, purpose, app, address):
        listener = serving.Listener(
            runner=web.AppRunner(
                app,
                handler_cancellation=True,
                shutdown_timeout=CLOSE_STEP_S / 2,
            ),
            table=serving.ConnectionTable(
                listener=purpose,
                limits=self._get_connection_limits(purpose),
                metrics=self.metrics,
            ),
        )
        self._listeners.append(listener)
        await listener.start(
            serving.open_socket(address.address, address.port),
            backlog=LISTEN_BACKLOG,
        )
        return listener.address[1]

    def _get_connection_limits(self, purpose):
        limits = self.settings.limits
        return serving.ConnectionLimits(
            connections=self._count_connections(purpose),
            line_bytes=limits.head_bytes,
            head_bytes=limits.head_bytes * HEAD_LINES,
            head_timeout_s=limits.head_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            answer_timeout_s=limits.answer_timeout_s,
            discarded_bytes=limits.body_bytes,
            held_bytes=max(limits.held_bytes, limits.body_bytes),
        )

    def _count_connections(self, purpose):
        """Return how many connections one kind of client may have."""
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return int(
            min(
                self.settings.limits.connections * CONNECTION_SHARES[purpose],
                max_descriptors * DESCRIPTOR_SHARES[purpose],
            )
        )

    @mode.Service.task
    async def _divide_slots(self):
        """Divide the slots among the teams again when demand changes."""
        while not self.should_stop:
            await self._division_due.wait()
            # Digests that arrive during this delay cause only one division.
            await asyncio.sleep(DIVISION_DELAY_S)
            self._division_due.clear()
            self.dispatcher.divide_all_pools()

    @mode.Service.task
    async def _watch_expulsion(self):
        while not self.should_stop:
            await self.sleep(self.settings.membership.renew_s)
            if self.members.expelled:
                LOG.error(
                    'this member was removed by others and must be restarted'
                )
                self.set_shutdown()
                return

    def check_ready(self):
        """Raise unless the load balancer should send requests here."""
        if self.stopping:
            raise errors.NodeStopping('graceful shutdown', retry_after=1)
        self.runner.check_serving()

    def check_accepting(self):
        """Raise when new requests are refused.

        During the notice of a shutdown they are still accepted, as the load
        balancer has not noticed it yet.
        """
        if self.stopping and clocks.now_s() > self._notice_ends_at_s:
            raise errors.NodeStopping('graceful shutdown', retry_after=1)

    async def shut_down(self):
        """Shut down gracefully, within the deadline of the settings.

        Waiting jobs are handed over to other members, and running tasks may
        finish. The member deregisters only when none is left.
        """
        shutdown = self.settings.shutdown
        now = clocks.now_s()
        self._notice_ends_at_s = now + shutdown.notice_s
        deadline_s = now + shutdown.notice_s + shutdown.deadline_s
        self.stopping = True
        self.members.stopping = True
        LOG.info('graceful shutdown begins')
        await asyncio.sleep(shutdown.notice_s)
        run = self.shutdown_steps.run
        access = self.settings.platform
        platform_step_s = PLATFORM_STEP_CALLS * (
            access.retry_budget_s + access.timeout_s
        )
        await run(
            'hand over jobs',
            self._hand_over_jobs(),
            bound_s=min(platform_step_s, shutdown.deadline_s),
        )
        idle = await run(
            'finish running tasks',
            self.runner.wait_idle(deadline_s),
            bound_s=shutdown.deadline_s + CLOSE_STEP_S,
        )
        await run(
            'write the audit trail',
            self.audit_trail.flush(),
            bound_s=platform_step_s,
        )
        if not idle:
            LOG.warning(
                'the shutdown deadline passed while tasks were running'
            )
            return
        await run(
            'return permits',
            self.permits.return_idle_permits(),
            bound_s=platform_step_s,
        )
        await run(
            'deregister',
            self.members.deregister(),
            bound_s=platform_step_s,
        )

    async def _hand_over_jobs(self):
        try:
            await self.handover.hand_over()
        except errors.ArbutusrockError as exc:
            LOG.warning('jobs were not handed over', error=str(exc))

    async def on_shutdown(self):
        """Close listeners and connections after all services stopped."""
        run = self.shutdown_steps.run
        for name, closing in (
            ('listeners', self._close_listeners()),
            ('connections to upstreams', self.upstreams.stop()),
            ('connections to the platform', self.platform.stop()),
        ):
            await run(f'close {name}', closing, bound_s=CLOSE_STEP_S)
        self.peers.stop()

    async def _close_listeners(self):
        await asyncio.gather(
            *(listener.cleanup() for listener in self._listeners)
        )

    def collect_metrics(self):
        """Set the gauges to the present values."""
        metrics = self.metrics
        metrics.reset_gauges()
        for row in self.dispatcher.list_demand():
            labels = (
                ('pool', row.pool),
                ('team', f'{row.customer}/{row.team}'),
            )
            metrics.set_gauge('running', row.running, labels)
            metrics.set_gauge('urgent_waiting', row.urgent, labels)
            metrics.set_gauge('patient_waiting', row.patient, labels)
            metrics.set_gauge('permits', row.permits, labels)
            metrics.set_gauge('oldest_seconds', row.oldest_s, labels)
        metrics.set_gauge('configuration_version', self.configuration.version)
        metrics.set_gauge('members', len(self.members.find_live()))
        usage = resource.getrusage(resource.RUSAGE_SELF)
        metrics.set_gauge('cpu_seconds', usage.ru_utime + usage.ru_stime)
        metrics.set_gauge('jobs_open', self.job_controller.count_open())


async def run_daemon(settings):
    """Run until SIGTERM, SIGINT or a crash; a signal shuts down gracefully.

    A second signal changes nothing: each step of the shutdown has a bound.

    :returns: ``(exit status, unfinished)``, where unfinished names what has
        not ended in time.
    """
    daemon = Daemon(settings=settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await daemon.start()
    LOG.info(
        'serving',
        member=daemon.members.member_id,
        callers=daemon.caller_port,
        operators=daemon.operator_port,
        peers=daemon.peers.port,
    )
    waiters = {
        asyncio.ensure_future(stop.wait()),
        asyncio.ensure_future(daemon.wait_until_stopped()),
    }
    await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    for waiter in waiters:
        waiter.cancel()
    crashed = daemon.crashed
    if not crashed:
        await daemon.shut_down()
    await daemon.shutdown_steps.run(
        'stop services', daemon.stop(), bound_s=STOP_STEP_S
    )
    unfinished = daemon.shutdown_steps.abandoned
    unfinished += await bounded_steps.cancel_other_tasks(CANCEL_STEP_S)
    LOG.info('the daemon ends', unfinished=unfinished)
    if daemon.members.expelled:
        return EXIT_EXPELLED, unfinished
    status = errors.ArbutusrockError.code.exit_status if crashed else 0
    return status, unfinished


def serve(
    *,
    settings: pathlib.Path,
    check: bool = False,
    log_format: str = 'text',
    log_level: str = 'info',
):
    """Run one node of the fleet manager.

    :param settings: settings file in YAML
    :param check: only check the settings, without starting the node
    :param log_format: json or text
    :param log_level: lowest level to log: debug, info, warning or error
    """
    try:
        loaded = settings_module.load_settings(
            settings.read_text(), source=str(settings)
        )
        logs.configure_logs(log_format=log_format, level=log_level)
    except (OSError, UnicodeDecodeError, ValueError, KeyError) as exc:
        print(f'arbutusrockd: {exc}', file=sys.stderr)
        return errors.InvalidSettings.code.exit_status
    except errors.InvalidSettings as exc:
        print(f'arbutusrockd: {exc}', file=sys.stderr)
        return exc.code.exit_status
    if check:
        print(f'{settings}: the settings are valid')
        return 0
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        status, unfinished = runner.run(run_daemon(loaded))
        if unfinished:
            # The runner would wait for it without a bound.
            sys.stderr.flush()
            os._exit(status)
    return status


def main():
    """Entry point of ``arbutusrockd``."""
    sys.exit(defopt.run(serve, cli_options='all'))


if __name__ == '__main__':
    main()
