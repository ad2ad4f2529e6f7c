"""Parts of the store's history in which a daemon has missed no change."""

import dataclasses

from turmericcroft.fleet import positions


@dataclasses.dataclass(frozen=True)
class Span:
    """A part of the store's history in which no change was missed.

    Attributes:
        first: Position of the complete listing that it begins with.
        last: Position up to which all changes are known. It is before `first`
            while the changes made during the listing are not.
        since_s: Monotonic time before which the store passed `first`.
    """

    first: positions.StorePosition
    last: positions.StorePosition
    since_s: float

    def join(self, other: "Span") -> "Span | None":
        """Returns both as one span; None if a gap may be between them.

        Example:
            >>> at = [positions.StorePosition(1, n) for n in range(10)]
            >>> Span(at[1], at[5], 0.0).join(Span(at[4], at[9], 7.0)).since_s
            0.0
            >>> Span(at[1], at[5], 0.0).join(Span(at[6], at[9], 7.0)) is None
            True
        """
        if (
            self.last.era != other.last.era
            or self.last < other.first
            or other.last < self.first
        ):
            return None
        return Span(
            min(self.first, other.first),
            max(self.last, other.last),
            min(self.since_s, other.since_s),
        )

    @property
    def is_whole(self) -> bool:
        """Whether the listing and the changes made during it are known.

        Before the first change of the store nothing is known.
        """
        return self.last >= self.first and self.last.revision > 0
