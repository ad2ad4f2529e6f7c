"""Immutable, content-addressed parts of a document, and the head over them.

A document is split into buckets by the hash of each item's key. A change of
one row therefore rewrites one part, and a daemon fetches only the parts whose
hash it does not hold.
"""

import dataclasses
import hashlib
import json
import types
import typing
from collections.abc import Iterable
from collections.abc import Mapping

import cattrs
import xxhash

from turmericcroft import errors
from turmericcroft.intent import document

ITEMS_PER_PART = 64
_HASH_BYTES = 16


@dataclasses.dataclass(frozen=True)
class Part:
    """One bucket of a document.

    Attributes:
        deployments: Rows of this bucket, by key order.
        accounts: Accounts of this bucket, by name.
        policy: The policy, in the first bucket only.
    """

    deployments: tuple[document.Deployment, ...] = ()
    accounts: tuple[document.Account, ...] = ()
    policy: document.Policy | None = None


@dataclasses.dataclass(frozen=True)
class Head:
    """The accepted configuration.

    Attributes:
        number: Rises by one with each acceptance.
        parts: Content hashes of the parts, by bucket.
        author: Who applied it.
        message: Why.
        applied_at: UNIX time of the apply, in seconds.
        rollback_of: The number whose content was restored, or 0.
        apply_id: Unique id of the apply, to settle a lost answer.
    """

    number: int
    parts: tuple[str, ...]
    author: str
    message: str
    applied_at: float
    rollback_of: int = 0
    apply_id: str = ""


_CONVERTER = cattrs.Converter()


def split(whole: document.Document) -> Mapping[str, bytes]:
    """Encodes a document into parts.

    Returns:
        Encoded parts by content hash, in bucket order.
    """
    count = _bucket_count(len(whole.deployments) + len(whole.accounts))
    rows: list[list[document.Deployment]] = [[] for _ in range(count)]
    accounts: list[list[document.Account]] = [[] for _ in range(count)]
    for key in sorted(whole.deployments):
        rows[_bucket(key, count)].append(whole.deployments[key])
    for key in sorted(whole.accounts):
        accounts[_bucket(key, count)].append(whole.accounts[key])
    encoded: dict[str, bytes] = {}
    for index in range(count):
        policy = whole.policy if index == 0 else None
        part = Part(tuple(rows[index]), tuple(accounts[index]), policy)
        data = _encode(part)
        encoded[content_hash(data)] = data
    return types.MappingProxyType(encoded)


def decode_part(digest: str, data: bytes | None) -> Part:
    """Decodes a part and checks that its content is the one named.

    Raises:
        errors.FaultyInputError: The part is missing or damaged.
    """
    if data is None or content_hash(data) != digest:
        fault = errors.Fault(f"part {digest}", "its content", "other")
        raise errors.FaultyInputError("configuration", [fault])
    return _CONVERTER.structure(json.loads(data), Part)


def join(decoded: Iterable[Part]) -> document.Document:
    """Joins the decoded parts of a head."""
    deployments: dict[str, document.Deployment] = {}
    accounts: dict[str, document.Account] = {}
    policy = document.Policy()
    for part in decoded:
        deployments.update((row.key, row) for row in part.deployments)
        accounts.update((item.key, item) for item in part.accounts)
        policy = part.policy or policy
    return document.Document(deployments, accounts, policy)


def decode_document(
    head: Head, parts: Mapping[str, bytes]
) -> document.Document:
    """Decodes the whole document of a head.

    Raises:
        errors.FaultyInputError: A part is missing or damaged.
    """
    return join(decode_part(digest, parts.get(digest)) for digest in head.parts)


def content_hash(data: bytes) -> str:
    """Hashes encoded content, as 32 hex digits."""
    return hashlib.blake2b(data, digest_size=_HASH_BYTES).hexdigest()


def encode_head(head: Head) -> bytes:
    """Encodes a head as JSON."""
    return _encode(head)


def decode_head(data: bytes) -> Head:
    """Decodes a head."""
    return _CONVERTER.structure(json.loads(data), Head)


def _encode(value: typing.Any) -> bytes:
    plain = _CONVERTER.unstructure(value)
    return json.dumps(plain, separators=(",", ":"), sort_keys=True).encode()


def _bucket_count(items: int) -> int:
    count = 1
    while count * ITEMS_PER_PART < items:
        count *= 2
    return count


def _bucket(key: str, count: int) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % count
