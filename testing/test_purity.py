"""Checks rules on imports and on platform names that no linter covers."""

import ast
import importlib.util
import pathlib
import re

import pytest

import turmericcroft

ROOT = pathlib.Path(turmericcroft.__file__).parent
PACKAGES_WITHOUT_IO = (
    "answers",
    "charts",
    "duties",
    "fleet",
    "intent",
    "membership",
    "responses",
    "resumption",
    "rollouts",
    "routing",
    "scheduling",
    "timeline",
)
PLATFORM_NAMES = re.compile(
    r"x-(?!mesh)[a-z]+-[a-z]+|store-era|server-leaving|server-limit|server-brittle|\bkv-[a-z]+|kv-from|/scaling|/usage\b|op/config|op/rollout|status/rollout|"
    r"leaves_ms|spotInstances|\b(?:pathPrefix|apiKeys|ratePerS|maxAttempts|"
    r"timeoutMs|targetLatencyMs|itlTargetMs|trafficSplit|sessionAffinity|"
    r"streamResumption|desiredCount|windowNumber|transferHandle|ttlMs|"
    r"staleRead|waitTimeoutMs|hasMore|coldRemainingMs|zonePrices|(?-i:durationS)|"
    r"exposureShare|exposureTolerance|rollbackTimeoutMs)\b",
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
MODULES_THAT_EXPORT_NAMES = {"collections.abc", "cattrs.preconf"}


def list_imports(path):
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name, None
        elif isinstance(node, ast.ImportFrom):
            for alias in node.names:
                yield node.module, alias.name


def list_sources(*folders):
    for folder in folders:
        yield from sorted((ROOT / folder).rglob("*.py"))


@pytest.mark.parametrize("folder", PACKAGES_WITHOUT_IO)
def test_packages_without_io_import_no_io_modules(folder):
    for path in list_sources(folder):
        packages = {
            module.partition(".")[0] for module, _ in list_imports(path)
        }
        assert not packages & IO_MODULES, path


def test_package_does_not_import_the_lab():
    for path in list_sources("."):
        packages = {
            module.partition(".")[0] for module, _ in list_imports(path)
        }
        assert "turmericcroft_lab" not in packages, path


def test_only_modules_are_imported():
    for path in list_sources("."):
        for module, name in list_imports(path):
            if name is None or module in MODULES_THAT_EXPORT_NAMES:
                continue
            assert importlib.util.find_spec(f"{module}.{name}"), (
                f"{path}: expected a module, found {module}.{name}"
            )


def test_only_the_adapter_uses_platform_names():
    for path in list_sources(
        "gateway",
        "fleet",
        "duties",
        "routing",
        "eventlog",
        "responses",
        "resumption",
        "rollouts",
        "control",
        "stream_lookup",
    ):
        found = PLATFORM_NAMES.findall(path.read_text("utf-8"))
        assert not found, path


def test_adapter_is_under_1000_lines():
    lines = sum(
        len(path.read_text("utf-8").splitlines())
        for path in list_sources("platform")
    )
    assert lines < 1_000
