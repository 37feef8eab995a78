"""Plain requests: complete responses, at-most-once execution and retries."""

import asyncio

from harness import (
    Client,
    Harness,
    ScriptedTarget,
    complete_response,
    configuration,
    request,
    reset_connection,
    run,
    send_complete_response,
)


def make_harness(*targets, **options):
    made = [ScriptedTarget(f"t{n}", script) for n, script in enumerate(targets)]
    return Harness(made, **options)


async def reset_request(_got, writer):
    reset_connection(writer)


async def reject_as_not_run(got, writer):
    writer.write(
        complete_response(
            got, status="503 Service Unavailable", extra="Not-Executed: 1\r\n"
        )
    )


def run_count(harness):
    return sum(len(target.received) for target in harness.targets)


class TestIdleConnections:
    def test_an_at_most_once_request_does_not_use_an_idle_connection(self):
        async def check():
            used = set()

            async def reset_reused_connections(got, writer):
                # Like a target that has dropped its idle connections.
                if writer in used:
                    reset_connection(writer)
                    return
                used.add(writer)
                writer.write(complete_response(got))

            async with make_harness(reset_reused_connections) as harness:
                assert (await harness.get("/unsafe/x")).status == 200
                await asyncio.sleep(0.3)
                assert (await harness.get("/unsafe/x", "r2")).status == 200
                assert len(used) == 2

        run(check())

    def test_unused_idle_connections_are_closed(self):
        async def check():
            writers = set()

            async def script(got, writer):
                writers.add(writer)
                writer.write(complete_response(got))

            async with make_harness(script) as harness:
                for number in range(4):
                    assert (await harness.get("/unsafe/x", f"r{number}")).status == 200
                    await asyncio.sleep(0.15)
                open_count = sum(not writer.is_closing() for writer in writers)
                assert len(writers) == 4
                assert open_count == 1

        run(check())

    def test_an_idempotent_request_uses_an_idle_connection(self):
        async def check():
            used = set()

            async def script(got, writer):
                used.add(writer)
                writer.write(complete_response(got))

            async with make_harness(script) as harness:
                assert (await harness.get("/safe/x")).status == 200
                await asyncio.sleep(0.3)
                assert (await harness.get("/safe/x", "r2")).status == 200
                assert len(used) == 1

        run(check())


class TestResponses:
    def test_a_response_is_passed_on_unchanged(self):
        async def script(got, writer):
            writer.write(complete_response(got, b"body", "201 Created", "X-Any: 1\r\n"))

        async def check():
            async with make_harness(script) as harness:
                reply = await harness.get("/safe/x?q=%20")
                assert (reply.status, reply.body) == (201, b"body")
                assert reply.headers["response-signature"] == "sig"
                assert reply.headers["x-any"] == "1"
                got = harness.targets[0].received[0]
                assert got.first_line == "GET /safe/x?q=%20 HTTP/1.1"

        run(check())

    def test_a_response_to_another_request_is_skipped(self):
        async def script(got, writer):
            other_response = complete_response(got).replace(
                got.request_id.encode(), b"other"
            )
            writer.write(other_response + complete_response(got, b"mine"))

        async def check():
            async with make_harness(script) as harness:
                reply = await harness.get("/unsafe/x")
                assert (reply.status, reply.body) == (200, b"mine")

        run(check())

    def test_extra_response_bytes_are_not_passed_on(self):
        async def script(got, writer):
            writer.write(
                complete_response(got, b"mine") + complete_response(got, b"again")
            )

        async def check():
            async with make_harness(script) as harness:
                client = await Client.connect(harness.port)
                for number in range(3):
                    client.writer.write(request("/safe/x", f"r{number}"))
                    reply = await client.read()
                    assert reply.body == b"mine"
                    assert reply.headers["request-id"] == f"r{number}"

        run(check())

    def test_a_success_without_signature_is_not_passed_on(self):
        async def script(got, writer):
            writer.write(complete_response(got, signed=False))

        async def check():
            async with make_harness(script) as harness:
                reply = await harness.get("/unsafe/x")
                assert reply.status == 502
                assert run_count(harness) == 1

        run(check())

    def test_a_response_without_length_ends_with_its_connection(self):
        async def script(got, writer):
            head = complete_response(got).replace(b"Content-Length: 4\r\n", b"")
            writer.write(head)
            writer.close()

        async def check():
            async with make_harness(script) as harness:
                reply = await harness.get("/unsafe/x")
                assert (reply.status, reply.body, reply.is_complete) == (
                    200,
                    b"done",
                    True,
                )

        run(check())

    def test_a_response_without_length_that_is_reset_is_incomplete(self):
        async def script(got, writer):
            writer.write(complete_response(got).replace(b"Content-Length: 4\r\n", b""))
            await writer.drain()
            await asyncio.sleep(0.05)
            reset_connection(writer)

        async def check():
            async with make_harness(script) as harness:
                reply = await harness.get("/unsafe/x")
                assert reply.status == 502

        run(check())

    def test_bytes_that_are_not_http_are_not_passed_on(self):
        async def script(_got, writer):
            writer.write(b"\x00\x01 no answer at all\r\n\r\n")

        async def check():
            async with make_harness(script) as harness:
                assert (await harness.get("/unsafe/x")).status == 502

        run(check())

    def test_a_response_to_head_keeps_the_content_length(self):
        async def script(got, writer):
            writer.write(
                complete_response(got, b"").replace(b"Length: 0", b"Length: 77")
            )

        async def check():
            async with make_harness(script) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/safe/x", method="HEAD"))
                head = await client.reader.readuntil(b"\r\n\r\n")
                assert b"Content-Length: 77" in head
                client.writer.write(request("/safe/x", "r2", method="HEAD"))
                assert (await client.reader.read(12)) == b"HTTP/1.1 200"

        run(check())


