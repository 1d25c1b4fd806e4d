"""Stand-in for the platform: table service, object store, VM list.

Run as ``python -m examples.standins.platform --port 0``; it prints its port.
``POST /faults`` with a JSON object of :class:`PlatformFaults` makes it slow,
down, lose answers, or lag.
"""

import argparse
import asyncio
import time

from aiohttp import web
import msgspec
from sortedcontainers import SortedDict

from arbutusrock.links import table

__all__ = ['PlatformFaults', 'StandInPlatform']

MAX_BODY_BYTES = 256 << 20


class PlatformFaults(msgspec.Struct, kw_only=True):
    """What is wrong with the platform now.

    :param down: whether calls are refused.
    :param delay_s: how long every call waits.
    :param lose_answers: how many of the next commits take effect but lose
        their answer.
    :param list_lag_s: age of the VM list.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    list_lag_s: float = 0.0


class StandInPlatform:
    """In-memory platform with switchable faults."""

    def __init__(self):
        self.faults = PlatformFaults()
        self.tables = {}
        self.objects = {}
        self.version = 0
        self.writes = 0
        self.reads = 0
        self.vms = {}
        self.list_history = [(time.monotonic(), {})]
        self.reboots_seen = set()
        self.reboot_s = 0.5

    def create_app(self):
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self.apply_faults]
        )
        app.router.add_post('/table/commit', self.commit)
        app.router.add_post('/table/read', self.read)
        app.router.add_route('*', '/objects/{name:.+}', self.handle_object)
        app.router.add_get('/vms', self.list_vms)
        app.router.add_post('/vms/{vm}/reboot/{change}', self.reboot_vm)
        app.router.add_post('/faults', self.set_faults)
        app.router.add_post('/control/vm/{vm}/{state}', self.set_vm_state)
        app.router.add_get('/control/counts', self.show_counts)
        return app

    @web.middleware
    async def apply_faults(self, request, handler):
        """Delay or refuse a call, or lose its answer."""
        if request.path.startswith(('/faults', '/control')):
            return await handler(request)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            request.transport.abort()
            return web.Response(status=503)
        answer = await handler(request)
        if request.path == '/table/commit' and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return answer

    async def commit(self, request):
        """Run a conditional transaction over many rows."""
        self.writes += 1
        order = msgspec.msgpack.decode(
            await request.read(), type=table.CommitRequest
        )
        conflicts = []
        for item in order.conditions:
            version = self._find_version(item.table, item.key)
            if version != item.version:
                conflicts.append(
                    msgspec.structs.replace(item, version=version)
                )
        if conflicts:
            return _create_response(
                table.CommitAnswer(committed=False, conflicts=conflicts)
            )
        self.version += 1
        for item in order.writes:
            rows = self.tables.setdefault(item.table, SortedDict())
            if item.value is None:
                rows.pop(item.key, None)
            else:
                rows[item.key] = (self.version, item.value)
        return _create_response(
            table.CommitAnswer(committed=True, version=self.version)
        )

    def _find_version(self, table_name, key):
        found = self.tables.get(table_name, {}).get(key)
        return found[0] if found else table.ABSENT

    async def read(self, request):
        """Read ranges in one snapshot."""
        self.reads += 1
        order = msgspec.msgpack.decode(
            await request.read(), type=table.ReadRequest
        )
        answer = [self._read_range(item) for item in order.ranges]
        return _create_response(table.ReadAnswer(rows=answer))

    def _read_range(self, wanted):
        rows = self.tables.get(wanted.table)
        if rows is None:
            return []
        found = []
        for key in rows.irange(
            wanted.first, wanted.last, inclusive=(True, False)
        ):
            if len(found) >= wanted.limit:
                break
            version, value = rows[key]
            found.append(table.Row(key=key, version=version, value=value))
        return found

    async def handle_object(self, request):
        """Put, get or delete an object."""
        name = request.match_info['name']
        match request.method:
            case 'PUT':
                self.objects[name] = await request.read()
                return web.Response()
            case 'GET' if name in self.objects:
                return web.Response(body=self.objects[name])
            case 'DELETE':
                self.objects.pop(name, None)
                return web.Response()
        return web.Response(status=404)

    async def list_vms(self, request):
        """Return the list as it was ``list_lag_s`` ago."""
        then_s = time.monotonic() - self.faults.list_lag_s
        known = self.list_history[0][1]
        for at_s, vms in self.list_history:
            if at_s <= then_s:
                known = vms
        return _create_response(list(known.values()))

    async def reboot_vm(self, request):
        """Reboot a VM once per change."""
        vm = request.match_info['vm']
        change = request.match_info['change']
        if (vm, change) not in self.reboots_seen:
            self.reboots_seen.add((vm, change))
            asyncio.create_task(self._finish_reboot(vm, change))
        return web.Response()

    async def _finish_reboot(self, vm, change):
        await asyncio.sleep(self.reboot_s)
        self._set_vm(
            table.ListedVM(vm=vm, state='live', boot_id=f'boot-{change}')
        )

    def _set_vm(self, listed):
        self.vms = {**self.vms, listed.vm: listed}
        self._record_list()

    def _record_list(self):
        self.list_history.append((time.monotonic(), self.vms))
        del self.list_history[:-1000]

    async def set_vm_state(self, request):
        """Set the listed state of a VM: live, leaving or gone."""
        vm = request.match_info['vm']
        state = request.match_info['state']
        if state == 'gone':
            self.vms = {k: v for k, v in self.vms.items() if k != vm}
            self._record_list()
        else:
            boot_id = self.vms[vm].boot_id if vm in self.vms else 'boot-0'
            self._set_vm(table.ListedVM(vm=vm, state=state, boot_id=boot_id))
        return web.Response()

    async def set_faults(self, request):
        """Replace the faults."""
        self.faults = msgspec.json.decode(
            await request.read(), type=PlatformFaults
        )
        return web.Response()

    async def show_counts(self, request):
        """Return how many reads and writes came."""
        return web.json_response({'reads': self.reads, 'writes': self.writes})


def _create_response(record):
    return web.Response(body=msgspec.msgpack.encode(record))


async def serve(port):
    """Serve until cancelled; print the port."""
    platform = StandInPlatform()
    runner = web.AppRunner(platform.create_app(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', port)
    await site.start()
    print('port', runner.addresses[0][1], flush=True)
    await asyncio.Event().wait()


def main():
    """Parse arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    asyncio.run(serve(parser.parse_args().port))


if __name__ == '__main__':
    main()
