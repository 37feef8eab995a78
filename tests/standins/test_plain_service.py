import pytest
import urllib3

from citrondock_standins.processes import StandinProcess

HTTP = urllib3.PoolManager(retries=False, timeout=10.0)


@pytest.fixture
def service():
    with StandinProcess.start("plain_service", delay_ms=1) as process:
        yield process


def call(service, key):
    headers = {"Idempotency-Key": key, "X-Request-Id": f"r-{key}"}
    url = service.url + "/bookings/7"
    return HTTP.request("PUT", url, body=b"slot", headers=headers)


class TestPlainService:
    def test_records_each_run_and_shows_repeated_actions(self, service):
        assert call(service, "a").headers["X-Request-Id"] == "r-a"
        call(service, "b")
        call(service, "b")

        runs_document = service.read("/control/runs")
        assert [run["idempotency_key"] for run in runs_document["runs"]] == [
            "a",
            "b",
            "b",
        ]
        assert runs_document["runs"][0]["path"] == "/bookings/7"
        assert runs_document["repeated"] == ["b"]

    def test_refused_and_early_closed_calls_do_not_run(self, service):
        service.set_faults(refuse_count=1, close_before_count=1)
        with pytest.raises(urllib3.exceptions.HTTPError):
            call(service, "a")
        refused = call(service, "a")

        assert (refused.status, refused.headers["X-Ran"]) == (503, "no")
        assert service.read("/control/runs")["runs"] == []

    def test_call_closed_after_its_run_is_recorded(self, service):
        service.set_faults(close_after_count=1)
        with pytest.raises(urllib3.exceptions.HTTPError):
            call(service, "a")

        (run,) = service.read("/control/runs")["runs"]
        assert run["ended_s"] is not None
        service.set_faults(slow_body_ms=20)
        assert call(service, "b").data == b"".join(b"%d\n" % n for n in range(10))
