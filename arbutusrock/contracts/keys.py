"""Caller keys that operators grant to teams; only hashes are stored."""

import hashlib
import secrets
from typing import Annotated

import msgspec

__all__ = ['Key', 'create_secret', 'hash_secret']

KEY_ID_LENGTH = 12
SECRET_BYTES = 24


class Key(msgspec.Struct, kw_only=True, frozen=True):
    """One caller key of a team.

    :param key_id: public name of the key: the first hex digits of the hash.
    :param secret_hash: SHA-256 of the secret, in hex.
    :param note: free text of the operator.
    :param withdrawn: whether the key was withdrawn, which is final.
    """

    key_id: str
    secret_hash: Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}$')]
    customer: str
    team: str
    note: str = ''
    withdrawn: bool = False


def create_secret():
    """Return a new secret for a caller."""
    return 'ark-' + secrets.token_urlsafe(SECRET_BYTES)


def hash_secret(secret):
    """Return the SHA-256 of a secret, in hex.

    >>> hash_secret('ark-x')[:12]
    '14c325fedc6d'
    """
    return hashlib.sha256(secret.encode()).hexdigest()
