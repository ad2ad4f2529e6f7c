"""Settings of one daemon, loaded from a TOML file and validated as a whole."""

import dataclasses
import enum
import hashlib
import pathlib
import re
import tomllib
import typing

import cattrs
from cattrs import errors as cattrs_errors

from turmericcroft import errors
from turmericcroft import strict_types

MAX_PORT = 65535
SECRET_HASH = "64 hex digits, not the hash of an empty text"
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
_EMPTY_SHA256 = hashlib.sha256(b"").hexdigest()
_Kind = typing.TypeVar("_Kind")


class LogFormat(enum.Enum):
    """Format of log records."""

    JSON = "json"
    TEXT = "text"


@dataclasses.dataclass(frozen=True)
class Listener:
    """An address to listen on."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class Identity:
    """Name and location of this daemon.

    Attributes:
        name: Unique name of the entry VM.
        region: Region of the VM.
        availability_zone: Availability zone of the VM.
    """

    name: str
    region: str
    availability_zone: str


@dataclasses.dataclass(frozen=True)
class Callers:
    """HTTP port for callers, and limits of their requests and answers.

    Attributes:
        answer_retention_s: Retention of an answer whose end was not yet sent
            to a caller.
        delivered_retention_s: Retention of an answer whose end was sent.
    """

    host: str
    port: int
    max_body_bytes: int = 4_194_304
    max_open_answers: int = 4_000
    answer_retention_s: float = 60.0
    delivered_retention_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Operators:
    """HTTP port for operators.

    Attributes:
        view_token_sha256: Hashes of the tokens that permit read access.
        operate_token_sha256: Hashes of the tokens that also permit changes.
    """

    host: str
    port: int
    view_token_sha256: tuple[str, ...] = ()
    operate_token_sha256: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Mesh:
    """Port for other daemons, and the secret that all daemons share.

    Attributes:
        seeds: Addresses ("host:port") of a few daemons, which are asked for
            the members if the key-value service is unavailable at the start.
    """

    host: str
    port: int
    secret: str
    heartbeat_interval_s: float = 1.0
    seeds: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Platform:
    """URLs of the platform's services, a timeout and a polling interval."""

    key_value_url: str
    vm_list_url: str
    key_value_timeout_s: float = 2.0
    vm_list_interval_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class Stopping:
    """Time limits of a graceful stop.

    Attributes:
        drain_s: Time for open answers to finish at this daemon.
        hand_over_s: Time for handing over the remaining answers to other
            daemons.
    """

    drain_s: float = 10.0
    hand_over_s: float = 5.0


@dataclasses.dataclass(frozen=True)
class Log:
    """Format and level of the log."""

    format: LogFormat = LogFormat.JSON
    level: str = "INFO"


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one daemon."""

    daemon: Identity
    callers: Callers
    operators: Operators
    mesh: Mesh
    platform: Platform
    stopping: Stopping = Stopping()
    log: Log = Log()


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Args:
        path: The TOML file.

    Returns:
        The validated settings.

    Raises:
        errors.SettingsError: The file is missing or invalid; lists all faults.
    """
    return parse(read(path))


def read(path: pathlib.Path) -> str:
    """Reads the text of a settings file.

    Raises:
        errors.SettingsError: The file cannot be read.
    """
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = errors.Fault(str(path), "a readable TOML file", str(error))
        raise errors.SettingsError("settings", [fault]) from error


def parse(text: str) -> Settings:
    r"""Parses and validates the text of a settings file.

    Raises:
        errors.SettingsError: The text is invalid; lists all faults.

    Example:
        >>> parse("[daemon]\nname = 1")
        Traceback (most recent call last):
        ...
        turmericcroft.errors.SettingsError: settings: 7 fault(s)
          daemon.name: expected str, found int
          daemon.region: expected a value, found nothing
          daemon.availability_zone: expected a value, found nothing
          callers: expected a value, found nothing
          operators: expected a value, found nothing
          mesh: expected a value, found nothing
          platform: expected a value, found nothing
    """
    parsed = structure(text, Settings)
    faults = list(_check_values(parsed))
    if faults:
        raise errors.SettingsError("settings", faults)
    return parsed


