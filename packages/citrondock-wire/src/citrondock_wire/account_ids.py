"""Short numeric ids for account names in messages between routers."""

from collections.abc import Iterable, Sequence

import xxhash

ID_MASK = 0xFFFFFF


class AccountIds:
    """Converts account names to numeric ids and back.

    The id of a configured account is a hash of its name, which every router with the
    same configuration can resolve. Other names, and names whose hashes collide, are
    carried in full by the batch; their ids are negative indices into its list.
    """

    def __init__(self) -> None:
        self._by_id: dict[int, str] = {}
        self._ids: dict[str, int] = {}

    def set_names(self, names: Iterable[str]) -> None:
        """Replace the configured account names."""
        by_id: dict[int, str] = {}
        collided: set[int] = set()
        for name in names:
            account_id = xxhash.xxh32_intdigest(name.encode()) & ID_MASK
            if account_id in by_id:
                collided.add(account_id)
            by_id[account_id] = name
        self._by_id = {n: name for n, name in by_id.items() if n not in collided}
        self._ids = {name: account_id for account_id, name in self._by_id.items()}

    def id_of(self, name: str, batch_accounts: list[str]) -> int:
        """Return the id of a name.

        A name without a hash id is added to ``batch_accounts``, the names that the
        batch carries in full.
        """
        known = self._ids.get(name)
        if known is not None:
            return known
        if name not in batch_accounts:
            batch_accounts.append(name)
        return -1 - batch_accounts.index(name)

    def name_of(self, account_id: int, batch_accounts: Sequence[str]) -> str | None:
        """Return the name of an id, or None when it is not configured here."""
        if account_id < 0:
            return batch_accounts[-1 - account_id]
        return self._by_id.get(account_id)
