"""Routes, services, client accounts and limits that the operator declares."""

import dataclasses
import enum
from collections.abc import Mapping

from turmericcroft import errors


class Idempotency(enum.Enum):
    """Whether a request may execute more than once.

    Attributes:
        IDEMPOTENT: Repeated execution has no additional effect.
        NON_IDEMPOTENT: The request must execute at most once.
    """

    IDEMPOTENT = "freely"
    NON_IDEMPOTENT = "never"


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the other weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Rules for the requests to one host and path prefix.

    Attributes:
        name: Unique name.
        host: Host name, in lower case.
        path_prefix: Start of the path, with a slash at both ends.
        idempotency: Whether a request may execute more than once.
        streaming: Whether the answer is a stream of events.
        resumable: Whether a stream may continue on another server.
        timeout_s: Longest time from receipt of a request to the end of its
            answer.
        target_latency_s: Time to the answer, or to its first event, that
            clients expect.
        target_event_gap_s: Longest gap between events that clients expect; 0
            if none is declared.
        priority: Priority of the requests; 0 is the most urgent.
        weighted_services: Services that the requests are split between.
        max_attempts: Maximum number of servers that may execute one request.
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
    def receiving_services(self) -> list[str]:
        """Names of the services that receive its requests."""
        shares = self.weighted_services
        names = [share.service for share in shares if share.weight > 0]
        return names or [shares[0].service]

    @property
    def is_safe_to_retry(self) -> bool:
        """Whether a request that may have executed can be sent again."""
        if self.streaming:
            return self.resumable
        return self.idempotency is Idempotency.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class UnusableRoute:
    """A route that can't be used; requests to it are refused.

    It takes the requests of its path from routes with shorter prefixes, like
    any other route: they may not go where only those lead.

    Attributes:
        host: Host name, in lower case.
        path_prefix: Start of the path.
        fault: Why it can't be used.
    """

    host: str
    path_prefix: str
    fault: str


@dataclasses.dataclass(frozen=True)
class Engine:
    """Capabilities of a service's model engines.

    Attributes:
        slots: Requests that a server batches at once.
        kv_cache_tokens: Tokens that a server's KV cache holds.
        supports_migration: Whether an execution's KV cache can be migrated to
            another server.
        migration_handle_ttl_s: Lifetime of a migrated copy.
        tokens_per_event: Tokens that an event of a stream holds.
    """

    slots: int
    kv_cache_tokens: int
    supports_migration: bool
    migration_handle_ttl_s: float
    tokens_per_event: int = 1


@dataclasses.dataclass(frozen=True)
class Scaling:
    """Bounds and prices for ordering servers.

    Attributes:
        minimum: Minimum number of servers in a zone, reclaimable and
            on-demand together.
        maximum: Maximum number of servers in a zone, of both kinds together.
        boot_s: Time from an order until the server accepts requests.
        reclaimable_price: Price of a reclaimable server relative to an
            on-demand one; 0 if there are no reclaimable servers.
        zone_prices: Price of a server second by availability zone.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float
    zone_prices: Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of interchangeable backend servers.

    Attributes:
        health_path: Path at which a server answers at once with the headers of
            its other answers; empty if none is declared.
    """

    name: str
    connection_limit: int
    engine: Engine | None
    scaling: Scaling | None
    health_path: str = ""


@dataclasses.dataclass(frozen=True)
class Quota:
    """Rate limit of a client account over all daemons.

    Attributes:
        rate_per_s: Units per second.
        burst: Units that may be used at once beyond the rate.
        in_tokens: Whether the unit is a token; otherwise it is a request.
        default_tokens: Tokens charged for a request that states no number.
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
class UnusableAccount:
    """A client account that can't be used; requests with its keys are refused.

    Attributes:
        name: Its name; empty if it is not known.
        api_keys: Its keys, as far as they are known.
        fault: Why it can't be used.
    """

    name: str
    api_keys: frozenset[str]
    fault: str


@dataclasses.dataclass(frozen=True)
class Keyless:
    """A request that needs no API key.

    Attributes:
        reason: Why it needs none.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class UnknownKey:
    """A request that needs an API key, and has none that an account holds."""


@dataclasses.dataclass(frozen=True)
class ClientLimits:
    """Size and time limits for what a client sends."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Declaration:
    """One version of the operator's declaration.

    Attributes:
        requires_api_keys: Whether accounts are declared, be it none. Then only
            requests on anonymous routes need no API key.
        unusable_routes: Routes that can't be used.
        unusable_accounts: Accounts that can't be used, and keys of several.
        faults: Faults of the parts that can't be used, those of services too.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    accounts: tuple[Account, ...]
    limits: ClientLimits
    requires_api_keys: bool
    unusable_routes: tuple[UnusableRoute, ...] = ()
    unusable_accounts: tuple[UnusableAccount, ...] = ()
    faults: tuple[errors.Fault, ...] = ()


class RouteTable:
    """Lookup of routes and accounts of one declaration.

    Attributes:
        declaration: Declaration that the table was built from.
        accounts: Accounts by API key.
    """

    def __init__(self, declaration: Declaration) -> None:
        self.declaration = declaration
        self.accounts: dict[str, Account | UnusableAccount] = {}
        for account in declaration.accounts:
            self.accounts.update(dict.fromkeys(account.api_keys, account))
        for refused in declaration.unusable_accounts:
            self.accounts.update(dict.fromkeys(refused.api_keys, refused))
        self._by_host: dict[str, list[Route | UnusableRoute]] = {}
        for route in declaration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for unusable in declaration.unusable_routes:
            self._by_host.setdefault(unusable.host, []).append(unusable)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def match(self, host: str, path: str) -> Route | UnusableRoute | None:
        """Finds the route with the longest matching path prefix."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def identify(
        self, route: Route, api_key: str | None
    ) -> Account | UnusableAccount | Keyless | UnknownKey:
        """Finds the account of a request.

        Args:
            route: Route that the request matched.
            api_key: Its API key; None or empty without one.
        """
        if route.anonymous:
            return Keyless("anonymous route")
        if not self.declaration.requires_api_keys:
            return Keyless("no accounts declared")
        return (self.accounts.get(api_key) if api_key else None) or UnknownKey()
