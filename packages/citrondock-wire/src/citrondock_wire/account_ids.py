"""Short ids for the names of client accounts."""

from collections.abc import Iterable, Sequence

import xxhash

ID_MASK = 0xFFFFFF


class AccountIds:
    """Ids by name, for one message.

    Names of the configuration have a hash that both sides know; others, and names
    whose hashes collide, travel in full.
    """

    def __init__(self) -> None:
        self._by_id: dict[int, str] = {}
        self._ids: dict[str, int] = {}

    def set_names(self, names: Iterable[str]) -> None:
        """Take the names of the configuration in force."""
        by_id: dict[int, str] = {}
        collided: set[int] = set()
        for name in names:
            number = xxhash.xxh32_intdigest(name.encode()) & ID_MASK
            if number in by_id:
                collided.add(number)
            by_id[number] = name
        self._by_id = {n: name for n, name in by_id.items() if n not in collided}
        self._ids = {name: number for number, name in self._by_id.items()}

    def number(self, name: str, extra: list[str]) -> int:
        """Return the id of a name, which may be added to the message's own names."""
        known = self._ids.get(name)
        if known is not None:
            return known
        if name not in extra:
            extra.append(name)
        return -1 - extra.index(name)

    def name(self, number: int, extra: Sequence[str]) -> str | None:
        """Return the name of an id, or None when it is not known here."""
        if number < 0:
            return extra[-1 - number]
        return self._by_id.get(number)
