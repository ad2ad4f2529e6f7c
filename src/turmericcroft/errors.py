"""Exceptions of this package.

Each message states what was expected and what was found instead and, where a
user can act on it, what to do.
"""

import dataclasses
import enum
from collections.abc import Sequence


class Ran(enum.Enum):
    """Whether a refused request was executed.

    Attributes:
        NO: No backend server executed the request.
        UNKNOWN: The request may have been executed, wholly or in part.
    """

    NO = "no"
    UNKNOWN = "unknown"


# What decoding a malformed value of another writer may raise: nested too deep,
# fields that are missing or of another type, numbers out of range.
DECODING_FAULTS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class TurmericcroftError(Exception):
    """Base class of all errors that this package raises."""


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault in an input.

    Attributes:
        location: Where it is, such as a settings path or a row and column.
        expected: Description of a valid value.
        found: The value found, or a description of it.
    """

    location: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.location}: expected {self.expected}, found {self.found}"


class FaultyInputError(TurmericcroftError):
    """An input is invalid and was rejected as a whole.

    Attributes:
        faults: All faults found, in the order of the input.
    """

    def __init__(self, subject: str, faults: Sequence[Fault]) -> None:
        self.faults = tuple(faults)
        lines = "\n".join(f"  {fault}" for fault in self.faults)
        super().__init__(f"{subject}: {len(self.faults)} fault(s)\n{lines}")


class SettingsError(FaultyInputError):
    """The settings file is missing or invalid."""


class SheetError(FaultyInputError):
    """The sheet or its corrections are invalid."""


class ChartError(TurmericcroftError):
    """A state chart received an event that its state has no transition for."""


class MergeConflictError(TurmericcroftError):
    """Two operators changed the same field to different values.

    Attributes:
        conflicts: One line for each conflicting field.
    """

    def __init__(self, conflicts: Sequence[str]) -> None:
        self.conflicts = tuple(conflicts)
        lines = "\n".join(f"  {line}" for line in self.conflicts)
        super().__init__(
            "the configuration in force changed the same fields; "
            f"plan again on the newest number:\n{lines}"
        )


class PlatformError(TurmericcroftError):
    """A call to a service of the platform failed."""


class KeyValueUnavailableError(PlatformError):
    """The key-value service was unavailable; the call was not applied."""


class KeyValueOutcomeUnknownError(PlatformError):
    """No valid answer arrived; the call may or may not have been applied."""


class HistoryDiscardedError(PlatformError):
    """The key-value service has discarded the requested changes."""


class BackendError(TurmericcroftError):
    """A backend server failed to answer a request."""


class BackendNotReachedError(BackendError):
    """No byte of the request was sent; sending it elsewhere is safe."""


class BackendRefusedError(BackendError):
    """The backend server refused the request and did not execute it.

    Attributes:
        status: HTTP status of the refusal.
    """

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class BackendLostError(BackendError):
    """The connection ended after sending, before the answer was complete."""


class StreamCorruptedError(BackendError):
    """A stream skipped or repeated a position, or an event is malformed."""


class MeshError(TurmericcroftError):
    """Another daemon was unreachable or did not answer in time."""


class MeshTimeoutError(MeshError):
    """Another daemon did not answer in time; it may still run."""


class Refusal(TurmericcroftError):  # noqa: N818 - it is sent as an answer
    """A refusal of a caller's request, sent as an HTTP error.

    Attributes:
        status: HTTP status.
        code: Stable machine-readable reason.
        error_type: The OpenAI error type.
        ran: Whether the request may have been executed.
        retry_after_s: Time after which the caller may retry; None if a retry
            doesn't help.
    """

    status = 503
    code = "unavailable"
    error_type = "server_error"
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
    error_type = "invalid_request_error"


class AuthenticationRefusal(Refusal):
    """The API key is missing or unknown."""

    status = 401
    code = "invalid_api_key"
    error_type = "authentication_error"


class UnknownModelRefusal(Refusal):
    """The model or service is unknown, or the account may not use it."""

    status = 404
    code = "model_not_found"
    error_type = "invalid_request_error"


class UnknownAnswerRefusal(Refusal):
    """No reachable daemon holds the answer."""

    status = 404
    code = "answer_not_found"
    error_type = "invalid_request_error"
    ran = Ran.UNKNOWN


class UnreachableAnswerRefusal(Refusal):
    """A daemon that may hold the answer does not reply now."""

    code = "answer_unreachable"
    ran = Ran.UNKNOWN


class BodyTooLargeRefusal(Refusal):
    """The request body exceeds the configured limit."""

    status = 413
    code = "body_too_large"
    error_type = "invalid_request_error"


class IdempotencyMismatchRefusal(Refusal):
    """The idempotency key was used before with a different body."""

    status = 422
    code = "idempotency_key_reused"
    error_type = "invalid_request_error"


class RateLimitedRefusal(Refusal):
    """The account exceeds its own rate limit."""

    status = 429
    code = "rate_limited"
    error_type = "rate_limit_error"


class FairShareRefusal(Refusal):
    """Servers are contended and the account exceeds its fair share."""

    status = 429
    code = "over_fair_share"
    error_type = "rate_limit_error"


class OverloadedRefusal(Refusal):
    """The latency target can't be met under the current load."""

    code = "overloaded"


class NoServerRefusal(Refusal):
    """No backend server of the deployment is reachable."""

    code = "no_server"


class QuarantinedRefusal(Refusal):
    """Earlier executions of the same request crashed backend servers."""

    status = 422
    code = "quarantined"
    error_type = "invalid_request_error"


class QuarantinedAfterRunRefusal(QuarantinedRefusal):
    """Executions of this request itself crashed backend servers."""

    ran = Ran.UNKNOWN


class LedgerUnavailableRefusal(Refusal):
    """The request cannot be recorded, so it was not sent."""

    code = "ledger_unavailable"


class StoppingRefusal(Refusal):
    """This daemon is stopping; another one accepts new requests."""

    code = "stopping"


class AnswerMovedRefusal(StoppingRefusal):
    """This daemon is stopping; another one goes on with the answer."""

    ran = Ran.UNKNOWN


class OutcomeUnknownRefusal(Refusal):
    """The request may have been executed and is not retried."""

    status = 409
    code = "outcome_unknown"
    ran = Ran.UNKNOWN


class AnswerLostRefusal(Refusal):
    """A model request was aborted after its execution had started."""

    status = 502
    code = "answer_lost"
    ran = Ran.UNKNOWN
