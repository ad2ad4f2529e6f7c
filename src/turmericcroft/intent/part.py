"""Encoding of a document as content-addressed parts and a head.

The items of a document are divided into buckets by the hash of their key, and
each bucket is encoded as an immutable part. The head lists the content hashes
of the parts. A change of one row therefore rewrites one part, and a daemon
fetches only the parts that it does not have.
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
    """The items of one bucket.

    Attributes:
        deployments: Rows of the bucket, sorted by key.
        accounts: Accounts of the bucket, sorted by name.
        policy: The policy in the first bucket; None in the others.
    """

    deployments: tuple[document.Deployment, ...] = ()
    accounts: tuple[document.Account, ...] = ()
    policy: document.Policy | None = None


@dataclasses.dataclass(frozen=True)
class Head:
    """An accepted configuration.

    Attributes:
        number: Number of the configuration; each acceptance increases it by 1.
        parts: Content hashes of the parts, in bucket order.
        author: Name of the operator who applied it.
        message: Reason for the change.
        applied_at: UNIX time at which it was applied, in seconds.
        rollback_of: Number of the configuration that it restores, or 0.
        apply_id: Unique id of the apply operation. If the store's response is
            lost, the stored head shows by it whether the operation succeeded.
    """

    number: int
    parts: tuple[str, ...]
    author: str
    message: str
    applied_at: float
    rollback_of: int = 0
    apply_id: str = ""


_CONVERTER = cattrs.Converter()


def split(configuration: document.Document) -> Mapping[str, bytes]:
    """Divides a document into encoded parts.

    Returns:
        Encoded parts by content hash, in bucket order.
    """
    count = _bucket_count(
        len(configuration.deployments) + len(configuration.accounts)
    )
    rows: list[list[document.Deployment]] = [[] for _ in range(count)]
    accounts: list[list[document.Account]] = [[] for _ in range(count)]
    for key in sorted(configuration.deployments):
        rows[_bucket_of(key, count)].append(configuration.deployments[key])
    for key in sorted(configuration.accounts):
        accounts[_bucket_of(key, count)].append(configuration.accounts[key])
    encoded: dict[str, bytes] = {}
    for index in range(count):
        policy = configuration.policy if index == 0 else None
        part = Part(tuple(rows[index]), tuple(accounts[index]), policy)
        data = _encode(part)
        encoded[content_hash(data)] = data
    return types.MappingProxyType(encoded)


def decode_part(digest: str, data: bytes | None) -> Part:
    """Decodes a part after checking its content hash.

    Raises:
        errors.FaultyInputError: The part is missing or damaged.
    """
    if data is None or content_hash(data) != digest:
        fault = errors.Fault(f"part {digest}", "its content", "other")
        raise errors.FaultyInputError("configuration", [fault])
    return _CONVERTER.structure(json.loads(data), Part)


def join(decoded: Iterable[Part]) -> document.Document:
    """Joins the decoded parts of a head into a document."""
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
    """Decodes the document of a head.

    Raises:
        errors.FaultyInputError: A part is missing or damaged.
    """
    return join(decode_part(digest, parts.get(digest)) for digest in head.parts)


def content_hash(data: bytes) -> str:
    """Hashes encoded content, to 32 hex digits."""
    return hashlib.blake2b(data, digest_size=_HASH_BYTES).hexdigest()


def encode_head(head: Head) -> bytes:
    """Encodes a head as JSON."""
    return _encode(head)


def decode_head(data: bytes) -> Head:
    """Decodes a head from JSON."""
    return _CONVERTER.structure(json.loads(data), Head)


def _encode(value: typing.Any) -> bytes:
    fields = _CONVERTER.unstructure(value)
    return json.dumps(fields, separators=(",", ":"), sort_keys=True).encode()


def _bucket_count(items: int) -> int:
    count = 1
    while count * ITEMS_PER_PART < items:
        count *= 2
    return count


def _bucket_of(key: str, count: int) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % count
