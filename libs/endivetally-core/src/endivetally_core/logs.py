"""Logging as JSON lines on standard output."""

import datetime
import json
import logging
import sys
from typing import Final

# Attributes that every log record has; all others come from ``extra``.
_STANDARD_ATTRIBUTES: Final = frozenset(
    (*logging.makeLogRecord({}).__dict__, 'message', 'asctime', 'taskName'),
)


class JsonFormatter(logging.Formatter):
    """Formats a log record as one JSON line.

    :param process_name: configured name of the process.
    """

    def __init__(self, process_name: str) -> None:
        super().__init__()
        self._process_name = process_name

    def format(self, record: logging.LogRecord) -> str:
        """Return time, level, logger, message, process, extra fields and exception."""
        line = {
            'time': _format_time(record.created),
            'level': record.levelname,
            'logger': record.name,
            'message': record.getMessage(),
            'process': self._process_name,
        }
        for name, content in record.__dict__.items():
            if name not in _STANDARD_ATTRIBUTES:
                line.setdefault(name, content)
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logging(process_name: str, level: str = 'INFO') -> None:
    """Write the log records of this process to standard output.

    :param process_name: configured name of the process.
    :param level: lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(JsonFormatter(process_name))
    logging.basicConfig(handlers=[handler], level=level, force=True)
    # HTTP requests are counted by metrics; only server errors are logged.
    logging.getLogger('tornado.access').setLevel(logging.ERROR)


def _format_time(timestamp: float) -> str:
    moment = datetime.datetime.fromtimestamp(timestamp, datetime.UTC)
    return moment.isoformat(timespec='milliseconds')
