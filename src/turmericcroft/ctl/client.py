"""HTTP client of one daemon's operators' port."""

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
    """Which daemon to ask, and as whom.

    Attributes:
        daemon: Base URL of the operators' port of any one daemon.
        token: Operator's token.
        author: Name under which changes are recorded.
    """

    daemon: str
    token: str
    author: str


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer of the daemon.

    Attributes:
        status: HTTP status, 0 if the daemon was not reached.
        body: Decoded JSON, or text.
    """

    status: int
    body: typing.Any


def resolve(daemon: str, token: str, settings: str) -> Connection:
    """Finds the connection: arguments first, then environment, then file.

    Args:
        daemon: URL from the command line, or an empty text.
        token: Token from the command line, or an empty text.
        settings: Path of a TOML file with the same keys, or an empty text.
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
    """Sends a GET request."""
    wanted = {key: value for key, value in query.items() if value}
    return asyncio.run(_send(connection, "GET", path, wanted, None))


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
    body: dict[str, typing.Any] | None,
) -> Reply:
    headers = {"Authorization": f"Bearer {connection.token}"}
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    url = connection.daemon.rstrip("/") + path
    try:
        async with (
            aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
            session.request(method, url, params=query, json=body) as response,
        ):
            return Reply(response.status, _decode(await response.text()))
    except (aiohttp.ClientError, OSError) as error:
        return Reply(0, f"{url}: expected an answer, found {error!r}")


def _decode(text: str) -> typing.Any:
    try:
        return json.loads(text)
    except ValueError:
        return text
