"""Limits on the requests of all routers together that targets name in responses."""

from collections.abc import Collection

import attrs

from citrondock_core.routing.warm_up import WarmUps

MAX_AGE_S = 30.0
"""Age at which a limit that no response names any more is forgotten."""

ENDED_REPORT_S = 5.0
"""Time for which other routers are told of the end of a limit."""

SAME_LIMIT_SHARE = 0.1
"""Change of a limit, as a share of it, that other routers are not told at once."""


@attrs.frozen(kw_only=True)
class TargetLimit:
    """What a router knows of a target's limit.

    Parameters
    ----------
    target_id : str
        Id of the target.
    requests_per_s : float or None
        Requests that it takes from all routers together; None if it names no limit.
    age_s : float
        Time since a response last showed this.
    """

    target_id: str
    requests_per_s: float | None
    age_s: float


@attrs.define
class _KnownLimit:
    requests_per_s: float | None
    shown_at_s: float


class TargetLimits:
    """Limits of targets, from this router's responses and from other routers.

    Cold targets have a limit, too, which is known from `warm_ups` and not exchanged.

    A limit ends with a successful response that names none, to a request that was sent
    after the limit was last named: responses of other connections may be older.
    """

    def __init__(self, warm_ups: WarmUps | None = None) -> None:
        self.warm_ups = warm_ups or WarmUps()
        self._known: dict[str, _KnownLimit] = {}

    def allowed_per_s(self, target_id: str, *, now_s: float) -> float | None:
        """Return the requests that a target takes; None if nothing limits them."""
        limits = (
            self.requests_per_s(target_id, now_s=now_s),
            self.warm_ups.requests_per_s(target_id, now_s=now_s),
        )
        return min((limit for limit in limits if limit is not None), default=None)

    def requests_per_s(self, target_id: str, *, now_s: float) -> float | None:
        """Return the limit that a target names, or None if it names none."""
        known = self._known.get(target_id)
        if known is None or now_s - known.shown_at_s > MAX_AGE_S:
            return None
        return known.requests_per_s

    def record_response(
        self,
        target_id: str,
        requests_per_s: float | None,
        *,
        sent_at_s: float,
        now_s: float,
    ) -> TargetLimit | None:
        """Apply what a response shows.

        Parameters
        ----------
        target_id : str
            Target that sent it.
        requests_per_s : float or None
            Limit that it names.
        sent_at_s : float
            When its request was sent.
        now_s : float
            Monotonic time.

        Returns
        -------
        TargetLimit or None
            The limit if it began, changed or ended, so that others have to know.
        """
        known = self._known.get(target_id)
        before = self.requests_per_s(target_id, now_s=now_s)
        if requests_per_s is None and (
            before is None or known is None or sent_at_s <= known.shown_at_s
        ):
            return None
        self._known[target_id] = _KnownLimit(requests_per_s, now_s)
        if not _differs(before, requests_per_s):
            return None
        return TargetLimit(
            target_id=target_id, requests_per_s=requests_per_s, age_s=0.0
        )

    def merge(self, limit: TargetLimit, *, now_s: float) -> bool:
        """Adopt what another router knows; return whether it changes the limit."""
        shown_at_s = now_s - limit.age_s
        known = self._known.get(limit.target_id)
        if known is not None and known.shown_at_s >= shown_at_s:
            return False
        before = self.requests_per_s(limit.target_id, now_s=now_s)
        self._known[limit.target_id] = _KnownLimit(limit.requests_per_s, shown_at_s)
        return _differs(before, limit.requests_per_s)

    def report(self, target_id: str, *, now_s: float) -> TargetLimit | None:
        """Return a limit in force to tell another router; None without one."""
        requests_per_s = self.requests_per_s(target_id, now_s=now_s)
        if requests_per_s is None:
            return None
        age_s = now_s - self._known[target_id].shown_at_s
        return TargetLimit(
            target_id=target_id, requests_per_s=requests_per_s, age_s=age_s
        )

    def reports(self, *, now_s: float) -> list[TargetLimit]:
        """Return the limits in force, and those that ended lately; forget old ones."""
        limits = []
        for target_id, known in list(self._known.items()):
            age_s = now_s - known.shown_at_s
            is_ended = known.requests_per_s is None
            if age_s > MAX_AGE_S:
                del self._known[target_id]
            elif not is_ended or age_s <= ENDED_REPORT_S:
                limits.append(
                    TargetLimit(
                        target_id=target_id,
                        requests_per_s=known.requests_per_s,
                        age_s=age_s,
                    )
                )
        return limits

    def forget(self, target_id: str) -> None:
        """Forget the limit of a target that restarted."""
        self._known.pop(target_id, None)

    def keep_only(self, target_ids: Collection[str]) -> None:
        """Forget the limits of all targets but those named."""
        for target_id in set(self._known) - set(target_ids):
            del self._known[target_id]


def _differs(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is not after
    return abs(after - before) > SAME_LIMIT_SHARE * before
