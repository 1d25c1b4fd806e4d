"""Reads the body of a request into memory."""

__all__ = ['BodyOverLimit', 'read_body']


class BodyOverLimit(Exception):
    """The body of a request is larger than its limit."""


async def read_body(request, max_bytes):
    """Return the body of a request.

    What was read of it counts as held by its connection.

    :param request: request that a :class:`Listener` has received.
    :param max_bytes: size of the largest body.
    :raises BodyOverLimit: the body is larger.
    """
    if (request.content_length or 0) > max_bytes:
        raise BodyOverLimit
    # A list of its parts could be many times as large as the body.
    body = bytearray()
    async for part in request.content.iter_any():
        if len(body) + len(part) > max_bytes:
            raise BodyOverLimit
        body += part
        request.protocol.hold(len(body))
    return bytes(body)
