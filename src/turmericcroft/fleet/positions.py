"""Positions in the history of the store.

After a failure the store may continue from a copy that is some seconds old. It
then gives out the revisions since that copy again, for other changes, and its
era increases. Revisions of different eras can't be compared, so whatever is
learned from the store is ordered by era first.
"""

import dataclasses


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


START = StorePosition()
