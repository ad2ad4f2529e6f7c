"""Sanic application with the settings that both HTTP interfaces share."""

import typing
import uuid

import sanic

_RESPONSE_TIMEOUT_S = 3_600
_REQUEST_TIMEOUT_S = 30
_KEEP_ALIVE_TIMEOUT_S = 75


def make(name: str, max_body_bytes: int) -> typing.Any:
    """Creates an application that runs in the daemon's event loop.

    At the first start of an application, sanic rewrites its own methods
    ("touchup"). The rewrite fails for a second application in the same
    process, so it is disabled.

    Args:
        name: Name in sanic's messages; a random suffix makes it unique in the
            process.
        max_body_bytes: Maximum size of a request body.
    """
    app: typing.Any = sanic.Sanic(
        f"{name}-{uuid.uuid4().hex}", configure_logging=False
    )
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.RESPONSE_TIMEOUT = _RESPONSE_TIMEOUT_S
    app.config.REQUEST_TIMEOUT = _REQUEST_TIMEOUT_S
    app.config.KEEP_ALIVE_TIMEOUT = _KEEP_ALIVE_TIMEOUT_S
    app.config.ACCESS_LOG = False
    app.config.FALLBACK_ERROR_FORMAT = "json"
    app.config.TOUCHUP = False
    return app
