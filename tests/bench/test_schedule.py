import json

import pytest

from citrondock_bench.plan import (
    AccountLoad,
    Endpoint,
    LoadPlan,
    PlanError,
    RequestShape,
    TokenDistribution,
    read_plan,
)
from citrondock_bench.schedule import AccountRequests

SHAPE = RequestShape(
    name="chat",
    model="m",
    generated_tokens=TokenDistribution(median_tokens=40, sigma=1.2, max_tokens=500),
    hint_factor=4.0,
)


def make_plan(account, *, duration_s=50.0):
    return LoadPlan(
        endpoints=[Endpoint(name=f"r{i}", host="127.0.0.1", port=i) for i in (1, 2)],
        accounts=[account],
        shapes=[SHAPE],
        duration_s=duration_s,
    )


def arrivals(account, worker_index):
    plan = make_plan(account)
    requests = AccountRequests(plan, account, worker_index=worker_index)
    return list(requests.arrivals())


class TestArrivals:
    def test_equal_seeds_draw_equal_requests(self):
        account = AccountLoad(name="a", rate_per_s=20, shapes=["chat"])
        assert arrivals(account, 0) == arrivals(account, 0)
        assert arrivals(account, 0) != arrivals(account, 1)

    def test_workers_share_the_rate_and_keep_to_the_sending_time(self):
        account = AccountLoad(
            name="a", rate_per_s=20, shapes=["chat"], starts_at_s=10, stops_at_s=40
        )
        both = arrivals(account, 0) + arrivals(account, 1)
        assert 500 < len(both) < 700
        assert all(10 <= one.at_s < 40 for one in both)
        for one in both:
            cost = one.prompt_tokens + one.generated_tokens
            assert cost / 4.1 - 1 <= one.hint_tokens <= cost * 4.1 + 1

    def test_placement_selects_one_endpoint(self):
        account = AccountLoad(name="a", rate_per_s=5, shapes=["chat"], placement="r2")
        assert {one.endpoint.name for one in arrivals(account, 0)} == {"r2"}


class TestReadPlan:
    def test_error_lists_all_faults_of_the_plan(self, tmp_path):
        path = tmp_path / "plan.json"
        path.write_text(
            json.dumps(
                {
                    "endpoints": [{"name": "r", "host": "127.0.0.1", "port": 1}],
                    "shapes": [],
                    "accounts": [
                        {"name": "a", "shapes": ["x"], "rate_per_s": 1},
                        {"name": "b", "shapes": [], "placement": "nowhere"},
                    ],
                }
            )
        )
        with pytest.raises(PlanError) as raised:
            read_plan(path)
        for part in (str(path), "accounts[a].shapes", "accounts[b].placement"):
            assert part in str(raised.value)

    def test_unknown_key_and_wrong_type_are_refused(self, tmp_path):
        path = tmp_path / "plan.json"
        path.write_text(
            '{"endpoints": [], "accounts": [], "shapes": [], "sed": 1, "seed": "x"}'
        )
        with pytest.raises(PlanError, match="sed"):
            read_plan(path)
