"""Server-sent events of an answer, stored as raw bytes.

Every event except the terminating one has an ``id:`` line with its position,
counted from 1. Positions are checked for gaps and repeats, and the bytes are
forwarded unparsed. The JSON is parsed only to resume a stream on another
server or to assemble a complete response.
"""

import json
import re
import typing

from turmericcroft import errors

DONE = b"data: [DONE]\n\n"
_SEPARATOR = b"\n\n"
_EVENT_ID = re.compile(rb"(?:\A|\n\n)id: (\d{1,12})\ndata: ")
_EVENT = re.compile(rb"(?:\A|(?<=\n\n))id: (\d{1,12})\ndata: (.*)\n\n")
_MAX_PENDING_BYTES = 1_048_576
# Longest answer; all its events are kept until its callers have them.
_MAX_ANSWER_BYTES = 16_777_216


class EventBuffer:
    """All events that one answer has received so far.

    Attributes:
        parts: Complete events as they arrived, in order, without gaps or
            repeats. They are joined only when ``data`` is read, because
            appending to one growing buffer would copy it for each chunk.
        position: Position of the last complete event.
        finished: Whether the terminating event has arrived.
    """

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.position = 0
        self.finished = False
        self._pending = b""
        self._size = 0

    def feed(self, chunk: bytes) -> bytes:
        r"""Appends bytes received from a backend server.

        Args:
            chunk: Bytes as they arrived; an event may span several chunks.

        Returns:
            The events that are complete with this chunk; may be empty.

        Raises:
            errors.StreamCorruptedError: A position is missing, repeated or
                unreadable, in which case no event of the chunk was added;
                or an event or the answer is too long.

        Example:
            >>> buffer = EventBuffer()
            >>> buffer.feed(b"id: 1\ndata: {}\n\nid: 2")
            b'id: 1\ndata: {}\n\n'
            >>> buffer.position
            1
        """
        pending = self._pending + chunk if self._pending else chunk
        cut = pending.rfind(_SEPARATOR)
        if cut < 0:
            _check_length(pending)
            self._pending = pending
            return b""
        complete = pending[: cut + len(_SEPARATOR)]
        rest = pending[len(complete) :]
        if rest:
            # Before the events before it are counted as received.
            _check_length(rest)
        size = self._size + len(complete)
        if size > _MAX_ANSWER_BYTES:
            raise errors.StreamCorruptedError(
                f"expected an answer of at most {_MAX_ANSWER_BYTES} bytes, "
                f"found {size}"
            )
        if (
            pending.find(_SEPARATOR) == cut
            and not self.finished
            and (complete.startswith(b"id: %d\ndata: " % (self.position + 1)))
        ):
            self.position += 1
        else:
            self._check_and_advance(complete)
        self._size = size
        self._pending = rest
        self.parts.append(complete)
        return complete

    @property
    def data(self) -> bytes:
        """All complete events."""
        if len(self.parts) > 1:
            self.parts = [b"".join(self.parts)]
        return self.parts[0] if self.parts else b""

    def drop_pending(self) -> None:
        """Discards the incomplete event of a server that was lost."""
        self._pending = b""

    def after(self, position: int) -> bytes:
        """Returns the events that follow a position.

        Raises:
            errors.InvalidRequestRefusal: The position is greater than that
                of the last event.
        """
        if position <= 0:
            return self.data
        if position >= self.position:
            if position > self.position:
                raise errors.InvalidRequestRefusal(
                    f"Last-Event-ID: expected at most {self.position}, "
                    f"found {position}"
                )
            return DONE if self.finished else b""
        marker = b"id: %d\ndata: " % (position + 1)
        return self.data[self.data.index(marker) :]

    def texts(self) -> list[str]:
        """Returns the text of each event that has any."""
        return [text for text in map(event_text, self.payloads()) if text]

    def payloads(self) -> list[dict[str, typing.Any]]:
        """Parses the JSON of every event but the terminating one."""
        return [
            json.loads(match.group(2)) for match in _EVENT.finditer(self.data)
        ]

    def _check_and_advance(self, complete: bytes) -> None:
        body = complete
        finished = complete.endswith(DONE)
        if finished:
            body = complete[: -len(DONE)]
        ids = _EVENT_ID.findall(body)
        expected = self.position + 1
        last = expected + len(ids) - 1
        if (
            self.finished
            or len(ids) != body.count(_SEPARATOR)
            or any(int(raw) != expected + i for i, raw in enumerate(ids))
        ):
            raise errors.StreamCorruptedError(
                f"expected events from position {expected} on, "
                f"found positions {[int(raw) for raw in ids[:8]]}"
            )
        self.position = last
        self.finished = finished


def _check_length(pending: bytes) -> None:
    """Raises errors.StreamCorruptedError if an event is too long."""
    if len(pending) > _MAX_PENDING_BYTES:
        raise errors.StreamCorruptedError(
            f"expected events of at most {_MAX_PENDING_BYTES} bytes, "
            f"found {len(pending)}"
        )


def event_text(payload: dict[str, typing.Any]) -> str:
    """Returns the text of a completion or chat completion event.

    Example:
        >>> event_text({"choices": [{"delta": {"content": "lane"}}]})
        'lane'
    """
    choices = payload.get("choices") or [{}]
    choice = choices[0]
    if "text" in choice:
        return str(choice["text"])
    return str((choice.get("delta") or {}).get("content") or "")


def assemble(
    payloads: list[dict[str, typing.Any]], chat: bool
) -> dict[str, typing.Any]:
    """Builds a complete response from the events of a stream.

    Args:
        payloads: JSON of every event, in order.
        chat: Whether it is a chat completion.

    Returns:
        The JSON body of a non-streaming OpenAI response.
    """
    text = "".join(map(event_text, payloads))
    reasons = [
        payload["choices"][0].get("finish_reason")
        for payload in payloads
        if payload.get("choices")
    ]
    choice: dict[str, typing.Any] = {
        "index": 0,
        "finish_reason": next((r for r in reversed(reasons) if r), None),
    }
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    common = {
        key: value
        for key, value in payloads[0].items()
        if key in ("id", "created", "model")
    }
    usages = [payload["usage"] for payload in payloads if payload.get("usage")]
    return common | {
        "object": "chat.completion" if chat else "text_completion",
        "choices": [choice],
        "usage": usages[-1] if usages else None,
    }
