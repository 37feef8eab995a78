"""Checks of client requests: framing, headers, accounts and operations pages."""

import asyncio
import socket

import pytest
from harness import (
    HOST,
    Client,
    Harness,
    ScriptedTarget,
    configuration,
    request,
    run,
    send_complete_response,
)

from citrondock_router.gateway.gateway_metrics import MAX_ACCOUNT_LABELS
from citrondock_router.gateway.scheduler import STALL_CHECK_S


def make_harness(**options):
    return Harness([ScriptedTarget("t0", send_complete_response)], **options)


AMBIGUOUS_REQUESTS = [
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "Content-Length: 3\r\nContent-Length: 30\r\n\r\nabc",
    "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    "X-A: b\r\n Folded: c\r\n\r\n",
    "Space : x\r\n\r\n",
    "Request-Id: other\r\n\r\n",
    "Host: other.example\r\n\r\n",
]


class TestFraming:
    @pytest.mark.parametrize("rest", AMBIGUOUS_REQUESTS)
    def test_ambiguous_requests_are_rejected(self, rest):
        async def check():
            async with make_harness() as harness:
                start = "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
                reply = await harness.send_and_receive((start + rest).encode())
                assert reply.status == 400
                assert harness.targets[0].received == []

        run(check())

    def test_a_chunked_body_is_sent_with_a_content_length(self):
        async def check():
            async with make_harness() as harness:
                head = request("/unsafe/x", method="POST", Transfer_Encoding="chunked")
                reply = await harness.send_and_receive(
                    head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                )
                assert reply.status == 200
                got = harness.targets[0].received[0]
                assert got.body == b"abcde"
                assert "transfer-encoding" not in got.headers

        run(check())

    def test_pipelined_requests_are_answered_in_order(self):
        async def check():
            async with make_harness() as harness:
                client = await Client.connect(harness.port)
                for number in range(5):
                    client.writer.write(request("/safe/x", f"r{number}"))
                ids = [(await client.read()).headers["request-id"] for _ in range(5)]
                assert ids == [f"r{number}" for number in range(5)]

        run(check())

    def test_a_body_over_the_limit_is_refused(self):
        async def check():
            async with make_harness() as harness:
                body = b"x" * 20_000
                reply = await harness.send_and_receive(
                    request("/safe/x", body=body, method="PUT")
                )
                assert reply.status == 413
                assert harness.targets[0].received == []

        run(check())

    def test_a_head_over_the_limit_is_refused(self):
        async def check():
            async with make_harness() as harness:
                reply = await harness.send_and_receive(
                    request("/safe/x", X_Long="y" * 5000)
                )
                assert reply.status == 431

        run(check())

    def test_an_incomplete_head_is_refused_at_the_timeout(self):
        async def check():
            async with make_harness() as harness:
                reply = await harness.send_and_receive(
                    b"GET /safe/x HTTP/1.1\r\nHost: h"
                )
                assert reply.status == 408

        run(check())


class TestHeaders:
    def test_headers_that_routers_set_are_not_taken_from_clients(self):
        forged = {
            "Tenant": "victim",
            "Expected_Instance": "other",
            "Hold": "h",
            "Pin_Ms": "100",
            "Kv_Backup": "1.2.3.4:5",
            "Kv_From": "1.2.3.4:5/h",
            "Kv_Fetch": "1.2.3.4:5",
            "Response_Signature": "fake",
        }

        async def check():
            async with make_harness() as harness:
                await harness.get("/safe/x", **forged)
                headers = harness.targets[0].received[0].headers
                assert headers["expected-instance"] == "t0"
                for name in forged:
                    header = name.lower().replace("_", "-")
                    if header != "expected-instance":
                        assert header not in headers

        run(check())

    def test_end_to_end_headers_are_passed_on(self):
        async def check():
            async with make_harness() as harness:
                await harness.get(
                    "/safe/x", X_Any="1", Connection="X-Hop", X_Hop="2", Deadline_Ms=900
                )
                headers = harness.targets[0].received[0].headers
                assert headers["x-any"] == "1"
                assert headers["host"] == "h.example"
                assert "x-hop" not in headers
                assert 500 < int(headers["deadline-ms"]) <= 900

        run(check())

    def test_a_connection_header_cannot_remove_the_request_id(self):
        async def check():
            async with make_harness() as harness:
                await harness.get("/safe/x", Connection="Request-Id, close")
                assert harness.targets[0].received[0].request_id == "r1"

        run(check())


