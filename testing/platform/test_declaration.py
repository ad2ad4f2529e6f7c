"""Types of the declaration's fields: what is refused if one is odd."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from testing.gateway import conftest
from turmericcroft import errors
from turmericcroft.platform import declaration as decoder
from turmericcroft.routing import declaration as declarations

MISSING = object()
TEXTS = ["", "false", "odd"]
# An item that is odd is refused by itself.
LISTS = [[], [""]]
ODD = [None, True, False, 0, -1, 1.5, "", "false", "odd", [], {}, [""], 10**400]


def make_declaration():
    quota = {"ratePerS": 5.0, "burst": 5.0, "unit": "tokens"}
    fields = conftest.declaration(7)
    fields["tenants"][0] |= quota | {"uncachedTokens": 20}
    split = [{"service": "plain", "weight": 1}]
    fields["routes"][0] |= {
        "anonymous": False,
        "itlTargetMs": 100,
        "streamResumption": False,
        "trafficSplit": split,
    }
    engines = fields["services"][1]
    engines["connectionLimit"] = 9
    engines["scaling"] = {"minimum": 1, "maximum": 2, "zonePrices": {"a": 1.0}}
    return fields


def decode(fields):
    try:
        return decoder.decode(json.dumps(fields).encode())
    except errors.FaultyInputError:
        return None


def find_refused(found):
    """Returns which part of a declaration was refused."""
    if found is None:
        return "version"
    if len(found.routes) < 4:
        return "route"
    if len(found.accounts) < 2:
        return "account"
    if len(found.services) < 2:
        return "service"
    if not found.services["engines"].scaling:
        return "scaling"
    if not found.services["engines"].health_path:
        return "health path"
    if found.limits == declarations.ClientLimits():
        return "limits"
    if not any("north-key" in account.api_keys for account in found.accounts):
        return "key"
    return "nothing"


# Field, what is refused if it is missing, values of those of ODD that are
# allowed, and what is refused for the others.
FIELDS = [
    (("version",), "version", [], "version"),
    (("routes",), "version", LISTS, "version"),
    (("services",), "version", LISTS, "version"),
    (("limits",), "limits", [{}], "limits"),
    (("limits", "maxBodyBytes"), "nothing", [], "limits"),
    (("limits", "idleTimeoutMs"), "nothing", [1.5], "limits"),
    (("tenants",), "account", LISTS, "version"),
    (("routes", 0, "host"), "version", TEXTS, "version"),
    (("routes", 0, "pathPrefix"), "version", TEXTS, "version"),
    (("routes", 0, "name"), "route", ["false", "odd"], "route"),
    (("routes", 0, "kind"), "route", [], "route"),
    (("routes", 0, "service"), "route", ["false", "odd"], "route"),
    (("routes", 0, "trafficSplit"), "nothing", [], "route"),
    (("routes", 0, "timeoutMs"), "route", [1.5], "route"),
    (("routes", 0, "targetLatencyMs"), "nothing", [0, 1.5], "route"),
    (("routes", 0, "itlTargetMs"), "nothing", [0, 1.5], "route"),
    (("routes", 0, "priority"), "nothing", [0], "route"),
    (("routes", 0, "maxAttempts"), "nothing", [], "route"),
    (("routes", 0, "anonymous"), "nothing", [True, False], "route"),
    (("routes", 0, "streamResumption"), "nothing", [True, False], "route"),
    (("services", 1, "name"), "service", ["false", "odd"], "service"),
    (("services", 1, "connectionLimit"), "nothing", [0], "service"),
    (("services", 1, "inferenceEngine"), "nothing", [], "service"),
    (("services", 1, "inferenceEngine", "slots"), "service", [], "service"),
    (
        ("services", 1, "inferenceEngine", "kvCacheTokens"),
        "service",
        [0],
        "service",
    ),
    (
        ("services", 1, "inferenceEngine", "migrations"),
        "nothing",
        [True, False],
        "service",
    ),
    (("services", 1, "healthPath"), "health path", [], "health path"),
    (("services", 1, "scaling"), "scaling", [], "scaling"),
    (("services", 1, "scaling", "maximum"), "scaling", [0], "scaling"),
    (("services", 1, "scaling", "zonePrices"), "nothing", [{}], "scaling"),
    (("tenants", 0, "name"), "account", ["false", "odd"], "account"),
    (("tenants", 0, "apiKeys"), "account", LISTS, "account"),
    (("tenants", 0, "apiKeys", 0), "key", ["false", "odd"], "key"),
    (("tenants", 0, "priority"), "nothing", [0], "account"),
    (("tenants", 0, "ratePerS"), "nothing", [0, 1.5], "account"),
    (("tenants", 0, "burst"), "nothing", [0, 1.5], "account"),
    (("tenants", 0, "unit"), "nothing", [], "account"),
    (("tenants", 0, "uncachedTokens"), "account", [0], "account"),
]


def replace(path, value):
    """Returns a declaration in which one field has another value."""
    fields = parent = make_declaration()
    for step in path[:-1]:
        parent = parent[step]
    if path[-1] == "service":
        del parent["trafficSplit"]
    if value is MISSING:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return fields


def is_same(first, second):
    return type(first) is type(second) and first == second


# Guards against fields in which a missing value, an empty one and one of
# another type are taken for the same.
@pytest.mark.parametrize(
    ("path", "if_missing", "allowed", "if_odd"),
    FIELDS,
    ids=lambda value: ".".join(map(str, value)) if type(value) is tuple else "",
)
def test_an_odd_field_refuses_the_part_that_it_decides(
    path, if_missing, allowed, if_odd
):
    assert find_refused(decode(replace(path, MISSING))) == if_missing
    for value in ODD:
        found = decode(replace(path, value))
        is_allowed = any(is_same(value, other) for other in allowed)
        if is_allowed:
            continue
        assert find_refused(found) == if_odd, value
        assert found is None or found.faults


@pytest.mark.parametrize("field", ["routes", "services"])
def test_lists_may_be_empty(field):
    assert decode(make_declaration() | {field: []}).faults == ()


def test_an_empty_list_of_accounts_asks_for_keys_and_a_missing_one_does_not():
    fields = make_declaration()
    assert decode(fields | {"tenants": []}).requires_api_keys
    del fields["tenants"]
    assert not decode(fields).requires_api_keys


def test_routes_of_the_same_requests_are_refused():
    fields = make_declaration()
    fields["routes"][1]["pathPrefix"] = "/read/"
    found = decode(fields)
    table = declarations.RouteTable(found)
    assert isinstance(
        table.match("app.example", "/read/1"), declarations.UnusableRoute
    )
    assert len(found.routes) == 2


def test_services_of_one_name_are_left_out():
    fields = make_declaration()
    fields["services"].append(fields["services"][0])
    assert list(decode(fields).services) == ["engines"]


def test_a_declaration_with_too_many_faults_is_refused():
    fields = make_declaration() | {"services": [0] * 200_000}
    assert decode(fields) is None


KEYS = strategies.sampled_from(["k1", "k2", "k3", "secret"])
VALUES = strategies.one_of(
    strategies.sampled_from(ODD), strategies.text(max_size=3), KEYS
)
ACCOUNT = strategies.one_of(
    VALUES,
    strategies.fixed_dictionaries(
        {},
        optional={
            "name": VALUES | strategies.sampled_from(["north", "east"]),
            "apiKeys": VALUES | strategies.lists(KEYS | VALUES, max_size=3),
            "priority": VALUES,
            "ratePerS": VALUES,
            "burst": VALUES,
            "unit": VALUES | strategies.just("tokens"),
            "uncachedTokens": VALUES,
        },
    ),
)
ROUTE = strategies.one_of(
    VALUES,
    strategies.builds(
        lambda fields, missing: {
            name: value for name, value in fields.items() if name != missing
        },
        strategies.fixed_dictionaries(
            {
                "name": strategies.just("a"),
                "host": strategies.just("h"),
                "pathPrefix": strategies.sampled_from(["/", "/a/", "/a", ""]),
                "kind": strategies.just("idempotent"),
                "timeoutMs": strategies.just(5) | VALUES,
                "service": strategies.just("plain") | VALUES,
            },
            optional={"anonymous": VALUES},
        ),
        strategies.sampled_from(["", "name", "kind", "service", "anonymous"]),
    ),
)
CONFIGURATION = strategies.fixed_dictionaries(
    {
        "version": strategies.integers(1, 5) | VALUES,
        "routes": strategies.lists(ROUTE, max_size=3) | VALUES,
        "services": strategies.just([{"name": "plain"}]) | VALUES,
    },
    optional={
        "tenants": strategies.lists(ACCOUNT, max_size=4) | VALUES,
        "limits": strategies.just({}) | VALUES,
    },
)


def find_holders(fields, api_key):
    """Returns the entries of accounts in whose list of keys a key is."""
    entries = [item for item in fields["tenants"] if type(item) is dict]
    return [
        item
        for item in entries
        if type(item.get("apiKeys")) is list
        and any(is_same(key, api_key) for key in item["apiKeys"])
    ]


@hypothesis.settings(max_examples=600)
@hypothesis.given(
    fields=CONFIGURATION,
    api_key=strategies.none() | VALUES.filter(lambda x: type(x) is str),
    path=strategies.sampled_from(["/", "/a/b", "/b"]),
)
def test_only_a_key_that_a_valid_version_holds_opens_a_route(
    fields, api_key, path
):
    found = decode(fields)
    if found is None:
        return
    table = declarations.RouteTable(found)
    route = table.match("h", path)
    if not isinstance(route, declarations.Route):
        return
    # The route that admits is the longest one that was written.
    longest = max(
        len(item["pathPrefix"])
        for item in fields["routes"]
        if path.startswith(item["pathPrefix"])
    )
    assert len(route.path_prefix) == longest
    match table.identify(route, api_key):
        case declarations.Keyless():
            assert route.anonymous is True or "tenants" not in fields
            assert not route.anonymous or any(
                type(item) is dict and item.get("anonymous") is True
                for item in fields["routes"]
            )
        case declarations.Account(name=name):
            (holder,) = find_holders(fields, api_key)
            assert api_key
            assert holder["name"] == name
