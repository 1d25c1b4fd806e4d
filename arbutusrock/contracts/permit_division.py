"""Divides the permits of a team among the members that need them.

Every member computes its own quota from the needs in the digests.
"""

from dataclasses import dataclass

from arbutusrock.contracts import shares

__all__ = ['MemberNeed', 'compute_quota', 'get_member_need']


@dataclass(slots=True, frozen=True, kw_only=True)
class MemberNeed:
    """How many permits of a team one member needs and holds.

    :param member: id of the member.
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
        """Number of permits that the member lacks."""
        return max(0, self.need - self.permits)


def get_member_need(member, rows, name):
    """Return the need of a peer as its digest reports it.

    :param member: id of the peer.
    :param rows: list of :class:`arbutusrock.links.messages.TeamDemand`, one
        for each pool; each has the need and permits over all pools.
    :param name: :class:`TeamName`.
    :returns: :class:`MemberNeed`; zeros when no row is of this team.
    """
    team_rows = [
        row
        for row in rows
        if (row.customer, row.team) == (name.customer, name.team)
    ]
    return MemberNeed(
        member=member,
        need=max((row.need for row in team_rows), default=0),
        permits=max((row.permits for row in team_rows), default=0),
        oldest_s=max((row.oldest_s for row in team_rows), default=0.0),
    )


def compute_quota(limit, own_id, needs):
    """Return the maximum number of permits that a member may use now.

    The limit is divided over the needs by max-min fairness. Permits that
    nobody needs stay with the member that holds them. When there are fewer
    permits than members in need, they go to those with the oldest requests.

    :param limit: upper limit of the team.
    :param own_id: id of the member whose quota is returned.
    :param needs: list of :class:`MemberNeed`, with that of ``own_id``.
    """
    needs = [n for n in needs if n.need or n.permits or n.member == own_id]
    own = next(n for n in needs if n.member == own_id)
    if sum(n.need for n in needs) <= limit:
        unmet = sum(n.unmet for n in needs if n is not own)
        held_by_others = sum(n.permits for n in needs if n is not own)
        return max(own.need, limit - unmet - held_by_others)
    if limit < len(needs):
        order = sorted(needs, key=lambda n: (-n.oldest_s, n.member))
        return 1 if own in order[:limit] else 0
    demands = {
        n.member: shares.WeightedDemand(weight=1, demand=n.need) for n in needs
    }
    parts = shares.divide_slots(demands, limit)
    return shares.round_largest_remainder(parts, limit)[own_id]
