"""Links to workers: one request at a time on each connection.

The outcome of every exchange is one of the classes below. ``NotRun`` is said
only when no byte left, or when the worker itself said so.
"""

import asyncio
import base64
import hashlib

import aiohttp
import msgspec
from yarl import URL

from arbutusrock import logs
from arbutusrock.machines import vms
from arbutusrock.utils import clocks

__all__ = ['Answered', 'NotRun', 'Refused', 'Unknown', 'UpstreamClient']

NOT_RUN_HEADER = 'Arbutusrock-Not-Run'
STOPPED_HEADER = 'Arbutusrock-Stopped'
TASK_HEADER = 'Arbutusrock-Task'
OWN_HEADER_PREFIX = 'arbutusrock-'
# RFC 9110, section 7.6.1, and the fields that the link sets itself.
UNFORWARDED_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'host',
        'authorization',
        'expect',
    }
)
MAX_POLL_WAIT_S = 5.0
RESOLVE_RETRY_DELAY_S = 0.3
KEEPALIVE_TIMEOUT_S = 15.0
CHUNK_BYTES = 65536
LOG = logs.get_log('upstreams')


class Answered(msgspec.Struct, kw_only=True):
    """The worker answered.

    :param body: the whole body, or None when it is streamed.
    :param stream: open answer of the client library, for a large body.
    """

    status: int
    headers: list
    body: bytes | None
    stream: object = None


class NotRun(msgspec.Struct, kw_only=True):
    """The task did not run and cannot start any more."""

    reason: str


class Refused(msgspec.Struct, kw_only=True):
    """The worker takes no new task; this one did not run."""

    reason: str


class Unknown(msgspec.Struct, kw_only=True):
    """The task may have run.

    :param ended: whether it certainly does not run any more.
    """

    reason: str
    ended: bool = False


class _Broken(Exception):
    """An exchange ended without a whole answer."""


