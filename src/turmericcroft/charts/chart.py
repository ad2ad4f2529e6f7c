"""Interpreter of the state charts in this package.

A chart is either a YAML file in sismic's format, which sismic parses, or a TOML
table of transitions, which saves a process the memory that importing sismic
takes. The charts on the request path are flat, so each is compiled once into a
transition table: a lookup takes well under a microsecond, sismic's own
interpreter about a hundred.
"""

import dataclasses
import functools
import tomllib
import types
import typing
from collections.abc import Mapping
from importlib import resources

from turmericcroft import errors


@dataclasses.dataclass(frozen=True)
class Chart:
    """A flat state chart, compiled into a transition table.

    Attributes:
        name: Name of the chart.
        initial: Initial state.
        states: All states.
        transitions: Next state by state and event.
    """

    name: str
    initial: str
    states: frozenset[str]
    transitions: Mapping[tuple[str, str], str]

    def next_state(self, state: str, event: str) -> str:
        """Looks up the state that follows an event.

        Raises:
            errors.ChartError: The state has no transition for the event.

        Example:
            >>> load("request").next_state("received", "admitted")
            'accepted'
        """
        try:
            return self.transitions[state, event]
        except KeyError:
            allowed = sorted(e for s, e in self.transitions if s == state)
            raise errors.ChartError(
                f"chart {self.name}, state {state}: expected one of "
                f"{allowed}, found {event!r}"
            ) from None

    def is_final(self, state: str) -> bool:
        """Returns whether the state has no outgoing transitions."""
        return all(source != state for source, _ in self.transitions)


@functools.cache
def load(name: str) -> Chart:
    """Loads and compiles a chart of this package.

    Args:
        name: File name without its extension. The TOML file is used if there
            is one.
    """
    charts = resources.files("turmericcroft.charts")
    toml_file = charts / f"{name}.toml"
    if toml_file.is_file():
        return _compile_toml(tomllib.loads(toml_file.read_text("utf-8")))
    # Imported here, so that a process that loads only TOML charts doesn't
    # spend memory on sismic.
    from sismic import io as sismic_io

    yaml_file = charts / f"{name}.yaml"
    parsed: typing.Any = sismic_io.import_from_yaml(
        yaml_file.read_text("utf-8")
    )
    transitions = {
        (transition.source, transition.event): transition.target
        for transition in parsed.transitions
    }
    return Chart(
        name=parsed.name,
        initial=parsed.state_for(parsed.root).initial,
        states=frozenset(parsed.leaf_for(parsed.states)),
        transitions=types.MappingProxyType(transitions),
    )


def _compile_toml(raw: dict[str, typing.Any]) -> Chart:
    states: dict[str, dict[str, str]] = raw["states"]
    transitions = {
        (state, event): target
        for state, target_by_event in states.items()
        for event, target in target_by_event.items()
    }
    unknown = sorted({*transitions.values(), raw["initial"]} - states.keys())
    if unknown:
        raise errors.ChartError(
            f"chart {raw['name']}: expected known states, found {unknown}"
        )
    return Chart(
        name=raw["name"],
        initial=raw["initial"],
        states=frozenset(states),
        transitions=types.MappingProxyType(transitions),
    )
