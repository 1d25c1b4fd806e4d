"""One node of the fleet manager: it serves callers and may own the unit."""

import asyncio

import mode

from arbutusrock.engine.callers import gateway as gateway_module
from arbutusrock.engine.callers import peers as peers_module
from arbutusrock.engine.callers import relay
from arbutusrock.engine import configuration_watcher
from arbutusrock.engine.ownership import inheritance
from arbutusrock.engine.ownership import leader as leader_module
from arbutusrock.engine.ownership import ownership as ownership_module
from arbutusrock.engine.state import possible_runs
from arbutusrock.engine.term import term as term_module
from arbutusrock import logs
from arbutusrock.scheduling import successors
from arbutusrock.utils import clocks

__all__ = ['Node']

# Delay before the next claim after an error ended an ownership.
FAULT_RETRY_DELAY_S = 0.5
# Time-out for writing the last rows before a planned hand-over, and for the
# hand-over itself: longer than a slow store takes (0.6 s).
HAND_OVER_TIMEOUT_S = 1.0
# How long a node that is to stop goes on as the owner while no other node can
# own the unit: less than the load balancer takes to send it no more callers,
# and at most this fraction of its grace period.
MAX_SUCCESSOR_WAIT_S = 2.0
MAX_SUCCESSOR_WAIT_FRACTION = 1 / 3
SUCCESSOR_POLL_S = 0.1
LOG = logs.get_log('node')


class Node(mode.Service):
    """All parts of one process.

    ``leader`` is the part that runs while the node owns the unit; it is None
    at all other times.

    :param settings: :class:`arbutusrock.engine.node_settings.NodeSettings`.
    :param adapter: access to the platform: ``store``, ``advice_client``,
        ``vm_client``, ``decode_worker(key, value)``,
        ``decode_operator_row(row)``,
        ``create_worker_client(entry)`` and ``encode_wave_status(...)``.
    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    """

    def __init__(self, *, settings, adapter, metrics):
        super().__init__()
        self.settings = settings
        self.adapter = adapter
        self.metrics = metrics
        self.peers = peers_module.Peers(
            store=adapter.store, node=settings.name
        )
        self.store = relay.FailoverStore(
            direct=adapter.store, peers=self.peers, metrics=metrics
        )
        self.configuration = configuration_watcher.ConfigurationWatcher(
            store=self.store, decode=adapter.decode_operator_row
        )
        self.elector = ownership_module.OwnerElector(
            store=self.store,
            node=settings.name,
            cores=settings.cores,
            find_address=lambda name: self.peers.addresses.get(name),
        )
        self.gateway = gateway_module.Gateway(
            store=self.store,
            configuration=self.configuration,
            elector=self.elector,
            max_row_bytes=settings.store_row_bytes,
        )
        self.stopping = False
        self._began_at_s = clocks.now_s()
        self.leader = None

    @mode.Service.task
    async def _follow_configuration(self):
        await self.configuration.run()

    @mode.Service.task
    async def _follow_peers(self):
        await self.peers.run()

    @mode.Service.task
    async def _monitor_owner(self):
        await self.elector.monitor.run()

    @mode.Service.task
    async def _store_submissions(self):
        await self.gateway.submitter.run()

    @mode.Service.task
    async def _run_elections(self):
        """Claim the unit whenever it is unowned, and run the leader."""
        while not self.stopping:
            ownership = await self.elector.acquire()
            if ownership is None:
                return
            epoch, version = ownership
            if self.stopping:
                await self.elector.release_unused(version)
                return
            try:
                await self._run_leader(epoch, version)
            except* Exception as group:
                LOG.error(
                    'the ownership ended because of an error',
                    epoch=epoch,
                    exc_info=group,
                )
                await asyncio.sleep(FAULT_RETRY_DELAY_S)
            finally:
                self.leader = None
            if asyncio.current_task().cancelling():
                # The error has replaced the cancellation.
                return

    async def _run_leader(self, epoch, version):
        term = term_module.Term(
            epoch=epoch,
            claim_version=version,
            claim_sent_at_s=self.elector.claim_sent_at_s,
            settings=self.settings,
            configuration=self.configuration,
            metrics=self.metrics,
            heartbeat_at_s=self.elector.heartbeat_at_s,
            heartbeat_version=self.elector.heartbeat_version,
            named_leases=self.elector.named_leases,
            handover=self.elector.handover,
        )
        if self.elector.heartbeat is not None:
            term.inherited_waiting = self.elector.heartbeat.waiting
            term.forecast.restore(
                self.elector.heartbeat.bursts, self.elector.heartbeat_at_s
            )
        self.configuration.listeners = [term.request_dispatch]
        self.leader = leader_module.Leader(
            term=term,
            store=self.store,
            adapter=self.adapter,
            on_heartbeat=self.elector.record_heartbeat,
        )
        await self.leader.run()

    async def on_shutdown(self):
        """Close the connections to other nodes after all tasks have ended."""
        await self.store.close()

    def check_ready(self):
        """Raise unless the load balancer should send callers to this node."""
        self.gateway.check_ready()

    def describe_candidate(self):
        """Return whether this node can own the unit, for its owner."""
        return peers_module.CandidateView(
            can_own=not self.stopping
            and self.leader is None
            and self.configuration.current is not None,
            up_s=clocks.now_s() - self._began_at_s,
            claim_delay_s=self.elector.claim_delay_s,
        )

    async def _choose_successor(self):
        """Return the node that is to own the unit next.

        While there is none, this node goes on. Without one in time any node
        may claim the unit.
        """
        began_at_s = clocks.now_s()
        until_s = began_at_s + min(
            MAX_SUCCESSOR_WAIT_S,
            self.settings.grace_s * MAX_SUCCESSOR_WAIT_FRACTION,
        )
        while True:
            candidates = await self.peers.find_candidates()
            name = successors.choose_successor(candidates)
            if (
                name
                or self.leader is None
                or not self.peers.addresses
                or clocks.now_s() > until_s
            ):
                break
            await asyncio.sleep(SUCCESSOR_POLL_S)
        LOG.info(
            'the next owner is chosen',
            successor=name,
            candidates={
                item.name: round(item.up_s, 1)
                for item in candidates
                if item.can_own
            },
            waited_s=round(clocks.now_s() - began_at_s, 3),
        )
        return name

    async def hand_over(self):
        """Give the unit up before a planned stop."""
        self.stopping = True
        self.elector.stop()
        if self.leader is None:
            return
        successor = await self._choose_successor()
        leader = self.leader
        if leader is None:
            return
        term = leader.term
        term.stopping = True
        handover = inheritance.pass_on_runs(term, leader.state_writer)
        leader.state_writer.knowledge.request_write()
        term.request_flush()
        try:
            async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
                await leader.state_writer.wait_until_durable()
        except TimeoutError:
            LOG.warning('rows were not written before the hand-over')
            handover = possible_runs.Handover()
        if leader.state_writer.progress_rows.unrecorded:
            # Ends whose rows the store refuses are in neither row.
            handover = possible_runs.Handover()
        # No lease may be extended once a next owner can claim the unit.
        term.released = True
        try:
            async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
                term.released = await self.elector.release(
                    term.claim_version,
                    handover=handover,
                    successor=successor,
                )
        except TimeoutError:
            # Other nodes take over once this process has ended.
            LOG.warning('the unit was not released before the stop')
