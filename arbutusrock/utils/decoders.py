"""Decoders of data that others have written, and limits of its figures.

The decoders of :mod:`msgspec` raise :class:`RecursionError` for data that is
nested too deeply, also in fields that are not decoded. Here every malformed
datum raises :class:`msgspec.DecodeError`, so that a reader has one error to
expect. Figures are bounded, as integers of any length would fail later, when
they are encoded or divided.
"""

import functools
import typing

import msgspec

__all__ = [
    'MAX_FIGURE',
    'Count',
    'Figure',
    'Integer',
    'create_json_decoder',
    'create_msgpack_decoder',
    'decode_json',
    'decode_msgpack',
    'is_address',
]

# Greatest figure that a double holds exactly; times in ms are far below it.
MAX_FIGURE = 2**53
MAX_PORT = 65535
# Longest name of a host, by the rules of the DNS.
MAX_HOST_CHARACTERS = 253

Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_FIGURE, le=MAX_FIGURE)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_FIGURE)]
Figure = typing.Annotated[
    float, msgspec.Meta(ge=-float(MAX_FIGURE), le=float(MAX_FIGURE))
]


@functools.cache
def create_json_decoder(data_type):
    """Return a function that decodes JSON into a type.

    >>> decode = create_json_decoder(dict)
    >>> decode(b'{"a":' + b'[' * 100_000)
    Traceback (most recent call last):
    ...
    msgspec.DecodeError: nested too deeply
    """
    return _create_decoder(msgspec.json.Decoder(data_type).decode)


@functools.cache
def create_msgpack_decoder(data_type):
    """Return a function that decodes MessagePack into a type.

    >>> create_msgpack_decoder(object)(bytes([0x91]) * 100_000)
    Traceback (most recent call last):
    ...
    msgspec.DecodeError: nested too deeply
    """
    return _create_decoder(msgspec.msgpack.Decoder(data_type).decode)


def decode_json(data, data_type=object):
    """Decode JSON into a type.

    :raises msgspec.DecodeError: it is malformed.
    """
    return create_json_decoder(data_type)(data)


def decode_msgpack(data, data_type=object):
    """Decode MessagePack into a type.

    :raises msgspec.DecodeError: it is malformed.
    """
    return create_msgpack_decoder(data_type)(data)


def _create_decoder(decode):
    def decode_checked(data):
        try:
            return decode(data)
        except RecursionError as exc:
            raise msgspec.DecodeError('nested too deeply') from exc
        except (UnicodeDecodeError, OverflowError) as exc:
            raise msgspec.DecodeError(str(exc)) from exc

    return decode_checked


def is_address(text):
    """Return whether a text is ``host:port`` with a usable port.

    >>> is_address('10.0.0.1:8340'), is_address('[::1]:80')
    (True, True)
    >>> [is_address(f'h:{port}') for port in (0, 65536, '', '+1', '\\u0661')]
    [False, False, False, False, False]
    >>> is_address('a b:80'), is_address(':80'), is_address('80')
    (False, False, False)
    """
    host, _, port = text.rpartition(':')
    return (
        0 < len(host) <= MAX_HOST_CHARACTERS
        and host.isascii()
        and host.isprintable()
        and ' ' not in host
        and port.isascii()
        and port.isdecimal()
        and len(port) <= len(str(MAX_PORT))
        and 0 < int(port) <= MAX_PORT
    )
