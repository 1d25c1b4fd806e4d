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
    """Faults that the platform shows now.

    :param down: whether the connection of each call is reset.
    :param delay_s: delay before each call is handled.
    :param lose_answers: number of next commits that take effect but whose
        answer is lost, by a reset of the connection.
    :param list_lag_s: age of the VM list that is returned.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    list_lag_s: float = 0.0


class StandInPlatform:
    """Platform in memory, with faults that can be switched on."""

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
        """Apply the faults to all calls but those to the control routes."""
        if request.path.startswith(('/faults', '/control')):
            return await handler(request)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            request.transport.abort()
            return web.Response(status=503)
        response = await handler(request)
        if request.path == '/table/commit' and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return response

    async def commit(self, request):
        """Apply all writes of a transaction if all its conditions hold."""
        self.writes += 1
        commit_request = msgspec.msgpack.decode(
            await request.read(), type=table.CommitRequest
        )
        conflicts = []
        for item in commit_request.conditions:
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
        for item in commit_request.writes:
            rows = self.tables.setdefault(item.table, SortedDict())
            if item.value is None:
                rows.pop(item.key, None)
            else:
                rows[item.key] = (self.version, item.value)
        return _create_response(
            table.CommitAnswer(committed=True, version=self.version)
        )

    def _find_version(self, table_name, key):
        row = self.tables.get(table_name, {}).get(key)
        return row[0] if row else table.ABSENT

    async def read(self, request):
        """Read several key ranges from one snapshot of the tables."""
        self.reads += 1
        read_request = msgspec.msgpack.decode(
            await request.read(), type=table.ReadRequest
        )
        rows = [
            self._read_range(key_range) for key_range in read_request.ranges
        ]
        return _create_response(table.ReadAnswer(rows=rows))

    def _read_range(self, key_range):
        rows = self.tables.get(key_range.table)
        if rows is None:
            return []
        found = []
        for key in rows.irange(
            key_range.first, key_range.last, inclusive=(True, False)
        ):
            if len(found) >= key_range.limit:
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
        """Return the VM list as it was ``list_lag_s`` ago."""
        shown_at_s = time.monotonic() - self.faults.list_lag_s
        shown = self.list_history[0][1]
        for at_s, vms in self.list_history:
            if at_s <= shown_at_s:
                shown = vms
        return _create_response(list(shown.values()))

    async def reboot_vm(self, request):
        """Reboot a VM; a repeated call for the same change does nothing."""
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
        """Set the listed state of a VM (live, leaving) or remove it (gone)."""
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
        """Return the number of read and write calls received."""
        return web.json_response({'reads': self.reads, 'writes': self.writes})


def _create_response(message):
    return web.Response(body=msgspec.msgpack.encode(message))


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
