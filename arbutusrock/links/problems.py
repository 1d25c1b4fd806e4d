"""Error responses of the HTTP interfaces: problem details (RFC 9457)."""

import math

from aiohttp import web
import msgspec

from arbutusrock import errors

__all__ = ['Problem', 'create_problem_response', 'create_http_error_response']

PROBLEM_CONTENT_TYPE = 'application/problem+json'


class Problem(msgspec.Struct, kw_only=True):
    """Body of an error response.

    :param type: URN that identifies the code, see ``docs/CODES.md``.
    :param code: number of the error code.
    :param run: whether the request ran: ``not-run``, ``ran`` or
        ``unknown``.
    :param retry_after_s: seconds after which a repeat makes sense.
    """

    type: str
    title: str
    status: int
    detail: str
    code: int
    run: str
    retry_after_s: float | None = None


def create_problem_response(exc):
    """Return the problem response for an :class:`ArbutusrockError`."""
    code = exc.code
    headers = {}
    if exc.retry_after is not None:
        # Retry-After takes whole seconds only; the body has the exact value.
        headers['Retry-After'] = str(max(1, math.ceil(exc.retry_after)))
    if code.status == 401:
        headers['WWW-Authenticate'] = 'Bearer'
    problem = Problem(
        type=f'urn:arbutusrock:code:{code.number}',
        title=code.title,
        status=code.status,
        detail=exc.detail,
        code=code.number,
        run=exc.run.value,
        retry_after_s=exc.retry_after,
    )
    return web.Response(
        status=code.status,
        body=msgspec.json.encode(problem),
        headers=headers,
        content_type=PROBLEM_CONTENT_TYPE,
    )


def create_http_error_response(request, exc, max_bytes):
    """Return the problem response for an error that aiohttp raised.

    :param max_bytes: size limit for bodies, named in the message.
    """
    match exc:
        case web.HTTPRequestEntityTooLarge():
            error = errors.BodyTooLarge(
                f'a body may have at most {max_bytes} bytes'
            )
        case web.HTTPNotFound():
            error = errors.NotFound(request.path)
        case _:
            error = errors.InvalidRequest(str(exc.reason))
    return create_problem_response(error)
