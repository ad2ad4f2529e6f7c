"""Ids of the requests that were sent on a connection."""

import collections

# Late responses come within a few requests.
_MAX_IDS = 64


class SentIds:
    """Tells whether a late response could be taken for that to a request.

    The id of a response identifies its request, but not which sending of it.
    """

    def __init__(self) -> None:
        self._ids: collections.deque[str] = collections.deque(maxlen=_MAX_IDS)
        self._has_call = False

    def add(self, request_id: str) -> None:
        """Adds a sending; the id is empty for a call."""
        self._ids.append(request_id)
        self._has_call |= not request_id

    def __contains__(self, request_id: str) -> bool:
        """Whether the id was sent; calls, without one, are not forgotten.

        Example:
            >>> ids = SentIds()
            >>> ids.add("")
            >>> for number in range(100):
            ...     ids.add(f"r{number}")
            >>> "" in ids, "r99" in ids, "r1" in ids
            (True, True, False)
        """
        if not request_id:
            return self._has_call
        return request_id in self._ids
