"""A position in the history of a store that may come back from an older copy."""

import attrs


@attrs.frozen(order=True)
class StorePosition:
    """Revision of a store within one era; positions are ordered by era first.

    A store that comes back from a copy gives out revisions again, so revisions of
    different eras cannot be compared.

    Parameters
    ----------
    era : int
        How often the store has come back from a copy.
    revision : int
        Revision within the era.
    """

    era: int = 0
    revision: int = 0
