"""What the operator declares: routes, services, client accounts, limits."""

import dataclasses
import enum
from collections.abc import Mapping


class Idempotency(enum.Enum):
    """What may be sent to a backend server more than once.

    Attributes:
        IDEMPOTENT: The request has no lasting effect.
        NON_IDEMPOTENT: The request may run once at most.
    """

    IDEMPOTENT = "freely"
    NON_IDEMPOTENT = "never"


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service that gets part of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its part, relative to the other shares.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host and path prefix, and how to treat them.

    Attributes:
        name: Unique name.
        host: Host name, in lower case.
        path_prefix: Start of the path, with a slash at both ends.
        idempotency: Whether a request may run more than once.
        streaming: Whether the answer is a stream of events.
        resumable: Whether a stream may go on at another server.
        timeout_s: Longest time that a request is kept waiting.
        target_latency_s: Time to the answer, or to its first event, that
            callers expect.
        target_event_gap_s: Longest expected pause between events; 0 if none.
        priority: Rank; 0 is the most urgent.
        weighted_services: Services that take the requests.
        max_attempts: Most servers that may run one request.
        anonymous: Whether requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    idempotency: Idempotency
    streaming: bool
    resumable: bool
    timeout_s: float
    target_latency_s: float
    target_event_gap_s: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    anonymous: bool

    @property
    def is_safe_to_retry(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        if self.streaming:
            return self.resumable
        return self.idempotency is Idempotency.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class Engine:
    """What a service's model engines can do.

    Attributes:
        slots: Requests that a server batches at once.
        kv_cache_tokens: Tokens that a server's KV cache holds.
        supports_migration: Whether a run can be moved to another server.
        migration_handle_ttl_s: How long a moved copy is kept.
    """

    slots: int
    kv_cache_tokens: int
    supports_migration: bool
    migration_handle_ttl_s: float


@dataclasses.dataclass(frozen=True)
class Scaling:
    """Bounds and prices of the servers that can be ordered.

    Attributes:
        minimum: Fewest servers in a zone, of both kinds together.
        maximum: Most servers in a zone, of both kinds together.
        boot_s: Time from an order to the first request.
        reclaimable_price: Price of a reclaimable server, relative to others;
            0 if there are none.
        zone_prices: Price of a server second by availability zone.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float
    zone_prices: Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of backend servers that run the same requests."""

    name: str
    connection_limit: int
    engine: Engine | None
    scaling: Scaling | None


@dataclasses.dataclass(frozen=True)
class Quota:
    """Rate limit of a client account over all daemons.

    Attributes:
        rate_per_s: Units a second.
        burst: Units beyond the rate.
        in_tokens: Whether the unit is a token; a request otherwise.
        default_tokens: Tokens of a request that states none.
    """

    rate_per_s: float
    burst: float
    in_tokens: bool
    default_tokens: int


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account."""

    name: str
    api_keys: frozenset[str]
    priority: int | None
    quota: Quota | None


@dataclasses.dataclass(frozen=True)
class ClientLimits:
    """Bounds of what a client may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Declaration:
    """One version of everything declared."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    accounts: tuple[Account, ...]
    limits: ClientLimits


class RouteTable:
    """Lookup of routes and accounts of one declaration.

    Attributes:
        declaration: What it was built from.
        accounts: Accounts by API key.
    """

    def __init__(self, declaration: Declaration) -> None:
        self.declaration = declaration
        self.accounts = {
            key: account
            for account in declaration.accounts
            for key in account.api_keys
        }
        self._by_host: dict[str, list[Route]] = {}
        for route in declaration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def match(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest prefix of the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def requires_api_key(self, route: Route) -> bool:
        """Whether requests on the route must carry an API key."""
        return bool(self.declaration.accounts) and not route.anonymous
