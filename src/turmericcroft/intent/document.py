"""The configuration document: what should run, for whom, by which rules."""

import dataclasses
import enum
import types
from collections.abc import Mapping


class Kind(enum.Enum):
    """What a deployment runs."""

    MODEL = "model"
    SERVICE = "service"


class RoutingPolicy(enum.Enum):
    """How a server is chosen within a zone.

    Attributes:
        AFFINITY: By the prompt's head, with bounded load.
        LEAST_LOADED: The least loaded server.
        ROUND_ROBIN: Each in turn.
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
        adapter: Adapter on the model, empty for none.
        version: Version of the weights or the service.
        accounts: Client accounts that may call it.
        availability_zones: Where it should run.
        priority: 1 is served first, 9 last.
        replicas: Backend servers wanted in each availability zone.
        first_token_ms: Target for the time to first token, in ms.
        between_tokens_ms: Target for the time between tokens, in ms.
        max_context_tokens: Longest prompt and answer together.
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
        """Identifies the row: kind, name, adapter and version."""
        return f"{self.kind.value}/{self.name}:{self.adapter}@{self.version}"

    @property
    def public_name(self) -> str:
        """The name in the callers' interface."""
        return f"{self.name}:{self.adapter}" if self.adapter else self.name


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account.

    Attributes:
        name: Unique name.
        key_sha256: Hex SHA-256 of each valid API key.
        requests_per_s: Rate limit over one daemon.
        burst: Requests that may come at once.
        weight: Share of a contended resource.
    """

    name: str
    key_sha256: tuple[str, ...]
    requests_per_s: float = 50.0
    burst: int = 100
    weight: int = 1

    @property
    def key(self) -> str:
        """Identifies the account."""
        return self.name


@dataclasses.dataclass(frozen=True)
class Policy:
    """Rules that hold for the whole system.

    Attributes:
        routing: How a server is chosen within a zone.
        idempotency_retention_s: How long an idempotency key is remembered.
        bounded_load_factor: Load above the mean at which affinity spills.
        affinity_head_chars: Prompt characters that decide the affinity.
        reconnect_grace_s: How long an answer goes on without its caller.
        resume_attempts: Servers tried for one answer.
    """

    routing: RoutingPolicy = RoutingPolicy.AFFINITY
    idempotency_retention_s: float = 86_400.0
    bounded_load_factor: float = 1.25
    affinity_head_chars: int = 1_024
    reconnect_grace_s: float = 5.0
    resume_attempts: int = 8


@dataclasses.dataclass(frozen=True)
class Document:
    """A whole configuration.

    Attributes:
        deployments: Rows by their key.
        accounts: Client accounts by name.
        policy: Rules for the whole system.
    """

    deployments: Mapping[str, Deployment]
    accounts: Mapping[str, Account]
    policy: Policy


EMPTY = Document(
    types.MappingProxyType({}), types.MappingProxyType({}), Policy()
)
