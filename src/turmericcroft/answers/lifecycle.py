"""Life cycle of one request, by a chart."""

from turmericcroft.charts import chart


class Lifecycle:
    """State of one request.

    Attributes:
        state: Name of the state.
    """

    def __init__(self, chart_name: str = "request") -> None:
        self.chart = chart.load(chart_name)
        self.state = self.chart.initial

    def advance(self, event: str) -> str:
        """Follows the transition of an event and returns the new state.

        Raises:
            errors.ChartError: The event is not allowed in this state.
        """
        self.state = self.chart.next_state(self.state, event)
        return self.state

    @property
    def ended(self) -> bool:
        """Whether no further event can follow."""
        return self.chart.is_final(self.state)
