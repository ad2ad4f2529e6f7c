"""Runs a gateway daemon whose connections lead through proxies of its own.

Daemons and servers of the lab share the loopback address, so a partition of one
daemon needs proxies that only this daemon uses. A file names them, by server
and by the ports of other daemons.
"""

import dataclasses
import json
import os
import pathlib

from turmericcroft.fleet import directory
from turmericcroft.gateway import members
from turmericcroft.gateway import messages
from turmericcroft.gateway import process_exit
from turmericcroft.gateway import settings
from turmericcroft.platform import __main__ as platform
from turmericcroft.platform import records

LINKS_VARIABLE = "TURMERICCROFT_LAB_LINKS"
_SETTINGS_VARIABLE = "TURMERICCROFT_SETTINGS"


class LinkedSchema(records.StoreSchema):
    """Replaces the addresses of servers by those of proxies.

    Attributes:
        links: File with the addresses of the proxies by server; other servers'
            addresses stay as they are. The lab may change it.
    """

    def __init__(self, links: pathlib.Path) -> None:
        super().__init__()
        self.links = links

    def decode_server(self, name: str, value: bytes) -> directory.Server | None:
        """Decodes a server's entry; returns None if it is invalid."""
        server = super().decode_server(name, value)
        links = json.loads(self.links.read_text())
        if server is None or name not in links:
            return server
        host, _, port = links[name].rpartition(":")
        return dataclasses.replace(server, host=host, port=int(port))


def mesh_key(daemon: str) -> str:
    """Returns the key of the proxy that leads to a daemon's mesh port."""
    return f"{daemon} mesh"


def tunnel_key(daemon: str) -> str:
    """Returns the key of the proxy that leads to a daemon's tunnel port."""
    return f"{daemon} tunnels"


class LinkedMembers(members.Members):
    """Replaces the addresses of other daemons by those of proxies.

    Attributes:
        links: File with the addresses of the proxies; other daemons' addresses
            stay as they are. The lab may change it.
    """

    links = pathlib.Path()

    def add_member(self, member: messages.Member) -> None:
        """Adds a daemon, which is reached through its proxies."""
        links = json.loads(self.links.read_text())
        mesh = links.get(mesh_key(member.name))
        if mesh is not None:
            tunnels = links[tunnel_key(member.name)]
            member = dataclasses.replace(
                member,
                port=int(mesh.rpartition(":")[2]),
                tunnel_port=int(tunnels.rpartition(":")[2]),
            )
        super().add_member(member)


def main() -> None:
    """Runs the daemon with the files that the environment names."""
    links = pathlib.Path(os.environ[LINKS_VARIABLE])
    LinkedMembers.links = links
    members.Members = LinkedMembers  # type: ignore[misc]
    config = settings.load(pathlib.Path(os.environ[_SETTINGS_VARIABLE]))
    process_exit.run_to_exit(platform.serve(config, LinkedSchema(links)))


if __name__ == "__main__":
    main()
