"""Changes of the store that one router passes on to others."""

import attrs


@attrs.frozen(kw_only=True)
class StoreChanges:
    """All changes of one kind of objects between two revisions of the store.

    Parameters
    ----------
    kind : str
        Kind of objects.
    era : int
        Era of the store in which the revisions were given out.
    after_revision, revision : int
        The changes are those after the first and up to the second revision.
    objects : bytes
        The changed objects, encoded.
    """

    kind: str
    era: int
    after_revision: int
    revision: int
    objects: bytes
