"""Time from an accepted edit until all followers have applied it, over HTTP."""

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

APPLY_TIMEOUT_S = 60.0
PAUSE_BETWEEN_EDITS_S = 0.5


@attrs.frozen(kw_only=True)
class PropagationPlan:
    """Parameters of a propagation measurement.

    Parameters
    ----------
    follower_count : int
        Followers, each a thread with its own client.
    account_count : int
        Accounts in the configuration.
    edit_count : int
        Edits made while the store is available.
    outage_s : float
        Length of each outage; one more edit is made right after it.
    seed : int
        Seed for the random edits.
    """

    follower_count: int = 100
    account_count: int = 500
    edit_count: int = 10
    outage_s: float = 10.0
    seed: int = 1


@attrs.frozen(kw_only=True)
class PropagationResult:
    """Seconds from the update of the head until followers had applied the edit.

    Parameters
    ----------
    plan : PropagationPlan
        Parameters of the measurement.
    median_s, worst_s : float
        Over all followers and all edits made while the store was available.
    after_refusing_s, after_hanging_s : float
        Time of the slowest follower, for an edit made right after an outage in which
        the store refused calls, or never answered them.
    calls_per_follower_and_edit : float
        Store calls per follower and edit, including renewed watches.
    """

    plan: PropagationPlan
    median_s: float
    worst_s: float
    after_refusing_s: float
    after_hanging_s: float
    calls_per_follower_and_edit: float


class _AppliedTimes:
    """Collects the times at which followers applied each revision."""

    def __init__(self, follower_count: int) -> None:
        self._expected_count = follower_count
        self._times_s: dict[int, list[float]] = {}
        self._applied = threading.Condition()

    def add(self, configuration: Configuration) -> None:
        with self._applied:
            times_s = self._times_s.setdefault(configuration.revision, [])
            times_s.append(time.monotonic())
            self._applied.notify_all()

    def wait(self, revision: int) -> Sequence[float]:
        with self._applied:
            all_applied = self._applied.wait_for(
                lambda: len(self._times_s.get(revision, ())) == self._expected_count,
                APPLY_TIMEOUT_S,
            )
            if not all_applied:
                raise TimeoutError(
                    f"revision {revision} was not applied by all "
                    f"{self._expected_count} followers within {APPLY_TIMEOUT_S:g} s"
                )
            return list(self._times_s[revision])


class _Operator:
    """Commits random edits of one configuration."""

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
        """Commit an edit and return the monotonic time at which it was accepted."""
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
    """Run followers against the object store stand-in and time their updates.

    Parameters
    ----------
    plan : PropagationPlan, optional
        The default plan if not given.
    """
    plan = plan or PropagationPlan()
    with StandinProcess.start("object_store") as store:
        operator = _Operator(store.url, plan)
        applied_times = _AppliedTimes(plan.follower_count)
        operator.edit()
        followers = [
            _follower(store.url, applied_times) for _ in range(plan.follower_count)
        ]
        applied_times.wait(operator.revision)
        calls_before = _call_count(followers)
        delays_s = []
        for _ in range(plan.edit_count):
            delays_s += _edit_and_wait(operator, applied_times)
            time.sleep(PAUSE_BETWEEN_EDITS_S)
        calls = _call_count(followers) - calls_before
        after_outage_s = {}
        for outage in ("refuse", "hang"):
            store.set_faults(outage=outage)
            time.sleep(plan.outage_s)
            store.set_faults()
            after_outage_s[outage] = max(_edit_and_wait(operator, applied_times))
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


def _follower(store_url: str, applied_times: _AppliedTimes) -> ConfigurationFollower:
    store = HttpObjectStore(store_url, client="follower")
    follower = ConfigurationFollower(store, applied_times.add)
    follower.start()
    return follower


def _call_count(followers: Sequence[ConfigurationFollower]) -> int:
    return sum(follower.status().store_call_count for follower in followers)


def _edit_and_wait(operator: _Operator, applied_times: _AppliedTimes) -> list[float]:
    accepted_at_s = operator.edit()
    applied_at_s = applied_times.wait(operator.revision)
    return [max(0.0, at_s - accepted_at_s) for at_s in applied_at_s]


def main() -> None:
    """Run the default plan and print the result as JSON."""
    json.dump(attrs.asdict(measure_propagation()), sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
