"""Snapshots that the daemon's tasks publish to each other."""

import dataclasses
import hashlib
import types
from collections.abc import Mapping

from turmericcroft.intent import document
from turmericcroft.intent import part
from turmericcroft.routing import fleet
from turmericcroft.routing import limits
from turmericcroft.routing import loadview
from turmericcroft.routing import suspects


@dataclasses.dataclass(frozen=True)
class InForce:
    """The configuration in force.

    Attributes:
        head: Its head.
        parts: Its encoded parts by content hash.
        decoded: Its decoded parts by content hash.
        content: The decoded document.
        accounts_by_key: Account names by the hash of an API key.
    """

    head: part.Head
    parts: Mapping[str, bytes]
    decoded: Mapping[str, part.Part]
    content: document.Document
    accounts_by_key: Mapping[str, str]

    def find_account(self, api_key: str) -> document.Account | None:
        """Finds the account of an API key.

        The lookup is by the key's hash, so its time tells nothing about
        how much of a guessed key is right.
        """
        digest = hashlib.sha256(api_key.encode()).hexdigest()
        name = self.accounts_by_key.get(digest)
        return None if name is None else self.content.accounts[name]


def decode_in_force(
    head: part.Head,
    parts: Mapping[str, bytes],
    previous: InForce | None = None,
) -> InForce:
    """Decodes the parts of a head.

    Args:
        head: The head.
        parts: Encoded parts by content hash.
        previous: What is in force until now; parts that did not change are
            taken from it, so that a change of one row costs little.

    Raises:
        errors.FaultyInputError: A part is missing or damaged.
    """
    known = {} if previous is None else previous.decoded
    decoded = {
        digest: known.get(digest) or part.decode_part(digest, parts.get(digest))
        for digest in head.parts
    }
    content = part.join(decoded.values())
    accounts_by_key = {
        digest: account.name
        for account in content.accounts.values()
        for digest in account.key_sha256
    }
    return InForce(
        head,
        types.MappingProxyType({d: parts[d] for d in head.parts}),
        types.MappingProxyType(decoded),
        content,
        types.MappingProxyType(accounts_by_key),
    )


class Board:
    """Latest snapshots; each attribute has one task that writes it.

    Attributes:
        in_force: Written by the configuration task.
        fleet: Written by the fleet task.
        leaving: Names of servers whose reclaim was announced.
        load: Load of the model engines, updated by the answering tasks.
        service_load: Load of the plain services, updated by their calls;
            apart, since their slots say nothing about the engines.
        limits: Rate limits of accounts.
        retries: Budget of retries.
        suspects: Requests that may crash servers.
        may_serve: Whether the number in force is known to be the newest
            that can be learned; written by the configuration task.
        stopping: Whether this daemon takes no new work.
    """

    def __init__(self) -> None:
        self.in_force: InForce | None = None
        self.fleet: fleet.Fleet = fleet.EMPTY
        self.leaving: frozenset[str] = frozenset()
        self.load = loadview.LoadView()
        self.service_load = loadview.LoadView()
        self.limits = limits.AccountLimits()
        self.retries = limits.RetryBudget()
        self.suspects = suspects.Suspects()
        self.may_serve = False
        self.stopping = False

    def load_of(self, server: fleet.Server) -> loadview.LoadView:
        """The load view that follows a server."""
        return self.load if server.is_model else self.service_load

    @property
    def config_number(self) -> int:
        """The configuration number in force, 0 for none."""
        return 0 if self.in_force is None else self.in_force.head.number
