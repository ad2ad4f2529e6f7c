"""HTTP client of the operators' port of a daemon."""

import asyncio
import dataclasses
import json
import os
import pathlib
import tomllib
import typing

import aiohttp

_TIMEOUT_S = 15.0
DEFAULT_DAEMON = "http://127.0.0.1:8081"


@dataclasses.dataclass(frozen=True)
class Connection:
    """Address of a daemon, and the operator's credentials.

    Attributes:
        daemon: Base URL of the operators' port; any daemon will do.
        token: Operator's token.
        author: Name under which changes are recorded.
    """

    daemon: str
    token: str
    author: str


@dataclasses.dataclass(frozen=True)
class Reply:
    """Response of a daemon.

    Attributes:
        status: HTTP status; 0 if there was no response.
        body: Decoded JSON, or the text if it isn't JSON. If there was no
            response, a message that names the error.
    """

    status: int
    body: typing.Any


def resolve_connection(daemon: str, token: str, settings: str) -> Connection:
    """Resolves the connection from the command line, environment and file.

    For each value, the command line precedes the environment, and the
    environment precedes the settings file.

    Args:
        daemon: URL from the command line, or an empty string.
        token: Token from the command line, or an empty string.
        settings: Path of a TOML file with the keys ``daemon``, ``token`` and
            ``author``, or an empty string.
    """
    stored: dict[str, typing.Any] = {}
    path = settings or os.environ.get("TURMERICCTL_SETTINGS", "")
    if path:
        stored = tomllib.loads(pathlib.Path(path).read_text("utf-8"))
    env = os.environ
    return Connection(
        daemon=daemon
        or env.get("TURMERICCTL_DAEMON", "")
        or str(stored.get("daemon", DEFAULT_DAEMON)),
        token=token
        or env.get("TURMERICCTL_TOKEN", "")
        or str(stored.get("token", "")),
        author=env.get("TURMERICCTL_AUTHOR", "")
        or str(stored.get("author", env.get("USER", "unknown"))),
    )


def get(connection: Connection, path: str, **query: str) -> Reply:
    """Sends a GET request; empty query parameters are left out."""
    parameters = {key: value for key, value in query.items() if value}
    return asyncio.run(_send(connection, "GET", path, parameters, None))


def explain(metrics: str, query: dict[str, str], request: bytes) -> Reply:
    """Asks a daemon where a request would go.

    Args:
        metrics: Base URL of the daemon's metrics port. It gets no operator's
            token.
        query: Method, path and host of the request.
        request: Its header lines, an empty line, and its body.
    """
    connection = Connection(metrics, "", "")
    return asyncio.run(_send(connection, "GET", "/explain", query, request))


def post(
    connection: Connection, path: str, body: dict[str, typing.Any]
) -> Reply:
    """Sends a POST request."""
    return asyncio.run(_send(connection, "POST", path, {}, body))


def delete(connection: Connection, path: str) -> Reply:
    """Sends a DELETE request."""
    return asyncio.run(_send(connection, "DELETE", path, {}, None))


async def _send(
    connection: Connection,
    method: str,
    path: str,
    query: dict[str, str],
    body: dict[str, typing.Any] | bytes | None,
) -> Reply:
    headers = {}
    if connection.token:
        headers["Authorization"] = f"Bearer {connection.token}"
    raw, value = (body, None) if isinstance(body, bytes) else (None, body)
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    url = connection.daemon.rstrip("/") + path
    try:
        async with (
            aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
            session.request(
                method, url, params=query, data=raw, json=value
            ) as response,
        ):
            return Reply(response.status, _decode(await response.text()))
    except (aiohttp.ClientError, OSError) as error:
        return Reply(0, f"{url}: expected an answer, found {error!r}")


def _decode(text: str) -> typing.Any:
    try:
        return json.loads(text)
    except ValueError:
        return text
