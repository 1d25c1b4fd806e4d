"""Tests of the comparison of two commits by their scores."""

import json

import pytest

from benchmarks import score_sites


def write_entry(path, **fields):
    path.write_text(
        json.dumps(
            {
                'site': 'a-site',
                'score': 0.7,
                'figures': {'gate': 1.0},
                'days': [{'name': 'quiet-1', 'G': 0.8}],
                **fields,
            }
        )
    )
    return score_sites.Score.read(path)


@pytest.mark.parametrize(
    ('base', 'present', 'gate', 'accepted'),
    [
        (0.7, 0.67, 1.0, True),
        (0.7, 0.6699, 1.0, False),
        (0.7, 0.9, 1.0, True),
        (0.7, 0.7, 0.0, False),
        (0.7, None, 1.0, False),
        (None, 0.7, 1.0, False),
    ],
)
def test_compare_scores_rejects_fall_and_failed_gate(
    tmp_path, base, present, gate, accepted
):
    scores = [
        write_entry(tmp_path / 'entry', score=base),
        write_entry(tmp_path / 'entry', score=present, figures={'gate': gate}),
    ]
    lines, is_accepted = score_sites.compare_scores(*scores)
    assert is_accepted is accepted
    assert lines[0].startswith('a-site')


def test_compare_scores_shows_days_of_both(tmp_path):
    base = write_entry(tmp_path / 'entry')
    present = write_entry(
        tmp_path / 'entry',
        days=[{'name': 'quiet-1', 'G': 0.7}, {'name': 'drawn', 'G': 0.1}],
    )
    lines, _ = score_sites.compare_scores(base, present)
    assert lines[1:] == ['  quiet-1                0.800 0.700 -0.100']
