"""Scores sites on two commits, one play after the other, and compares them.

    python -m benchmarks.score_sites --bench PROGRAM --base COMMIT \
        --folder FOLDER SITE...

Both commits are cloned into the folder and built there. Each site is scored on
the base and on the present commit in turn, with nothing beside it: the
processor time of a play is measured, so a busy machine changes its score. The
journal entries of both clones are copied into this repository. Exits with 1
when a site has fallen by more than ``MAX_FALL``, or fails its gate.
"""

import argparse
import json
import pathlib
import shutil
import subprocess
import sys
import time

__all__ = ['Score', 'compare_scores', 'main', 'measure_busy_share']

ROOT = pathlib.Path(__file__).resolve().parents[1]
# A smaller change of a score is not told from chance.
MAX_FALL = 0.03
# Processor time of all others, as a share of the machine, above which no score
# is begun, and the time over which it is measured.
MAX_BUSY_SHARE = 0.1
BUSY_SAMPLE_S = 3.0
BUSY_ATTEMPTS = 20
DEFAULT_JOBS = 4


class Score:
    """Score of one site on one commit.

    :param site: name of the site.
    :param value: the score; None when the play has not finished.
    :param gate: whether all days have passed the gate.
    :param days: worth by day.
    """

    __slots__ = ('site', 'value', 'gate', 'days')

    def __init__(self, *, site, value, gate, days):
        self.site = site
        self.value = value
        self.gate = gate
        self.days = days

    @classmethod
    def read(cls, path):
        """Read a journal entry of the bench."""
        entry = json.loads(path.read_text())
        return cls(
            site=entry['site'],
            value=entry['score'],
            gate=bool((entry['figures'] or {}).get('gate')),
            days={day['name']: day['G'] for day in entry['days'] or ()},
        )


def compare_scores(base, present):
    """Return lines of a table, and whether the present score is acceptable.

    :param base: :class:`Score` of the base commit.
    :param present: :class:`Score` of the present commit.
    """
    if base.value is None or present.value is None:
        return [f'{base.site:24} not finished'], False
    change = present.value - base.value
    # Scores have four digits.
    fallen = round(change, 4) < -MAX_FALL
    notes = ['FELL'] if fallen else []
    if not present.gate:
        notes.append('GATE FAILED')
    lines = [
        f'{base.site:24} {base.value:.3f} {present.value:.3f}'
        f' {change:+.3f} {" ".join(notes)}'.rstrip()
    ]
    lines += [
        f'  {name:22} {base.days[name]:.3f} {worth:.3f}'
        f' {worth - base.days[name]:+.3f}'
        for name, worth in present.days.items()
        if name in base.days
    ]
    return lines, not notes


def _read_processor_times():
    with open('/proc/stat') as stat:
        fields = [int(text) for text in stat.readline().split()[1:]]
    # Idle time, and time in which a disk is waited for.
    return sum(fields), fields[3] + fields[4]


def measure_busy_share(sample_s=BUSY_SAMPLE_S):
    """Return the share of the machine's processor time that is in use."""
    total, idle = _read_processor_times()
    time.sleep(sample_s)
    total_after, idle_after = _read_processor_times()
    return 1 - (idle_after - idle) / max(1, total_after - total)


def _wait_until_idle():
    for _ in range(BUSY_ATTEMPTS):
        share = measure_busy_share()
        if share <= MAX_BUSY_SHARE:
            return
        print(f'the machine is busy ({share:.0%}); waiting', flush=True)
    sys.exit('the machine stays busy; a score would not be comparable')


def _clone(folder, commit, bench):
    """Clone a commit of this repository and build it."""
    if not folder.exists():
        subprocess.run(  # noqa: S603
            ['git', 'clone', '-q', str(ROOT), str(folder)],  # noqa: S607
            check=True,
        )
    subprocess.run(  # noqa: S603
        ['git', 'checkout', '-q', '--detach', commit],  # noqa: S607
        cwd=folder,
        check=True,
    )
    subprocess.run([bench, 'build'], cwd=folder, check=True)  # noqa: S603


def _list_journal(tree):
    journal = tree / 'journal'
    return {
        path.relative_to(journal)
        for path in journal.rglob('*')
        if path.is_file()
    }


def _score(tree, bench, site, options):
    """Score a site in a clone; return its :class:`Score`.

    The new files of the journal are copied into this repository.
    """
    before = _list_journal(tree)
    _wait_until_idle()
    subprocess.run(  # noqa: S603
        [bench, 'score', str(site), *options], cwd=tree, check=False
    )
    new = sorted(_list_journal(tree) - before)
    for path in new:
        target = ROOT / 'journal' / path
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(tree / 'journal' / path, target)
    entries = [path for path in new if path.suffix == '.json']
    if not entries:
        return Score(site=site.stem, value=None, gate=False, days={})
    return Score.read(tree / 'journal' / entries[-1])


def main(arguments=None):
    """Score the sites and print the table; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--bench', required=True)
    parser.add_argument('--base', required=True)
    parser.add_argument('--present', default='HEAD')
    parser.add_argument('--folder', type=pathlib.Path, required=True)
    parser.add_argument('--jobs', type=int, default=DEFAULT_JOBS)
    parser.add_argument('--why', default='both commits in turn, alone')
    parser.add_argument('sites', nargs='+', type=pathlib.Path)
    options = parser.parse_args(arguments)
    bench = str(pathlib.Path(options.bench).resolve())
    present = subprocess.run(  # noqa: S603
        ['git', 'rev-parse', options.present],  # noqa: S607
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    trees = [options.folder / 'base', options.folder / 'present']
    for tree, commit in zip(trees, (options.base, present), strict=True):
        _clone(tree, commit, bench)
    accepted, table = True, []
    for site in options.sites:
        scores = [
            _score(
                tree,
                bench,
                site.resolve(),
                ['--jobs', str(options.jobs), '--why', options.why],
            )
            for tree in trees
        ]
        lines, is_accepted = compare_scores(*scores)
        print('\n'.join(lines), flush=True)
        table += lines
        accepted = accepted and is_accepted
    print('\n'.join(['', 'site, base, present, change', *table]))
    return 0 if accepted else 1


if __name__ == '__main__':
    sys.exit(main())
