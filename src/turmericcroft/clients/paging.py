"""Reads a listing of a key-value service page by page, within bounds."""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from turmericcroft import errors
from turmericcroft.fleet import positions
from turmericcroft.gateway import ports

# A store that is 60 times as slow as usual sends 40 full pages in this time.
_MAX_LISTING_S = 10.0
# A daemon reads four listings, one after the other, and holds all of them.
_MAX_LISTING_BYTES = 16_777_216
# Memory that an item takes beside its key and its value.
_ITEM_BYTES = 512


@dataclasses.dataclass(frozen=True)
class Page:
    """A page of a listing.

    Attributes:
        items: The items.
        position: Position of the store when it sent the page.
        has_more: Whether the store states that more pages follow.
        last_key: The last key, also that of an item that was left out; empty
            if the page has none.
    """

    items: tuple[ports.Item, ...]
    position: positions.StorePosition
    has_more: bool
    last_key: str


def find_last_key(entries: Sequence[object]) -> str:
    r"""Returns the last key on a page that can be sent; empty if it has none.

    Example:
        >>> find_last_key([{"key": "a"}, {"key": "b\n"}, {"key": "\ud800"}, 5])
        'b\n'
    """
    for entry in reversed(entries):
        key = entry.get("key") if isinstance(entry, dict) else None
        # Lone surrogates are not the same afterwards.
        if (
            isinstance(key, str)
            and key.encode(errors="replace").decode() == key
        ):
            return key
    return ""


async def read_listing(
    fetch_page: Callable[[str], Awaitable[Page]],
) -> ports.Listing:
    """Reads all pages.

    They are not read from one snapshot, so the listing states the positions of
    its first and its last page.

    Args:
        fetch_page: Fetches the page that begins after a key; the first page for
            an empty key.

    Raises:
        errors.HistoryDiscardedError: The store continued from an older copy
            between two pages.
        errors.KeyValueOutcomeUnknownError: The listing is too long, takes too
            long, or has a page without keys before its last page.
    """
    try:
        async with asyncio.timeout(_MAX_LISTING_S):
            return await _read_pages(fetch_page)
    except TimeoutError as error:
        raise errors.KeyValueOutcomeUnknownError(
            f"expected the last page of a listing within {_MAX_LISTING_S} s, "
            "found none"
        ) from error


async def _read_pages(
    fetch_page: Callable[[str], Awaitable[Page]],
) -> ports.Listing:
    page = await fetch_page("")
    items, position = list(page.items), page.position
    size_bytes = _measure(page)
    while page.has_more:
        if not page.last_key:
            raise errors.KeyValueOutcomeUnknownError(
                "expected keys on a page before the last, found none"
            )
        page = await fetch_page(page.last_key)
        if page.position.era != position.era:
            raise errors.HistoryDiscardedError(
                f"expected all pages from era {position.era} of the store, "
                f"found one from era {page.position.era}"
            )
        items.extend(page.items)
        size_bytes += _measure(page)
        if size_bytes > _MAX_LISTING_BYTES:
            raise errors.KeyValueOutcomeUnknownError(
                f"expected a listing of at most {_MAX_LISTING_BYTES} bytes, "
                "found more"
            )
    return ports.Listing(tuple(items), position, page.position)


def _measure(page: Page) -> int:
    """Returns about how many bytes of memory the items of a page take."""
    return sum(
        _ITEM_BYTES + len(item.key) + len(item.value or b"")
        for item in page.items
    )
