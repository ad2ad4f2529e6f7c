"""Contents of requests and responses, independent of the platform's headers.

The gateway works with these classes; a Dialect translates between them and the
headers and calls that the platform's clients and servers use.
"""

import dataclasses
import typing
from collections.abc import Mapping
from collections.abc import Sequence

Header = tuple[bytes, bytes]


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """One part of a prompt.

    Attributes:
        content_id: Identifies the part's content.
        tokens: Length of the part.
    """

    content_id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Generation:
    """Generation that a request asks a model engine for.

    Attributes:
        model: Name of the model.
        prompt_tokens: Length of the prompt.
        max_output_tokens: Most tokens to generate.
        parts: Parts of the prompt in order; the last one is not shared with
            other requests.
        expected_output_tokens: The client's estimate of the output length; 0 if
            there is none.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    expected_output_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class RequestFacts:
    """Information from the headers of a client's request.

    Attributes:
        request_id: The request id that the client sent; empty if there is none.
            A client's retry counts as another request with its own id.
        deadline_s: How long the client waits; None if it is not stated.
        api_key: The client's API key; None if there is none.
        generation: The generation to perform; None if the request is not for a
            model engine.
        resume_after: Position of the last event that the client received; None
            if it does not resume a stream.
        resumed_request: Id of the request that brought the first event of the
            resumed stream; None if it is not stated.
        fault: Why the headers are invalid; empty if they are valid.
    """

    request_id: str
    deadline_s: float | None
    api_key: str | None
    generation: Generation | None
    resume_after: int | None
    resumed_request: str | None = None
    fault: str = ""


@dataclasses.dataclass(frozen=True)
class AttemptContext:
    """Information that the gateway adds to one attempt of a request.

    Attributes:
        server: Name of the server that the attempt is meant for.
        account: The client account; None without accounts.
        remaining_s: Time left until the deadline; None without a deadline.
        priority: Priority at the server; 0 is the most urgent, 9 the least.
        resume_after: Position of the last event that the client received; None
            to start from the beginning.
        kv_cache_source: Where the server fetches the KV cache of a migrated
            execution; None if the execution was not migrated.
        fetch_prefix_from: Address of a server from which to copy the cached
            prompt prefix; None if it is not copied.
        weights_version: Version of the model's weights that the server must
            have; None for any.
    """

    server: str
    account: str | None
    remaining_s: float | None
    priority: int
    resume_after: int | None = None
    kv_cache_source: str | None = None
    fetch_prefix_from: str | None = None
    weights_version: int | None = None


@dataclasses.dataclass(frozen=True)
class ServerLoad:
    """Load that a server reports in a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait for a slot.
        slots: Requests that it runs at once.
        slowdown: Factor by which work takes longer on its VM now than usual; 0
            if it states none.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 0.0


@dataclasses.dataclass(frozen=True)
class ResponseFacts:
    """Information from the headers of a server's response.

    Attributes:
        request_id: Id of the request that it belongs to; empty if not stated.
        signed: Whether it has a server's signature.
        proves_not_run: Whether it states that the server did not execute the
            request.
        is_event_stream: Whether the body is a stream of events.
        load: The server's load; None if not stated.
        idle_timeout_s: How long the server keeps an idle connection; None if
            not stated.
        retry_after_s: Delay after which to retry; None if not stated.
        leaving: Whether it states that the server leaves.
        limit_per_s: Requests per second that the server takes from all daemons
            together for now; None if it states no limit.
        max_refusals_per_s: Requests that the server may turn away in a second
            before it ends; None if it is not brittle.
        server_name: Id of the server; empty if not stated.
    """

    request_id: str
    signed: bool
    proves_not_run: bool
    is_event_stream: bool
    load: ServerLoad | None
    idle_timeout_s: float | None
    retry_after_s: float | None
    leaving: bool = False
    limit_per_s: float | None = None
    max_refusals_per_s: float | None = None
    server_name: str = ""


@dataclasses.dataclass(frozen=True)
class MigrationResponse:
    """Response of an engine to a request to copy an execution's KV cache.

    Attributes:
        handle: Identifies the copy; empty if there is none.
        events: Number of events that the execution has generated so far.
    """

    handle: str
    events: int


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """What an engine reports of itself.

    Attributes:
        started_at_ms: Start of its process, in Unix milliseconds; None if not
            stated.
        time_left_s: How long it stays; None if not stated.
        events: Events made so far, by the id of each execution.
    """

    started_at_ms: int | None = None
    time_left_s: float | None = None
    events: Mapping[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class CachedPart:
    """A prompt part that an engine reports to have in its cache."""

    model: str
    content_id: str
    tokens: int


class Dialect(typing.Protocol):
    """Translates between facts and the platform's headers and calls.

    Attributes:
        weights_version_field: Name, in lower case, of the header of a response
            that states the version of the model's weights, and of the first
            line of an event at which that changes.
    """

    weights_version_field: bytes

    def read_request(self, headers: Sequence[Header]) -> RequestFacts:
        """Reads the headers of a client's request."""

    def request_headers(
        self, headers: Sequence[Header], context: AttemptContext
    ) -> list[Header]:
        """Builds the headers to send to a server, without body framing."""

    def read_response(
        self, status: int, headers: Sequence[Header]
    ) -> ResponseFacts:
        """Reads the headers of a server's response."""

    def response_headers(self, headers: Sequence[Header]) -> list[Header]:
        """Builds the headers to send to a client, without body framing."""

    def request_id_header(self, request_id: str) -> Header:
        """Builds the response header that states the request id."""

    def migration_request(
        self, request_id: str, target: str, final: bool
    ) -> tuple[bytes, bytes, bytes]:
        """Builds method, path and body of a KV cache migration call."""

    def read_migration_response(self, body: bytes) -> MigrationResponse:
        """Reads the response to a KV cache migration call."""

    def report_request(self) -> tuple[bytes, bytes]:
        """Builds method and path of a call that reports an engine's state."""

    def read_report(self, body: bytes) -> EngineReport:
        """Reads the report of an engine's state; empty if malformed."""

    def cache_list_request(self) -> tuple[bytes, bytes]:
        """Builds method and path of a call that lists all cached parts."""

    def read_cache_list(self, body: bytes) -> tuple[CachedPart, ...]:
        """Reads the list of cached parts; empty if it is malformed."""

    def kv_cache_source(self, address: str, handle: str) -> str:
        """Builds the location from which a copied KV cache is fetched."""