class UpstreamClient:
    """Sends tasks to workers and finds out what became of them.

    :param settings: :class:`arbutusrock.settings.Upstreams`.
    :param answer_buffer_bytes: larger answers are streamed.
    :param node_name: name of this node, for the ledgers of workers.
    """

    def __init__(self, *, settings, answer_buffer_bytes, node_name):
        self.settings = settings
        self.answer_buffer_bytes = answer_buffer_bytes
        self.node_name = node_name
        # Called right before a request leaves; raises to keep it here.
        self.check_send = lambda: None
        self.may_renew = lambda: True
        self._session = None
        self._unpooled_session = None

    async def start(self):
        """Create the connection pools."""
        connect_s = self.settings.connect_s
        self._session = self._create_session(
            aiohttp.TCPConnector(
                limit=0,
                limit_per_host=self.settings.connections,
                keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            ),
            aiohttp.ClientTimeout(
                sock_connect=connect_s, sock_read=self.settings.silence_s
            ),
            self._create_request_class(),
        )
        self._unpooled_session = self._create_session(
            aiohttp.TCPConnector(limit=0, force_close=True),
            aiohttp.ClientTimeout(
                total=MAX_POLL_WAIT_S + self.settings.silence_s,
                sock_connect=connect_s,
            ),
        )

    async def stop(self):
        """Close all connections."""
        await self._session.close()
        await self._unpooled_session.close()

    def _create_request_class(self):
        """Return a request class that checks again after connecting.

        Connecting can take long, or the process can be paused meanwhile.
        """
        upstreams = self

        class GuardedRequest(aiohttp.ClientRequest):
            async def send(self, conn):
                upstreams.check_send()
                return await super().send(conn)

        return GuardedRequest

    def _create_session(
        self, connector, timeout, request_class=aiohttp.ClientRequest
    ):
        return aiohttp.ClientSession(
            request_class=request_class,
            connector=connector,
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        )

    async def exchange(self, vm, work):
        """Run a task on a worker.

        :param vm: :class:`arbutusrock.machines.VM`.
        :param work: :class:`arbutusrock.jobs.WorkItem`.
        :returns: one of the outcomes of this module.
        """
        try:
            return await self._send(vm, work)
        except aiohttp.ClientConnectorError as exc:
            return NotRun(reason=f'no connection to {vm.vm}: {exc.os_error}')
        except aiohttp.ConnectionTimeoutError:
            return NotRun(reason=f'connecting to {vm.vm} timed out')
        except (_Broken, aiohttp.ClientError, TimeoutError, OSError) as exc:
            reason = f'{vm.vm}: {type(exc).__name__} {exc}'.strip()
        if vm.protocol is vms.Protocol.TASKS:
            return await self.resolve(vm, work, reason)
        return Unknown(reason=reason)

    async def _send(self, vm, work):
        answer = await self._session.request(
            work.method,
            self._get_url(vm, work.target),
            headers=self._create_headers(work),
            data=work.body if work.body != b'' else None,
            allow_redirects=False,
            timeout=self._get_timeout(vm, work),
        )
        try:
            outcome = await self._read_answer(vm, work, answer)
        except BaseException:
            answer.close()
            raise
        if not (isinstance(outcome, Answered) and outcome.stream):
            answer.release()
        return outcome

    def _get_timeout(self, vm, work):
        if vm.protocol is vms.Protocol.TASKS:
            return self._session.timeout
        # A plain upstream cannot be asked again, so it may stay silent for
        # as long as the work may run.
        return aiohttp.ClientTimeout(
            sock_connect=self.settings.connect_s,
            sock_read=work.queue.run_timeout_s,
        )

    def _get_url(self, vm, target):
        return URL(f'http://{vm.address}:{vm.port}{target}', encoded=True)

    def _create_headers(self, work):
        headers = [
            (name, value)
            for name, value in work.headers
            if name.lower() not in UNFORWARDED_HEADERS
            and not name.lower().startswith(OWN_HEADER_PREFIX)
        ]
        headers += [
            (TASK_HEADER, work.task_id),
            ('Arbutusrock-Epoch', str(work.epoch)),
            ('Arbutusrock-Lease', str(self.settings.task_lease_s)),
            ('Arbutusrock-Team', str(work.team_name)),
            ('Arbutusrock-Key-Id', work.key_id),
            ('Arbutusrock-Priority', 'patient' if work.patient else 'urgent'),
            ('Arbutusrock-Node', self.node_name),
        ]
        return headers

    async def _read_answer(self, vm, work, answer):
        refusal = answer.headers.get(NOT_RUN_HEADER)
        if refusal in ('draining', 'full'):
            return Refused(reason=f'{vm.vm} is {refusal}')
        if refusal == 'fenced':
            return NotRun(reason=f'{vm.vm} fenced the task')
        if refusal is not None:
            raise _Broken(f'the worker knows the task as {refusal}')
        if STOPPED_HEADER in answer.headers:
            return Unknown(reason=f'{vm.vm} stopped the task', ended=True)
        if vm.protocol is vms.Protocol.TASKS:
            echoed = answer.headers.get(TASK_HEADER)
            if echoed != work.task_id:
                raise _Broken('the answer belongs to another task')
        length = answer.content_length
        if length is None or length <= self.answer_buffer_bytes:
            body = await self._read_body(answer)
            if body is not None:
                _check_digest(answer.headers, body)
                return _create_answered(answer, body)
        return _create_answered(answer, None)

    async def _read_body(self, answer):
        """Return the whole body, or None when it is too large to buffer.

        The part that was read is then kept for the stream.
        """
        if answer.content_length is not None:
            return await answer.read()
        parts = []
        size = 0
        async for part in answer.content.iter_chunked(CHUNK_BYTES):
            parts.append(part)
            size += len(part)
            if size > self.answer_buffer_bytes:
                answer.content.unread_data(b''.join(parts))
                return None
        return b''.join(parts)

    async def resolve(self, vm, work, reason):
        """Ask a worker, on a new connection, what became of a task.

        A worker that does not know the task fences it, so that a request
        that is still on its way cannot start later.
        """
        give_up_s = clocks.now_s() + self.settings.resolve_s
        while True:
            try:
                state = await self._poll_state(vm, work)
                if state == 'done':
                    return await self._fetch_answer(vm, work)
                if state == 'fenced':
                    return NotRun(reason=reason)
                if state == 'stopped':
                    return Unknown(reason=reason, ended=True)
                give_up_s = clocks.now_s() + self.settings.resolve_s
            except (
                _Broken,
                aiohttp.ClientError,
                TimeoutError,
                OSError,
                msgspec.MsgspecError,
            ) as exc:
                LOG.debug('a task is not resolved', vm=vm.vm, error=str(exc))
                if clocks.now_s() > give_up_s:
                    return Unknown(reason=reason)
                await asyncio.sleep(RESOLVE_RETRY_DELAY_S)

    async def _poll_state(self, vm, work):
        """Return the state of a task; renews the lease of a running one."""
        path = f'/_tasks/{work.task_id}/resolve'
        # Polls renew the lease, so they come well inside it.
        wait_s = min(MAX_POLL_WAIT_S, self.settings.task_lease_s / 3)
        query = f'?epoch={work.epoch}&wait={wait_s}'
        if self.may_renew():
            query += f'&lease={self.settings.task_lease_s}'
        async with self._unpooled_session.post(
            self._get_url(vm, path + query)
        ) as answer:
            if answer.status != 200:
                raise _Broken(f'status {answer.status}')
            found = msgspec.json.decode(await answer.read(), type=_TaskState)
        if found.task != work.task_id:
            raise _Broken('the state belongs to another task')
        return found.state

    async def _fetch_answer(self, vm, work):
        path = f'/_tasks/{work.task_id}/answer'
        async with self._unpooled_session.get(
            self._get_url(vm, path)
        ) as answer:
            if answer.headers.get(TASK_HEADER) != work.task_id:
                raise _Broken('the answer belongs to another task')
            body = await answer.read()
            _check_digest(answer.headers, body)
            return _create_answered(answer, body)

    async def count_running(self, vm):
        """Return the tasks that a worker says it runs.

        :returns: a count; 0 when the worker cannot be reached or does not
            know tasks, because then nothing more can be learned from it.
        """
        if vm.protocol is not vms.Protocol.TASKS:
            return 0
        try:
            async with self._unpooled_session.get(
                self._get_url(vm, '/_health')
            ) as answer:
                found = msgspec.json.decode(await answer.read(), type=_Health)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.MsgspecError,
        ):
            return 0
        return found.running

    async def stop_task(self, vm, work):
        """Ask a worker to stop a task; failures do no harm."""
        path = f'/_tasks/{work.task_id}/stop'
        try:
            async with self._unpooled_session.post(self._get_url(vm, path)):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            LOG.debug('a task was not stopped', vm=vm.vm, task=work.task_id)


class _Health(msgspec.Struct, kw_only=True):
    running: int = 0
    draining: bool = False


class _TaskState(msgspec.Struct, kw_only=True):
    task: str
    state: str
    epoch: int


def _create_answered(answer, body):
    headers = [
        (str(name), value)
        for name, value in answer.headers.items()
        if name.lower() not in UNFORWARDED_HEADERS
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    ]
    return Answered(
        status=answer.status,
        headers=headers,
        body=body,
        stream=answer if body is None else None,
    )


def _check_digest(headers, body):
    """Check a Content-Digest, RFC 9530, when there is one."""
    for item in headers.get('Content-Digest', '').split(','):
        algorithm, _, value = item.strip().partition('=')
        if algorithm != 'sha-256':
            continue
        expected = base64.b64encode(hashlib.sha256(body).digest()).decode()
        if value.strip(':') != expected:
            raise _Broken('the digest of the answer is wrong')
