"""Set-ups that several tests share."""

import asyncio
import itertools

__all__ = ['LoadGenerator', 'start_fleet']

CUSTOMER = 'pesajes'


async def start_fleet(
    fleet,
    *,
    daemons=3,
    workers=3,
    teams=None,
    plain=False,
    behind_proxy=False,
    max_unavailable=1,
    racks=None,
    **settings,
):
    """Start daemons and workers with one pool and one contract.

    :param teams: list of ``(team, share, limit)``.
    :param racks: rack of each worker.
    :returns: the daemons.
    """
    teams = teams or [('auction', 3.0, 100)]
    names = [f'w{index + 1}' for index in range(workers)]
    await fleet.start_workers(names, plain=plain, behind_proxy=behind_proxy)
    started = await fleet.start_daemons(daemons, **settings)
    racks = racks or ['rack-1'] * workers
    await fleet.apply_fleet(
        [
            {'pool': 'scales', 'max_unavailable': max_unavailable},
            {'pool': 'spare', 'spare': True, 'max_unavailable': 100},
        ],
        {
            name: {
                'pool': 'scales',
                'rack': rack,
                'protocol': 'http' if plain else 'tasks',
            }
            for name, rack in zip(names, racks, strict=True)
        },
    )
    await fleet.apply_contract(create_contract(teams))
    return started


def create_contract(teams):
    """Return a contract document with an urgent and a patient queue."""
    names = [team for team, _, _ in teams]
    return {
        'customer': CUSTOMER,
        'teams': [
            {'team': team, 'share': share, 'limit': limit}
            for team, share, limit in teams
        ],
        'services': [{'service': 'records', 'pool': 'scales'}],
        'queues': [
            {
                'queue': 'confirm',
                'service': 'records',
                'teams': names,
                'run_timeout_s': 5.0,
            },
            {
                'queue': 'ledgers',
                'service': 'records',
                'teams': names,
                'priority': 'patient',
                'run_timeout_s': 5.0,
            },
        ],
    }


class LoadGenerator:
    """Sends marked requests and remembers the replies.

    :param fleet: the fleet.
    """

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.replies = {}
        self.expected_fragments = {}
        self.unanswered = []
        self._numbers = itertools.count(1)

    async def send(
        self,
        daemon,
        team='auction',
        *,
        run_s=0.0,
        method='POST',
        headers=None,
        path='/weigh',
        data=None,
    ):
        """Send one request; return its reply, or None when it was cut."""
        mark = f'mark-{next(self._numbers)}'
        fields = {'X-Mark': mark, **(headers or {})}
        try:
            reply = await self.fleet.request(
                daemon,
                'records',
                f'{path}?run_s={run_s}&mark={mark}.',
                method=method,
                key=self.fleet.keys[(CUSTOMER, team)],
                headers=fields,
                data=data,
            )
        except (TimeoutError, OSError) as exc:
            self.unanswered.append((mark, exc))
            return None
        except Exception as exc:
            if 'aiohttp' not in type(exc).__module__:
                raise
            self.unanswered.append((mark, exc))
            return None
        self.replies[mark] = reply
        self.expected_fragments[mark] = f'mark={mark}.'.encode()
        return reply

    async def send_until(self, stop, daemons, streams=4, **options):
        """Send over ``streams`` parallel streams until ``stop`` is set."""

        async def send_stream(index):
            for number in itertools.count(index):
                if stop.is_set():
                    return
                live = [item for item in daemons if not item.killed]
                reply = await self.send(live[number % len(live)], **options)
                if reply is None or reply.status != 200:
                    await asyncio.sleep(0.05)

        await asyncio.gather(*(send_stream(i) for i in range(streams)))

    def count(self, status):
        """Return how many replies had a status."""
        return sum(1 for r in self.replies.values() if r.status == status)

    def list_codes(self):
        """Return the codes of all refusals, sorted."""
        return sorted({r.code for r in self.replies.values() if r.problem})
