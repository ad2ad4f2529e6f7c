"""Builders for the parts of a declaration, in the form the store holds."""

import typing

JsonObject = dict[str, typing.Any]


def route(name: str, service: str, kind: str, **changes: object) -> JsonObject:
    """Builds a route whose path is its name.

    Args:
        name: Name and path of the route.
        service: The service that handles its requests.
        kind: ``idempotent``, ``non_idempotent`` or ``streaming``; it decides
            which requests may be retried.
        **changes: Fields to add or to replace.
    """
    fields: JsonObject = {
        "name": name,
        "host": "app.example",
        "pathPrefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeoutMs": 3_000,
        "targetLatencyMs": 200,
        "priority": 1,
        "maxAttempts": 2,
    }
    return fields | changes


def engines(name: str) -> JsonObject:
    """Builds a service whose engines migrate KV caches."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "inferenceEngine": {
            "slots": 8,
            "kvCacheTokens": 100_000,
            "migrations": True,
        },
    }


def services() -> list[JsonObject]:
    """Builds a plain service and one of engines."""
    return [{"name": "plain", "healthPath": "/healthz"}, engines("engines")]
