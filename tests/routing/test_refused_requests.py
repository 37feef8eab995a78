"""Tests of recognising a request that is sent again after a refusal."""

from citrondock_core.routing.refused_requests import (
    MAX_AGE_S,
    MAX_REMEMBERED_REQUESTS,
    RefusedRequests,
)
from citrondock_core.routing.request_facts import (
    PromptFacts,
    PromptPart,
    RequestFacts,
)


def facts(own="own-1", request_id="r1"):
    parts = (PromptPart("shared", 2000), PromptPart(own, 1000))
    return RequestFacts(
        request_id=request_id,
        host="h.example",
        path="/model/",
        key="k",
        time_left_s=5.0,
        prompt=PromptFacts(
            model="m",
            prompt_token_count=3000,
            max_output_token_count=50,
            parts=parts,
        ),
    )


def plain():
    return RequestFacts(
        request_id="r1", host="h.example", path="/", key=None, time_left_s=None
    )


class TestRefusedRequests:
    def test_a_request_that_was_not_refused_arrives_now(self):
        refused = RefusedRequests()
        refused.remember("a", facts("own-1"), arrived_at_s=10)
        assert refused.first_arrival_s("a", facts("own-2"), now_s=11) == 11
        assert refused.first_arrival_s("b", facts("own-1"), now_s=11) == 11

    def test_a_refused_request_keeps_its_first_arrival_once(self):
        refused = RefusedRequests()
        refused.remember("a", facts(request_id="r1"), arrived_at_s=10)
        again = facts(request_id="r2")
        assert refused.first_arrival_s("a", again, now_s=11) == 10
        assert refused.first_arrival_s("a", again, now_s=12) == 12

    def test_old_refusals_are_forgotten(self):
        refused = RefusedRequests()
        refused.remember("a", facts(), arrived_at_s=10)
        now_s = 10.1 + MAX_AGE_S
        assert refused.first_arrival_s("a", facts(), now_s=now_s) == now_s

    def test_the_oldest_refusals_are_forgotten_beyond_the_limit(self):
        refused = RefusedRequests()
        for number in range(MAX_REMEMBERED_REQUESTS + 1):
            refused.remember("a", facts(f"own-{number}"), arrived_at_s=1)
        assert refused.first_arrival_s("a", facts("own-0"), now_s=2) == 2
        assert refused.first_arrival_s("a", facts("own-1"), now_s=2) == 1

    def test_requests_without_prompts_are_not_remembered(self):
        refused = RefusedRequests()
        refused.remember("a", plain(), arrived_at_s=1)
        assert refused.first_arrival_s("a", plain(), now_s=2) == 2
