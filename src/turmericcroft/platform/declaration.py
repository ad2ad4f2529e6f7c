"""Decodes the operator's configuration from its stored JSON.

The classes state the type of each field, and which ones may be missing. What is
refused if a field is not as stated is in `docs/operations/declarations.md`.
"""

import typing

import msgspec

from turmericcroft.fleet import part_reader as parts
from turmericcroft.routing import contradictions
from turmericcroft.routing import declaration as declarations

KEY_PREFIX = "op/"
CONFIGURATION_KEY = KEY_PREFIX + "config"

_DEFAULTS = declarations.ClientLimits()
_Missing = msgspec.UnsetType
_PathPrefix = typing.Annotated[str, msgspec.Meta(pattern=r"\A/(?s:.*/)?\Z")]
_HEALTH_PATH = typing.cast(
    "type[str]", typing.Annotated[str, msgspec.Meta(pattern=r"\A/[!-~]*\Z")]
)


class _Limits(parts.Part, frozen=True):
    max_header_bytes: parts.PositiveCount = _DEFAULTS.max_header_bytes
    max_body_bytes: parts.PositiveCount = _DEFAULTS.max_body_bytes
    header_timeout_ms: parts.PositiveAmount = _DEFAULTS.header_timeout_s * 1000
    idle_timeout_ms: parts.PositiveAmount = _DEFAULTS.idle_timeout_s * 1000


class _Configuration(parts.Part, frozen=True):
    version: parts.PositiveCount
    routes: tuple[msgspec.Raw, ...]
    services: tuple[msgspec.Raw, ...]
    limits: msgspec.Raw | _Missing = msgspec.UNSET
    tenants: tuple[msgspec.Raw, ...] | _Missing = msgspec.UNSET


class _Place(parts.Part, frozen=True):
    """Which requests a route takes from routes with shorter prefixes."""

    host: str
    path_prefix: str


class _Share(parts.Part, frozen=True):
    service: parts.Text
    weight: parts.Amount


class _Route(parts.Part, frozen=True):
    name: parts.Text
    host: parts.Text
    path_prefix: _PathPrefix
    kind: typing.Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: parts.PositiveAmount
    service: parts.Text | _Missing = msgspec.UNSET
    traffic_split: tuple[_Share, ...] | _Missing = msgspec.UNSET
    stream_resumption: bool = False
    target_latency_ms: parts.Amount = 0.0
    itl_target_ms: parts.Amount = 0.0
    priority: parts.Count = 0
    max_attempts: parts.PositiveCount = 1
    anonymous: bool = False

    def __post_init__(self) -> None:
        if not any(share.weight for share in self.shares()):
            raise ValueError("Expected a service, got none")

    def shares(self) -> tuple[declarations.WeightedService, ...]:
        if self.traffic_split is not msgspec.UNSET:
            return tuple(
                declarations.WeightedService(share.service, share.weight)
                for share in self.traffic_split
            )
        if self.service is msgspec.UNSET:
            return ()
        return (declarations.WeightedService(self.service, 1.0),)


class _Engine(parts.Part, frozen=True):
    slots: parts.PositiveCount
    kv_cache_tokens: parts.Count
    supports_migration: bool = msgspec.field(default=False, name="migrations")
    migration_handle_ttl_s: parts.Amount = msgspec.field(
        default=0.0, name="handleTtlS"
    )
    tokens_per_event: parts.PositiveCount = msgspec.field(
        default=1, name="stride"
    )


class _Scaling(parts.Part, frozen=True):
    minimum: parts.Count
    maximum: parts.Count
    boot_s: parts.Amount = msgspec.field(default=0.0, name="bootTimeS")
    reclaimable_price: parts.Amount = msgspec.field(
        default=0.0, name="spotPrice"
    )
    zone_prices: dict[str, parts.Amount] = {}


class _Service(parts.Part, frozen=True):
    name: parts.Text
    connection_limit: parts.Count = 0
    inference_engine: _Engine | _Missing = msgspec.UNSET
    health_path: msgspec.Raw | _Missing = msgspec.UNSET
    scaling: msgspec.Raw | _Missing = msgspec.UNSET


