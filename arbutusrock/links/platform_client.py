"""Client of the platform's table service, object store and VM list.

All data that must be durable goes through this narrow interface. Calls are
msgpack over HTTP, until the users specify the format of their platform.
"""

import asyncio
import random
import secrets

import aiohttp
import msgspec

from arbutusrock import errors
from arbutusrock.links import table
from arbutusrock import logs
from arbutusrock.utils import clocks
from arbutusrock.utils import decoders

__all__ = ['Conflicted', 'PlatformClient']

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
UNRESPONSIVE_AFTER_S = 1.0
RESPONSIVE_CHECK_S = 0.1
CHANGE_TABLE = 'change'
LOG = logs.get_log('platform')


class Conflicted(Exception):
    """A transaction wrote nothing because a condition did not hold.

    :param conflicts: list of :class:`table.Condition`: those that did not
        hold, each with the actual version of its row.
    """

    def __init__(self, conflicts):
        super().__init__(f'{len(conflicts)} conditions did not hold')
        self.conflicts = conflicts


class PlatformClient:
    """Client of the platform.

    :param access: :class:`arbutusrock.settings.PlatformAccess`.
    :param metrics: :class:`arbutusrock.metrics.Metrics`.
    """

    def __init__(self, *, access, metrics):
        self.access = access
        self.metrics = metrics
        self.last_answer_at_s = 0.0
        self._failing_since_s = None
        self._session = None
        self._encode = msgspec.msgpack.Encoder().encode
        self._base_url = f'http://{access.address}:{access.port}'

    async def start(self):
        """Open the connection pool."""
        timeout = aiohttp.ClientTimeout(total=self.access.timeout_s)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def stop(self):
        """Close all connections."""
        await self._session.close()

    @property
    def unresponsive(self):
        """Whether all calls failed for more than ``UNRESPONSIVE_AFTER_S``."""
        since_s = self._failing_since_s
        return (
            since_s is not None
            and clocks.now_s() - since_s > UNRESPONSIVE_AFTER_S
        )

    def check_responsive(self):
        """Raise when the platform is unresponsive.

        Calls that must not wait for the retries check this first. The
        lease renewal does not check it but keeps calling, and so finds out
        when the platform answers again.

        :raises errors.StoreUnavailable: before anything is written.
        """
        if self.unresponsive:
            raise errors.StoreUnavailable(
                'recent calls to the platform got no answer',
                retry_after=self.access.retry_budget_s,
            )

    async def wait_while_responsive(self, task):
        """Wait for a task, but not while the platform is unresponsive.

        :param task: :class:`asyncio.Task` that calls the platform; it goes on
            when this raises.
        :returns: result of the task.
        :raises errors.StoreUnavailable: when the platform became unresponsive
            first.
        """
        while not task.done():
            self.check_responsive()
            await asyncio.wait({task}, timeout=RESPONSIVE_CHECK_S)
        return task.result()

    async def commit(self, conditions, writes, *, change_id=None):
        """Run one transaction.

        Every transaction also writes a row whose key is its change id. When
        an answer is lost and the call is repeated, the row shows that the
        first attempt took effect, so nothing is written twice.

        :param conditions: list of :class:`table.Condition`.
        :param writes: list of :class:`table.Write`.
        :param change_id: id of this transaction; a new one when None.
        :returns: version of the written rows.
        :raises Conflicted: when a condition did not hold; nothing was
            written.
        :raises errors.StoreUnavailable: when the result is not known; its
            attribute ``change_id`` can be passed to :meth:`fence`.
        """
        change_id = change_id or create_change_id()
        marker, marker_write = _create_marker(change_id)
        request = table.CommitRequest(
            conditions=[marker, *conditions],
            writes=[marker_write, *writes],
        )
        try:
            answer = await self._call_table(
                '/table/commit', request, table.CommitAnswer, 'store_writes'
            )
        except errors.StoreUnavailable as exc:
            exc.change_id = change_id
            raise
        if answer.committed:
            return answer.version
        for item in answer.conflicts:
            if item.table == CHANGE_TABLE and item.key == change_id:
                return item.version
        raise Conflicted(answer.conflicts)

    async def fence(self, change_id):
        """Make sure that an unanswered transaction does not take effect later.

        It writes the row of that change id itself, so that the transaction,
        should it still arrive, conflicts.

        :param change_id: id of the transaction.
        :returns: True when the transaction can no longer take effect, False
            when it took effect already.
        :raises errors.StoreUnavailable: when no answer came, so that neither
            is certain.
        """
        marker, marker_write = _create_marker(change_id)
        try:
            # The call gets a change id of its own, so only the marker row
            # of the transaction to fence can conflict.
            await self.commit([marker], [marker_write])
        except Conflicted:
            return False
        return True

    async def read(self, *ranges):
        """Read ranges in one snapshot.

        :param ranges: the :class:`table.Range` of each.
        :returns: a list of :class:`table.Row` for each range.
        :raises errors.StoreUnavailable: when no answer came.
        """
        request = table.ReadRequest(ranges=list(ranges))
        answer = await self._call_table(
            '/table/read', request, table.ReadAnswer, 'store_reads'
        )
        return answer.rows

    async def read_row(self, table_name, key):
        """Return one :class:`table.Row`, or None when it does not exist."""
        row_range = table.Range(
            table=table_name, first=key, last=key + '\0', limit=1
        )
        (rows,) = await self.read(row_range)
        return rows[0] if rows else None

    async def put_object(self, name, body):
        """Write ``body`` to the object store; repeats are harmless."""
        await self._request_with_retries(
            'PUT', f'/objects/{name}', body, 'object_writes'
        )

    async def get_object(self, name):
        """Return the bytes of an object, or None when it does not exist."""
        return await self._request_with_retries(
            'GET', f'/objects/{name}', None, 'object_reads'
        )

    async def delete_object(self, name):
        """Delete an object; repeats are harmless."""
        await self._request_with_retries(
            'DELETE', f'/objects/{name}', None, 'object_writes'
        )

    async def list_vms(self):
        """Return the list of :class:`table.ListedVM`, maybe out of date."""
        data = await self._request_with_retries(
            'GET', '/vms', None, 'list_reads'
        )
        return decoders.decode_msgpack(data, list[table.ListedVM])

    async def reboot_vm(self, vm, change_id):
        """Ask the platform to reboot a drained VM.

        :param vm: name of the VM.
        :param change_id: the platform reboots the VM only once for each id.
        """
        path = f'/vms/{vm}/reboot/{change_id}'
        await self._request_with_retries('POST', path, b'', 'reboots')

    async def _call_table(self, path, request, answer_type, counter):
        data = await self._request_with_retries(
            'POST', path, self._encode(request), counter
        )
        return decoders.decode_msgpack(data, answer_type)

    async def _request_with_retries(self, method, path, body, counter):
        """Make one call; repeat it with back-off within the retry budget.

        :param counter: name of the metric that counts the attempts.
        :raises errors.StoreUnavailable: when the retry budget is used up.
        """
        give_up_at_s = clocks.now_s() + self.access.retry_budget_s
        backoff_s = INITIAL_BACKOFF_S
        while True:
            self.metrics.count(counter)
            try:
                return await self._try_once(method, path, body)
            except (aiohttp.ClientError, TimeoutError, OSError) as exc:
                self.metrics.count('store_failures')
                self._failing_since_s = self._failing_since_s or clocks.now_s()
                reason = type(exc).__name__
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            retry_delay_s = backoff_s * random.uniform(0.5, 1.0)  # noqa: S311
            if clocks.now_s() + retry_delay_s >= give_up_at_s:
                raise errors.StoreUnavailable(
                    f'{method} {path.split("/")[1]} failed: {reason}',
                    retry_after=self.access.retry_budget_s,
                )
            await asyncio.sleep(retry_delay_s)

    async def _try_once(self, method, path, body):
        self.metrics.count('store_sent_bytes', amount=len(body or b''))
        async with self._session.request(
            method, self._base_url + path, data=body
        ) as answer:
            data = await answer.read()
            counter_prefix = 'list' if path == '/vms' else 'store'
            self.metrics.count(
                f'{counter_prefix}_received_bytes', amount=len(data)
            )
            if answer.status == 404:
                return None
            if answer.status != 200:
                raise aiohttp.ClientError(f'status {answer.status}')
        self.last_answer_at_s = clocks.now_s()
        self._failing_since_s = None
        return data


def _create_marker(change_id):
    """Return the condition and the write of the row of a change id.

    Its value is the time in seconds since the epoch.
    """
    timestamp = str(int(clocks.wall_time_s())).encode()
    return (
        table.Condition(
            table=CHANGE_TABLE, key=change_id, version=table.ABSENT
        ),
        table.Write(table=CHANGE_TABLE, key=change_id, value=timestamp),
    )


def create_change_id():
    """Return a new change id for :meth:`PlatformClient.commit`."""
    return secrets.token_hex(12)
