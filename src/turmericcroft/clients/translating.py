"""Translates HTTP client errors to the key-value errors of this package."""

import contextlib
from collections.abc import Iterator

import aiohttp

from turmericcroft import errors


@contextlib.contextmanager
def translate_errors(
    path: str, not_sent: tuple[type[Exception], ...]
) -> Iterator[None]:
    """Translates the errors of one HTTP call to a key-value service.

    Args:
        path: Path of the call, for the message.
        not_sent: Errors that prove that nothing was sent.

    Raises:
        errors.KeyValueUnavailableError: The call was not sent.
        errors.KeyValueOutcomeUnknownError: The call may have been applied.
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


def check_status(status: int, expected: int, path: str) -> None:
    """Checks the status of an answer of a key-value service.

    Raises:
        errors.KeyValueUnavailableError: The service refused the call.
        errors.KeyValueOutcomeUnknownError: The call may have been applied.
    """
    if status == expected:
        return
    text = f"{path}: expected status {expected}, found {status}"
    if status in (429, 503):
        raise errors.KeyValueUnavailableError(text)
    raise errors.KeyValueOutcomeUnknownError(text)
