"""Tests that only the adapter knows the platform."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
WIRE_NAMES = re.compile(
    r"""Response-Signature|Expected-Instance|Prefix-Hash|Token-Usage|Length-Hint
    |Not-Executed|Server-Limit|Weight-Versions|Instance-Id|warmupLeftMs|maxBatchSize|routeType
    |pathPrefix|targetLatencyMs|targetGapMs|maxAttempts|kvCapacity|apiKeys|morePages
    |seedNodes|nodeName|budgetSlack|retryBudgetRatio|/v1/readyz|CITRONDOCK_SETTINGS
    |Store-Era""",
    re.VERBOSE | re.IGNORECASE,
)
ADAPTER_IMPORT = re.compile(r"^\s*(from|import) citrondock_platform", re.MULTILINE)


class TestBoundary:
    def product_files(self):
        files = sorted((ROOT / "packages").rglob("*.py"))
        assert len(files) > 100
        return files

    def test_no_platform_name_is_used_in_the_packages(self):
        found = {
            str(path.relative_to(ROOT)): match.group()
            for path in self.product_files()
            if (match := WIRE_NAMES.search(path.read_text()))
        }
        assert found == {}

    def test_no_package_imports_the_adapter(self):
        importing = [
            path
            for path in self.product_files()
            if ADAPTER_IMPORT.search(path.read_text())
        ]
        assert importing == []

    def test_the_adapter_is_small(self):
        lines = sum(
            len(path.read_text().splitlines())
            for path in (ROOT / "platform").rglob("*.py")
        )
        assert lines < 1200
