"""Errors of HTTP calls to key-value services, as errors of our own."""

import contextlib
from collections.abc import Iterator

import aiohttp

from turmericcroft import errors


@contextlib.contextmanager
def as_key_value_errors(
    path: str, not_sent: tuple[type[Exception], ...]
) -> Iterator[None]:
    """Tells apart calls that were never sent and calls that may have run.

    Args:
        path: The call, for the message.
        not_sent: Errors after which nothing was sent.

    Raises:
        errors.KeyValueUnavailableError: The call was not sent.
        errors.KeyValueOutcomeUnknownError: It may have run.
    """
    try:
        yield
    except not_sent as error:
        raise errors.KeyValueUnavailableError(
            f"{path}: expected a connection, found {error!r}"
        ) from error
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise errors.KeyValueOutcomeUnknownError(
            f"{path}: expected an answer, found {error!r}"
        ) from error
