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


class BookControl(EngineControl):
    """The stand-in engines' own books, without HTTP between."""

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


class Scene:
    def __init__(self, *, checks_fencing=True):
        self.clock = Clock()
        self.store = MemoryObjectStore()
        self.control = BookControl(self.clock, checks_fencing=checks_fencing)
        self.configuration = configuration(checks_fencing=checks_fencing)
        self.records = []

    def router(self, name):
        return EngineReconciler(
            self.store,
            self.control,
            name,
            1,
            audit=self.records.append,
            clock=self.clock,
            wall_clock=self.clock,
        )

    def run(self, orders, seconds):
        for _ in range(seconds):
            orders.step(self.configuration, is_candidate=lambda pool: True)
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
    def test_engines_reach_it_under_the_rate_of_the_weight_store(self, checks_fencing):
        scene = Scene(checks_fencing=checks_fencing)
        scene.run(scene.router("a"), 30)
        assert scene.are_as_desired()
        assert {outcome["status"] for outcome in scene.control.log()} == {200}
        assert len(scene.control.log()) == 9
        kinds = [record.kind for record in scene.records]
        assert kinds == [AuditKind.TAKEOVER] + [AuditKind.ORDER] * 9

    def test_an_order_whose_answer_was_lost_is_not_given_twice(self):
        scene = Scene()
        scene.control.loses_answer = True
        scene.run(scene.router("a"), 30)
        assert scene.are_as_desired()
        assert len(scene.control.log()) == 9

    def test_the_others_leave_the_store_alone(self):
        scene = Scene()
        scene.router("b").step(scene.configuration, is_candidate=lambda pool: False)
        assert scene.store.list("leases/") == []


class TestTwoHolders:
    def test_a_holder_paused_before_its_order_gives_none(self):
        scene = Scene(checks_fencing=False)
        first, second = scene.router("a"), scene.router("b")
        scene.run(first, 3)
        second.step(scene.configuration, is_candidate=lambda pool: True)
        given = len(scene.control.log())
        read_state = scene.control.state

        def pause(target, *, timeout_s):
            state = read_state(target, timeout_s=timeout_s)
            scene.clock.now_s += 30.0
            return state

        scene.control.state = pause
        first.step(scene.configuration, is_candidate=lambda pool: True)
        assert len(scene.control.log()) == given
        scene.control.state = read_state
        scene.run(second, 40)
        assert scene.are_as_desired()

    def test_an_order_sent_late_is_fenced_and_ends_the_old_holding(self):
        scene = Scene()
        first, second = scene.router("a"), scene.router("b")
        scene.run(first, 1)
        second.step(scene.configuration, is_candidate=lambda pool: True)
        given = len(scene.control.log())

        def take_over():
            scene.control.before_order = lambda: None
            scene.clock.now_s += 30.0
            scene.run(second, 4)

        scene.control.before_order = take_over
        first.step(scene.configuration, is_candidate=lambda pool: True)
        assert 409 in {outcome["status"] for outcome in scene.control.log()}
        tokens = {
            outcome["order"]["fencing_token"]
            for outcome in scene.control.log()[given:]
            if outcome["status"] == 200
        }
        assert tokens == {2}

    def test_a_new_holder_waits_where_fencing_is_ignored(self):
        scene = Scene(checks_fencing=False)
        scene.run(scene.router("a"), 2)
        assert scene.control.log() == []
