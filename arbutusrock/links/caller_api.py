"""HTTP interface of callers: requests, jobs, and the readiness check.

A request is either answered at once or accepted as a durable job, whose
state and answer the caller reads later.
"""

import asyncio
import math

from aiohttp import web
import msgspec

from arbutusrock import contracts
from arbutusrock import errors
from arbutusrock.jobs import answers
from arbutusrock.jobs import idempotency
from arbutusrock.jobs import records
from arbutusrock.jobs import work_item
from arbutusrock.links import platform_client
from arbutusrock.links import problems
from arbutusrock.links import upstream_client
from arbutusrock import logs
from arbutusrock.utils import clocks

__all__ = ['CallerAPI']

QUEUE_HEADER = 'Arbutusrock-Queue'
TIMEOUT_HEADER = 'Arbutusrock-Timeout'
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
SERVICE_PREFIX = '/services/'
READ_CHUNK_BYTES = 65536
JOB_RETRY_AFTER_S = 2
LOG = logs.get_log('callers')


class JobView(msgspec.Struct, kw_only=True):
    """A job as its caller sees it.

    :param reason: why it is parked, failed or was cancelled.
    :param status: HTTP status of the answer; None without an answer.
    """

    job: str
    state: str
    queue: str
    service: str
    attempts: int
    reason: str
    accepted_at_s: float
    finished_at_s: float
    status: int | None


