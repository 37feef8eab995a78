"""Targets that are cold, and the requests that they bear until they are warm.

It answers engines that start or restart under traffic: they are slow for some seconds,
and crash if all routers send them their usual load at once.
"""

from collections.abc import Mapping

import attrs
from attrs.validators import ge, gt

MAX_WARM_UP_S = 120.0
"""Longest warm-up that is believed; an entry may hold any number."""

RETURN_WARM_UP_S = 2.0
"""Time for which the targets of a zone count as cold once its evacuation has ended,
unless their entries say longer: they may have become cold shortly before, and entries
reach a router later than the end of the evacuation."""


@attrs.frozen(kw_only=True)
class WarmUpOptions:
    """What the targets of a service bear while they are cold.

    Parameters
    ----------
    requests_per_s : float
        Requests that one of them takes from all routers together.
    expected_s : float
        Usual time from a start until a target is warm.
    """

    requests_per_s: float = attrs.field(validator=gt(0))
    expected_s: float = attrs.field(validator=ge(0))


@attrs.define
class _Period:
    until_s: float
    """When the target is warm, on this router's clock."""
    registered_revision: int
    """Revision of the entry that said so; 0 if none has yet."""


class WarmUps:
    """Which targets are cold, by their entries or by what happened to them.

    A period that was read from an entry is kept until the entry is written again, so
    that listing an old entry once more does not begin it anew.
    """

    def __init__(self) -> None:
        self._options: Mapping[str, WarmUpOptions] = {}
        self._periods: dict[str, _Period] = {}

    def set_options(self, by_target: Mapping[str, WarmUpOptions]) -> None:
        """Replace the targets that have a warm-up."""
        self._options = by_target

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget the periods of all targets but those that are registered."""
        for target_id in set(self._periods) - target_ids:
            del self._periods[target_id]

    def record_entry(
        self, target_id: str, *, until_s: float, registered_revision: int
    ) -> None:
        """Apply what the entry of a target says.

        Parameters
        ----------
        target_id : str
            Id of the target.
        until_s : float
            When it is warm; not after now if it is warm already.
        registered_revision : int
            Revision at which the entry was written.
        """
        known = self._periods.get(target_id)
        if known is None or known.registered_revision != registered_revision:
            self._periods[target_id] = _Period(until_s, registered_revision)

    def expect(self, target_id: str, *, until_s: float) -> None:
        """Take a target for cold until a time, or until its entry is written again."""
        if target_id not in self._options:
            return
        known = self._periods.get(target_id)
        if known is None:
            self._periods[target_id] = _Period(until_s, 0)
        else:
            known.until_s = max(known.until_s, until_s)

    def expect_restart(self, target_id: str, *, back_at_s: float) -> None:
        """Take a target that crashed for cold once it is back."""
        options = self._options.get(target_id)
        if options is not None:
            self.expect(target_id, until_s=back_at_s + options.expected_s)

    def requests_per_s(self, target_id: str, *, now_s: float) -> float | None:
        """Return what a cold target takes from all routers; None if it is warm."""
        options = self._options.get(target_id)
        period = self._periods.get(target_id)
        if options is None or period is None or now_s >= period.until_s:
            return None
        return options.requests_per_s

    def cold_count(self, *, now_s: float) -> int:
        """Return how many targets are cold."""
        return sum(
            self.requests_per_s(target_id, now_s=now_s) is not None
            for target_id in self._periods
        )
