"""Keys, decoders and encoders of the gateway's and operators' store entries."""

import contextlib
import json

import msgspec

from turmericcroft import errors
from turmericcroft.fleet import directory
from turmericcroft.fleet import part_reader as parts
from turmericcroft.fleet import positions
from turmericcroft.gateway import ports
from turmericcroft.platform import declaration
from turmericcroft.platform import registry
from turmericcroft.rollouts import notes
from turmericcroft.routing import declaration as declarations


class StoreSchema:
    """Implements the gateway's `StoreSchema` interface for the platform."""

    declaration_key = declaration.CONFIGURATION_KEY
    declaration_prefix = declaration.KEY_PREFIX
    server_prefix = registry.KEY_PREFIX
    rollout_prefix = declaration.KEY_PREFIX + "rollout/"
    rollout_status_prefix = "status/rollout/"

    def decode_declaration(self, value: bytes) -> declarations.Declaration:
        """Decodes a declaration; raises errors.FaultyInputError if invalid."""
        return declaration.decode(value)

    def decode_server(self, name: str, value: bytes) -> directory.Server | None:
        """Decodes a server's entry; None if it is malformed."""
        return registry.decode(name, value)

    def decode_rollout(
        self, service: str, value: bytes, position: positions.StorePosition
    ) -> notes.Order:
        """Decodes an order of a rollout; its duration is 0 if malformed."""
        target, duration_s = "", 0.0
        with contextlib.suppress(*errors.DECODING_FAULTS):
            raw = json.loads(value)
            if isinstance(raw["target"], str):
                target = raw["target"].encode().decode()
            stated_s = msgspec.convert(raw["durationS"], parts.Amount)
            if target and raw["service"] == service and stated_s < float("inf"):
                duration_s = stated_s
        return notes.Order(service, target, duration_s, position)

    def encode_rollout_status(self, status: ports.RolloutStatus) -> bytes:
        """Encodes how far a rollout has come."""
        target, ended = status
        state = ended.value if ended else "in_progress"
        return json.dumps({"state": state, "target": target}).encode()

    def decode_rollout_status(self, value: bytes) -> ports.RolloutStatus | None:
        """Decodes a status; None if it is malformed."""
        with contextlib.suppress(*errors.DECODING_FAULTS):
            raw = json.loads(value)
            state = raw["state"]
            ended = None if state == "in_progress" else notes.Phase(state)
            return raw["target"].encode().decode(), ended
        return None