class _Tenant(parts.Part, frozen=True):
    name: parts.HeaderText
    api_keys: tuple[msgspec.Raw, ...]
    priority: parts.Count | _Missing = msgspec.UNSET
    rate_per_s: parts.Amount = 0.0
    burst: parts.Amount = 0.0
    unit: typing.Literal["requests", "tokens"] = "requests"
    uncached_tokens: parts.Count | _Missing = msgspec.UNSET

    def __post_init__(self) -> None:
        is_limited = self.rate_per_s > 0 and self.unit == "tokens"
        if is_limited and self.uncached_tokens is msgspec.UNSET:
            raise ValueError("Expected `uncachedTokens`, got none")

    def quota(self) -> declarations.Quota | None:
        if self.rate_per_s == 0:
            return None
        return declarations.Quota(
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            in_tokens=self.unit == "tokens",
            default_tokens=self.uncached_tokens or 0,
        )


class _UnreadTenant(parts.Part, frozen=True):
    name: object = None
    api_keys: object = None


def decode(value: bytes) -> declarations.Declaration:
    """Decodes one version of the configuration.

    Raises:
        errors.FaultyInputError: The value is not a valid configuration.
    """
    reader = parts.PartReader("configuration")
    raw = reader.require(_Configuration, value, "")
    limits = reader.read(_Limits, raw.limits, "limits") or _Limits()
    draft = contradictions.Draft(
        version=raw.version,
        routes=reader.read_each(_read_route, raw.routes, "routes"),
        services=reader.read_each(_read_service, raw.services, "services"),
        accounts=None
        if raw.tenants is msgspec.UNSET
        else reader.read_each(_read_account, raw.tenants, "tenants"),
        limits=declarations.ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
    )
    return contradictions.resolve(draft, reader)


def _read_route(
    reader: parts.PartReader, item: msgspec.Raw, place: str
) -> declarations.Route | declarations.UnusableRoute:
    route = reader.read(_Route, item, place)
    if route is None:
        known = reader.require(_Place, item, place)
        return declarations.UnusableRoute(
            known.host.lower(), known.path_prefix, str(reader.faults[-1])
        )
    return declarations.Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        idempotency=(
            declarations.Idempotency.IDEMPOTENT
            if route.kind == "idempotent"
            else declarations.Idempotency.NON_IDEMPOTENT
        ),
        streaming=route.kind == "streaming",
        resumable=route.stream_resumption,
        timeout_s=route.timeout_ms / 1000,
        target_latency_s=route.target_latency_ms / 1000,
        target_event_gap_s=route.itl_target_ms / 1000,
        priority=route.priority,
        weighted_services=route.shares(),
        max_attempts=route.max_attempts,
        anonymous=route.anonymous,
    )


def _read_service(
    reader: parts.PartReader, item: msgspec.Raw, place: str
) -> declarations.Service | None:
    service = reader.read(_Service, item, place)
    if service is None:
        return None
    path = reader.read(_HEALTH_PATH, service.health_path, f"{place}.healthPath")
    scaling = reader.read(_Scaling, service.scaling, f"{place}.scaling")
    engine = service.inference_engine
    return declarations.Service(
        name=service.name,
        connection_limit=service.connection_limit,
        engine=None
        if engine is msgspec.UNSET
        else declarations.Engine(**msgspec.structs.asdict(engine)),
        scaling=None
        if scaling is None
        else declarations.Scaling(**msgspec.structs.asdict(scaling)),
        health_path=path or "",
    )


def _read_account(
    reader: parts.PartReader, item: msgspec.Raw, place: str
) -> declarations.Account | declarations.UnusableAccount:
    tenant = reader.read(_Tenant, item, place)
    if tenant is None:
        fault = str(reader.faults[-1])
        known = parts.peek(_UnreadTenant, item) or _UnreadTenant()
        name = known.name if isinstance(known.name, str) else ""
        keys = known.api_keys if isinstance(known.api_keys, list) else []
        return declarations.UnusableAccount(
            name, frozenset(key for key in keys if isinstance(key, str)), fault
        )
    priority, key_place = tenant.priority, f"{place}.apiKeys"
    return declarations.Account(
        name=tenant.name,
        api_keys=frozenset(
            reader.read_each(parts.read_text, tenant.api_keys, key_place)
        ),
        priority=None if priority is msgspec.UNSET else priority,
        quota=tenant.quota(),
    )
