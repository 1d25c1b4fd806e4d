"""Tests of the rate limit and the non-blocking output of log lines."""

import os

from arbutusrock import logs


def read_lines(descriptor):
    data = os.read(descriptor, 1 << 20)
    return data.decode().splitlines()


def test_non_blocking_output_counts_lines_over_rate(monkeypatch):
    monkeypatch.setattr(logs, 'MAX_BURST_LINES', 3)
    now = [0.0]
    monkeypatch.setattr(logs.clocks, 'now_s', lambda: now[0])
    reader, writer = os.pipe()
    output = logs.NonBlockingOutput(descriptor=writer)
    for number in range(10):
        output.write(f'line {number}\n')
    assert read_lines(reader) == ['line 0', 'line 1', 'line 2']
    now[0] = 1.0
    output.write('later\n')
    assert read_lines(reader) == [
        '{"event": "lines left out", "n": 7}',
        'later',
    ]


def test_non_blocking_output_drops_lines_when_pipe_is_full(monkeypatch):
    monkeypatch.setattr(logs, 'MAX_BURST_LINES', 10_000)
    reader, writer = os.pipe()
    output = logs.NonBlockingOutput(descriptor=writer)
    line = 'x' * 999 + '\n'
    for _ in range(200):
        output.write(line)
    assert output.dropped_lines > 0
    first = read_lines(reader)
    output.write('after\n')
    lines = first + read_lines(reader)
    assert lines[-1] == 'after'
    assert {len(item) for item in lines[:60]} == {999}


def test_non_blocking_output_survives_closed_pipe():
    """The last log line of a planned stop raised when the reader had gone."""
    reader, writer = os.pipe()
    output = logs.NonBlockingOutput(descriptor=writer)
    os.close(reader)
    output.write('lost\n')
    assert output.dropped_lines == 1


def test_non_blocking_output_tells_count_once(monkeypatch):
    """The line with the count was accepted in part only."""
    output = logs.NonBlockingOutput(descriptor=os.pipe()[1])
    written = []

    def write(_descriptor, data):
        if len(written) == 1:
            written.append(data[:20])
            return 20
        written.append(data)
        return len(data)

    monkeypatch.setattr(logs.os, 'write', write)
    output.write('first\n')
    output.dropped_lines = 5
    output.write('second\n')
    output.write('third\n')
    lines = b''.join(written).decode().splitlines()
    assert lines == [
        'first',
        '{"event": "lines left out", "n": 5}',
        'second',
        'third',
    ]
