"""Prints what the logs of all nodes say about one request."""

import json as json_module
import pathlib

from arbutusrock.commands import client

__all__ = ['trace']

# Fields that every line has, or that the line's columns show.
_COLUMN_FIELDS = frozenset({'timestamp', 'level', 'part', 'event'})
_OWNER_EVENT = 'this node owns the unit'


class _LogLine:
    """A line of one node's log.

    :param node: node that wrote it.
    :param text: the line as it was written.
    :param fields: the decoded line.
    """

    __slots__ = ('node', 'text', 'fields')

    def __init__(self, *, node, text, fields):
        self.node = node
        self.text = text
        self.fields = fields

    @property
    def timestamp(self):
        return self.fields.get('timestamp', '')


def trace(job: str, *files: str):
    """Show what the logs of all nodes say about a job, in order of time.

    Each line names its node and, for a node that owned the unit then, the
    epoch of its ownership.

    :param job: id of the job
    :param files: log files of the nodes; one file may hold the lines of
        several nodes, each after the name of its node
    """
    lines = [line for name in files for line in read_log(name)]
    found = find_lines(lines, job)
    if not found:
        raise client.CommandError(
            f'no line in {len(files)} files names {job}', status=1
        )
    for line, epoch in found:
        print(_format_line(line, epoch))


def read_log(name):
    """Return the JSON lines of a log file; other lines are left out.

    Without a name before the object, the file is named after the node.
    """
    path, lines = pathlib.Path(name), []
    with path.open(encoding='utf-8', errors='replace') as file:
        for text in file:
            prefix, brace, rest = text.partition('{')
            if not brace:
                continue
            try:
                fields = json_module.loads(brace + rest)
            except ValueError:
                continue
            node = prefix.split()[-1] if prefix.split() else path.stem
            lines.append(_LogLine(node=node, text=text, fields=fields))
    return lines


def find_lines(lines, job):
    """Return pairs of line and epoch for the lines that name a job.

    The epoch is None for lines of a node that did not own the unit then.

    >>> lines = [
    ...     _LogLine(node='n', text='a1', fields={'timestamp': '2'}),
    ...     _LogLine(node='n', text='', fields={
    ...         'timestamp': '1', 'event': _OWNER_EVENT, 'epoch': 3})]
    >>> [(line.text, epoch) for line, epoch in find_lines(lines, 'a1')]
    [('a1', 3)]
    """
    epochs, found = {}, []
    for line in sorted(lines, key=lambda item: item.timestamp):
        match line.fields.get('event'):
            case str() as event if event == _OWNER_EVENT:
                epochs[line.node] = line.fields.get('epoch')
            case (
                'another node owns the unit'
                | 'the unit is released'
                | 'the ownership ended because of an error'
                | 'serving'
            ):
                epochs.pop(line.node, None)
        if job in line.text:
            found.append((line, epochs.get(line.node)))
    return found


def _format_line(line, epoch):
    fields = line.fields
    time = line.timestamp[11:23]
    owner = f' owner of epoch {epoch}' if epoch is not None else ''
    values = ' '.join(
        f'{name}={value}'
        for name, value in fields.items()
        if name not in _COLUMN_FIELDS
    )
    return (
        f'{time} {line.node}{owner} {fields.get("part", "")}: '
        f'{fields.get("event", "")} {values}'
    )
