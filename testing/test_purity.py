"""Rules of the source tree that no linter checks."""

import ast
import importlib.util
import pathlib
import re

import pytest

import turmericcroft

ROOT = pathlib.Path(turmericcroft.__file__).parent
PURE = (
    "answers",
    "charts",
    "duties",
    "fleet",
    "intent",
    "membership",
    "routing",
    "timeline",
)
PLATFORM_NAMES = re.compile(
    r"x-(?!mesh)[a-z]+-[a-z]+|\bkv-[a-z]+|kv-from|/scaling|/usage\b|op/config|"
    r"leaves_ms|spotInstances|\b(?:pathPrefix|apiKeys|ratePerS|maxAttempts|"
    r"timeoutMs|targetLatencyMs|itlTargetMs|trafficSplit|sessionAffinity|"
    r"streamResumption|desiredCount|windowNumber|transferHandle|ttlMs|"
    r"staleRead|waitTimeoutMs|hasMore|coldRemainingMs|zonePrices)\b",
    re.IGNORECASE,
)
IO_MODULES = {
    "aiohttp",
    "asyncio",
    "os",
    "sanic",
    "socket",
    "subprocess",
    "threading",
    "time",
    "turmericcroft_lab",
    "websockets",
}
NAMES_ALLOWED_FROM = {"collections.abc", "cattrs.preconf"}


def imports_of(path):
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name, None
        elif isinstance(node, ast.ImportFrom):
            for alias in node.names:
                yield node.module, alias.name


def sources(*areas):
    for area in areas:
        yield from sorted((ROOT / area).rglob("*.py"))


@pytest.mark.parametrize("area", PURE)
def test_pure_packages_import_no_io(area):
    for path in sources(area):
        tops = {module.partition(".")[0] for module, _ in imports_of(path)}
        assert not tops & IO_MODULES, path


def test_the_daemon_never_imports_the_lab():
    for path in sources("."):
        tops = {module.partition(".")[0] for module, _ in imports_of(path)}
        assert "turmericcroft_lab" not in tops, path


def test_modules_are_imported_and_not_names():
    for path in sources("."):
        for module, name in imports_of(path):
            if name is None or module in NAMES_ALLOWED_FROM:
                continue
            assert importlib.util.find_spec(f"{module}.{name}"), (
                f"{path}: expected a module, found {module}.{name}"
            )


def test_only_the_adapter_knows_the_platforms_names():
    for path in sources("gateway", "fleet", "duties", "routing", "eventlog"):
        found = PLATFORM_NAMES.findall(path.read_text("utf-8"))
        assert not found, path


def test_the_adapter_stays_small():
    lines = sum(
        len(path.read_text("utf-8").splitlines())
        for path in sources("platform")
    )
    assert lines < 1_000
