"""Log formats: JSON lines for machines, text for terminals."""

import json
import sys

import logbook

from turmericcroft import settings


class JsonFormatter:
    """Formats each record as one line with a JSON object."""

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        """Formats one record."""
        del handler
        fields = {
            "time": record.time.isoformat(),
            "level": record.level_name,
            "channel": record.channel,
            "message": record.message,
        }
        return json.dumps(fields | record.kwargs, default=str)


def set_up(log: settings.Log, daemon: str) -> logbook.Handler:
    """Sends all logs to standard error.

    Args:
        log: Format and minimum level.
        daemon: Name of this daemon, shown in each line of the text format.

    Returns:
        The handler, which is installed for the whole process.
    """
    handler = logbook.StreamHandler(sys.stderr, level=log.level.upper())
    match log.format:
        case settings.LogFormat.JSON:
            handler.formatter = JsonFormatter()
        case settings.LogFormat.TEXT:
            handler.format_string = (
                "{record.time:%H:%M:%S} {record.level_name} "
                f"{daemon} "
                "{record.channel}: {record.message} {record.kwargs}"
            )
    handler.push_application()
    return handler
