"""Stores answers: small ones in the row, large ones in the object store."""

from arbutusrock import errors
from arbutusrock.jobs import records

__all__ = ['store_answer', 'load_answer', 'read_body']


async def store_answer(platform, name, answered, body):
    """Store an answer so that it can be fetched later.

    :param name: name of the object for a large body.
    :param answered: the answer; its status and headers go into the row.
    :param body: the whole body in bytes.
    :returns: :class:`records.StoredAnswer`.
    """
    is_inline = len(body) <= records.MAX_INLINE_BYTES
    if not is_inline:
        await platform.put_object(name, body)
    return records.StoredAnswer(
        status=answered.status,
        headers=[tuple(item) for item in answered.headers],
        body=body if is_inline else b'',
        object_name='' if is_inline else name,
    )


async def load_answer(platform, stored):
    """Return the body of a stored answer in bytes.

    :raises errors.AnswerLost: when the object is not in the store any more.
    """
    if not stored.object_name:
        return stored.body
    body = await platform.get_object(stored.object_name)
    if body is None:
        raise errors.AnswerLost('the stored answer has expired')
    return body


async def read_body(answered):
    """Return the whole body of an answer; reads its stream if it has one."""
    if answered.body is not None:
        return answered.body
    return await answered.stream.read()
