import pytest

from citrondock_core.audit_record import AuditKind
from citrondock_core.configuration import Configuration, Pool, Target
from citrondock_core.engine_control import (
    EngineControl,
    EngineControlError,
    EngineState,
    OrderFencedError,
    OrderLimitedError,
)
from citrondock_router.engine_reconciler import EngineReconciler
from citrondock_standins.engine_orders import Order, OrderHandler, WeightStore
from citrondock_standins.memory_object_store import MemoryObjectStore


class Clock:
    now_s = 1000.0

    def __call__(self):
        return self.now_s


class InMemoryEngineControl(EngineControl):
    """Control of stand-in engines in the same process, without HTTP."""

    def __init__(self, clock, *, checks_fencing):
        self.clock = clock
        weights = WeightStore(loads_per_s=1.0)
        self.books = {
            name: OrderHandler(
                checks_fencing=checks_fencing, load_s=3.0, weights=weights
            )
            for name in ("e1", "e2", "e3")
        }
        self.before_order = lambda: None
        self.loses_answer = False

    def state(self, target, *, timeout_s):
        state = self.books[target.name].state(now_s=self.clock())
        return EngineState(
            models=state["models"],
            adapters=frozenset(state["adapters"]),
            role=state["role"],
            loading=frozenset(state["loading"]),
        )

    def order(self, target, order, *, fencing_token, order_id, timeout_s):
        self.before_order()
        outcome = self.books[target.name].receive(
            Order(
                kind=order.kind.value,
                name=order.name,
                version=order.version,
                fencing_token=fencing_token,
            ),
            now_s=self.clock(),
        )
        failures = {409: OrderFencedError, 429: OrderLimitedError}
        if outcome.status in failures:
            raise failures[outcome.status]("no", step="order", peer=target.name)
        if self.loses_answer:
            raise EngineControlError("lost", step="order", peer=target.name)

    def log(self):
        orders = [
            outcome
            for book in self.books.values()
            for outcome in book.state(now_s=self.clock())["orders"]
        ]
        return sorted(orders, key=lambda outcome: outcome["received_at_s"])


def configuration(*, checks_fencing=True, version="1"):
    targets = tuple(
        Target(name=name, availability_zone="z", host="127.0.0.1", port=1)
        for name in ("e1", "e2", "e3")
    )
    pool = Pool(
        name="p",
        targets=targets,
        checks_fencing=checks_fencing,
        model="plume",
        model_version=version,
        adapters=("tags",),
        role="prefill",
    )
    return Configuration(revision=4, pools={"p": pool})


class Scenario:
    """A pool of three engines, a store for leases, and a clock that is set by hand."""

    def __init__(self, *, checks_fencing=True):
        self.clock = Clock()
        self.store = MemoryObjectStore()
        self.control = InMemoryEngineControl(self.clock, checks_fencing=checks_fencing)
        self.configuration = configuration(checks_fencing=checks_fencing)
        self.records = []

    def reconciler(self, name):
        return EngineReconciler(
            self.store,
            self.control,
            name,
            1,
            audit=self.records.append,
            clock=self.clock,
            wall_clock=self.clock,
        )

    def run(self, reconciler, seconds):
        for _ in range(seconds):
            reconciler.step(self.configuration, is_candidate=lambda pool: True)
            self.clock.now_s += 1.0

    def are_as_desired(self):
        return all(
            (state["models"], state["adapters"], state["role"])
            == ({"plume": "1"}, ["tags"], "prefill")
            for state in (
                book.state(now_s=self.clock()) for book in self.control.books.values()
            )
        )


class TestDesiredState:
    @pytest.mark.parametrize("checks_fencing", [True, False])
    def test_engines_reach_it_within_the_load_rate(self, checks_fencing):
        scenario = Scenario(checks_fencing=checks_fencing)
        scenario.run(scenario.reconciler("a"), 30)
        assert scenario.are_as_desired()
        assert {outcome["status"] for outcome in scenario.control.log()} == {200}
        assert len(scenario.control.log()) == 9
        kinds = [record.kind for record in scenario.records]
        assert kinds == [AuditKind.TAKEOVER] + [AuditKind.ORDER] * 9

    def test_an_order_whose_answer_was_lost_is_not_sent_twice(self):
        scenario = Scenario()
        scenario.control.loses_answer = True
        scenario.run(scenario.reconciler("a"), 30)
        assert scenario.are_as_desired()
        assert len(scenario.control.log()) == 9

    def test_other_routers_do_not_compete_for_the_lease(self):
        scenario = Scenario()
        scenario.reconciler("b").step(
            scenario.configuration, is_candidate=lambda pool: False
        )
        assert scenario.store.list("leases/") == []


class TestLeaseTakeover:
    def test_a_holder_paused_past_its_lease_sends_no_order(self):
        scenario = Scenario(checks_fencing=False)
        first, second = scenario.reconciler("a"), scenario.reconciler("b")
        scenario.run(first, 3)
        second.step(scenario.configuration, is_candidate=lambda pool: True)
        order_count = len(scenario.control.log())
        read_state = scenario.control.state

        def pause(target, *, timeout_s):
            state = read_state(target, timeout_s=timeout_s)
            scenario.clock.now_s += 30.0
            return state

        scenario.control.state = pause
        first.step(scenario.configuration, is_candidate=lambda pool: True)
        assert len(scenario.control.log()) == order_count
        scenario.control.state = read_state
        scenario.run(second, 40)
        assert scenario.are_as_desired()

    def test_a_late_order_is_fenced_and_its_sender_drops_the_lease(self):
        scenario = Scenario()
        first, second = scenario.reconciler("a"), scenario.reconciler("b")
        scenario.run(first, 1)
        second.step(scenario.configuration, is_candidate=lambda pool: True)
        order_count = len(scenario.control.log())

        def take_over():
            scenario.control.before_order = lambda: None
            scenario.clock.now_s += 30.0
            scenario.run(second, 4)

        scenario.control.before_order = take_over
        first.step(scenario.configuration, is_candidate=lambda pool: True)
        assert 409 in {outcome["status"] for outcome in scenario.control.log()}
        tokens = {
            outcome["order"]["fencing_token"]
            for outcome in scenario.control.log()[order_count:]
            if outcome["status"] == 200
        }
        assert tokens == {2}

    def test_a_new_holder_waits_if_engines_ignore_fencing(self):
        scenario = Scenario(checks_fencing=False)
        scenario.run(scenario.reconciler("a"), 2)
        assert scenario.control.log() == []