class TestAccounts:
    def accounts(self):
        return make_harness(configured=configuration(accounts={"key1": "tagging"}))

    def test_the_target_gets_the_account_but_not_the_key(self):
        async def check():
            async with self.accounts() as harness:
                reply = await harness.get(
                    "/safe/x", Authorization="Bearer key1", Tenant="victim"
                )
                assert reply.status == 200
                headers = harness.targets[0].received[0].headers
                assert headers["tenant"] == "tagging"
                assert "authorization" not in headers

        run(check())

    @pytest.mark.parametrize("key", [None, "Bearer other", "Basic key1", "key1"])
    def test_an_unknown_key_is_refused(self, key):
        async def check():
            async with self.accounts() as harness:
                given = {"Authorization": key} if key else {}
                assert (await harness.get("/safe/x", **given)).status == 401
                assert harness.targets[0].received == []

        run(check())

    def test_a_removed_key_is_refused(self):
        async def check():
            async with self.accounts() as harness:
                harness.gateway.configure(
                    configuration(2, accounts={"key2": "tagging"})
                )
                old = await harness.get("/safe/x", Authorization="Bearer key1")
                new = await harness.get("/safe/x", Authorization="Bearer key2")
                assert (old.status, new.status) == (401, 200)

        run(check())


class TestConfiguration:
    def test_requests_without_a_configuration_get_503_not_404(self):
        async def check():
            async with make_harness() as harness:
                harness.gateway.configuration.active = None
                reply = await harness.get("/nowhere/x")
                assert reply.status == 503
                assert "retry-after" in reply.headers

        run(check())

    def test_an_unknown_path_gets_404(self):
        async def check():
            async with make_harness() as harness:
                assert (await harness.get("/nowhere/x")).status == 404

        run(check())


class TestOperations:
    async def fetch(self, port, path):
        client = await Client.connect(port)
        client.writer.write(request(path))
        reply = await client.read()
        client.writer.close()
        return reply

    def test_a_draining_router_is_not_ready(self):
        async def check():
            async with make_harness() as harness:
                assert (
                    await self.fetch(harness.readiness_port, "/ready")
                ).status == 200
                harness.gateway.start_draining()
                assert (
                    await self.fetch(harness.readiness_port, "/ready")
                ).status == 503

        run(check())

    def test_metrics_count_requests(self):
        async def check():
            async with make_harness() as harness:
                await harness.get("/safe/x")
                page = (
                    await self.fetch(harness.metrics_port, "/metrics")
                ).body.decode()
                assert 'citrondock_requests_total{reason="answered"' in page

        run(check())

    def test_metrics_limit_the_number_of_account_labels(self):
        async def check():
            keys = {f"k{n}": f"a{n}" for n in range(MAX_ACCOUNT_LABELS + 2)}
            async with make_harness(configured=configuration(accounts=keys)) as harness:
                for key in keys:
                    reply = await harness.get("/safe/x", Authorization=f"Bearer {key}")
                    assert reply.status == 200
                page = (
                    await self.fetch(harness.metrics_port, "/metrics")
                ).body.decode()
                name = "citrondock_account_requests_total"
                counted = {
                    line.partition('account="')[2].partition('"')[0]: line.split()[-1]
                    for line in page.splitlines()
                    if line.startswith(name)
                }
                assert len(counted) == MAX_ACCOUNT_LABELS + 1
                assert counted["a0"] == "1"
                assert counted["other"] == "2"

        run(check())

    def test_metrics_show_budgets_and_queues(self):
        async def check():
            async with make_harness() as harness:
                await harness.get("/safe/x")
                await asyncio.sleep(2.5 * STALL_CHECK_S)
                page = (
                    await self.fetch(harness.metrics_port, "/metrics")
                ).body.decode()
                assert 'citrondock_repeats_left{service="app"} 20.2' in page
                assert 'citrondock_home_requests{state="waiting"} 0' in page
                assert "citrondock_loop_lag_seconds_count" in page

        run(check())

    def test_a_draining_router_responds_and_closes_the_connection(self):
        async def check():
            async with make_harness() as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/safe/x"))
                assert (await client.read()).status == 200
                harness.gateway.start_draining()
                client.writer.write(request("/safe/x", "r2"))
                reply = await client.read()
                assert (reply.status, reply.headers["connection"]) == (200, "close")
                assert await asyncio.wait_for(client.reader.read(10), 3) == b""

        run(check())


class TestLateReading:
    def test_a_request_whose_client_has_left_is_not_sent_on(self):
        # The router reads the request only after the client has closed.
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                # The target's idle connection makes the next request go out at once.
                assert (await harness.get("/safe/x", "r0")).status == 200
                with socket.create_connection((HOST, harness.port)) as client:
                    client.sendall(request("/safe/x", "r1"))
                await asyncio.sleep(0.1)
                assert [got.request_id for got in target.received] == ["r0"]
                assert harness.gateway.live_count == 0

        run(check())