class CallerAPI:
    """Request handlers of the callers' interface.

    :param node: the :class:`arbutusrock.daemon.Daemon` of this process.
    """

    def __init__(self, *, node):
        self.node = node
        self.limits = node.settings.limits
        self._last_task_number = 0

    def create_app(self):
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=self.limits.body_bytes,
            middlewares=[self._convert_errors],
        )
        app.router.add_route('*', '/services/{service}', self.serve)
        app.router.add_route('*', '/services/{service}/{path:.*}', self.serve)
        app.router.add_get('/jobs/{job}', self.show_job)
        app.router.add_get('/jobs/{job}/answer', self.show_answer)
        app.router.add_delete('/jobs/{job}', self.cancel_job)
        app.router.add_get('/ready', self.show_ready)
        return app

    @web.middleware
    async def _convert_errors(self, request, handler):
        """Answer a request that raised with a problem response."""
        try:
            return await handler(request)
        except errors.ArbutusrockError as exc:
            self.node.metrics.count(
                'refusals', (('code', str(exc.code.number)),)
            )
            return problems.create_problem_response(exc)
        except web.HTTPException as exc:
            return problems.create_http_error_response(
                request, exc, self.limits.body_bytes
            )
        except Exception:
            LOG.exception('unexpected error in a request', path=request.path)
            return problems.create_problem_response(
                errors.InternalError('see the log of this node')
            )

    async def show_ready(self, request):
        """Tell the load balancer whether to send requests to this node."""
        self.node.check_ready()
        return web.Response(text='ready\n')

    async def serve(self, request):
        """Run one request, or accept it as a job.

        It becomes a job when its queue is durable or when the caller asks
        for it with ``Prefer: respond-async``.
        """
        self.node.check_accepting()
        self.node.runner.check_serving()
        work = self._create_work(request)
        body = await self._read_body(request, work)
        work.body = body
        if work.queue.durable or _wants_job(request):
            return await self._accept_job(request, work)
        idempotency_key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if idempotency_key is not None:
            return await self._serve_idempotent(request, work, idempotency_key)
        answered = await self.node.runner.run(work)
        if answered.stream is not None:
            return await self._stream_answer(request, work, answered)
        return _create_response(answered)

    def _create_work(self, request):
        """Return the work item of a request, without its body."""
        configuration = self.node.configuration
        service_name = request.match_info['service']
        contract_and_service = configuration.services.get(service_name)
        queue = configuration.find_queue(
            service_name, request.headers.get(QUEUE_HEADER, '')
        )
        key = self._find_key(request)
        if contract_and_service is None or queue is None:
            raise errors.NotFound(
                f'service {service_name} or its queue '
                f'{request.headers.get(QUEUE_HEADER, "(default)")}'
            )
        contract, service = contract_and_service
        team_name = _find_team(contract, queue, key)
        now = clocks.now_s()
        self._last_task_number += 1
        prefix = SERVICE_PREFIX + service_name
        return work_item.WorkItem(
            task_id=f'{self.node.members.member_id}-{self._last_task_number}',
            team_name=team_name,
            queue=queue,
            pool=service.pool,
            method=request.method,
            target=request.raw_path.removeprefix(prefix) or '/',
            headers=[
                (str(name), value) for name, value in request.headers.items()
            ],
            body=b'',
            arrived_at_s=now,
            deadline_at_s=now + self._get_timeout_s(request),
            patient=queue.priority is contracts.Priority.PATIENT,
            key_id=key.key_id if key else '',
            secret_hash=key.secret_hash if key else '',
        )

    def _find_key(self, request):
        """Return the key of a request, or None when it carries none.

        :raises errors.KeyRefused: when the key is unknown or withdrawn, or
            the Authorization field is malformed.
        """
        authorization = request.headers.get('Authorization')
        if authorization is None:
            return None
        scheme, _, secret = authorization.partition(' ')
        if scheme.lower() != 'bearer' or not secret:
            raise errors.KeyRefused('Authorization must be "Bearer KEY"')
        key = self.node.configuration.find_key(
            contracts.hash_secret(secret.strip())
        )
        if key is None:
            raise errors.KeyRefused('the key is unknown or withdrawn')
        return key

    def _get_timeout_s(self, request):
        """Return the timeout that a request asks for, or the default."""
        text = request.headers.get(TIMEOUT_HEADER)
        if text is None:
            return self.limits.default_timeout_s
        longest_s = self.limits.longest_timeout_s
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = math.nan
        if not 0 < timeout_s <= longest_s:
            raise errors.InvalidRequest(
                f'{TIMEOUT_HEADER} must be above 0 and at most {longest_s} '
                f'seconds, got {text[:40]!r}'
            )
        return timeout_s

    async def _read_body(self, request, work):
        """Return the body as bytes, or as an async iterator when it is large.

        Jobs and requests with an Idempotency-Key need the whole body; work
        with a streamed body is not retried.
        """
        if not request.can_read_body:
            return b''
        length = request.content_length
        if length is not None and length > self.limits.body_bytes:
            raise errors.BodyTooLarge(
                f'a body may have at most {self.limits.body_bytes} bytes, '
                f'got {length}'
            )
        needs_whole = work.queue.durable or _wants_job(request)
        needs_whole = needs_whole or IDEMPOTENCY_KEY_HEADER in request.headers
        max_bytes = (
            self.limits.body_bytes
            if needs_whole
            else self.limits.buffered_bytes
        )
        try:
            async with asyncio.timeout(self.limits.longest_timeout_s):
                prefix, ended = await self._read_prefix(request, max_bytes)
        except TimeoutError:
            raise errors.BodyTimeout(
                f'no whole body within {self.limits.longest_timeout_s} s'
            ) from None
        if ended:
            return prefix
        if needs_whole:
            raise errors.BodyTooLarge(
                f'a body may have at most {max_bytes} bytes'
            )
        work.replayable = False
        return self._iterate_body(request, prefix)

    async def _read_prefix(self, request, max_bytes):
        """Return the first bytes of the body, and whether that is all.

        It stops with the chunk that exceeds ``max_bytes``.
        """
        prefix = bytearray()
        while len(prefix) <= max_bytes:
            chunk = await self._read_chunk(request)
            if not chunk:
                return bytes(prefix), True
            prefix += chunk
            request.protocol.hold(len(prefix))
        return bytes(prefix), False

    async def _read_chunk(self, request):
        """Return the next bytes of the body; ``b''`` at its end."""
        try:
            async with asyncio.timeout(self.limits.body_timeout_s):
                return await request.content.read(READ_CHUNK_BYTES)
        except TimeoutError:
            raise errors.BodyTimeout(
                f'no body data received for {self.limits.body_timeout_s} s'
            ) from None

    async def _iterate_body(self, request, prefix):
        """Yield ``prefix`` and the rest of the body, and check the size."""
        size = len(prefix)
        yield prefix
        while chunk := await self._read_chunk(request):
            size += len(chunk)
            if size > self.limits.body_bytes:
                raise errors.BodyTooLarge(
                    f'a body may have at most {self.limits.body_bytes} bytes'
                )
            yield chunk

    async def _stream_answer(self, request, work, answered):
        """Forward a large answer while it arrives from the worker.

        The status is sent by then, so a failure can only be shown to the
        caller by aborting the connection.
        """
        response = web.StreamResponse(status=answered.status)
        response.headers.extend(answered.headers)
        length = answered.stream.content_length
        if length is not None:
            response.content_length = length
        try:
            await response.prepare(request)
            async for chunk in answered.stream.content.iter_any():
                async with asyncio.timeout(self.limits.body_timeout_s):
                    await response.write(chunk)
            await response.write_eof()
        except Exception:
            if request.transport is not None:
                request.transport.abort()
            LOG.warning('a streamed answer was aborted', task=work.task_id)
        finally:
            self.node.runner.close_stream(work, answered)
        return response

    async def _serve_idempotent(self, request, work, idempotency_key):
        """Run a request with an Idempotency-Key, or repeat its answer."""
        fingerprint = idempotency.get_fingerprint(
            work.method, request.raw_path, work.body
        )
        registry = self.node.idempotency
        claim, first = await registry.claim(work, idempotency_key, fingerprint)
        if first is not None:
            if first.job:
                return await self._load_job_response(first.job)
            return await self._replay_answer(first)
        try:
            answered = await self.node.runner.run(work)
        except errors.ArbutusrockError as exc:
            await self._record_failure(claim, exc)
            raise
        except BaseException:
            await asyncio.shield(registry.mark_unknown(claim))
            raise
        try:
            body = await answers.read_body(answered)
        finally:
            if answered.stream is not None:
                self.node.runner.close_stream(work, answered)
        answered.body = body
        await registry.finish(claim, answered, body)
        return _create_response(answered)

    async def _record_failure(self, claim, exc):
        """Release the claim when nothing ran, else mark it unknown."""
        if exc.run == 'not-run':
            await self.node.idempotency.release(claim)
        else:
            await self.node.idempotency.mark_unknown(claim)

    async def _replay_answer(self, first):
        """Return the stored answer of a first request, marked as a repeat."""
        body = await answers.load_answer(self.node.platform, first.answer)
        response = _create_response(
            upstream_client.Answered(
                status=first.answer.status,
                headers=first.answer.headers,
                body=body,
            )
        )
        response.headers['Arbutusrock-Repeat'] = '1'
        return response

    async def _accept_job(self, request, work):
        """Store a job, once for each Idempotency-Key; return its state."""
        row = _create_job_row(request, work)
        idempotency_key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if idempotency_key is None:
            await self.node.job_controller.accept(row, work.body)
            return _create_job_response(row, 202)
        fingerprint = idempotency.get_fingerprint(
            work.method, request.raw_path, work.body
        )
        condition, write = self.node.idempotency.create_job_claim(
            work, idempotency_key, fingerprint, row.job
        )
        try:
            await self.node.job_controller.accept(
                row, work.body, conditions=[condition], writes=[write]
            )
            return _create_job_response(row, 202)
        except platform_client.Conflicted:
            first = await self.node.idempotency.find_first_request(
                work, idempotency_key, fingerprint
            )
        if first is None or not first.job:
            raise errors.RepeatInProgress(
                'the first request with this key is not a job', retry_after=1
            )
        return await self._load_job_response(first.job)

    async def _load_job_response(self, job):
        row, _ = await self.node.job_table.read(job)
        return _create_job_response(row, 202)

    async def _read_team_job(self, request):
        """Return the row of the requested job.

        :raises errors.KeyMissing: when the request carries no key.
        :raises errors.NotFound: when the job is unknown or belongs to
            another team.
        """
        row, _ = await self.node.job_table.read(request.match_info['job'])
        key = self._find_key(request)
        if key is None:
            raise errors.KeyMissing('only the team of a job has access to it')
        if (key.customer, key.team) != (row.customer, row.team):
            raise errors.NotFound(f'job {row.job}')
        return row

    async def show_job(self, request):
        """Return the state of a job of the caller's team."""
        row = await self._read_team_job(request)
        return _create_job_response(row, 200)

    async def show_answer(self, request):
        """Return the upstream's answer to a finished job."""
        row = await self._read_team_job(request)
        if row.answer is None:
            raise errors.JobNotFinished(
                f'job {row.job} is {row.state}', retry_after=JOB_RETRY_AFTER_S
            )
        body = await answers.load_answer(self.node.platform, row.answer)
        return _create_response(
            upstream_client.Answered(
                status=row.answer.status, headers=row.answer.headers, body=body
            )
        )

    async def cancel_job(self, request):
        """Cancel a job of the caller's team."""
        row = await self._read_team_job(request)
        after = await self.node.job_controller.cancel(
            row.job, f'key {row.key_id}'
        )
        return _create_job_response(after, 200)


