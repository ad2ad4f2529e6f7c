"""Keys and forms of what the store holds for the gateway."""

from turmericcroft.fleet import directory
from turmericcroft.platform import declaration
from turmericcroft.platform import registry
from turmericcroft.routing import declaration as declarations


class Records:
    """Implements the gateway's interface to the store's contents."""

    declaration_key = declaration.CONFIGURATION_KEY
    declaration_prefix = declaration.KEY_PREFIX
    server_prefix = registry.KEY_PREFIX

    def decode_declaration(self, value: bytes) -> declarations.Declaration:
        """Reads a declaration; raises errors.FaultyInputError."""
        return declaration.decode(value)

    def decode_server(self, name: str, value: bytes) -> directory.Server | None:
        """Reads a server's entry; None if it cannot be read."""
        return registry.decode(name, value)
