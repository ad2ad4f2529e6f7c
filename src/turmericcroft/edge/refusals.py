"""JSON form of refusals, in the shape of OpenAI errors."""

import json
import math
import typing

from turmericcroft import errors


def body(refusal: errors.Refusal, request_id: str) -> dict[str, typing.Any]:
    """Builds the JSON body of a refusal.

    Example:
        >>> body(errors.RateLimitedRefusal("slow down"), "r1")["error"]["ran"]
        'no'
    """
    return {
        "error": {
            "message": str(refusal),
            "type": refusal.kind,
            "code": refusal.code,
            "param": None,
            "ran": refusal.ran.value,
            "request_id": request_id,
        }
    }


def headers(refusal: errors.Refusal, request_id: str) -> dict[str, str]:
    """Builds the headers of a refusal."""
    found = {"X-Request-Id": request_id}
    if refusal.retry_after_s is not None:
        found["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return found


def event(refusal: errors.Refusal, request_id: str) -> bytes:
    """Builds the server-sent event that ends a broken stream."""
    data = json.dumps(body(refusal, request_id), separators=(",", ":"))
    return f"event: error\ndata: {data}\n\n".encode()
