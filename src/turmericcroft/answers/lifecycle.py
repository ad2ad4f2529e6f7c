"""State machine of one request, defined by a chart."""

from turmericcroft.charts import chart


class Lifecycle:
    """Current state of one request.

    Attributes:
        chart: States and transitions.
        state: Name of the current state.
    """

    def __init__(self, chart_name: str = "request") -> None:
        self.chart = chart.load(chart_name)
        self.state = self.chart.initial

    def advance(self, event: str) -> str:
        """Applies an event and returns the new state.

        Raises:
            errors.ChartError: The event is not allowed in this state.
        """
        self.state = self.chart.next_state(self.state, event)
        return self.state

    @property
    def ended(self) -> bool:
        """Whether the current state is final."""
        return self.chart.is_final(self.state)