def structure(text: str, kind: type[_Kind]) -> _Kind:
    """Builds a settings class from TOML; checks types but not values.

    Raises:
        errors.SettingsError: The text is invalid; lists all faults.
    """
    try:
        raw = tomllib.loads(text)
        return strict_converter().structure(raw, kind)
    except tomllib.TOMLDecodeError as error:
        fault = errors.Fault("file", "valid TOML", str(error))
        raise errors.SettingsError("settings", [fault]) from error
    except cattrs_errors.ClassValidationError as error:
        faults = list(list_faults(error))
        raise errors.SettingsError("settings", faults) from error


def is_secret_hash(text: str) -> bool:
    """Whether a text is the hash of a token or an API key.

    The hash of an empty text is none: requests without a token would match it.

    Example:
        >>> is_secret_hash(hashlib.sha256(b"key").hexdigest())
        True
        >>> is_secret_hash(hashlib.sha256(b"").hexdigest())
        False
    """
    return bool(_SHA256_HEX.fullmatch(text)) and text != _EMPTY_SHA256


def strict_converter() -> cattrs.Converter:
    """Creates a converter that rejects unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    strict_types.register(converter)
    return converter


def list_faults(
    error: BaseException, path: str = ""
) -> typing.Iterator[errors.Fault]:
    """Flattens a tree of conversion errors into faults with paths.

    Args:
        error: Exception that the converter raised.
        path: Path of the value that was converted.

    Yields:
        One fault for each leaf of the tree.
    """
    if isinstance(error, cattrs_errors.ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            yield errors.Fault(_join_path(path, key), "no such key", "one")
        return
    if not isinstance(error, BaseExceptionGroup):
        yield _leaf_fault(error, path)
        return
    for inner in error.exceptions:
        yield from list_faults(inner, _join_path(path, _path_segment(inner)))


def _leaf_fault(error: BaseException, path: str) -> errors.Fault:
    if isinstance(error, KeyError):
        return errors.Fault(
            _join_path(path, str(error.args[0]), once=True),
            "a value",
            "nothing",
        )
    if isinstance(error, strict_types.WrongTypeError):
        return errors.Fault(path, error.expected, error.found)
    return errors.Fault(path, "a valid value", str(error))


def _path_segment(error: BaseException) -> str:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, cattrs_errors.AttributeValidationNote):
            return note.name
        if isinstance(note, cattrs_errors.IterableValidationNote):
            return f"[{note.index}]"
    return ""


def _join_path(path: str, name: str, once: bool = False) -> str:
    if once and path.rpartition(".")[2] == name:
        return path
    if not path or not name or name.startswith("["):
        return f"{path}{name}"
    return f"{path}.{name}"


def _check_values(parsed: Settings) -> typing.Iterator[errors.Fault]:
    ports = {
        "callers.port": parsed.callers.port,
        "operators.port": parsed.operators.port,
        "mesh.port": parsed.mesh.port,
    }
    for location, port in ports.items():
        if not 0 < port <= MAX_PORT:
            yield errors.Fault(location, f"1 to {MAX_PORT}", str(port))
    texts = {
        "daemon.name": parsed.daemon.name,
        "daemon.region": parsed.daemon.region,
        "daemon.availability_zone": parsed.daemon.availability_zone,
        "mesh.secret": parsed.mesh.secret,
    }
    for location, text in texts.items():
        if not text:
            yield errors.Fault(location, "a non-empty text", "an empty one")
    yield from _check_tokens(parsed.operators)
    for index, seed in enumerate(parsed.mesh.seeds):
        if not seed.rpartition(":")[2].isdigit():
            location = f"mesh.seeds[{index}]"
            yield errors.Fault(location, "host:port", repr(seed))
    urls = {
        "platform.key_value_url": parsed.platform.key_value_url,
        "platform.vm_list_url": parsed.platform.vm_list_url,
    }
    for location, url in urls.items():
        if not url.startswith(("http://", "https://")):
            yield errors.Fault(location, "an http or https URL", repr(url))


def _check_tokens(operators: Operators) -> typing.Iterator[errors.Fault]:
    for name in ("view_token_sha256", "operate_token_sha256"):
        for index, token_hash in enumerate(getattr(operators, name)):
            if not is_secret_hash(token_hash):
                location = f"operators.{name}[{index}]"
                yield errors.Fault(location, SECRET_HASH, "another text")
