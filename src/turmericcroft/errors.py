"""The exception tree.

Every message says what was expected, what came, and what to do about it.
"""

import dataclasses
import enum
from collections.abc import Sequence


class Ran(enum.Enum):
    """What a caller may conclude about a request that was refused.

    Attributes:
        NO: The request did not run on any backend server.
        UNKNOWN: The request may have run, wholly or in part.
    """

    NO = "no"
    UNKNOWN = "unknown"


class TurmericcroftError(Exception):
    """Base of all errors that this package raises."""


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault found in an input.

    Attributes:
        place: Where it is, such as a settings path or a row and column.
        expected: What the place should hold.
        found: What it holds.
    """

    place: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.place}: expected {self.expected}, found {self.found}"


class FaultyInputError(TurmericcroftError):
    """An input was rejected as a whole.

    Attributes:
        faults: Every fault found, in input order.
    """

    def __init__(self, subject: str, faults: Sequence[Fault]) -> None:
        self.faults = tuple(faults)
        lines = "\n".join(f"  {fault}" for fault in self.faults)
        super().__init__(f"{subject}: {len(self.faults)} fault(s)\n{lines}")


class SettingsError(FaultyInputError):
    """The settings file cannot be used."""


class SheetError(FaultyInputError):
    """The sheet or its corrections cannot be used."""


class ChartError(TurmericcroftError):
    """An event arrived in a state that has no transition for it."""


class MergeConflictError(TurmericcroftError):
    """Two operators changed the same field to different values.

    Attributes:
        conflicts: One line for each field in conflict.
    """

    def __init__(self, conflicts: Sequence[str]) -> None:
        self.conflicts = tuple(conflicts)
        lines = "\n".join(f"  {line}" for line in self.conflicts)
        super().__init__(
            "the configuration in force changed the same fields; "
            f"plan again on the newest number:\n{lines}"
        )


class PlatformError(TurmericcroftError):
    """A service of the platform did not do what was asked."""


class KeyValueUnavailableError(PlatformError):
    """The key-value service could not be reached; nothing was applied."""


class KeyValueOutcomeUnknownError(PlatformError):
    """The answer was lost; the request may or may not have been applied."""


class HistoryGoneError(PlatformError):
    """The key-value service no longer knows the changes asked for."""


class BackendError(TurmericcroftError):
    """A backend server failed to answer a request."""


class BackendNotReachedError(BackendError):
    """No byte of the request was sent; it is safe to send elsewhere."""


class BackendRefusedError(BackendError):
    """The backend server refused the request before running it.

    Attributes:
        status: HTTP status of the refusal.
    """

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class BackendLostError(BackendError):
    """The connection ended after the request was sent."""


class StreamGarbledError(BackendError):
    """A stream skipped, repeated or damaged a token position."""


class MeshError(TurmericcroftError):
    """A peer daemon could not be reached or did not answer in time."""


class Refusal(TurmericcroftError):  # noqa: N818 - a refusal is an answer
    """An honest refusal of a caller's request.

    Attributes:
        status: HTTP status.
        code: Stable machine-readable reason.
        kind: The OpenAI error type.
        ran: Whether the request may have run.
        retry_after_s: When the caller may try again, if it helps.
    """

    status = 503
    code = "unavailable"
    kind = "server_error"
    ran = Ran.NO

    def __init__(
        self, message: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class InvalidRequestRefusal(Refusal):
    """The request is malformed."""

    status = 400
    code = "invalid_request"
    kind = "invalid_request_error"


class AuthenticationRefusal(Refusal):
    """The API key is missing or unknown."""

    status = 401
    code = "invalid_api_key"
    kind = "authentication_error"


class UnknownModelRefusal(Refusal):
    """No such model or service, or the account has no right to it."""

    status = 404
    code = "model_not_found"
    kind = "invalid_request_error"


class UnknownAnswerRefusal(Refusal):
    """No daemon that could be asked holds the answer."""

    status = 404
    code = "answer_not_found"
    kind = "invalid_request_error"
    ran = Ran.UNKNOWN


class BodyTooLargeRefusal(Refusal):
    """The request body is over the declared limit."""

    status = 413
    code = "body_too_large"
    kind = "invalid_request_error"


class IdempotencyMismatchRefusal(Refusal):
    """The idempotency key was used before with another body."""

    status = 422
    code = "idempotency_key_reused"
    kind = "invalid_request_error"


class RateLimitedRefusal(Refusal):
    """The account is over its own limit."""

    status = 429
    code = "rate_limited"
    kind = "rate_limit_error"


class FairShareRefusal(Refusal):
    """Servers are contended and the account is over its share of them."""

    status = 429
    code = "over_fair_share"
    kind = "rate_limit_error"


class OverloadedRefusal(Refusal):
    """The latency target cannot be met now."""

    code = "overloaded"


class NoServerRefusal(Refusal):
    """No backend server that runs the deployment can be reached."""

    code = "no_server"


class QuarantinedRefusal(Refusal):
    """Earlier runs of the same request crashed backend servers."""

    status = 422
    code = "quarantined"
    kind = "invalid_request_error"


class QuarantinedAfterRunRefusal(QuarantinedRefusal):
    """The request itself crashed backend servers."""

    ran = Ran.UNKNOWN


class LedgerUnavailableRefusal(Refusal):
    """The request cannot be recorded, so it was not sent."""

    code = "ledger_unavailable"


class StoppingRefusal(Refusal):
    """This daemon takes no new work; another one will."""

    code = "stopping"


class OutcomeUnknownRefusal(Refusal):
    """The request may have run and will not be sent again."""

    status = 409
    code = "outcome_unknown"
    ran = Ran.UNKNOWN


class AnswerLostRefusal(Refusal):
    """A model request was given up after it had started."""

    status = 502
    code = "answer_lost"
    ran = Ran.UNKNOWN
