"""What a request, a send and an answer say, free of header names."""

import dataclasses
import typing
from collections.abc import Sequence

Header = tuple[bytes, bytes]


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, in the order of the prompt.

    Attributes:
        content_id: Identifies the part's content.
        tokens: Its length.
    """

    content_id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Generation:
    """What a request asks of a model engine.

    Attributes:
        model: Name of the model.
        prompt_tokens: Length of the prompt.
        max_output_tokens: Most tokens to make.
        parts: Parts of the prompt; the last one is this request's own.
        expected_output_tokens: The client's estimate; 0 if there is none.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    expected_output_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class RequestFacts:
    """What the headers of a client's request say.

    Attributes:
        request_id: The client's id of this attempt; empty if there is none.
        deadline_s: How long the client waits; None if it does not say.
        api_key: The client's key; None if there is none.
        generation: What is asked of a model engine, if anything.
        resume_after: Last event that the client has; None if not resuming.
        fault: What is wrong with the headers; empty if nothing.
    """

    request_id: str
    deadline_s: float | None
    api_key: str | None
    generation: Generation | None
    resume_after: int | None
    fault: str = ""


@dataclasses.dataclass(frozen=True)
class AttemptContext:
    """What the gateway adds to a request that it sends on.

    Attributes:
        server: Name of the server that is meant.
        account: The client account; None without accounts.
        remaining_s: Time that is left; None if it is not bounded.
        priority: Rank at the server, 0 to 9.
        resume_after: Last event that the client has; None to start anew.
        kv_cache_source: Where the run's memory can be fetched, if it was moved.
        fetch_prefix_from: Address of a server that holds the prompt's head.
    """

    server: str
    account: str | None
    remaining_s: float | None
    priority: int
    resume_after: int | None = None
    kv_cache_source: str | None = None
    fetch_prefix_from: str | None = None


@dataclasses.dataclass(frozen=True)
class ServerLoad:
    """Load that a server states of itself."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class ResponseFacts:
    """What the headers of a server's answer say.

    Attributes:
        request_id: Id of the request that it answers; empty if none.
        signed: Whether it bears a server's signature.
        proves_not_run: Whether it states that the request did not run.
        is_event_stream: Whether the body is a stream of events.
        load: The server's load, if stated.
        idle_timeout_s: How long the server keeps the connection idle.
        retry_after_s: When to come back, if stated.
    """

    request_id: str
    signed: bool
    proves_not_run: bool
    is_event_stream: bool
    load: ServerLoad | None
    idle_timeout_s: float | None
    retry_after_s: float | None


@dataclasses.dataclass(frozen=True)
class MigrationResponse:
    """Answer of an engine that was told to copy a run's memory.

    Attributes:
        handle: Names the copy; empty if there is none.
        events: Events that the run has made so far.
    """

    handle: str
    events: int


@dataclasses.dataclass(frozen=True)
class CachedPart:
    """A part of prompts that an engine says that it holds."""

    model: str
    content_id: str
    tokens: int


class Dialect(typing.Protocol):
    """Header names and calls that clients and servers speak."""

    def read_request(self, headers: Sequence[Header]) -> RequestFacts:
        """Reads the headers of a client's request."""

    def request_headers(
        self, headers: Sequence[Header], context: AttemptContext
    ) -> list[Header]:
        """Makes the headers to send to a server, without the framing."""

    def read_response(
        self, status: int, headers: Sequence[Header]
    ) -> ResponseFacts:
        """Reads the headers of a server's answer."""

    def response_headers(self, headers: Sequence[Header]) -> list[Header]:
        """Makes the headers to send to a client, without the framing."""

    def request_id_header(self, request_id: str) -> Header:
        """Makes the header that names the request in an answer."""

    def migration_request(
        self, request_id: str, target: str, final: bool
    ) -> tuple[bytes, bytes, bytes]:
        """Makes method, path and body of an order to copy a run's memory."""

    def read_migration_response(self, body: bytes) -> MigrationResponse:
        """Reads the answer to such an order."""

    def report_request(self) -> tuple[bytes, bytes]:
        """Makes method and path of a question for an engine's state."""

    def read_time_left(self, body: bytes) -> float | None:
        """Reads from the answer how long the engine stays, if it knows."""

    def cache_list_request(self) -> tuple[bytes, bytes]:
        """Makes method and path of a question for all cached parts."""

    def read_cache_list(self, body: bytes) -> tuple[CachedPart, ...]:
        """Reads the answer; empty if it cannot be read."""

    def kv_cache_source(self, address: str, handle: str) -> str:
        """Names the place that a moved run's memory is fetched from."""
