"""Reads HTTP bodies of limited length."""

import aiohttp

from turmericcroft import errors

_CHUNK_BYTES = 65_536


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    error: type[errors.TurmericcroftError] = errors.KeyValueOutcomeUnknownError,
) -> bytes:
    """Reads a body; the time is limited by the call.

    Raises:
        errors.TurmericcroftError: The body is longer than allowed; of the given
            class.
    """
    content = bytearray()
    async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
        content += chunk
        if len(content) > max_bytes:
            response.close()
            raise error(
                f"expected a body of at most {max_bytes} bytes, found more"
            )
    return bytes(content)
