"""Structured logs: each line names the part of the program it is from."""

import logging
import os
import sys

import structlog

from arbutusrock.utils import clocks

__all__ = ['NonBlockingOutput', 'configure_logs', 'get_log']

# Rate limit of log lines, as a token bucket: the lines per second in the long
# run, and the lines of a burst, which is four seconds at that rate.
MAX_LINES_PER_S = 250
MAX_BURST_LINES = 1000

HIDDEN = '(hidden)'
SECRET_FIELDS = frozenset({'authorization', 'token', 'secret', 'key'})


def _hide_secrets(_logger, _method, event):
    for name in SECRET_FIELDS & event.keys():
        event[name] = HIDDEN
    return event


def _render_text(_logger, _method, event):
    timestamp = event.pop('timestamp', '')
    level = event.pop('level', 'info')
    part = event.pop('part', 'daemon')
    text = event.pop('event', '')
    traceback = event.pop('exception', '')
    fields = ' '.join(f'{name}={value}' for name, value in event.items())
    line = f'{timestamp} {level:<7} {part}: {text}'
    if fields:
        line += f' ({fields})'
    return f'{line}\n{traceback}' if traceback else line


class NonBlockingOutput:
    """Writes lines to a file descriptor and never blocks on it.

    Lines above the rate limit, and lines that a full or closed pipe does not
    accept, are dropped and counted. The count is written before the next line
    that can be written.

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
        """Write a line, or drop and count it."""
        now_s = clocks.now_s()
        self._tokens = min(
            MAX_BURST_LINES,
            self._tokens + (now_s - self._refilled_at_s) * MAX_LINES_PER_S,
        )
        self._refilled_at_s = now_s
        if self._tokens < 1 or not self._write_remainder():
            self.dropped_lines += 1
            return
        self._tokens -= 1
        if self.dropped_lines:
            text = (
                f'{{"event": "lines left out", "n": {self.dropped_lines}}}'
                f'\n{text}'
            )
        data = text.encode()
        count = self._write_bytes(data)
        if count is None:
            self.dropped_lines += 1
            return
        # Even if only a part was written: the rest follows before other lines.
        self._unwritten = data[count:]
        self.dropped_lines = 0

    def _write_remainder(self):
        """Write the rest of the last line; return whether none is left."""
        if self._unwritten:
            count = self._write_bytes(self._unwritten) or 0
            self._unwritten = self._unwritten[count:]
        return not self._unwritten

    def _write_bytes(self, data):
        """Return how many bytes the descriptor accepted; None for an error.

        A slow or closed reader must not stop the program.
        """
        try:
            return os.write(self.descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            return None

    def flush(self):
        """Do nothing, as :meth:`write` writes lines at once."""


class _MalformedRequestHandler(logging.Handler):
    """Logs a malformed HTTP request as one line, without its contents.

    Errors of our own handlers do not get here, as the callers' and the
    operators' interface catch them.
    """

    def emit(self, record):
        kind = record.exc_info[0].__name__ if record.exc_info else 'unknown'
        get_log('http').info('a malformed request was refused', kind=kind)


class _LibraryLogHandler(logging.Handler):
    """Writes log records of libraries in the format of all other lines."""

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
    :param level: lowest level that is written, such as ``info``.
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
    level_number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _hide_secrets,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(level=logging.WARNING, handlers=[_LibraryLogHandler()])
    server_logger = logging.getLogger('aiohttp.server')
    server_logger.handlers = [_MalformedRequestHandler()]
    server_logger.propagate = False


def get_log(part):
    """Return a logger that puts ``part``, such as ``audit``, on each line."""
    return structlog.get_logger(part=part)
