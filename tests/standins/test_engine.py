import json
import time

import pytest
import urllib3

from citrondock_standins.engine_batch import Batch, EngineSpeed, ModelRun
from citrondock_standins.engine_orders import Order, OrderHandler, WeightStore
from citrondock_standins.engine_text import expected_text, plan_generation
from citrondock_standins.prefix_cache import PrefixCache, block_ids
from citrondock_standins.processes import StandinProcess

HTTP = urllib3.PoolManager(retries=False, timeout=20.0, maxsize=8)


def chat(content, **fields):
    return {"messages": [{"role": "user", "content": content}], **fields}


def cache(capacity_blocks=100, **options):
    defaults = {"event_lag_s": 0.0, "event_gap_probability": 0.0, "seed": 1}
    return PrefixCache(capacity_blocks=capacity_blocks, **{**defaults, **options})


def run(name, tokens=10, content="hi"):
    body = chat(content, max_tokens=tokens)
    return ModelRun(
        request_id=name, account="", generation=plan_generation(body), arrived_s=0.0
    )


class TestBatch:
    def test_token_rate_falls_with_batch_size_and_rises_with_speed(self):
        slow, fast = EngineSpeed(), EngineSpeed(factor=8)

        assert slow.step_s(1) < slow.step_s(16)
        assert 16 / slow.step_s(16) > 1 / slow.step_s(1)
        assert fast.step_s(4) == pytest.approx(slow.step_s(4) / 8)

    def test_requests_above_the_batch_limit_wait_in_order_of_arrival(self):
        batch = Batch(EngineSpeed(max_batch=2, prompt_tokens_per_s=1e9), cache())
        runs = [run("a", 2), run("b", 1), run("c", 1), run("d", 1)]
        for each in runs:
            batch.add(each, now_s=0.0)
        batch.sample(now_s=0.0)
        ended = []
        while (due_s := batch.next_step_s) is not None:
            ended += [e.request_id for e in batch.step(now_s=due_s) if e.is_over]

        load = batch.reported_load(now_s=5.0, lag_s=0.5)
        assert (load.running, load.waiting) == (2, 2)
        assert ended == ["b", "a", "c", "d"]
        assert runs[2].started_s == runs[1].ended_s

    def test_cached_prefix_shortens_prompt_processing(self):
        batch = Batch(EngineSpeed(), cache())
        first, second = run("a", content="x" * 4000), run("b", content="x" * 4000)
        batch.add(first, now_s=0.0)
        batch.add(second, now_s=0.0)

        assert second.cached_blocks > 0
        assert second.prompt_done_s < first.prompt_done_s / 2


class TestPrefixCache:
    def test_capacity_is_limited_and_events_are_delayed_with_gaps(self):
        blocks = block_ids("".join(f"{n:08}" for n in range(640)))
        small = cache(5, event_lag_s=1.0, event_gap_probability=0.3)
        small.store(blocks, now_s=0.0)
        events = small.events(after=-1, now_s=1.0)

        assert small.hit_count(blocks) == 0 and small.hit_count(blocks[-5:]) == 5
        assert small.events(after=-1, now_s=0.9) == []
        assert 0 < len(events) < events[-1].index + 1
        assert small.events(after=events[-2].index, now_s=1.0) == [events[-1]]


class TestOrderHandler:
    def handler(self, checks_fencing=True):
        weights = WeightStore(loads_per_s=1.0)
        return OrderHandler(checks_fencing=checks_fencing, load_s=2.0, weights=weights)

    def load(self, token, name="m"):
        return Order(kind="load_model", name=name, version="2", fencing_token=token)

    @pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
    def test_old_fencing_token_is_refused_only_if_checked(self, checks, status):
        handler = self.handler(checks)
        assert handler.receive(self.load(7), now_s=0.0).status == 200
        assert handler.receive(self.load(6), now_s=5.0).status == status
        assert len(handler.state(now_s=9.0)["orders"]) == 2

    def test_load_takes_time_and_its_rate_is_limited(self):
        handler = self.handler()
        handler.receive(self.load(1), now_s=0.0)
        assert handler.receive(self.load(1, "n"), now_s=0.5).status == 429
        assert handler.state(now_s=1.9)["loading"] == ["m"]
        assert handler.state(now_s=2.0)["models"] == {"m": "2"}
        assert not handler.serves("n", now_s=2.0)


@pytest.fixture(scope="class")
def engines():
    flags = {"engines": 2, "speeds": "3,8", "max_batch": 4, "resume_grace_s": 20}
    with StandinProcess.start("engine", **flags) as process:
        yield process


@pytest.fixture
def engine(engines):
    yield engines
    engines.set_faults()


def post(engine, body, request_id="r", **options):
    headers = {"X-Request-Id": request_id, "X-Client-Account": "archive"}
    return HTTP.request(
        "POST",
        engine.url + "/v1/chat/completions",
        body=json.dumps(body).encode(),
        headers=headers,
        **options,
    )


def events_of(data):
    return [each.removeprefix("data: ") for each in data.decode().split("\n\n")[:-1]]


