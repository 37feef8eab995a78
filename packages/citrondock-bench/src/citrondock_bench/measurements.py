"""Writes the page of measurements from the journal: ``make measurements``."""

import sys
from pathlib import Path

from citrondock_bench.journal import DayResult, newest_scores, read_journal

HEADER = """# Measurements

Made from `journal/` by `make measurements`; the newest scored run of each standard day.
Worth is the share of credit earned less prices; the mark is 1 at the day's upper mark.
Amounts are of all routers over the whole day. Trials and hunts stand in the journal.
"""

COLUMNS = (
    "day",
    "worth",
    "mark",
    "broken rules",
    "weakest part",
    "largest price",
    "processor s",
    "memory GB s",
    "store calls",
    "GB between zones",
    "run",
)


def page(days: list[DayResult]) -> str:
    """Return the text of the page, with one table for each site."""
    lines = [HEADER]
    for site, by_name in sorted(newest_scores(days).items()):
        lines += [f"## {site}", "", _row(COLUMNS), _row(["---"] * len(COLUMNS))]
        lines += [_row(_cells(by_name[name])) for name in sorted(by_name)]
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"


def _cells(day: DayResult) -> list[str]:
    return [
        day.name,
        f"{day.worth:.3f}",
        f"{day.score:.2f}",
        ", ".join(day.broken_rules) or "none",
        day.weakest_part,
        day.dearest,
        f"{day.cpu_s:.0f}",
        f"{day.memory_gb_s:.1f}",
        f"{day.store_calls:.0f}",
        f"{day.zone_gb:.3f}",
        f"{day.run_id} {day.at}",
    ]


def _row(cells: "list[str] | tuple[str, ...]") -> str:
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    """Print the page for the journal folder in the first argument."""
    folder = Path(sys.argv[1] if len(sys.argv) > 1 else "journal")
    sys.stdout.write(page(read_journal(folder)))


if __name__ == "__main__":
    main()
