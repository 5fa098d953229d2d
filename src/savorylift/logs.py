"""Structured logs on standard error."""

import logging
import sys

import structlog

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure_logs(log_format: str, log_level: str, node: str) -> None:
    """Sends structlog output to standard error, one line an event.

    Args:
        log_format: `json`, `human`, or `auto` (human on a terminal).
        log_level: Least severe level that is written.
        node: VM name put on every line.
    """
    is_human = log_format == "human" or (
        log_format == "auto" and sys.stderr.isatty()
    )
    renderer: structlog.typing.Processor = (
        structlog.dev.ConsoleRenderer()
        if is_human
        else structlog.processors.JSONRenderer(sort_keys=True)
    )

    def add_node(
        _logger: object, _name: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event["node"] = node
        return event

    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            add_node,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[log_level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
