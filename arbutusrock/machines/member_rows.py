"""Rows in which the members publish themselves in the table service."""

import msgspec

__all__ = ['MEMBER_TABLE', 'Member', 'ObservedMember']

MEMBER_TABLE = 'member'


class Member(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """Row of one member.

    :param member: id of one incarnation of the daemon: node name and a
        random suffix.
    :param version: configuration version in force.
    :param renewals: number of lease renewals; changes the row each time.
    :param stopping: whether the member is shutting down.
    """

    member: str
    node: str
    address: str
    peer_port: int
    operator_port: int
    caller_port: int
    data_centre: str
    region: str
    version: int = 0
    renewals: int = 0
    stopping: bool = False


class ObservedMember:
    """Last observed row of another member.

    :ivar row: :class:`Member`.
    :ivar row_version: version of the row in the table service.
    :ivar changed_at_s: instant on the boot clock of this member at which it
        first saw this version.
    """

    __slots__ = ('row', 'row_version', 'changed_at_s')

    def __init__(self, *, row, row_version, changed_at_s):
        self.row = row
        self.row_version = row_version
        self.changed_at_s = changed_at_s
