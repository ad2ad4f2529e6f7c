"""Positions in the history of the store.

After a failure the store may continue from a copy that is some seconds old. It
then gives out the revisions since that copy again, for other changes, and its
era increases. Revisions of different eras can't be compared, so whatever is
learned from the store is ordered by era first.

A position that is far too high would hide all later ones. What states one that
can't be reached is not believed.
"""

import dataclasses

# Both together fit into the 53 bits that JSON numbers keep exactly.
REVISION_BITS = 40
MAX_REVISION = 2**REVISION_BITS - 1
MAX_ERA = 8_191
_MAX_ERA_DIGITS = 4


@dataclasses.dataclass(frozen=True, order=True)
class StorePosition:
    """A point in the history of the store.

    Attributes:
        era: Increases each time the store continues from an older copy; 0 if
            the store states none.
        revision: Number of the change within the era.

    Example:
        >>> StorePosition(1, 90) < StorePosition(2, 40) < StorePosition(2, 41)
        True
    """

    era: int = 0
    revision: int = 0

    def is_reachable(self) -> bool:
        """Returns whether a store can get there.

        Example:
            >>> StorePosition(2, 40).is_reachable()
            True
            >>> StorePosition(2, 2**62).is_reachable()
            False
        """
        return 0 <= self.era <= MAX_ERA and 0 <= self.revision <= MAX_REVISION


START = StorePosition()


def parse_era(text: str | None, current: int) -> int:
    """Parses the era that an answer states; the current one without any.

    Example:
        >>> parse_era("3", 2), parse_era(None, 2), parse_era("\u00b2", 2)
        (3, 2, 2)
        >>> parse_era("9999", 2)
        2
    """
    if text is None or not text.isdecimal() or len(text) > _MAX_ERA_DIGITS:
        return current
    era = int(text)
    return era if era <= MAX_ERA else current
