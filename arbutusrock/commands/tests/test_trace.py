"""The lines of one job are found over nodes and owners."""

import pytest

from arbutusrock.commands import main

JOB = '9319ab475792ab1c'
GATEWAY_LOG = f"""\
{{"part": "node", "event": "serving", "timestamp": "2026-09-07T09:02:00Z"}}
not a log line {{
{{"part": "gateway", "job": "{JOB}", "outcome": "stored", "event": \
"a job was submitted", "timestamp": "2026-09-07T09:02:48.603052Z"}}
{{"part": "gateway", "job": "other", "event": "a job was submitted", \
"timestamp": "2026-09-07T09:02:48.7Z"}}
"""
OWNERS_LOG = f"""\
 1.0 node-2 {{"part": "owner", "epoch": 4, "event": \
"this node owns the unit", "timestamp": "2026-09-07T09:02:47Z"}}
 2.0 node-2 {{"part": "dispatch", "job": "{JOB}", "waited_s": 1.2, "event": \
"first run of a job ordered", "timestamp": "2026-09-07T09:02:49.840697Z"}}
 3.0 node-2 {{"part": "owner", "epoch": 4, "event": \
"another node owns the unit", "timestamp": "2026-09-07T09:02:50Z"}}
 4.0 node-3 {{"part": "owner", "epoch": 5, "event": \
"this node owns the unit", "timestamp": "2026-09-07T09:02:51Z"}}
 5.0 node-3 {{"part": "runs", "job": "{JOB}", "age_s": 8.5, "event": \
"a job is completed", "timestamp": "2026-09-07T09:02:57.105360Z"}}
"""


def test_trace_prints_lines_with_node_and_epoch(tmp_path, capsys):
    gateway, owners = tmp_path / 'node-1.log', tmp_path / 'owners.log'
    gateway.write_text(GATEWAY_LOG)
    owners.write_text(OWNERS_LOG)
    main.main(['trace', JOB, str(owners), str(gateway)])
    lines = capsys.readouterr().out.splitlines()
    assert lines == [
        f'09:02:48.603 node-1 gateway: a job was submitted job={JOB} '
        'outcome=stored',
        '09:02:49.840 node-2 owner of epoch 4 dispatch: first run of a job '
        f'ordered job={JOB} waited_s=1.2',
        '09:02:57.105 node-3 owner of epoch 5 runs: a job is completed '
        f'job={JOB} age_s=8.5',
    ]


def test_trace_of_unknown_job_fails(tmp_path, capsys):
    log = tmp_path / 'node-1.log'
    log.write_text(GATEWAY_LOG)
    with pytest.raises(SystemExit):
        main.main(['trace', 'f' * 16, str(log)])
    assert 'no line' in capsys.readouterr().err


def test_trace_of_missing_file_fails(capsys):
    with pytest.raises(SystemExit):
        main.main(['trace', JOB, 'no-such-file'])
    assert 'no-such-file' in capsys.readouterr().err
