"""Recently refused requests, to recognise them when the client sends them again."""

from collections import OrderedDict

from citrondock_core.routing.request_facts import RequestFacts

MAX_REMEMBERED_REQUESTS = 4096
"""About ten seconds of refusals on a busy router, in about half a megabyte."""

MAX_AGE_S = 15.0
"""Age at which a refusal is forgotten: no client waits longer for a response."""


class RefusedRequests:
    """Remembers when refused requests arrived for the first time.

    Each attempt of a client has its own request id, so a request is recognised by the
    last part of its prompt, which no other request shares.
    """

    def __init__(self) -> None:
        self._arrived_at_s: OrderedDict[str, float] = OrderedDict()

    def remember(
        self, account: str, facts: RequestFacts, *, arrived_at_s: float
    ) -> None:
        """Remember the first arrival of a request that is refused now."""
        key = _key(account, facts)
        if key is None:
            return
        self._arrived_at_s[key] = arrived_at_s
        self._arrived_at_s.move_to_end(key)
        while len(self._arrived_at_s) > MAX_REMEMBERED_REQUESTS:
            self._arrived_at_s.popitem(last=False)

    def first_arrival_s(
        self, account: str, facts: RequestFacts, *, now_s: float
    ) -> float:
        """Return when a request first arrived and forget it; ``now_s`` if it is new."""
        key = _key(account, facts)
        arrived_at_s = self._arrived_at_s.pop(key, now_s) if key is not None else now_s
        return arrived_at_s if now_s - arrived_at_s <= MAX_AGE_S else now_s


def _key(account: str, facts: RequestFacts) -> str | None:
    prompt = facts.prompt
    if prompt is None or not prompt.parts:
        return None
    own_part_id = prompt.parts[-1].part_id
    return f"{account}/{prompt.model}/{own_part_id}/{prompt.prompt_token_count}"
