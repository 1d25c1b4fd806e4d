"""Prints answers of a daemon as tables for people or JSON for scripts."""

import datetime
import sys

import msgspec

__all__ = ['print_answer', 'print_change', 'print_pending', 'print_table']


def print_answer(answer, *, json, columns=()):
    """Print a list of records, or one record.

    :param json: whether to print JSON.
    :param columns: names of the fields to show, in order; all when empty.
    """
    if json:
        print(msgspec.json.encode(answer).decode())
    elif isinstance(answer, list):
        print_table(answer, columns)
    else:
        for name in columns or answer:
            print(f'{name}: {_format_value(name, answer[name])}')


def print_table(records, columns=()):
    """Print records as a table with aligned columns."""
    if not records:
        print('(none)')
        return
    columns = columns or list(records[0])
    lines = [[name.upper() for name in columns]]
    lines += [
        [_format_value(name, record.get(name, '')) for name in columns]
        for record in records
    ]
    widths = [
        max(len(line[index]) for line in lines)
        for index in range(len(columns))
    ]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print('  '.join(cells).rstrip())


def print_change(view, *, json):
    """Print the answer to a change."""
    if json:
        print(msgspec.json.encode(view).decode())
        return
    if not view['stored']:
        print(
            'in force on this member, not stored yet: '
            'the table service does not answer'
        )
    elif view['version']:
        print(f'accepted as version {view["version"]}')
    else:
        print('nothing changed')
    print_pending(view['pending'])


def print_pending(pending):
    """Print to standard error on which members a change is not in force."""
    if pending:
        print(f'pending on: {", ".join(pending)}', file=sys.stderr)


def _format_value(name, value):
    if name in ('at_s', 'accepted_at_s', 'finished_at_s'):
        if not value:
            return '-'
        moment = datetime.datetime.fromtimestamp(value, datetime.UTC)
        return moment.strftime('%Y-%m-%d %H:%M:%S')
    if isinstance(value, list):
        return ' '.join(
            item if isinstance(item, str) else str(item) for item in value
        )
    return str(value)
