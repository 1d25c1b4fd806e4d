"""Structured logs: short sentences with a fixed prefix for each part."""

import logging
import os
import sys

import structlog

from arbutusrock.utils import clocks

__all__ = ['NonBlockingOutput', 'configure_logs', 'get_log']

# Most lines a second that are written; a burst of four seconds may go over.
MAX_LINES_PER_S = 250
MAX_BURST_LINES = 1000

HIDDEN = '(hidden)'
SECRET_FIELDS = frozenset({'authorization', 'token', 'secret', 'key'})


def _hide_secrets(_logger, _method, event):
    for name in SECRET_FIELDS & event.keys():
        event[name] = HIDDEN
    return event


def _render_text(_logger, _method, event):
    stamp = event.pop('timestamp', '')
    level = event.pop('level', 'info')
    part = event.pop('part', 'daemon')
    text = event.pop('event', '')
    failure = event.pop('exception', '')
    rest = ' '.join(f'{name}={value}' for name, value in event.items())
    line = f'{stamp} {level:<7} {part}: {text}'
    if rest:
        line += f' ({rest})'
    return f'{line}\n{failure}' if failure else line


class NonBlockingOutput:
    """Writes lines to a file descriptor without ever waiting for it.

    Lines beyond the rate, and those that the reader of a full or closed pipe
    does not take, are counted and left out; the count is written when there is
    room.

    :param descriptor: number of an open file.
    """

    def __init__(self, *, descriptor):
        self.descriptor = descriptor
        self.dropped_lines = 0
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at_s = clocks.now_s()
        self._unwritten = b''
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Write a line, or count it as left out."""
        now_s = clocks.now_s()
        self._tokens = min(
            MAX_BURST_LINES,
            self._tokens + (now_s - self._refilled_at_s) * MAX_LINES_PER_S,
        )
        self._refilled_at_s = now_s
        if self._tokens < 1 or not self._write_bytes(self._unwritten):
            self.dropped_lines += 1
            return
        self._tokens -= 1
        if self.dropped_lines:
            text = (
                f'{{"event": "lines left out", "n": {self.dropped_lines}}}'
                f'\n{text}'
            )
        if self._write_bytes(text.encode()):
            self.dropped_lines = 0

    def _write_bytes(self, data):
        """Write what fits; the rest of a line that was begun comes first."""
        if not data:
            return True
        try:
            count = os.write(self.descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            # The reader is slow, or gone: the work goes on without it.
            self.dropped_lines += data is not self._unwritten
            return False
        self._unwritten = data[count:]
        return not self._unwritten

    def flush(self):
        """Do nothing: lines are written at once."""


class _MalformedRequestHandler(logging.Handler):
    """Tells of malformed requests in one line, without what they held.

    Faults of our own handlers never get here: both interfaces catch them.
    """

    def emit(self, record):
        kind = record.exc_info[0].__name__ if record.exc_info else 'unknown'
        get_log('http').info('a malformed request was refused', kind=kind)


class _LibraryLogHandler(logging.Handler):
    """Writes what libraries log in the form of all other lines."""

    def emit(self, record):
        get_log('library').log(
            record.levelno,
            record.getMessage(),
            logger=record.name,
            exc_info=record.exc_info,
        )


def configure_logs(*, log_format='text', level='info', stream=None):
    """Send logs to ``stream``, standard error by default.

    :param log_format: ``text`` or ``json``.
    :param level: lowest level that is written.
    """
    match log_format:
        case 'json':
            renderer = structlog.processors.JSONRenderer()
        case 'text':
            renderer = _render_text
        case _:
            raise ValueError(
                f'log_format must be one of text, json; got {log_format!r}'
            )
    number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _hide_secrets,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(level=logging.WARNING, handlers=[_LibraryLogHandler()])
    server = logging.getLogger('aiohttp.server')
    server.handlers = [_MalformedRequestHandler()]
    server.propagate = False


def get_log(part):
    """Return the log of one part; ``part`` is its fixed prefix."""
    return structlog.get_logger(part=part)
