"""Keys and decoders of the store entries that the gateway reads."""

from turmericcroft.fleet import directory
from turmericcroft.platform import declaration
from turmericcroft.platform import registry
from turmericcroft.routing import declaration as declarations


class StoreSchema:
    """Implements the gateway's `StoreSchema` interface for the platform."""

    declaration_key = declaration.CONFIGURATION_KEY
    declaration_prefix = declaration.KEY_PREFIX
    server_prefix = registry.KEY_PREFIX

    def decode_declaration(self, value: bytes) -> declarations.Declaration:
        """Decodes a declaration; raises errors.FaultyInputError if invalid."""
        return declaration.decode(value)

    def decode_server(self, name: str, value: bytes) -> directory.Server | None:
        """Decodes a server's entry; None if it is malformed."""
        return registry.decode(name, value)
