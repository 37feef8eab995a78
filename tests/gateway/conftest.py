import sys
from pathlib import Path

import pytest

from citrondock_router.gateway import (
    grant_broker,
    grant_home,
    grant_requester,
    overload_guard,
)

sys.path.insert(0, str(Path(__file__).parent))


@pytest.fixture
def quiet_log(monkeypatch):
    """Drop the log lines of simulated fleets, of which there are very many."""
    for module in (grant_broker, grant_home, grant_requester, overload_guard):
        monkeypatch.setattr(module, "log_event", lambda *_, **__: None)
