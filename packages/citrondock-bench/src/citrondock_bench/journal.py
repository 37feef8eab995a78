"""Reads the journal: one JSON file for each run on the users' test bench."""

import json
from collections.abc import Iterable
from pathlib import Path

import attrs


@attrs.frozen(kw_only=True)
class DayResult:
    """Result of one simulated day in one run.

    Parameters
    ----------
    site, name : str
        Deployment and name of the day.
    command : str
        Command of the test bench, such as ``score`` or ``run``.
    run_id, why : str
        Id of the journal entry, and the stated reason for the run.
    at : str
        Start of the run, ISO 8601.
    worth, score : float
        Share of the credit that was earned minus prices, and the score of the day,
        0 where the entry has none.
    broken_rules : tuple of str
        Names of the rules that were broken.
    weakest_part : str
        Part of the credit with the lowest earned share, and that share.
    dearest : str
        Item with the largest price, and that price.
    cpu_s, memory_gb_s, store_calls, zone_gb : float
        Processor seconds, memory in GB x seconds, store calls and GB between zones, of
        all routers over the whole day.
    gate : bool
        Whether the entry marks this day as passed.
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


def read_journal(folder: Path) -> list[DayResult]:
    """Return the scored days of all journal files, the oldest file first."""
    days: list[DayResult] = []
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text())
        for day in entry.get("days") or ():
            if day.get("G") is not None:
                days.append(_day_result(entry, day))
    return days


def newest_scores(days: Iterable[DayResult]) -> dict[str, dict[str, DayResult]]:
    """Return the newest result by ``score`` of each standard day, by site and day.

    Days whose name begins with ``fresh`` are not standard days, and runs whose stated
    reason begins with ``trial`` are of code that did not land.
    """
    newest: dict[str, dict[str, DayResult]] = {}
    for day in days:
        is_trial = day.why.startswith("trial")
        is_standard = not day.name.startswith("fresh")
        if day.command == "score" and is_standard and not is_trial:
            newest.setdefault(day.site, {})[day.name] = day
    return newest


def _day_result(entry: dict, day: dict) -> DayResult:  # type: ignore[type-arg]
    prices = {name: (amount, cost) for name, amount, cost in day.get("prices") or ()}
    parts = day.get("parts") or []
    weakest = min(parts, key=lambda part: part[2], default=None)
    # Amounts that the site does not charge for have no cost.
    priced = [item for item in prices.items() if item[1][1] is not None]
    dearest = max(priced, key=lambda item: item[1][1], default=None)

    def amount(name: str) -> float:
        return float(prices.get(name, (0.0, 0.0))[0])

    return DayResult(
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
