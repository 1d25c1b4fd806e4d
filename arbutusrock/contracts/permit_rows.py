"""Rows of the table service that record which member holds permits."""

import msgspec

from arbutusrock.contracts import configuration
from arbutusrock.links import table
from arbutusrock.machines import member_rows
from arbutusrock.utils import documents

__all__ = [
    'PERMIT_TABLE',
    'PermitRow',
    'drop_orphans',
    'get_row_key',
    'move_held',
    'plan_limit',
]

PERMIT_TABLE = 'permit'


class PermitRow(msgspec.Struct, kw_only=True, frozen=True):
    """Limit and permits of one team.

    :param limit: the team's upper limit.
    :param held: number of permits by member id.
    """

    limit: int
    held: dict[str, int] = {}

    @property
    def free(self):
        """Permits that no member holds; negative when over a new limit."""
        return self.limit - sum(self.held.values())


def move_held(row, counts, receiver):
    """Return a row in which permits of other members are the receiver's.

    :param counts: number of permits to move by member id.

    >>> move_held(PermitRow(limit=4, held={'a': 2, 'b': 1}), {'b': 1}, 'a')
    PermitRow(limit=4, held={'a': 3})
    """
    held = dict(row.held)
    for sender, count in counts.items():
        held[sender] = held.get(sender, 0) - count
        held[receiver] = held.get(receiver, 0) + count
    held = {member: count for member, count in held.items() if count}
    return msgspec.structs.replace(row, held=held)


async def plan_limit(platform, name, limit):
    """Return the condition and the write that set a team's limit.

    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :param name: :class:`arbutusrock.contracts.TeamName`.
    :param limit: new limit; 0 when the team is removed.
    """
    row = await platform.read_row(PERMIT_TABLE, get_row_key(name))
    record = (
        documents.decode_row(row.value, PermitRow)
        if row
        else PermitRow(limit=limit)
    )
    condition = table.Condition(
        table=PERMIT_TABLE,
        key=get_row_key(name),
        version=row.version if row else table.ABSENT,
    )
    write = table.Write(
        table=PERMIT_TABLE,
        key=get_row_key(name),
        value=documents.encode_row(
            msgspec.structs.replace(record, limit=limit)
        ),
    )
    return condition, write


async def drop_orphans(platform):
    """Delete the permits of members that have no member row any more.

    :param platform: :class:`arbutusrock.links.PlatformClient`.
    :returns: list of ``(team, ids of those members)``.
    :raises platform_client.Conflicted: when a row changed in between.
    """
    rows, members = await platform.read(
        table.Range(table=PERMIT_TABLE),
        table.Range(table=member_rows.MEMBER_TABLE),
    )
    present = {row.key for row in members}
    dropped = []
    for row in rows:
        record = documents.decode_row(row.value, PermitRow)
        removed = record.held.keys() - present
        if removed:
            await _drop_holders(platform, row, record, removed)
            name = configuration.TeamName(*row.key.split('/'))
            dropped.append((name, removed))
    return dropped


async def _drop_holders(platform, row, record, removed):
    held = {k: v for k, v in record.held.items() if k not in removed}
    condition = table.Condition(
        table=PERMIT_TABLE, key=row.key, version=row.version
    )
    after = msgspec.structs.replace(record, held=held)
    write = table.Write(
        table=PERMIT_TABLE, key=row.key, value=documents.encode_row(after)
    )
    await platform.commit([condition], [write])


def get_row_key(name):
    """Return the key of a team's row."""
    return f'{name.customer}/{name.team}'
