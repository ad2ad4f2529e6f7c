"""What a quota replica knows of another daemon."""

import dataclasses

from turmericcroft.routing import offered_units


@dataclasses.dataclass
class PeerUsage:
    """Units that another daemon admitted for an account.

    Attributes:
        admitted: Running total that the daemon reported, in quota units.
        last_report_at_s: Monotonic time of its last report.
        recent_units: Recently admitted units, decaying, which determine its
            share of the rate.
        reserved_share: Share of the rate reserved for it while it does not
            report; 0 otherwise.
        offered: Units offered to it.
        lasting_units: Like recent_units, decaying more slowly.
    """

    admitted: float
    last_report_at_s: float
    offered: offered_units.ReportedUnits
    recent_units: float = 0.0
    reserved_share: float = 0.0
    lasting_units: float = 0.0