def _find_team(contract, queue, key):
    """Return the team whose share and limit a request counts against.

    Work of an open queue counts for the first team of the queue, unless the
    key belongs to another of its teams.

    :raises errors.AccessRefused: when the key does not give access to the
        queue, or is missing.
    """
    same_customer = key is not None and key.customer == contract.customer
    if same_customer and key.team in queue.teams:
        return contracts.TeamName(key.customer, key.team)
    if queue.open:
        return contracts.TeamName(contract.customer, queue.teams[0])
    if key is None:
        raise errors.KeyMissing(
            f'queue {queue.queue} is not open to callers without a key'
        )
    raise errors.QueueRefused(
        f'team {key.customer}/{key.team}, queue {queue.queue}'
    )


def _create_job_row(request, work):
    """Return the row of a new job; the Authorization field is left out."""
    return records.JobRow(
        job=records.create_job_id(),
        customer=work.team_name.customer,
        team=work.team_name.team,
        queue=work.queue.queue,
        service=request.match_info['service'],
        pool=work.pool,
        method=work.method,
        target=work.target,
        headers=[
            item for item in work.headers if item[0].lower() != 'authorization'
        ],
        key_id=work.key_id,
        patient=work.patient,
        accepted_at_s=clocks.wall_time_s(),
    )


def _wants_job(request):
    """Return whether the caller asks for a job (RFC 7240)."""
    return 'respond-async' in request.headers.get('Prefer', '')


def _create_response(answered):
    response = web.Response(status=answered.status, body=answered.body)
    response.headers.pop('Content-Type', None)
    response.headers.extend(answered.headers)
    return response


def _create_job_response(row, status):
    """Return the state of a job, with a retry delay while it is open."""
    view = JobView(
        job=row.job,
        state=row.state.value,
        queue=row.queue,
        service=row.service,
        attempts=row.attempts,
        reason=row.reason,
        accepted_at_s=row.accepted_at_s,
        finished_at_s=row.finished_at_s,
        status=row.answer.status if row.answer else None,
    )
    headers = {'Location': f'/jobs/{row.job}'}
    if row.state not in records.FINAL_STATES:
        headers['Retry-After'] = str(JOB_RETRY_AFTER_S)
    return web.Response(
        status=status,
        body=msgspec.json.encode(view),
        content_type='application/json',
        headers=headers,
    )
