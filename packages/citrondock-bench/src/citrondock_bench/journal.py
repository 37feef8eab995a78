"""Reads the journal of runs on the users' bench."""

import json
from collections.abc import Iterable
from pathlib import Path

import attrs


@attrs.frozen(kw_only=True)
class PlayedDay:
    """One day of one run.

    Parameters
    ----------
    site, name : str
        Deployment and day.
    command : str
        Verb of the bench.
    run_id, why : str
        Journal entry, and why it was made.
    at : str
        When it began, ISO 8601.
    worth, score : float
        Share of the credit that was earned, less prices, and the day's mark.
    broken_rules : tuple of str
        Names of broken rules.
    weakest_part : str
        Part of the credit that was earned least, with its share.
    dearest : str
        Largest price, with what it cost.
    cpu_s, memory_gb_s, store_calls, zone_gb : float
        Processor seconds, memory by time, store calls and bytes between zones, of all
        routers and the whole day.
    gate : bool
        Whether the day passes by itself.
    """

    site: str
    name: str
    command: str
    run_id: str
    why: str
    at: str
    worth: float
    score: float
    broken_rules: tuple[str, ...]
    weakest_part: str
    dearest: str
    cpu_s: float
    memory_gb_s: float
    store_calls: float
    zone_gb: float
    gate: bool


def read_journal(folder: Path) -> list[PlayedDay]:
    """Return all days of a journal, the oldest run first."""
    days: list[PlayedDay] = []
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text())
        for day in entry.get("days") or ():
            if day.get("G") is not None:
                days.append(_played(entry, day))
    return days


def newest_scores(days: Iterable[PlayedDay]) -> dict[str, dict[str, PlayedDay]]:
    """Return the newest scored run of each standard day, by site and day."""
    newest: dict[str, dict[str, PlayedDay]] = {}
    for day in days:
        if day.command == "score" and not day.name.startswith("fresh"):
            newest.setdefault(day.site, {})[day.name] = day
    return newest


def _played(entry: dict, day: dict) -> PlayedDay:  # type: ignore[type-arg]
    prices = {name: (amount, cost) for name, amount, cost in day.get("prices") or ()}
    parts = day.get("parts") or []
    weakest = min(parts, key=lambda part: part[2], default=None)
    # Amounts that the site does not price come without a cost.
    priced = [item for item in prices.items() if item[1][1] is not None]
    dearest = max(priced, key=lambda item: item[1][1], default=None)

    def amount(name: str) -> float:
        return float(prices.get(name, (0.0, 0.0))[0])

    return PlayedDay(
        site=entry["site"],
        name=day["name"],
        command=entry["cmd"],
        run_id=entry["id"],
        why=entry.get("why") or "",
        at=entry["at"][0],
        worth=day["G"],
        score=day["score"] if day.get("score") is not None else 0.0,
        broken_rules=tuple(day.get("rules") or ()),
        weakest_part=f"{weakest[0]} {weakest[2]:.2f}" if weakest else "",
        dearest=f"{dearest[0]} {dearest[1][1]:.3f}" if dearest else "",
        cpu_s=amount("processor seconds"),
        memory_gb_s=amount("memory, GB x seconds"),
        store_calls=amount("cloud calls"),
        zone_gb=amount("GB between zones"),
        gate=bool(day.get("gate")),
    )
