"""Client of the workers: one request at a time on each connection.

The outcome of every exchange is one of the classes below. ``NotRun`` is
returned only when no byte of the request was sent, or when the worker itself
reports that the task did not run.
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
from arbutusrock.utils import decoders

__all__ = ['Answered', 'NotRun', 'Refused', 'Unknown', 'UpstreamClient']

NOT_RUN_HEADER = 'Arbutusrock-Not-Run'
STOPPED_HEADER = 'Arbutusrock-Stopped'
TASK_HEADER = 'Arbutusrock-Task'
OWN_HEADER_PREFIX = 'arbutusrock-'
# Hop-by-hop fields (RFC 9110, section 7.6.1), and fields that this client
# sets itself or must not pass on.
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
    :param stream: open :class:`aiohttp.ClientResponse` to read a large body
        from.
    """

    status: int
    headers: list
    body: bytes | None
    stream: object = None


class NotRun(msgspec.Struct, kw_only=True):
    """The task did not run and cannot start later."""

    reason: str


class Refused(msgspec.Struct, kw_only=True):
    """The worker accepts no new tasks now; this one did not run."""

    reason: str


class Unknown(msgspec.Struct, kw_only=True):
    """The task may have run.

    :param ended: whether it is certain that it no longer runs.
    """

    reason: str
    ended: bool = False


class _InvalidAnswer(Exception):
    """The worker sent no valid answer to this request."""


