"""Starts a fleet, creates contracts and generates load for the tests."""

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
    """Start daemons and workers; apply a fleet document and a contract.

    All workers are in the pool ``scales``; the pool ``spare`` is empty.

    :param teams: list of ``(team, share, limit)``.
    :param plain: whether the workers are plain HTTP upstreams without tasks.
    :param behind_proxy: whether each worker has a fault-injecting proxy.
    :param max_unavailable: availability budget of the pool.
    :param racks: rack of each worker; by default all are in one rack.
    :param settings: sections that replace keys of the daemons' settings.
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
    """Return a contract document with an urgent and a patient queue.

    :param teams: list of ``(team, share, limit)``.
    """
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
    """Sends requests, each with a mark of its own, and records the replies.

    The worker's ledger and its answer repeat the mark. The attributes
    ``replies`` and ``expected_fragments`` map it to the reply and to the bytes
    that the answer must contain; ``unanswered`` lists mark and exception of
    each request without an answer.

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
        """Send one request; return its reply, or None without an answer."""
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
        """Send over ``streams`` parallel streams until ``stop`` is set.

        Each stream goes round the daemons that have not been killed, and
        pauses for 50 ms after a request that did not succeed.
        """

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
