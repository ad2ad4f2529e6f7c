"""The configuration document.

It declares the models and services that should run, the client accounts that
may call them, and the rules of routing and retention.
"""

import dataclasses
import enum
import types
from collections.abc import Mapping


class Kind(enum.Enum):
    """Whether a deployment is a model or a plain service."""

    MODEL = "model"
    SERVICE = "service"


class RoutingPolicy(enum.Enum):
    """How a server is chosen within a zone.

    Attributes:
        AFFINITY: By consistent hashing of the prompt prefix with bounded load.
        LEAST_LOADED: The least loaded server.
        ROUND_ROBIN: Each server in turn.
    """

    AFFINITY = "affinity"
    LEAST_LOADED = "least_loaded"
    ROUND_ROBIN = "round_robin"


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One row of the sheet.

    Attributes:
        kind: Model or plain service.
        name: Model or service name that callers use.
        adapter: Adapter on the model; empty for none.
        version: Version of the weights or of the service.
        accounts: Client accounts that may call it.
        availability_zones: Availability zones that it should run in.
        priority: Priority of its requests, from 1 (first) to 9 (last).
        replicas: Desired number of backend servers in each availability zone.
        first_token_ms: Target for the time to first token, in ms.
        between_tokens_ms: Target for the time between tokens, in ms.
        max_context_tokens: Maximum length of prompt and answer together.
    """

    kind: Kind
    name: str
    adapter: str
    version: str
    accounts: tuple[str, ...]
    availability_zones: tuple[str, ...]
    priority: int
    replicas: int
    first_token_ms: int
    between_tokens_ms: int
    max_context_tokens: int

    @property
    def key(self) -> str:
        """Unique key of the row: kind, name, adapter and version."""
        return f"{self.kind.value}/{self.name}:{self.adapter}@{self.version}"

    @property
    def public_name(self) -> str:
        """Model or service name in the callers' interface."""
        return f"{self.name}:{self.adapter}" if self.adapter else self.name


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account.

    Attributes:
        name: Unique name.
        key_sha256: Hex SHA-256 of each valid API key.
        requests_per_s: Rate limit of requests through one daemon.
        burst: Maximum number of requests at once.
        weight: Relative share of a contended resource.
    """

    name: str
    key_sha256: tuple[str, ...]
    requests_per_s: float = 50.0
    burst: int = 100
    weight: int = 1

    @property
    def key(self) -> str:
        """Unique key of the account: its name."""
        return self.name


@dataclasses.dataclass(frozen=True)
class Policy:
    """Rules for the whole system.

    Attributes:
        routing: How a server is chosen within a zone.
        idempotency_retention_s: Time for which an idempotency key is stored.
        bounded_load_factor: Load of a server, relative to the mean, above which
            affinity passes requests on to another server.
        affinity_head_chars: Length of the prompt prefix that is hashed for
            affinity, in characters.
        reconnect_grace_s: Time for which generation continues after the caller
            disconnected.
        resume_attempts: Maximum number of servers tried for one answer.
    """

    routing: RoutingPolicy = RoutingPolicy.AFFINITY
    idempotency_retention_s: float = 86_400.0
    bounded_load_factor: float = 1.25
    affinity_head_chars: int = 1_024
    reconnect_grace_s: float = 5.0
    resume_attempts: int = 8


@dataclasses.dataclass(frozen=True)
class Document:
    """A complete configuration.

    Attributes:
        deployments: Rows of the sheet by key.
        accounts: Client accounts by name.
        policy: Rules for the whole system.
    """

    deployments: Mapping[str, Deployment]
    accounts: Mapping[str, Account]
    policy: Policy


EMPTY = Document(
    types.MappingProxyType({}), types.MappingProxyType({}), Policy()
)
