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


def make_configuration(*, max_in_flight=2, target_count=1, weights=(1.0, 1.0)):
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


def make_request(
    request_id, account="a", *, arrived_at_s=0.0, deadline_s=100.0, **more
):
    return WaitingRequest(
        request_id=request_id,
        account=account,
        service=more.pop("service", "chat"),
        pool=more.pop("pool", "engines"),
        arrived_at_s=arrived_at_s,
        deadline_s=deadline_s,
        **more,
    )


def make_dispatcher(**more):
    dispatcher = Dispatcher(ROUTER)
    dispatcher.set_configuration(make_configuration(**more), now_s=0.0)
    return dispatcher


def started(actions):
    return [action.request_id for action in actions if isinstance(action, Start)]


class TestDispatcher:
    def test_starts_no_more_requests_than_the_target_limit(self):
        dispatcher = make_dispatcher(max_in_flight=4)
        for i in range(10):
            dispatcher.submit(make_request(f"r{i}"), now_s=0.0)

        assert len(started(dispatcher.step(now_s=0.0))) <= 4
        assert started(dispatcher.step(now_s=0.1)) == []

    def test_weights_decide_the_order_of_accounts(self):
        dispatcher = make_dispatcher(weights=(1.0, 3.0))
        for i in range(40):
            dispatcher.submit(make_request(f"a{i}", "a"), now_s=0.0)
            dispatcher.submit(make_request(f"b{i}", "b"), now_s=0.0)
        order = []
        for second in range(40):
            order += started(dispatcher.step(now_s=second))
            usage = Usage(generated_tokens=100)
            dispatcher.finish(order[-1], usage, Outcome.DONE, now_s=second)

        assert sum(name.startswith("b") for name in order[4:]) == pytest.approx(
            0.75 * len(order[4:]), abs=3
        )

    def test_refuses_a_request_as_not_run_after_its_deadline(self):
        dispatcher = make_dispatcher()
        dispatcher.submit(make_request("late", deadline_s=1.0), now_s=0.0)
        (action,) = dispatcher.step(now_s=1.0)

        assert isinstance(action, Refuse)
        assert action.error.cause is RefusalReason.DEADLINE_PASSED
        assert action.error.ran is Ran.NO

    def test_account_at_its_limit_leaves_room_for_others(self):
        dispatcher = make_dispatcher()
        for i in range(50):
            dispatcher.submit(make_request(f"a{i}", "a"), now_s=0.0)
        with pytest.raises(RequestRefusedError) as refused:
            dispatcher.submit(make_request("a50", "a"), now_s=0.0)
        dispatcher.submit(make_request("b0", "b"), now_s=0.0)

        assert refused.value.cause is RefusalReason.ACCOUNT_QUEUE_FULL
        assert refused.value.ran is Ran.NO

    def test_unknown_pool_is_refused(self):
        with pytest.raises(RequestRefusedError) as refused:
            make_dispatcher().submit(make_request("r", pool="none"), now_s=0.0)

        assert refused.value.cause is RefusalReason.NO_TARGET

    def test_requeued_request_keeps_its_place_and_goes_to_another_target(self):
        dispatcher = make_dispatcher(target_count=2, max_in_flight=1)
        for i in range(4):
            dispatcher.submit(make_request(f"r{i}", arrived_at_s=i), now_s=3.0)
        first = dispatcher.step(now_s=3.0)
        failed = first[0]
        dispatcher.requeue(failed.request_id, now_s=3.1)
        dispatcher.finish(first[1].request_id, Usage(), Outcome.DONE, now_s=3.2)
        (again,) = dispatcher.step(now_s=3.2)
        later = started(dispatcher.step(now_s=20.0))

        assert again == Start(failed.request_id, first[1].target)
        assert later == ["r2"]

    def test_a_withdrawn_request_is_never_started(self):
        dispatcher = make_dispatcher()
        dispatcher.submit(make_request("r"), now_s=0.0)

        assert dispatcher.withdraw("r", now_s=0.0)
        assert not dispatcher.withdraw("r", now_s=0.0)
        assert dispatcher.step(now_s=0.0) == []

    def test_unavailable_target_gets_no_requests(self):
        dispatcher = make_dispatcher()
        dispatcher.set_target_available("engine-0", False, now_s=0.0)
        dispatcher.submit(make_request("r"), now_s=0.0)
        before = started(dispatcher.step(now_s=0.0))
        dispatcher.set_target_available("engine-0", True, now_s=1.0)

        assert before == []
        assert started(dispatcher.step(now_s=1.0)) == ["r"]

    def test_cancelled_stream_is_charged_for_generated_tokens(self):
        dispatcher = make_dispatcher()
        dispatcher.submit(make_request("r"), now_s=0.0)
        dispatcher.step(now_s=0.0)
        dispatcher.progress("r", generated_tokens=900, now_s=1.0)
        dispatcher.finish("r", Usage(), Outcome.CANCELLED, now_s=2.0)
        service = dispatcher.statistics(now_s=2.0).service_tokens_by_account

        assert service["a"] == 900.0

    def test_plain_service_is_charged_for_slot_time(self):
        dispatcher = make_dispatcher()
        dispatcher.submit(make_request("r", service="book"), now_s=0.0)
        dispatcher.step(now_s=0.0)
        dispatcher.finish("r", Usage(slot_time_s=2.0), Outcome.DONE, now_s=2.0)
        service = dispatcher.statistics(now_s=2.0).service_tokens_by_account

        assert service["a"] == 60.0

    def test_explains_a_started_and_a_waiting_request(self):
        dispatcher = make_dispatcher(max_in_flight=1)
        dispatcher.submit(make_request("r0"), now_s=0.0)
        dispatcher.submit(make_request("r1"), now_s=0.0)
        dispatcher.step(now_s=0.0)

        assert "started on engine-0" in dispatcher.explain("r0")[0]
        assert "waits for engines" in dispatcher.explain("r1")[0]
