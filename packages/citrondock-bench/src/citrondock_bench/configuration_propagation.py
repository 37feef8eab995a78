"""Time from an accepted edit until followers have it in force, over HTTP."""

import json
import random
import statistics
import sys
import threading
import time
from collections.abc import Sequence

import attrs

from citrondock_bench.synthetic_configuration import (
    change_document,
    document_text,
    synthetic_document,
)
from citrondock_core.configuration import Configuration
from citrondock_core.configuration_repository import (
    ConfigurationRepository,
    EditRequest,
)
from citrondock_router.configuration_follower import ConfigurationFollower
from citrondock_standins.processes import StandinProcess
from citrondock_wire.http_object_store import HttpObjectStore

ARRIVAL_TIMEOUT_S = 60.0
PAUSE_BETWEEN_EDITS_S = 0.5


@attrs.frozen(kw_only=True)
class PropagationPlan:
    """What is measured.

    Parameters
    ----------
    follower_count : int
        Followers, each a thread with its own client.
    account_count : int
        Accounts of the configuration.
    edit_count : int
        Edits with the store up.
    outage_s : float
        Length of an outage that ends with one more edit.
    seed : int
        Chooses the edits.
    """

    follower_count: int = 100
    account_count: int = 500
    edit_count: int = 10
    outage_s: float = 10.0
    seed: int = 1


@attrs.frozen(kw_only=True)
class PropagationResult:
    """Seconds from the head's update until followers had the edit in force.

    Parameters
    ----------
    plan : PropagationPlan
        What was measured.
    median_s, worst_s : float
        Over all followers and edits with the store up.
    after_refusing_s, after_hanging_s : float
        The last follower's, for an edit made right after an outage in which the store
        refused calls, or never answered them.
    calls_per_follower_and_edit : float
        Store calls of a follower for an edit, renewed watches included.
    """

    plan: PropagationPlan
    median_s: float
    worst_s: float
    after_refusing_s: float
    after_hanging_s: float
    calls_per_follower_and_edit: float


class _Arrivals:
    """Times at which followers applied each revision."""

    def __init__(self, follower_count: int) -> None:
        self._follower_count = follower_count
        self._times_s: dict[int, list[float]] = {}
        self._arrived = threading.Condition()

    def add(self, configuration: Configuration) -> None:
        with self._arrived:
            times_s = self._times_s.setdefault(configuration.revision, [])
            times_s.append(time.monotonic())
            self._arrived.notify_all()

    def wait(self, revision: int) -> Sequence[float]:
        with self._arrived:
            everywhere = self._arrived.wait_for(
                lambda: len(self._times_s.get(revision, ())) == self._follower_count,
                ARRIVAL_TIMEOUT_S,
            )
            if not everywhere:
                raise TimeoutError(f"revision {revision} did not arrive everywhere")
            return list(self._times_s[revision])


class _Operator:
    """Edits one configuration."""

    def __init__(self, store_url: str, plan: PropagationPlan) -> None:
        self._rng = random.Random(plan.seed)
        self._repository = ConfigurationRepository(
            HttpObjectStore(store_url, client="operator"), pause=time.sleep
        )
        self._document = synthetic_document(
            account_count=plan.account_count, target_count=20, rng=self._rng
        )
        self.revision = 0

    def edit(self) -> float:
        """Make an edit and return when it was accepted."""
        change_document(self._document, self._rng)
        self._repository.commit(
            EditRequest(
                edit_id=f"edit-{self.revision + 1}",
                author="operator",
                reason="measurement",
                base_revision=self.revision,
                text=document_text(self._document),
                file="text",
                now_epoch_s=time.time(),
            )
        )
        self.revision += 1
        return time.monotonic()


def measure_propagation(plan: PropagationPlan | None = None) -> PropagationResult:
    """Run followers against the object store stand-in and time their updates."""
    plan = plan or PropagationPlan()
    with StandinProcess.start("object_store") as store:
        operator = _Operator(store.url, plan)
        arrivals = _Arrivals(plan.follower_count)
        operator.edit()
        followers = [_follower(store.url, arrivals) for _ in range(plan.follower_count)]
        arrivals.wait(operator.revision)
        calls_before = _call_count(followers)
        delays_s = []
        for _ in range(plan.edit_count):
            delays_s += _edit_everywhere(operator, arrivals)
            time.sleep(PAUSE_BETWEEN_EDITS_S)
        calls = _call_count(followers) - calls_before
        after_outage_s = {}
        for outage in ("refuse", "hang"):
            store.set_faults(outage=outage)
            time.sleep(plan.outage_s)
            store.set_faults()
            after_outage_s[outage] = max(_edit_everywhere(operator, arrivals))
        for follower in followers:
            follower.stop()
    return PropagationResult(
        plan=plan,
        median_s=statistics.median(delays_s),
        worst_s=max(delays_s),
        after_refusing_s=after_outage_s["refuse"],
        after_hanging_s=after_outage_s["hang"],
        calls_per_follower_and_edit=calls / plan.follower_count / plan.edit_count,
    )


def _follower(store_url: str, arrivals: _Arrivals) -> ConfigurationFollower:
    store = HttpObjectStore(store_url, client="follower")
    follower = ConfigurationFollower(store, arrivals.add)
    follower.start()
    return follower


def _call_count(followers: Sequence[ConfigurationFollower]) -> int:
    return sum(follower.status().store_call_count for follower in followers)


def _edit_everywhere(operator: _Operator, arrivals: _Arrivals) -> list[float]:
    accepted_at_s = operator.edit()
    arrived_at_s = arrivals.wait(operator.revision)
    return [max(0.0, at_s - accepted_at_s) for at_s in arrived_at_s]


def main() -> None:
    """Print the times as JSON."""
    json.dump(attrs.asdict(measure_propagation()), sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
