"""HTTP interface for jobs and readiness, as the platform's clients use it."""

import asyncio
import re

from aiohttp import web
import msgspec

from arbutusrock import errors
from arbutusrock import logs
from arbutusrock.platform import job_bodies
from arbutusrock import serving
from arbutusrock.utils import clocks

__all__ = ['Ingress']

API_KEY_HEADER = 'Arbutusrock-Key'
DEADLINE_HEADER = 'Arbutusrock-Deadline-Ms'
# For requests without the deadline header.
DEFAULT_TIMEOUT_S = 3.0
# Time kept free to send the response before the caller stops waiting, and
# the largest share of a short deadline that it may take.
ANSWER_MARGIN_S = 0.15
MAX_MARGIN_SHARE = 0.4
JOB_ID = re.compile(r'[0-9a-f]{16}')
TIMEOUT_MS = re.compile(r'[0-9]{1,15}')
# Methods with a series of their own in the metrics.
METHODS = frozenset({'DELETE', 'GET', 'POST'})
# Length of what a caller has written in a log line.
MAX_LOGGED_TEXT = 200
JSON_CONTENT_TYPE = 'application/json'
LOG = logs.get_log('callers')

# HTTP statuses that the platform's clients understand. The first class that
# matches an exception counts; all others give 500.
_HTTP_STATUSES = (
    (errors.KeyRefused, 401),
    (errors.NotFound, 404),
    (errors.BodyTooLarge, 413),
    (errors.BodyTimeout, 408),
    (errors.InvalidRequest, 400),
    (errors.StoreOutcomeUnknown, 504),
    (errors.Unavailable, 503),
)


class Ingress:
    """Translates HTTP requests of clients into calls of the gateway.

    :param node: :class:`arbutusrock.engine.node.Node`.
    """

    def __init__(self, *, node):
        self.node = node
        self.gateway = node.gateway
        self.open_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def wait_idle(self):
        """Wait until all requests have been answered."""
        await self._idle.wait()

    async def handle(self, request):
        """Handle one request and record its metrics."""
        began_at_s = clocks.now_s()
        self.open_requests += 1
        self._idle.clear()
        try:
            response = await self._answer(request)
        finally:
            self.open_requests -= 1
            if not self.open_requests:
                self._idle.set()
        if self.node.stopping:
            response.force_close()
        metrics = self.node.metrics
        labels = (
            ('method', request.method if request.method in METHODS else ''),
            ('status', str(response.status)),
        )
        metrics.count('calls', labels)
        metrics.observe('call_seconds', clocks.now_s() - began_at_s)
        return response

    async def _answer(self, request):
        try:
            return await self._dispatch(request)
        except errors.NodeNotServing as exc:
            job_id = request.path.rpartition('/')[2]
            if request.method == 'POST' and self.gateway.may_be_stored(job_id):
                # 503 would say that the job never runs.
                unknown = errors.StoreOutcomeUnknown(
                    f'an earlier call may have stored the job; {exc}'
                )
                return self._refuse(request, unknown)
            return self._refuse(request, exc)
        except errors.ArbutusrockError as exc:
            return self._refuse(request, exc)

    def _refuse(self, request, exc):
        status = next(
            (code for kind, code in _HTTP_STATUSES if isinstance(exc, kind)),
            500,
        )
        LOG.info(
            'a call was refused',
            method=request.method,
            path=request.path[:MAX_LOGGED_TEXT],
            status=status,
            reason=str(exc)[:MAX_LOGGED_TEXT],
            retry_after_s=exc.retry_after,
            timeout_ms=request.headers.get(DEADLINE_HEADER, '')[
                :MAX_LOGGED_TEXT
            ],
            configuration_age_s=round(self.node.configuration.age_s, 2),
        )
        headers = {}
        if exc.retry_after is not None:
            headers['Retry-After'] = str(int(exc.retry_after))
        body = msgspec.json.encode({'error': str(exc)})
        return web.Response(
            status=status,
            body=body,
            content_type=JSON_CONTENT_TYPE,
            headers=headers,
        )

    async def _dispatch(self, request):
        path = request.path
        host = request.headers.get('Host', '').partition(':')[0]
        timeout_s = min(
            self._get_timeout_s(request), self.node.settings.longest_deadline_s
        )
        queue, account = self.gateway.find_queue(
            host,
            path,
            request.headers.get(API_KEY_HEADER, ''),
            left_s=timeout_s,
            job_id=path.rpartition('/')[2],
        )
        rest = path[len(queue.prefix) :]
        deadline_at_s = clocks.now_s() + timeout_s
        if not rest and request.method == 'GET':
            count = self.gateway.count_waiting(queue)
            return _create_json_response(
                job_bodies.encode_waiting_count(count)
            )
        if not JOB_ID.fullmatch(rest):
            raise errors.NotFound('the path does not end in a job id')
        match request.method:
            case 'POST':
                return await self._submit(
                    request, queue, account, rest, deadline_at_s
                )
            case 'GET':
                return await self._get_status(rest)
            case 'DELETE':
                return await self._cancel(rest, deadline_at_s)
            case _:
                return web.Response(status=405)

    @staticmethod
    def _get_timeout_s(request):
        text = request.headers.get(DEADLINE_HEADER, '')
        timeout_s = DEFAULT_TIMEOUT_S
        if TIMEOUT_MS.fullmatch(text):
            timeout_s = int(text) / 1000
        margin_s = min(ANSWER_MARGIN_S, timeout_s * MAX_MARGIN_SHARE)
        return max(0.0, timeout_s - margin_s)

    async def _submit(self, request, queue, account, job_id, deadline_at_s):
        limit = self.node.configuration.current.limits.body_bytes
        data = await _read_body(request, limit, deadline_at_s)
        plan = job_bodies.decode_job(data)
        await self.gateway.submit(
            queue, account, job_id, plan, deadline_at_s=deadline_at_s
        )
        return _create_json_response(b'{}')

    async def _get_status(self, job_id):
        status = await self.gateway.get_status(job_id)
        if status is None:
            return web.Response(status=410)
        return _create_json_response(job_bodies.encode_state(status))

    async def _cancel(self, job_id, deadline_at_s):
        if not await self.gateway.cancel(job_id, deadline_at_s=deadline_at_s):
            return web.Response(status=410)
        return _create_json_response(b'{}')

    async def handle_readiness(self, _request):
        """Answer a readiness probe of the load balancer."""
        return web.Response(status=200 if self.is_ready() else 503)

    def is_ready(self):
        """Return whether the load balancer should send requests here."""
        if self.node.stopping:
            return False
        try:
            self.node.check_ready()
        except errors.ArbutusrockError:
            return False
        return True


def _create_json_response(body):
    return web.Response(body=body, content_type=JSON_CONTENT_TYPE)


async def _read_body(request, limit, deadline_at_s):
    try:
        async with asyncio.timeout(max(0.0, deadline_at_s - clocks.now_s())):
            return await serving.read_body(request, limit)
    except serving.BodyOverLimit:
        raise errors.BodyTooLarge(f'over {limit} bytes') from None
    except TimeoutError:
        raise errors.BodyTimeout('the body came too late') from None
