"""Rows of the members in the table service."""

import msgspec

__all__ = ['MEMBER_TABLE', 'Member', 'ObservedMember']

MEMBER_TABLE = 'member'


class Member(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """Row of one member.

    :param member: id of this run of the daemon.
    :param version: configuration version in force.
    :param renewals: counts the renewals of the lease.
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
    """What this member observed of another one's row."""

    __slots__ = ('row', 'row_version', 'changed_at_s')

    def __init__(self, *, row, row_version, changed_at_s):
        self.row = row
        self.row_version = row_version
        self.changed_at_s = changed_at_s
