"""Conversion of refusals to HTTP responses in the format of OpenAI errors."""

import json
import math
import typing

from sanic import exceptions as sanic_errors

from turmericcroft import errors

_FIRST_SERVER_ERROR_STATUS = 500


def body(refusal: errors.Refusal, request_id: str) -> dict[str, typing.Any]:
    """Builds the JSON body of a refusal.

    Example:
        >>> body(errors.RateLimitedRefusal("slow down"), "r1")["error"]["ran"]
        'no'
    """
    return {
        "error": {
            "message": str(refusal),
            "type": refusal.error_type,
            "code": refusal.code,
            "param": None,
            "ran": refusal.ran.value,
            "request_id": request_id,
        }
    }


def headers(refusal: errors.Refusal, request_id: str) -> dict[str, str]:
    """Builds the headers of a refusal."""
    values = {"X-Request-Id": request_id}
    if refusal.retry_after_s is not None:
        values["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return values


def error_event(refusal: errors.Refusal, request_id: str) -> bytes:
    """Builds the server-sent event that ends a stream with an error."""
    data = json.dumps(body(refusal, request_id), separators=(",", ":"))
    return f"event: error\ndata: {data}\n\n".encode()


class _InternalRefusal(errors.Refusal):
    status = 500
    code = "internal_error"
    ran = errors.Ran.UNKNOWN


class _HttpRefusal(errors.Refusal):
    error_type = "invalid_request_error"
    code = "invalid_request"


def from_error(error: Exception) -> errors.Refusal:
    """Converts an error to the refusal that the caller gets.

    An unexpected error may occur after the request ran, so its refusal leaves
    open whether it did.
    """
    match error:
        case errors.Refusal():
            return error
        case sanic_errors.PayloadTooLarge():
            return errors.BodyTooLargeRefusal(
                "expected a smaller body, found one over the limit"
            )
        case sanic_errors.SanicException(status_code=int(status)) if (
            status < _FIRST_SERVER_ERROR_STATUS
        ):
            refusal = _HttpRefusal(str(error))
            refusal.status = status
            return refusal
        case _:
            return _InternalRefusal("expected to handle this request")
