"""The nodes and the platform stand-ins of one seed, with fault injection."""

import asyncio
import time

from examples.standins import proxy
from examples.standins.site import odd_entries
from examples.standins.site import Site
from soak import daemons
from soak import network
from soak import schedule

__all__ = ['SoakCluster']

# Number of VMs of each pool.
POOL_SIZES = {'alpha': 3, 'beta': 3, 'spare': 2}
CORES_PER_VM = 8
ACCOUNT = 'acme'
# Upper limit of the account, below the capacity of all VMs together.
UPPER_LIMIT_MILLICORES = 30_000
# The steady clock of a worker may run 2% slow.
SLOW_CLOCK_RATE = 0.98
# Late orders and writes are executed after this time, which is shorter than
# the longest lease.
LATE_EXECUTION_DELAY_S = 2.0
# Added delay of a slow store or a slow link.
SLOW_DELAY_S = 0.5
# A slowed owner runs for this long at a time.
SLOW_RUN_S = 0.03
# A worker is back under its id within this time, and registers later.
MAX_REBOOT_S = 2.0
REPORT_DELAY_S = 0.5
WAVE_DURATION_S = 15
DATA_CENTRES = ('z1', 'z2')
# A data centre is cut off for this much longer than other faults last, so that
# the next owner acts on the workers there. Their entries lapse meanwhile.
LONGER_CUT_S = 6.0
ENTRY_LAPSE_S = 1.0
# An evacuation lasts this much longer than other faults, so that starts after
# the time within which it has to be in force are seen.
LONGER_EVACUATION_S = 4.0


