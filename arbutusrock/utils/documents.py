"""Reads YAML documents into typed records and reports all errors at once.

A document type is a :class:`msgspec.Struct`. Its field constraints
(``msgspec.Meta``) are the only definition of the allowed values.
"""

import typing

import msgspec

from arbutusrock.utils import decoders
import yaml

__all__ = ['decode_row', 'encode_row', 'find_errors', 'parse_document']

SECRET_WORDS = ('token', 'secret')
MAX_DEPTH = 20


class UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects repeated keys and keys that are no strings."""


def _construct_mapping(loader, node):
    keys = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node, deep=True)
        if not isinstance(key, str):
            raise yaml.MarkedYAMLError(
                problem=f'key {key!r} is not a string',
                problem_mark=key_node.start_mark,
            )
        if key in keys:
            raise yaml.MarkedYAMLError(
                problem=f'key {key!r} is repeated',
                problem_mark=key_node.start_mark,
            )
        keys.add(key)
    return loader.construct_mapping(node, deep=True)


UniqueKeyLoader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_mapping
)


def parse_document(text, record_type, *, source, error_type):
    """Parse ``text`` as YAML and convert it to ``record_type``.

    :param text: YAML text.
    :param record_type: a :class:`msgspec.Struct` type.
    :param source: name of the document in error messages.
    :param error_type: error class to raise.
    :returns: an instance of ``record_type``.
    :raises error_type: with one line for each error.
    """
    try:
        node = yaml.compose(text, Loader=UniqueKeyLoader)
        raw = yaml.load(text, Loader=UniqueKeyLoader)  # noqa: S506
    except (yaml.YAMLError, RecursionError, ValueError) as exc:
        mark = getattr(exc, 'problem_mark', None)
        line = mark.line + 1 if mark else 1
        problem = getattr(exc, 'problem', None) or 'is not YAML'
        raise error_type(f'{source}:{line}: {problem}') from None
    errors = find_errors(raw, record_type)
    if errors:
        lines = [
            f'{source}:{_find_line(node, path)}: '
            f'{_format_path(path)} {message}'
            for path, message in errors
        ]
        raise error_type('\n'.join(lines))
    try:
        return msgspec.convert(raw, record_type)
    except msgspec.ValidationError as exc:
        raise error_type(f'{source}: {exc}') from None


def find_errors(raw, record_type, path=()):
    """Return a pair ``(path, message)`` for each error in ``raw``.

    :param raw: document as loaded from YAML.
    :param path: keys and list indexes that lead to ``raw``.
    """
    if len(path) > MAX_DEPTH:
        return [(path, 'is nested too deeply')]
    record_type, _ = _unwrap_type(record_type)
    if _is_struct(record_type):
        return _find_struct_errors(raw, record_type, path)
    if typing.get_origin(record_type) is list and isinstance(raw, list):
        (item_type,) = typing.get_args(record_type)
        return [
            error
            for index, item in enumerate(raw)
            for error in find_errors(item, item_type, (*path, index))
        ]
    return []


def _find_struct_errors(raw, record_type, path):
    if not isinstance(raw, dict):
        return [(path, f'must be a mapping, got {_format_value(path, raw)}')]
    hints = typing.get_type_hints(record_type, include_extras=True)
    fields = {f.name: f for f in msgspec.structs.fields(record_type)}
    errors = []
    for key in raw:
        if key not in fields:
            allowed = ', '.join(sorted(fields))
            errors.append(
                ((*path, key), f'is not a known key; allowed: {allowed}')
            )
    for name, field in fields.items():
        field_path = (*path, name)
        if name not in raw:
            if field.required:
                errors.append((path, f'lacks the required key {name}'))
            continue
        field_errors = find_errors(raw[name], hints[name], field_path)
        errors.extend(
            field_errors or _check_value(raw[name], hints[name], field_path)
        )
    return errors


def _check_value(value, hint, path):
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError as exc:
        reason = str(exc).split(' - at')[0]
        reason = reason[0].lower() + reason[1:]
        return [(path, f'{reason}, got {_format_value(path, value)}')]
    return []


def _unwrap_type(record_type):
    """Return the type inside ``Annotated`` and ``X | None``.

    :returns: the type, and whether None is allowed.
    """
    if typing.get_origin(record_type) is typing.Annotated:
        return _unwrap_type(typing.get_args(record_type)[0])
    args = typing.get_args(record_type)
    if type(None) in args:
        others = [item for item in args if item is not type(None)]
        if len(others) == 1:
            return _unwrap_type(others[0])[0], True
    return record_type, False


def _is_struct(record_type):
    return isinstance(record_type, type) and issubclass(
        record_type, msgspec.Struct
    )


def _format_value(path, value):
    names = [str(part) for part in path]
    if any(word in name for name in names for word in SECRET_WORDS):
        return '(hidden)'
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + '...'


def _format_path(path):
    """Return a path as it is printed in messages.

    >>> _format_path(('teams', 0, 'limit'))
    'teams[0].limit'
    """
    text = ''
    for part in path:
        text += f'[{part}]' if isinstance(part, int) else f'.{part}'
    return text.lstrip('.') or 'document'


def _find_line(node, path):
    """Return the line of the innermost YAML node that exists on ``path``."""
    line = node.start_mark.line + 1 if node else 1
    for part in path:
        match node:
            case yaml.MappingNode():
                pairs = [(k, v) for k, v in node.value if k.value == str(part)]
                if not pairs:
                    return line
                line = pairs[0][0].start_mark.line + 1
                node = pairs[0][1]
            case yaml.SequenceNode() if part < len(node.value):
                node = node.value[part]
                line = node.start_mark.line + 1
            case _:
                return line
    return line


_encoder = msgspec.json.Encoder()


def encode_row(record):
    """Return a record as the bytes of a table row."""
    return _encoder.encode(record)


def decode_row(data, record_type):
    """Return the record that is encoded in the bytes of a table row."""
    return decoders.decode_json(data, record_type)
