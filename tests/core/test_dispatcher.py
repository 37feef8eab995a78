import pytest

from citrondock_core import Dispatcher, Outcome, Refuse, Start
from citrondock_core.configuration import (
    ClientAccount,
    Configuration,
    Pool,
    Service,
    ServiceKind,
    Target,
)
from citrondock_core.messages import Member
from citrondock_core.request import (
    Ran,
    RefusalReason,
    RequestRefusedError,
    Usage,
    WaitingRequest,
)

ROUTER = Member(vm_name="router-1", availability_zone="zone-1", incarnation=1)


def configuration(*, max_in_flight=2, target_count=1, weights=(1.0, 1.0)):
    targets = tuple(
        Target(
            name=f"engine-{i}",
            availability_zone="zone-1",
            host="127.0.0.1",
            port=9000,
            max_in_flight=max_in_flight,
        )
        for i in range(target_count)
    )
    accounts = {
        name: ClientAccount(name=name, weight=weight, max_waiting_requests=50)
        for name, weight in zip("ab", weights, strict=True)
    }
    return Configuration(
        revision=1,
        accounts=accounts,
        pools={"engines": Pool(name="engines", targets=targets)},
        services={
            "chat": Service(name="chat", kind=ServiceKind.CHAT, pool="engines"),
            "book": Service(name="book", kind=ServiceKind.PLAIN, pool="engines"),
        },
    )


def request(request_id, account="a", *, arrived_at_s=0.0, deadline_s=100.0, **more):
    return WaitingRequest(
        request_id=request_id,
        account=account,
        service=more.pop("service", "chat"),
        pool=more.pop("pool", "engines"),
        arrived_at_s=arrived_at_s,
        deadline_s=deadline_s,
        **more,
    )


def dispatcher(**more):
    made = Dispatcher(ROUTER)
    made.set_configuration(configuration(**more), now_s=0.0)
    return made


def started(actions):
    return [action.request_id for action in actions if isinstance(action, Start)]


class TestDispatcher:
    def test_starts_no_more_than_the_target_takes(self):
        made = dispatcher(max_in_flight=4)
        for i in range(10):
            made.submit(request(f"r{i}"), now_s=0.0)

        assert len(started(made.step(now_s=0.0))) <= 4
        assert started(made.step(now_s=0.1)) == []

    def test_weights_decide_who_goes_next(self):
        made = dispatcher(weights=(1.0, 3.0))
        for i in range(40):
            made.submit(request(f"a{i}", "a"), now_s=0.0)
            made.submit(request(f"b{i}", "b"), now_s=0.0)
        order = []
        for second in range(40):
            order += started(made.step(now_s=second))
            usage = Usage(generated_tokens=100)
            made.finish(order[-1], usage, Outcome.DONE, now_s=second)

        assert sum(name.startswith("b") for name in order[4:]) == pytest.approx(
            0.75 * len(order[4:]), abs=3
        )

    def test_refuses_as_not_run_after_the_deadline(self):
        made = dispatcher()
        made.submit(request("late", deadline_s=1.0), now_s=0.0)
        (action,) = made.step(now_s=1.0)

        assert isinstance(action, Refuse)
        assert action.error.cause is RefusalReason.DEADLINE_PASSED
        assert action.error.ran is Ran.NO

    def test_one_account_at_its_cap_leaves_room_for_others(self):
        made = dispatcher()
        for i in range(50):
            made.submit(request(f"a{i}", "a"), now_s=0.0)
        with pytest.raises(RequestRefusedError) as refused:
            made.submit(request("a50", "a"), now_s=0.0)
        made.submit(request("b0", "b"), now_s=0.0)

        assert refused.value.cause is RefusalReason.ACCOUNT_QUEUE_FULL
        assert refused.value.ran is Ran.NO

    def test_unknown_pool_is_refused(self):
        with pytest.raises(RequestRefusedError) as refused:
            dispatcher().submit(request("r", pool="none"), now_s=0.0)

        assert refused.value.cause is RefusalReason.NO_TARGET

    def test_a_request_not_run_waits_at_its_old_place_for_another_target(self):
        made = dispatcher(target_count=2, max_in_flight=1)
        for i in range(4):
            made.submit(request(f"r{i}", arrived_at_s=i), now_s=3.0)
        first = made.step(now_s=3.0)
        failed = first[0]
        made.requeue(failed.request_id, now_s=3.1)
        made.finish(first[1].request_id, Usage(), Outcome.DONE, now_s=3.2)
        (again,) = made.step(now_s=3.2)
        later = started(made.step(now_s=20.0))

        assert again == Start(failed.request_id, first[1].target)
        assert later == ["r2"]

    def test_a_withdrawn_request_is_never_started(self):
        made = dispatcher()
        made.submit(request("r"), now_s=0.0)

        assert made.withdraw("r", now_s=0.0)
        assert not made.withdraw("r", now_s=0.0)
        assert made.step(now_s=0.0) == []

    def test_a_target_that_is_not_available_gets_nothing(self):
        made = dispatcher()
        made.set_target_available("engine-0", False, now_s=0.0)
        made.submit(request("r"), now_s=0.0)
        before = started(made.step(now_s=0.0))
        made.set_target_available("engine-0", True, now_s=1.0)

        assert before == []
        assert started(made.step(now_s=1.0)) == ["r"]

    def test_a_cancelled_stream_is_charged_for_what_it_got(self):
        made = dispatcher()
        made.submit(request("r"), now_s=0.0)
        made.step(now_s=0.0)
        made.progress("r", generated_tokens=900, now_s=1.0)
        made.finish("r", Usage(), Outcome.CANCELLED, now_s=2.0)
        service = made.statistics(now_s=2.0).service_tokens_by_account

        assert service["a"] == 900.0

    def test_a_plain_service_costs_slot_time(self):
        made = dispatcher()
        made.submit(request("r", service="book"), now_s=0.0)
        made.step(now_s=0.0)
        made.finish("r", Usage(slot_time_s=2.0), Outcome.DONE, now_s=2.0)
        service = made.statistics(now_s=2.0).service_tokens_by_account

        assert service["a"] == 60.0

    def test_explains_a_started_and_a_waiting_request(self):
        made = dispatcher(max_in_flight=1)
        made.submit(request("r0"), now_s=0.0)
        made.submit(request("r1"), now_s=0.0)
        made.step(now_s=0.0)

        assert "started on engine-0" in made.explain("r0")[0]
        assert "waits for engines" in made.explain("r1")[0]