class SoakCluster:
    """Node processes, stand-ins of the platform and the proxies between them.

    :param nodes: number of node processes.
    :param folder: folder for the settings files of the nodes.
    :param has_partitions: whether data centres can be cut off. Each node then
        has links of its own to all that it calls.
    """

    def __init__(self, *, nodes, folder, has_partitions=False):
        self.site = Site(
            pools=POOL_SIZES,
            cores=CORES_PER_VM,
            map_address=self._start_worker_link,
            data_centres=DATA_CENTRES,
        )
        self.site.accounts[ACCOUNT]['maximum'] = {
            'cpu': UPPER_LIMIT_MILLICORES
        }
        # Every second VM has a slow clock.
        self.site.clock_rates = {
            f'm-{pool}-{number}': SLOW_CLOCK_RATE
            for pool, count in POOL_SIZES.items()
            for number in range(0, count, 2)
        }
        names = [f'n{number}' for number in range(1, nodes + 1)]
        self.network = None
        if has_partitions:
            self.network = network.Network(
                site=self.site,
                places={
                    name: DATA_CENTRES[number % len(DATA_CENTRES)]
                    for number, name in enumerate(names)
                },
            )
        self.nodes = [
            daemons.Daemon(
                name=name,
                site=self.site,
                folder=folder,
                network=self.network,
            )
            for name in names
        ]
        self.worker_links = {}
        # Number of faults by which new jobs have a task that crashes workers.
        self.deadly_count = 0
        # [kind, begin, end] of each fault, on the steady clock; the end is
        # None while the fault is active.
        self.fault_intervals = []
        # Instant by which each wave is to be completed, by its number.
        self.wave_deadlines = {}

    async def start(self):
        """Start the stand-ins, then all nodes."""
        await self.site.start()
        async with asyncio.TaskGroup() as group:
            for node in self.nodes:
                group.create_task(node.start())

    async def close(self):
        """Kill the node processes, then stop the stand-ins and proxies."""
        for node in self.nodes:
            node.kill_nowait()
        for node in self.nodes:
            await node.close()
        await self.site.stop()
        for link in self.worker_links.values():
            await link.stop()
        if self.network is not None:
            await self.network.close()

    async def _start_worker_link(self, vm, address):
        """Start a proxy in front of a worker and return its address."""
        port = int(address.rpartition(':')[2])
        link = self.worker_links.get(vm)
        # After a reboot it is at its former address.
        if link is None or link.target_port != port:
            link = proxy.FaultProxy(target_port=port)
            await link.start()
            self.worker_links[vm] = link
        return f'127.0.0.1:{link.port}'

    async def inject_fault(self, fault):
        """Inject a fault, wait until it is over and record its interval.

        Several faults may be active at once.
        """
        began_at_s = time.monotonic()
        interval = [fault.kind, began_at_s, None]
        self.fault_intervals.append(interval)
        try:
            await self._run_fault(fault)
        finally:
            interval[2] = time.monotonic()

    async def _run_fault(self, fault):
        kind = fault.kind
        match kind:
            case 'kill' | 'kill the owner':
                await self._restart(self._pick_node(fault), 'kill')
            case 'kill all':
                await self._restart_all('kill')
            case 'stop':
                await self._restart(self._pick_node(fault), 'stop')
            case 'stop in turn':
                for node in self.nodes:
                    await self._restart(node, 'stop')
            case 'pause' | 'pause the owner':
                node = self._pick_node(fault)
                if node.is_serving and not node.paused:
                    node.pause()
                    await asyncio.sleep(fault.duration_s)
                    node.resume()
            case 'slow the owner':
                await self._slow_down(self._pick_node(fault), fault)
            case 'configuration':
                self.site.queues[f'q{self.site.version}'] = {
                    'service': 'alpha'
                }
                await self.site.configure()
            case 'wave':
                number = len(self.wave_deadlines) + 1
                vms = [
                    name
                    for name in self.site.vm_service.vms
                    if 'alpha' in name
                ]
                await self.site.order_wave(
                    number, vms, duration_s=WAVE_DURATION_S, max_down=1
                )
                self.wave_deadlines[number] = (
                    time.monotonic() + WAVE_DURATION_S
                )
            case 'evacuation':
                await self._evacuate(fault)
            case schedule.PARTITION_KIND:
                await self._cut_off(fault)
            case 'odd entries':
                await odd_entries.write_odd_entries(
                    self.site, over_sound_entries=fault.target_selector < 0.5
                )
            case 'deadly tasks':
                self.deadly_count += 1
                await asyncio.sleep(fault.duration_s)
                self.deadly_count -= 1
            case _ if kind.startswith('store link'):
                await self._inject_link_fault(
                    self._pick_node(fault).store_link, fault
                )
            case _ if kind.startswith('worker'):
                await self._inject_worker_fault(fault)
            case _:
                await self._inject_service_fault(fault)

    async def _slow_down(self, node, fault):
        """Let a node run for a fifth of the time only."""
        end_at_s = time.monotonic() + fault.duration_s
        while time.monotonic() < end_at_s:
            # Another fault may have frozen or ended it.
            if node.is_serving and not node.paused:
                node.pause()
                await asyncio.sleep(4 * SLOW_RUN_S)
                node.resume()
            await asyncio.sleep(SLOW_RUN_S)

    async def _evacuate(self, fault):
        """Evacuate a data centre for a while, unless it is evacuated now."""
        name = DATA_CENTRES[int(fault.target_selector * len(DATA_CENTRES))]
        if any(
            data_centre == name and end is None
            for data_centre, _, end in self.site.evacuations
        ):
            return
        await self.site.evacuate(name)
        await asyncio.sleep(fault.duration_s + LONGER_EVACUATION_S)
        await self.site.take_back(name)

    async def _cut_off(self, fault):
        """Cut off the data centre of the owner, with its workers."""
        place = self.network.places[self._pick_node(fault).name]
        if self.network.cut_places:
            return
        self.network.cut(place)
        self.site.cut_data_centres.add(place)
        await asyncio.sleep(ENTRY_LAPSE_S)
        await self.site.remove_entries(place)
        await asyncio.sleep(fault.duration_s + LONGER_CUT_S)
        self.site.cut_data_centres.discard(place)
        self.network.heal(place)

    def _pick_node(self, fault):
        """Return the owner for kinds that hit it, else the selected node.

        The selected node also stands in when no node owns the unit.
        """
        owner = next((node for node in self.nodes if node.is_owner), None)
        if (
            schedule.TARGET_BY_KIND[fault.kind] == 'owner'
            and owner is not None
        ):
            return owner
        return self.nodes[int(fault.target_selector * len(self.nodes))]

    @staticmethod
    async def _restart(node, action):
        if not node.is_serving or node.stopping:
            # Another fault is restarting the node already.
            return
        if action == 'kill':
            await node.kill()
        else:
            await node.stop()
        await node.restart()

    async def _restart_all(self, action):
        async with asyncio.TaskGroup() as group:
            for node in self.nodes:
                group.create_task(self._restart(node, action))

    @staticmethod
    async def _inject_link_fault(link, fault):
        faults = link.faults
        match fault.kind.partition(' link ')[2]:
            case 'reset':
                link.reset_all()
                return
            case 'cut' | 'cut to the owner':
                link.faults = proxy.LinkFaults(refuse=True)
                link.reset_all()
            case 'silent':
                faults.drop_answers = faults.drop_requests = True
            case 'silent for open connections':
                faults.drop_answers = faults.drop_requests = True
                link.faults = proxy.LinkFaults()
            case 'one way':
                faults.drop_answers = True
            case 'slow':
                link.faults = proxy.LinkFaults(delay_s=SLOW_DELAY_S)
                link.reset_all()
        await asyncio.sleep(fault.duration_s)
        # New connections are healthy again. Connections that dropped data
        # keep their faults and stay unresponsive.
        link.faults = proxy.LinkFaults()

    async def _inject_worker_fault(self, fault):
        names = sorted(self.site.workers)
        if not names:
            return
        vm = names[int(fault.target_selector * len(names))]
        worker = self.site.workers[vm]
        match fault.kind:
            case 'worker crash':
                await self.site.crash_worker(vm)
                await asyncio.sleep(fault.duration_s)
                state = self.site.vm_service.vms[vm]
                if state['id'] is None and state['state'] == 'up':
                    await self.site.restart_worker(vm)
            case 'worker reboots':
                await self.site.reboot_worker(
                    vm,
                    down_s=min(fault.duration_s, MAX_REBOOT_S),
                    silent_s=REPORT_DELAY_S,
                )
            case 'worker carries out late':
                worker.faults.execution_delay_s = LATE_EXECUTION_DELAY_S
                await asyncio.sleep(fault.duration_s)
                worker.faults.clear()
            case 'worker fails all':
                worker.failing = True
                await asyncio.sleep(fault.duration_s)
                worker.failing = False
            case 'worker silent':
                # It stays registered.
                worker.faults.unresponsive = True
                await asyncio.sleep(fault.duration_s)
                worker.faults.clear()
            case 'worker shrinks':
                fraction = (fault.target_selector * 7) % 1.0
                self.site.set_millicores(
                    vm, int(CORES_PER_VM * 1000 * fraction)
                )
                await asyncio.sleep(fault.duration_s)
                self.site.set_millicores(vm, CORES_PER_VM * 1000)
            case _:
                await self._inject_link_fault(self.worker_links[vm], fault)

    async def _inject_service_fault(self, fault):
        is_store = fault.kind.startswith('store')
        service = self.site.store if is_store else self.site.vm_service
        faults = service.faults
        match fault.kind:
            case 'store busy':
                faults.busy = True
            case 'store silent' | 'VM service silent':
                faults.unresponsive = True
            case 'store loses answers' | 'VM service loses answers':
                faults.lose_answers = True
            case 'store writes late':
                faults.paths = frozenset({'/api/rows-tx'})
                faults.execution_delay_s = LATE_EXECUTION_DELAY_S
            case 'store slow':
                faults.delay_s = SLOW_DELAY_S
            case 'store forgets history':
                service.min_feed_version = service.version
                return
        await asyncio.sleep(fault.duration_s)
        faults.clear()

    def find_failures(self):
        """Return the failures that the node processes themselves showed."""
        return [item for node in self.nodes for item in node.failures]
