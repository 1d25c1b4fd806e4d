"""``arbutusrock config check`` on files as operators write them."""

import json

import pytest

from arbutusrock import codes
from arbutusrock.commands import main

CONFIGURATION = {
    'version': 7,
    'routes': [
        {'name': 'q', 'host': 'h', 'pathPrefix': '/q/', 'service': 'p'},
    ],
    'services': [{'name': 'p'}, {'name': 'off', 'spare': True}],
    'tenants': [{'name': 'a', 'apiKeys': ['secret'], 'weight': 3}],
}


@pytest.fixture
def write(tmp_path):
    def write_file(name, data, **changes):
        path = tmp_path / name
        path.write_text(json.dumps(data | changes))
        return str(path)

    return write_file


def test_sound_configuration_passes(write, capsys):
    main.main(['config', 'check', write('new', CONFIGURATION)])
    assert capsys.readouterr().out == 'no errors found\n'


def test_errors_end_with_status_of_bad_input(write, capsys):
    path = write('new', CONFIGURATION, services=[])
    with pytest.raises(SystemExit) as caught:
        main.main(['config', 'check', path])
    assert caught.value.code == codes.EXIT_INPUT
    assert 'error: queue q: there is no pool p' in capsys.readouterr().out


@pytest.mark.parametrize('text', ['{"version": "x"}', '[', '\x00'])
def test_file_that_the_daemon_would_not_decode_is_an_error(
    tmp_path, capsys, text
):
    path = tmp_path / 'new'
    path.write_text(text)
    with pytest.raises(SystemExit) as caught:
        main.main(['config', 'check', str(path)])
    assert caught.value.code == codes.EXIT_INPUT
    assert str(path) in capsys.readouterr().err


def test_differences_show_no_keys(write, capsys):
    old = write('old', CONFIGURATION)
    tenant = {'name': 'a', 'apiKeys': ['other'], 'weight': 5}
    new = write('new', CONFIGURATION, version=8, tenants=[tenant])
    main.main(['config', 'check', new, '--against', old, '--json'])
    answer = json.loads(capsys.readouterr().out)
    assert answer['findings'] == []
    assert [item['field'] for item in answer['differences']] == [
        'keys',
        'weight',
    ]
    assert 'secret' not in str(answer)
    assert 'other' not in str(answer)


def test_wave_that_cannot_end_in_time_is_an_error(write, capsys):
    wave = {
        'wave': 3,
        'machines': ['a', 'b', 'c'],
        'durationS': 4,
        'maximum': 1,
    }
    with pytest.raises(SystemExit):
        main.main(['config', 'check', write('wave', wave)])
    assert 'wave 3: cannot end in time' in capsys.readouterr().out
