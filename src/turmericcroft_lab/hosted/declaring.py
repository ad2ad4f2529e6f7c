"""Declarations as the platform's store holds them, for the stand-ins."""

import typing

JsonObject = dict[str, typing.Any]


def route(name: str, service: str, kind: str, **changes: object) -> JsonObject:
    """Declares a route under its own name as a path.

    Args:
        name: Name and path of the route.
        service: The service that it goes to.
        kind: What may be repeated.
        **changes: Other fields, or other values than the usual ones.
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


def services() -> list[JsonObject]:
    """Declares a plain service and one of engines that can move runs."""
    return [
        {"name": "plain", "healthPath": "/healthz"},
        {
            "name": "engines",
            "healthPath": "/healthz",
            "inferenceEngine": {
                "slots": 8,
                "kvCacheTokens": 100_000,
                "migrations": True,
            },
        },
    ]
