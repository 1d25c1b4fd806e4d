"""Runs both example deployments on three daemons, with requests and jobs.

``make run`` starts the stand-in platform, stand-in workers and daemons on
loopback, applies the example contracts, sends a burst from several teams and
prints a short report. It exits 1 when a guarantee was violated.
"""

import asyncio
import pathlib
import random
import sys
import tempfile

import yaml

from examples.standins import fleet as fleet_module
from tests import invariants

SEED = 7
DAEMONS = 3
REQUESTS = 600
JOBS = 60
DEPLOYMENTS_DIR = pathlib.Path(__file__).parent / 'deployments'


async def start(fleet):
    """Start workers and daemons and apply the example documents."""
    documents = yaml.safe_load((DEPLOYMENTS_DIR / 'fleet.yaml').read_text())
    by_pool = {}
    for vm in documents['vms']:
        by_pool.setdefault(vm['pool'], []).append(vm['vm'])
    for names in by_pool.values():
        await fleet.start_workers(names)
    daemons = await fleet.start_daemons(DAEMONS)
    await fleet.apply_fleet(
        documents['pools'],
        {
            vm['vm']: {
                k: v
                for k, v in vm.items()
                if k not in ('vm', 'address', 'port')
            }
            for vm in documents['vms']
        },
    )
    for path in sorted(DEPLOYMENTS_DIR.glob('contract-*.yaml')):
        await fleet.apply_contract(yaml.safe_load(path.read_text()))
    return daemons


class Burst:
    """Sends the burst of requests and jobs and collects the replies."""

    def __init__(self, *, fleet, daemons):
        self.fleet = fleet
        self.daemons = daemons
        self.random = random.Random(SEED)  # noqa: S311
        self.replies = {}
        self.teams_by_mark = {}
        self.sent_s = {}
        self.jobs = []

    async def send(self, number, *, as_job):
        """Send one request or job with its own mark.

        Customers, teams and daemons take turns by ``number``.
        """
        teams = sorted(self.fleet.keys)
        customer, team = teams[number % len(teams)]
        mark = f'{"job" if as_job else "request"}-{number}'
        kind = 'patient' if as_job else 'urgent'
        run_s = round(self.random.uniform(0.05, 0.2), 3)
        headers = {'X-Mark': mark, 'Arbutusrock-Queue': kind}
        if as_job:
            headers['Prefer'] = 'respond-async'
        self.teams_by_mark[mark] = f'{customer}/{team}'
        service = 'records' if customer.startswith('pesajes') else 'rosters'
        reply = await self.fleet.request(
            self.daemons[number % len(self.daemons)],
            service,
            f'/work?run_s={run_s}',
            key=self.fleet.keys[(customer, team)],
            headers=headers,
            data=mark.encode(),
        )
        self.replies[mark] = reply
        if reply.status == 202:
            self.jobs.append(reply.decode()['job'])

    async def run(self):
        """Send all requests and jobs at once; wait until the jobs are done."""
        await asyncio.gather(
            *(self.send(i, as_job=False) for i in range(REQUESTS)),
            *(self.send(i, as_job=True) for i in range(JOBS)),
        )

        async def have_ended():
            rows = await asyncio.gather(
                *(
                    self.fleet.call_api('GET', f'/v1/jobs/{job}')
                    for job in self.jobs
                )
            )
            return all(row['state'] == 'done' for row in rows)

        await fleet_module.wait_for(have_ended)


def find_violations(burst, ledger, limits):
    """Return a sentence for each guarantee that was violated."""
    violations = invariants.check_at_most_once(ledger)
    violations += invariants.check_not_run(ledger, burst.replies)
    violations += invariants.check_limits(ledger, limits)
    violations += invariants.check_request_teams(ledger, burst.teams_by_mark)
    if len(burst.jobs) != JOBS:
        violations.append(f'{JOBS - len(burst.jobs)} jobs were not accepted')
    misdirected_count = sum(
        1
        for mark, reply in burst.replies.items()
        if reply.status == 200 and mark.encode() not in reply.body
    )
    if misdirected_count:
        violations.append(
            f'{misdirected_count} answers belong to other requests'
        )
    return violations


def print_report(burst, ledger, limits):
    """Print answers and refusals by code, and the runs of each team."""
    statuses = {}
    for reply in burst.replies.values():
        label = f'AR-{reply.code}' if reply.code else str(reply.status)
        statuses[label] = statuses.get(label, 0) + 1
    print('answers:', ', '.join(f'{k}: {v}' for k, v in statuses.items()))
    print(f'jobs done: {len(burst.jobs)} of {JOBS}')
    first_s = min(entry.start_s for entry in ledger)
    last_s = max(entry.end_s for entry in ledger)
    print(f'time: {last_s - first_s:.1f} s')
    print(f'{"team":32} {"runs":>5} {"peak":>5} {"limit":>5} {"busy s":>7}')
    for team, limit in sorted(limits.items()):
        team_entries = [entry for entry in ledger if entry.team == team]
        peak = next(
            n
            for n in range(len(team_entries) + 1)
            if not invariants.check_limits(team_entries, {team: n})
        )
        busy_s = sum(e.end_s - e.start_s for e in team_entries)
        print(
            f'{team:32} {len(team_entries):5} {peak:5} {limit:5} {busy_s:7.1f}'
        )
    starts = sorted(
        entry.start_s - first_s
        for entry in ledger
        if entry.priority == 'urgent'
    )
    print(
        f'urgent starts after the burst: p50 {starts[len(starts) // 2]:.2f} '
        f's, p99 {starts[int(len(starts) * 0.99)]:.2f} s'
    )


async def run():
    """Run the whole example; return the violations."""
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.Fleet(folder=folder) as fleet:
            daemons = await start(fleet)
            burst = Burst(fleet=fleet, daemons=daemons)
            await burst.run()
            ledger = await fleet.read_ledger()
            status = await fleet.call_api('GET', '/v1/status')
            limits = {
                f'{team["customer"]}/{team["team"]}': team['limit']
                for team in status['teams']
            }
            print_report(burst, ledger, limits)
            exit_statuses = await asyncio.gather(
                *(d.terminate() for d in daemons)
            )
    violations = find_violations(burst, ledger, limits)
    if any(exit_statuses):
        violations.append(f'daemons stopped with {exit_statuses}')
    return violations


def main():
    """Run the example, print the violations, and exit."""
    violations = asyncio.run(run())
    print('\n'.join(violations) or 'every promise held')
    sys.exit(1 if violations else 0)


if __name__ == '__main__':
    main()
