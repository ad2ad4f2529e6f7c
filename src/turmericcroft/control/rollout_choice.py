"""Which servers requests may use while a service changes its version."""

import asyncio
import copy
import random

from turmericcroft.fleet import directory
from turmericcroft.gateway import server_statements
from turmericcroft.gateway import state as states
from turmericcroft.rollouts import gate
from turmericcroft.rollouts import notes


class VersionChoice:
    """Asks the gate for each choice of a server."""

    def __init__(self, state: states.State) -> None:
        self.state = state
        self._gate = gate.VersionGate(random.Random())

    def copy(self, state: states.State) -> "VersionChoice":
        """Returns a copy that decides alike on a copy of the state."""
        other = copy.copy(self)
        other.state = state
        other._gate = self._gate.copy()
        return other

    def limit(
        self,
        servers: tuple[directory.Server, ...],
        service: str,
        bound_version: str | None,
        new_on_route: str | None,
    ) -> tuple[directory.Server, ...]:
        """Returns those of a service's usable servers that a request may use.

        Args:
            servers: The usable servers.
            service: Name of the service.
            bound_version: Version that began the request's stream; None if none
                has.
            new_on_route: Route of a request that was not sent yet, which may
                take part in the trial; None for others.
        """
        now_s = asyncio.get_running_loop().time()
        note = self.state.rollouts.latest(service, now_s)
        if note is None:
            return servers
        is_retry = new_on_route is None
        excluded = self.state.rollouts.excluded_versions(service)
        route, age_s = new_on_route or "", note.decided_age_s
        found = self._gate.usable(
            servers, route, bound_version, note, age_s, is_retry, excluded
        )
        if not is_retry and not any(self._has_room(s, now_s) for s in found):
            # A request whose turn it is may go to another version instead.
            others = self._gate.usable(
                servers, route, bound_version, note, age_s, True, excluded
            )
            found = others or found
        if (
            not found
            and not note.replaced
            and notes.read_phase(note) is notes.Phase.WAITING
        ):
            # An order for the only version: until it is decided, which ends it,
            # requests would be refused for no reason.
            return servers
        return found

    def _has_room(self, server: directory.Server, now_s: float) -> bool:
        """Returns whether a server takes another request of this daemon now."""
        return not server_statements.hold_off_s(
            self.state, server, now_s
        ) and server_statements.has_room(self.state, server, now_s)