class TestExecutionGuarantees:
    def test_an_at_most_once_request_is_not_retried_after_a_reset(self):
        async def check():
            async with make_harness(reset_request, reset_request) as harness:
                reply = await harness.get("/unsafe/x")
                assert reply.status == 502
                assert run_count(harness) == 1

        run(check())

    def test_an_at_most_once_request_that_did_not_run_is_retried(self):
        async def check():
            async with make_harness(
                reject_as_not_run, send_complete_response
            ) as harness:
                for number in range(4):
                    reply = await harness.get("/unsafe/x", f"r{number}")
                    assert reply.status == 200

        run(check())

    def test_a_request_that_all_targets_reject_is_refused_as_not_run(self):
        async def check():
            async with make_harness(reject_as_not_run, reject_as_not_run) as harness:
                reply = await harness.get("/unsafe/x")
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) > 0
                assert "response-signature" not in reply.headers

        run(check())

    def test_a_503_that_does_not_prove_it_did_not_run_becomes_502(self):
        async def script(got, writer):
            writer.write(complete_response(got, status="503 Service Unavailable"))

        async def check():
            async with make_harness(script, script) as harness:
                assert (await harness.get("/unsafe/x")).status == 502
                assert run_count(harness) == 1

        run(check())

    def test_an_error_of_an_at_most_once_request_is_passed_on(self):
        async def script(got, writer):
            writer.write(complete_response(got, status="500 Internal Server Error"))

        async def check():
            async with make_harness(script, script) as harness:
                assert (await harness.get("/unsafe/x")).status == 500
                assert run_count(harness) == 1

        run(check())

    def test_a_refused_connection_counts_as_not_run(self):
        async def check():
            async with make_harness(send_complete_response) as harness:
                harness.targets[0].stop()
                await asyncio.sleep(0.05)
                assert (await harness.get("/unsafe/x")).status == 503

        run(check())

    def test_a_missing_response_is_a_504_at_the_route_timeout(self):
        async def never_respond(_got, _writer):
            await asyncio.sleep(20)

        async def check():
            configured = configuration(timeout_s=0.4)
            async with make_harness(never_respond, configured=configured) as harness:
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                reply = await harness.get("/unsafe/x")
                assert reply.status == 504
                assert 0.35 < loop.time() - started_s < 0.7

        run(check())


class TestRetries:
    def test_an_idempotent_request_is_retried_after_a_reset(self):
        async def check():
            async with make_harness(reset_request, send_complete_response) as harness:
                for number in range(4):
                    reply = await harness.get("/safe/x", f"r{number}")
                    assert reply.status == 200

        run(check())

    def test_the_route_limits_the_attempts(self):
        async def check():
            async with make_harness(
                reset_request, reset_request, reset_request, reset_request
            ) as harness:
                assert (await harness.get("/safe/x")).status == 502
                assert run_count(harness) == 2

        run(check())

    def test_an_empty_budget_allows_no_retry(self):
        async def check():
            async with make_harness(
                reset_request, reset_request, spare_retries=0
            ) as harness:
                assert (await harness.get("/safe/x")).status == 502
                assert run_count(harness) == 1

        run(check())

    def test_requests_that_wait_for_a_connection_are_sent_once(self):
        async def check():
            async with make_harness(
                send_complete_response, send_complete_response
            ) as harness:
                replies = await asyncio.gather(
                    *(harness.get("/safe/x", f"r{number}") for number in range(40))
                )
                assert all(reply.status == 200 for reply in replies)
                assert run_count(harness) == 40

        run(check())

    def test_a_stalled_request_is_retried_at_another_target(self):
        async def never_respond(_got, _writer):
            await asyncio.sleep(20)

        async def check():
            async with make_harness(never_respond, send_complete_response) as harness:
                replies = [await harness.get("/safe/x", f"r{n}") for n in range(3)]
                assert all(reply.status == 200 for reply in replies)

        run(check())


class TestDisconnectedClients:
    def test_the_target_connection_is_closed_at_once(self):
        async def slow(_got, _writer):
            await asyncio.sleep(0.01)

        async def check():
            async with make_harness(slow) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/safe/x"))
                await asyncio.sleep(0.1)
                loop = asyncio.get_running_loop()
                closed_at_s = loop.time()
                client.writer.close()
                await asyncio.sleep(0.2)
                disconnected_at_s = harness.targets[0].disconnected_at_s
                assert disconnected_at_s
                assert disconnected_at_s[0] - closed_at_s < 0.15
                assert harness.gateway.live_count == 0

        run(check())
