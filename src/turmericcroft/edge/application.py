"""The sanic application that both HTTP interfaces are built on."""

import typing
import uuid

import sanic

_RESPONSE_TIMEOUT_S = 3_600
_REQUEST_TIMEOUT_S = 30
_KEEP_ALIVE_TIMEOUT_S = 75


def make(name: str, max_body_bytes: int) -> typing.Any:
    """Makes an application that runs in the daemon's own event loop.

    Sanic rewrites its own methods at the first start of an application in a
    process; with two applications the second rewrite fails, so it is off.

    Args:
        name: Name for messages; a suffix makes it unique in the process.
        max_body_bytes: Largest body that is read.
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