class UpstreamClient:
    """Sends tasks to workers and determines their outcome.

    :param settings: :class:`arbutusrock.settings.Upstreams`.
    :param answer_buffer_bytes: larger bodies of answers are streamed.
    :param node_name: name of this node, which the workers record.
    :ivar check_send: called right before a request is sent; raises when this
        node may not send.
    :ivar may_renew: returns whether this node may renew leases of tasks.
    """

    def __init__(self, *, settings, answer_buffer_bytes, node_name):
        self.settings = settings
        self.answer_buffer_bytes = answer_buffer_bytes
        self.node_name = node_name
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
        """Return a request class that calls ``check_send`` after connecting.

        Connecting can take long, and the process can be paused meanwhile, so
        an earlier check may no longer hold.
        """
        client = self

        class GuardedRequest(aiohttp.ClientRequest):
            async def send(self, conn):
                client.check_send()
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
        except (
            _InvalidAnswer,
            aiohttp.ClientError,
            TimeoutError,
            OSError,
        ) as exc:
            reason = f'{vm.vm}: {type(exc).__name__} {exc}'.strip()
        if vm.protocol is vms.Protocol.TASKS:
            return await self.resolve(vm, work, reason)
        return Unknown(reason=reason)

    async def _send(self, vm, work):
        """Send a task and return the outcome; the answer may be streamed."""
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
        """Return the time-outs for sending a task to a worker."""
        if vm.protocol is vms.Protocol.TASKS:
            return self._session.timeout
        # A plain upstream cannot be asked for the state of its work, so it
        # may send nothing for as long as the work may run.
        return aiohttp.ClientTimeout(
            sock_connect=self.settings.connect_s,
            sock_read=work.queue.run_timeout_s,
        )

    def _get_url(self, vm, target):
        return URL(f'http://{vm.address}:{vm.port}{target}', encoded=True)

    def _create_headers(self, work):
        """Return the headers of the caller that are forwarded, and our own."""
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
        """Return the outcome that an answer stands for.

        :raises _InvalidAnswer: when the answer does not settle the outcome.
        """
        refusal = answer.headers.get(NOT_RUN_HEADER)
        if refusal in ('draining', 'full'):
            return Refused(reason=f'{vm.vm} is {refusal}')
        if refusal == 'fenced':
            return NotRun(reason=f'{vm.vm} fenced the task')
        if refusal is not None:
            raise _InvalidAnswer(f'the worker reports the task as {refusal}')
        if STOPPED_HEADER in answer.headers:
            return Unknown(reason=f'{vm.vm} stopped the task', ended=True)
        if vm.protocol is vms.Protocol.TASKS:
            echoed = answer.headers.get(TASK_HEADER)
            if echoed != work.task_id:
                raise _InvalidAnswer('the answer belongs to another task')
        length = answer.content_length
        if length is None or length <= self.answer_buffer_bytes:
            body = await self._read_body(answer)
            if body is not None:
                _check_digest(answer.headers, body)
                return _create_answered(answer, body)
        return _create_answered(answer, None)

    async def _read_body(self, answer):
        """Return the whole body, or None when it is too large to buffer.

        The bytes that were read are then put back, to be streamed.
        """
        if answer.content_length is not None:
            return await answer.read()
        chunks = []
        size = 0
        async for chunk in answer.content.iter_chunked(CHUNK_BYTES):
            chunks.append(chunk)
            size += len(chunk)
            if size > self.answer_buffer_bytes:
                answer.content.unread_data(b''.join(chunks))
                return None
        return b''.join(chunks)

    async def resolve(self, vm, work, reason):
        """Ask a worker for the outcome of a task, on new connections.

        A worker that does not know the task fences it, so that a request
        that is still in transit cannot start it later.

        :param reason: why the outcome is not known, for the result.
        :returns: one of the outcomes of this module; ``Unknown`` when the
            worker does not answer within ``resolve_s``.
        """
        give_up_at_s = clocks.now_s() + self.settings.resolve_s
        while True:
            try:
                state = await self._poll_state(vm, work)
                if state == 'done':
                    return await self._fetch_answer(vm, work)
                if state == 'fenced':
                    return NotRun(reason=reason)
                if state == 'stopped':
                    return Unknown(reason=reason, ended=True)
                give_up_at_s = clocks.now_s() + self.settings.resolve_s
            except (
                _InvalidAnswer,
                aiohttp.ClientError,
                TimeoutError,
                OSError,
                msgspec.MsgspecError,
            ) as exc:
                LOG.debug(
                    'the state of a task is not known yet',
                    vm=vm.vm,
                    error=str(exc),
                )
                if clocks.now_s() > give_up_at_s:
                    return Unknown(reason=reason)
                await asyncio.sleep(RESOLVE_RETRY_DELAY_S)

    async def _poll_state(self, vm, work):
        """Return the state of a task, and renew its lease while it runs.

        The worker holds the call until the state changes or the wait ends.
        """
        path = f'/_tasks/{work.task_id}/resolve'
        # Each poll renews the lease, so it waits at most a third of it.
        wait_s = min(MAX_POLL_WAIT_S, self.settings.task_lease_s / 3)
        query = f'?epoch={work.epoch}&wait={wait_s}'
        if self.may_renew():
            query += f'&lease={self.settings.task_lease_s}'
        async with self._unpooled_session.post(
            self._get_url(vm, path + query)
        ) as answer:
            if answer.status != 200:
                raise _InvalidAnswer(f'status {answer.status}')
            reply = decoders.decode_json(await answer.read(), _TaskState)
        if reply.task != work.task_id:
            raise _InvalidAnswer('the state belongs to another task')
        return reply.state

    async def _fetch_answer(self, vm, work):
        """Return the answer that a worker keeps for a finished task."""
        path = f'/_tasks/{work.task_id}/answer'
        async with self._unpooled_session.get(
            self._get_url(vm, path)
        ) as answer:
            if answer.headers.get(TASK_HEADER) != work.task_id:
                raise _InvalidAnswer('the answer belongs to another task')
            body = await answer.read()
            _check_digest(answer.headers, body)
            return _create_answered(answer, body)

    async def count_running(self, vm):
        """Return the number of tasks that a worker reports as running.

        :returns: the count; 0 when the worker is unreachable or does not
            support task state, because then it cannot tell more.
        """
        if vm.protocol is not vms.Protocol.TASKS:
            return 0
        try:
            async with self._unpooled_session.get(
                self._get_url(vm, '/_health')
            ) as answer:
                health = decoders.decode_json(await answer.read(), _Health)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.MsgspecError,
        ):
            return 0
        return health.running

    async def stop_task(self, vm, work):
        """Ask a worker to stop a task; a failure is only logged."""
        path = f'/_tasks/{work.task_id}/stop'
        try:
            async with self._unpooled_session.post(self._get_url(vm, path)):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            LOG.debug(
                'a worker did not answer a request to stop a task',
                vm=vm.vm,
                task=work.task_id,
            )


class _Health(msgspec.Struct, kw_only=True):
    running: int = 0
    draining: bool = False


class _TaskState(msgspec.Struct, kw_only=True):
    task: str
    state: str
    epoch: int


def _create_answered(answer, body):
    """Return the outcome of an answer; it is streamed if ``body`` is None."""
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
    """Check the SHA-256 Content-Digest (RFC 9530), when there is one.

    :raises _InvalidAnswer: when it does not match the body.
    """
    for item in headers.get('Content-Digest', '').split(','):
        algorithm, _, value = item.strip().partition('=')
        if algorithm != 'sha-256':
            continue
        expected = base64.b64encode(hashlib.sha256(body).digest()).decode()
        if value.strip(':') != expected:
            raise _InvalidAnswer(
                'the Content-Digest does not match the body of the answer'
            )
