"""Messages of the platform's table service and VM list.

:mod:`arbutusrock.links.platform_client` sends and receives them.
"""

import msgspec

__all__ = [
    'CommitAnswer',
    'CommitRequest',
    'Condition',
    'ListedVM',
    'Range',
    'ReadAnswer',
    'ReadRequest',
    'Row',
    'Write',
]

ABSENT = 0


class Condition(msgspec.Struct, kw_only=True, frozen=True):
    """Requires a row to have ``version``; 0 means that it must be absent."""

    table: str
    key: str
    version: int


class Write(msgspec.Struct, kw_only=True, frozen=True):
    """Sets a row, or deletes it when ``value`` is None."""

    table: str
    key: str
    value: bytes | None


class CommitRequest(msgspec.Struct, kw_only=True, frozen=True):
    """One transaction: the writes apply only if all conditions hold."""

    conditions: list[Condition]
    writes: list[Write]


class CommitAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """Result of a transaction.

    :param version: version of the written rows after the commit.
    :param conflicts: conditions that did not hold, each with the actual
        version of its row.
    """

    committed: bool
    version: int = 0
    conflicts: list[Condition] = []


class Range(msgspec.Struct, kw_only=True, frozen=True):
    """Rows of a table from key ``first`` (inclusive) to ``last`` (exclusive).

    :param limit: maximum number of rows to return.
    """

    table: str
    first: str = ''
    last: str = '\U0010ffff'
    limit: int = 10_000


class Row(msgspec.Struct, kw_only=True, frozen=True):
    """One row that was read."""

    key: str
    version: int
    value: bytes


class ReadRequest(msgspec.Struct, kw_only=True, frozen=True):
    """Reads all ranges in one snapshot."""

    ranges: list[Range]


class ReadAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """Rows of each requested range, in the order of their keys."""

    rows: list[list[Row]]


class ListedVM(msgspec.Struct, kw_only=True, frozen=True):
    """A VM in the platform's list, which may be out of date.

    :param state: ``live`` or ``leaving``.
    :param boot_id: id that changes each time the VM boots.
    """

    vm: str
    state: str
    boot_id: str = ''