class TestEngine:
    def test_each_engine_has_its_own_port_and_speed(self, engines):
        assert [fields["speed"] for fields in engines.listening] == ["3", "8"]

    def test_streams_complete_response_with_the_request_id(self, engine):
        body = chat("tag this", stream=True, max_tokens=50, standin_tokens=7)
        response = post(engine, body, "r1")
        *tokens, last, end = events_of(response.data)
        parsed = [json.loads(token) for token in tokens]
        text = "".join(each["choices"][0]["delta"]["content"] for each in parsed)

        assert response.headers["X-Request-Id"] == "r1"
        assert text == expected_text(body) and len(tokens) == 7
        assert [each["index"] for each in parsed] == list(range(7))
        assert {each["id"] for each in parsed} == {"r1"}
        assert json.loads(last)["usage"]["completion_tokens"] == 7
        assert end == "[DONE]"
        last_run = engine.read("/control/runs")["runs"][-1]
        assert (last_run["account"], last_run["outcome"]) == ("archive", "done")

    @pytest.mark.parametrize("close_delimited", [False, True])
    def test_complete_response_without_stream(self, engine, close_delimited):
        engine.set_faults(close_delimited=close_delimited)
        body = chat("summary", max_tokens=5)
        response = post(engine, body)

        assert ("Content-Length" in response.headers) is not close_delimited
        message = response.json()["choices"][0]["message"]
        assert message["content"] == expected_text(body)

    def test_stream_closed_early_can_be_resumed(self, engine):
        engine.set_faults(die_after_tokens=3, die_count=1)
        body = chat("long", stream=True, max_tokens=20)
        response = post(engine, body, "r2", preload_content=False)
        with pytest.raises(urllib3.exceptions.HTTPError):
            response.read()
        url = engine.url + "/v1/requests/r2/stream?after=2"
        *tokens, _, end = events_of(HTTP.request("GET", url).data)

        assert json.loads(tokens[0])["index"] == 3 and len(tokens) == 17
        assert end == "[DONE]"

    def test_cancel_ends_the_stream_and_the_run(self, engine):
        body = chat("endless", stream=True, max_tokens=100_000)
        response = post(engine, body, "r3", preload_content=False)
        cancelled = engine.post("/v1/requests/r3/cancel", {})

        assert cancelled["outcome"] == "cancelled"
        with pytest.raises(urllib3.exceptions.HTTPError):
            response.read()
        assert HTTP.request("GET", engine.url + "/v1/requests/r3/stream").status == 404

    def test_refused_request_does_not_run_and_wrong_id_is_returned(self, engine):
        engine.set_faults(refuse_count=1, wrong_id_count=1)
        body = chat("x", max_tokens=1)
        refused = post(engine, body, "r4")
        mislabelled = post(engine, body, "r5")

        assert (refused.status, refused.headers["X-Ran"]) == (503, "no")
        assert (
            mislabelled.headers["X-Request-Id"]
            == mislabelled.json()["id"]
            == "wrong-r5"
        )
        ran = [each["request_id"] for each in engine.read("/control/runs")["runs"]]
        assert "r4" not in ran and "r5" in ran

    def test_frozen_engine_does_not_respond_until_unfrozen(self, engine):
        engine.set_faults(freeze=True)
        body = chat("x", max_tokens=1)
        with pytest.raises(urllib3.exceptions.ReadTimeoutError):
            post(engine, body, timeout=0.2)
        engine.set_faults()
        assert post(engine, body).status == 200

    def test_cache_moves_between_engines(self, engines):
        post(engines, chat("y" * 2000, max_tokens=1), "r6")
        exported = engines.read("/v1/kv/r6")
        imported = engines.post("/v1/kv", exported, index=1)

        assert imported["imported"] == len(exported["blocks"]) > 0

    def test_load_cache_events_and_orders_over_http(self, engines):
        post(engines, chat("z" * 2000, max_tokens=1))
        order = {"kind": "load_adapter", "name": "tags", "fencing_token": 9}
        engines.post("/v1/orders", order)
        stale = json.dumps({**order, "fencing_token": 8})
        refused = HTTP.request("POST", engines.url + "/v1/orders", body=stale)
        unknown = json.dumps({**order, "kind": "reboot"})
        malformed = HTTP.request("POST", engines.url + "/v1/orders", body=unknown)
        deadline_s = time.monotonic() + 20
        while not engines.read("/v1/cache_events?after=-1")["events"]:
            assert time.monotonic() < deadline_s
            time.sleep(0.05)

        assert (refused.status, malformed.status) == (409, 400)
        assert engines.read("/v1/state")["highest_fencing_token"] == 9
        load = engines.read("/v1/load")
        assert load["age_s"] >= 0.5 and load["running"] >= 0


class TestClosedConnection:
    def test_closing_the_connection_cancels_the_run(self):
        with StandinProcess.start("engine") as engine:
            body = chat("endless", stream=True, max_tokens=100_000)
            response = post(engine, body, preload_content=False)
            response.close()
            deadline_s = time.monotonic() + 20
            while engine.read("/control/runs")["runs"][0]["outcome"] != "cancelled":
                assert time.monotonic() < deadline_s
                time.sleep(0.01)
