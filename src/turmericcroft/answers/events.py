"""Server-sent events of an answer, kept as raw bytes with exact positions.

Every event of an answer carries an ``id:`` line with its position, counted
from 1. The relay checks that positions rise by one and passes bytes on; it
parses their JSON only to resume or to assemble a whole answer.
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


class EventBuffer:
    """All events of one answer so far.

    Attributes:
        parts: Complete events as they came, in order, without gaps or
            repeats. They are joined only when they are asked for: one growing
            buffer a stream would be copied over and over.
        position: Position of the last complete event.
        finished: Whether the terminating event has come.
    """

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.position = 0
        self.finished = False
        self._pending = b""

    def feed(self, chunk: bytes) -> bytes:
        r"""Takes in bytes from a backend server.

        Args:
            chunk: Bytes as they arrived, cut anywhere.

        Returns:
            The complete events that the bytes complete; may be empty.

        Raises:
            errors.StreamCorruptedError: A position is missing, repeated or
                unreadable; nothing of the chunk was taken in.

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
            self._keep_pending(pending)
            return b""
        complete = pending[: cut + len(_SEPARATOR)]
        if (
            pending.find(_SEPARATOR) == cut
            and not self.finished
            and (complete.startswith(b"id: %d\ndata: " % (self.position + 1)))
        ):
            self.position += 1
        else:
            self._check(complete)
        if len(complete) == len(pending):
            self._pending = b""
        else:
            self._keep_pending(pending[len(complete) :])
        self.parts.append(complete)
        return complete

    @property
    def data(self) -> bytes:
        """All complete events."""
        if len(self.parts) > 1:
            self.parts = [b"".join(self.parts)]
        return self.parts[0] if self.parts else b""

    def drop_pending(self) -> None:
        """Forgets an incomplete event of a server that was lost."""
        self._pending = b""

    def after(self, position: int) -> bytes:
        """Returns the events that follow a position.

        Raises:
            errors.InvalidRequestRefusal: The position was never given out.
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
        """Parses the text of each token event."""
        return [text for text in map(event_text, self.payloads()) if text]

    def payloads(self) -> list[dict[str, typing.Any]]:
        """Parses the JSON of every event."""
        return [
            json.loads(match.group(2)) for match in _EVENT.finditer(self.data)
        ]

    def _check(self, complete: bytes) -> None:
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

    def _keep_pending(self, pending: bytes) -> None:
        if len(pending) > _MAX_PENDING_BYTES:
            raise errors.StreamCorruptedError(
                f"expected events of at most {_MAX_PENDING_BYTES} bytes, "
                f"found {len(pending)}"
            )
        self._pending = pending


def event_text(payload: dict[str, typing.Any]) -> str:
    """Extracts the text of a completion or chat completion event.

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
    """Builds the whole answer from the events of a stream.

    Args:
        payloads: JSON of every event, in order.
        chat: Whether it is a chat completion.

    Returns:
        The body of a non-streaming OpenAI answer.
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
    whole = {
        key: value
        for key, value in payloads[0].items()
        if key in ("id", "created", "model")
    }
    usages = [payload["usage"] for payload in payloads if payload.get("usage")]
    return whole | {
        "object": "chat.completion" if chat else "text_completion",
        "choices": [choice],
        "usage": usages[-1] if usages else None,
    }
