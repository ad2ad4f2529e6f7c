"""Interpreter of the state charts in this package.

Charts are written in sismic's YAML form and loaded by sismic, or, where a
process should not carry sismic's memory, as a TOML table of transitions. The
charts on the request path are flat, so they are compiled once into a table: a
lookup costs well under a microsecond, where sismic's own interpreter needs
about a hundred.
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
    """A compiled flat chart.

    Attributes:
        name: The chart's name.
        initial: The first state.
        states: All states.
        table: The next state by state and event.
    """

    name: str
    initial: str
    states: frozenset[str]
    table: Mapping[tuple[str, str], str]

    def next_state(self, state: str, event: str) -> str:
        """Looks up the state that follows.

        Raises:
            errors.ChartError: The state has no transition for the event.

        Example:
            >>> load("request").next_state("received", "admitted")
            'accepted'
        """
        try:
            return self.table[state, event]
        except KeyError:
            allowed = sorted(e for s, e in self.table if s == state)
            raise errors.ChartError(
                f"chart {self.name}, state {state}: expected one of "
                f"{allowed}, found {event!r}"
            ) from None

    def is_final(self, state: str) -> bool:
        """Tells whether no transition leaves the state."""
        return all(source != state for source, _ in self.table)


@functools.cache
def load(name: str) -> Chart:
    """Loads and compiles a chart of this package.

    Args:
        name: File name without its ending.
    """
    charts = resources.files("turmericcroft.charts")
    table_form = charts / f"{name}.toml"
    if table_form.is_file():
        return _from_table(tomllib.loads(table_form.read_text("utf-8")))
    # Imported late: processes whose charts are tables do without its memory.
    from sismic import io as sismic_io

    source = charts / f"{name}.yaml"
    parsed: typing.Any = sismic_io.import_from_yaml(source.read_text("utf-8"))
    table = {
        (transition.source, transition.event): transition.target
        for transition in parsed.transitions
    }
    return Chart(
        name=parsed.name,
        initial=parsed.state_for(parsed.root).initial,
        states=frozenset(parsed.leaf_for(parsed.states)),
        table=types.MappingProxyType(table),
    )


def _from_table(raw: dict[str, typing.Any]) -> Chart:
    states: dict[str, dict[str, str]] = raw["states"]
    table = {
        (state, event): target
        for state, transitions in states.items()
        for event, target in transitions.items()
    }
    unknown = sorted({*table.values(), raw["initial"]} - states.keys())
    if unknown:
        raise errors.ChartError(
            f"chart {raw['name']}: expected known states, found {unknown}"
        )
    return Chart(
        name=raw["name"],
        initial=raw["initial"],
        states=frozenset(states),
        table=types.MappingProxyType(table),
    )
