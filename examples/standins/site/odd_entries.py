"""Odd entries of other writers: nested deeply, with figures out of range."""

import asyncio
import base64
import json

__all__ = ['write_odd_entries', 'write_odd_operator_rows']

HUGE = 10**400
# A node reads changes of entries at most this often.
READ_INTERVAL_S = 0.15
DEEP = b'[' * 20_000
# Replaced in a valid entry, as text, since some are no Python values.
ODD_FIELDS = {
    'labels': ['[' * 20_000 + ']' * 20_000, f'[{HUGE}]', 'null'],
    'address': [
        f'"127.0.0.1:{port}"'
        for port in ('0', '65536', '99999', str(HUGE), '-1', '²', '1e3')
    ],
    'capacity': [
        f'{{"cpu":{HUGE},"memMb":1,"gpus":0}}',
        f'{{"cpu":1000,"memMb":{10**30},"gpus":{10**30}}}',
        '{"cpu":1e999,"memMb":1,"gpus":0}',
        '{"cpu":-1,"memMb":1,"gpus":0}',
    ],
    'born': [str(HUGE), str(10**30), str(2**64), '-1'],
    'coldRemainingMs': [str(HUGE), '1e308'],
    'remainingMs': [str(HUGE), '1e308', '-1e308'],
    'seq': [str(HUGE)],
    'other': ['[' * 20_000 + ']' * 20_000, str(HUGE)],
    'service': ['"' + 'p' * 40_000 + '"'],
    'machine': ['"' + 'm' * 40_000 + '"'],
    'zone': ['"\\ud800"'],
}
ODD_VALUES = [DEEP, b'{"labels":' + DEEP, b'{' * 20_000, b'\xff\xfe', b'null']
ODD_OPERATOR_ROWS = {
    'wave/odd-1': DEEP,
    'wave/odd-2': b'{"wave":902,"machines":' + DEEP,
    'wave/odd-3': b'{"wave":%d,"machines":[],"durationS":1}' % 10**300,
    'wave/odd-4': (
        b'{"wave":904,"machines":["m"],"durationS":1e308,"maximum":%d}' % HUGE
    ),
    'wave/odd-5': b'{"wave":-905,"machines":["m"],"durationS":1e308}',
    'wave/odd-6': b'{"wave":906,"machines":[],"durationS":1,"x":' + DEEP,
    'evacuate/z9': b'{"x":' + DEEP,
    'other': DEEP,
}


def create_odd_values(entry):
    """Yield the bytes of each odd entry.

    :param entry: a valid one.
    """
    yield from ODD_VALUES
    for field, texts in ODD_FIELDS.items():
        rest = {name: entry[name] for name in entry if name != field}
        head = json.dumps(rest)[:-1]
        for text in texts:
            yield f'{head}, "{field}": {text}}}'.encode()


async def write_odd_entries(site, *, over_sound_entries):
    """Write all odd entries, over the entry of a worker or beside it."""
    worker = next(iter(site.workers.values()))
    text, _ = site.store.rows['servers', '', worker.worker_id]
    entry = json.loads(base64.b64decode(text))
    if not over_sound_entries:
        entry['machine'] = 'm-odd'
    for number, value in enumerate(create_odd_values(entry)):
        key = f'i-odd-{number:03d}'
        if over_sound_entries:
            key = worker.worker_id
            # Each of them is read by itself.
            await asyncio.sleep(READ_INTERVAL_S)
        await site.store.put('servers', key, base64.b64encode(value).decode())


async def write_odd_operator_rows(site):
    """Write all odd rows of operators."""
    for key, value in ODD_OPERATOR_ROWS.items():
        await site.store.put('op', key, base64.b64encode(value).decode())
