"""Divides a team's permits among the members that need them."""

from dataclasses import dataclass

from arbutusrock.contracts import shares

__all__ = ['MemberNeed', 'get_member_need', 'compute_quota']


@dataclass(slots=True, frozen=True, kw_only=True)
class MemberNeed:
    """What one member needs of a team's permits.

    :param need: permits that it could use now.
    :param permits: permits that it holds.
    :param oldest_s: age of its oldest waiting request in seconds.
    """

    member: str
    need: int
    permits: int
    oldest_s: float

    @property
    def unmet(self):
        """Permits that it lacks."""
        return max(0, self.need - self.permits)


def get_member_need(member, rows, name):
    """Return what a peer's digest says of a team.

    :param rows: list of :class:`arbutusrock.links.messages.TeamDemand`.
    :returns: :class:`MemberNeed`; zeros when the digest has no such row.
    """
    mine = [
        row
        for row in rows
        if (row.customer, row.team) == (name.customer, name.team)
    ]
    return MemberNeed(
        member=member,
        need=max((row.need for row in mine), default=0),
        permits=max((row.permits for row in mine), default=0),
        oldest_s=max((row.oldest_s for row in mine), default=0.0),
    )


def compute_quota(limit, own_id, needs):
    """Return the most permits that a member may use now.

    The limit is divided by max-min over the needs; what nobody needs stays
    where it is. When there are fewer permits than members in need, they go
    to the oldest requests.

    :param needs: list of :class:`MemberNeed`, the own one among them.
    """
    needs = [n for n in needs if n.need or n.permits or n.member == own_id]
    own = next(n for n in needs if n.member == own_id)
    if sum(n.need for n in needs) <= limit:
        unmet = sum(n.unmet for n in needs if n is not own)
        others = sum(n.permits for n in needs if n is not own)
        return max(own.need, limit - unmet - others)
    if limit < len(needs):
        order = sorted(needs, key=lambda n: (-n.oldest_s, n.member))
        return 1 if own in order[:limit] else 0
    demands = {
        n.member: shares.WeightedDemand(weight=1, demand=n.need) for n in needs
    }
    parts = shares.divide_slots(demands, limit)
    return shares.round_largest_remainder(parts, limit)[own_id]
