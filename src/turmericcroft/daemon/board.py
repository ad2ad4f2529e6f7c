"""State that the daemon's tasks share, and the configuration in force."""

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
    """The configuration that this daemon currently uses.

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

        The lookup uses a hash of the key, so that its duration does not
        reveal how much of a guessed key is correct.
        """
        digest = hashlib.sha256(api_key.encode()).hexdigest()
        name = self.accounts_by_key.get(digest)
        return None if name is None else self.content.accounts[name]


def decode_in_force(
    head: part.Head,
    parts: Mapping[str, bytes],
    previous: InForce | None = None,
) -> InForce:
    """Decodes the configuration of a head.

    Args:
        head: The head.
        parts: Encoded parts by content hash.
        previous: The configuration in force so far; decoded parts that did
            not change are reused, so that changing one row is cheap.

    Raises:
        errors.FaultyInputError: A part is missing or damaged.
    """
    reusable = {} if previous is None else previous.decoded
    decoded = {
        digest: reusable.get(digest)
        or part.decode_part(digest, parts.get(digest))
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
    """State shared by the tasks of one daemon.

    A task replaces a snapshot as a whole; each snapshot is written by one
    task only.

    Attributes:
        in_force: The configuration in force; written by the configuration
            task.
        fleet: The backend servers; written by the fleet task.
        leaving: Names of servers whose reclaim was announced; written by
            the fleet task.
        load: Load of the model engines, updated by the answering tasks.
        service_load: Load of the plain services, updated by their calls. It
            is separate because the slots of services and engines are not
            comparable.
        limits: Rate limits of accounts.
        retries: Retry budget.
        suspects: Requests that may crash servers.
        may_serve: Whether the configuration in force is the newest that
            this daemon can obtain; written by the configuration task.
        stopping: Whether this daemon is stopping and refuses new work.
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
        """Returns the load view that contains a server."""
        return self.load if server.is_model else self.service_load

    @property
    def config_number(self) -> int:
        """Number of the configuration in force, 0 if there is none."""
        return 0 if self.in_force is None else self.in_force.head.number
