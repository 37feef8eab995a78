"""Plain requests: whole answers, truth about what ran, repeats."""

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


def scripted(*targets, **options):
    made = [ScriptedTarget(f"t{n}", script) for n, script in enumerate(targets)]
    return Harness(made, **options)


async def reset(_got, writer):
    reset_connection(writer)


async def rejects(got, writer):
    writer.write(
        complete_response(
            got, status="503 Service Unavailable", extra="Not-Executed: 1\r\n"
        )
    )


def run_count(harness):
    return sum(len(target.received) for target in harness.targets)


class TestRestingConnections:
    def test_a_call_that_runs_once_takes_no_connection_that_rested(self):
        async def check():
            used = set()

            async def forgets_rested_connections(got, writer):
                # A second request on a connection meets a target that dropped it.
                if writer in used:
                    reset_connection(writer)
                    return
                used.add(writer)
                writer.write(complete_response(got))

            async with scripted(forgets_rested_connections) as harness:
                assert (await harness.get("/unsafe/x")).status == 200
                await asyncio.sleep(0.3)
                assert (await harness.get("/unsafe/x", "r2")).status == 200
                assert len(used) == 2

        run(check())

    def test_connections_that_rested_do_not_pile_up(self):
        async def check():
            writers = set()

            async def script(got, writer):
                writers.add(writer)
                writer.write(complete_response(got))

            async with scripted(script) as harness:
                for number in range(4):
                    assert (await harness.get("/unsafe/x", f"r{number}")).status == 200
                    await asyncio.sleep(0.15)
                open_count = sum(not writer.is_closing() for writer in writers)
                assert len(writers) == 4
                assert open_count == 1

        run(check())

    def test_a_call_that_may_run_again_does(self):
        async def check():
            used = set()

            async def script(got, writer):
                used.add(writer)
                writer.write(complete_response(got))

            async with scripted(script) as harness:
                assert (await harness.get("/safe/x")).status == 200
                await asyncio.sleep(0.3)
                assert (await harness.get("/safe/x", "r2")).status == 200
                assert len(used) == 1

        run(check())


class TestWholeAnswers:
    def test_an_answer_is_passed_on_unchanged(self):
        async def script(got, writer):
            writer.write(complete_response(got, b"body", "201 Created", "X-Any: 1\r\n"))

        async def check():
            async with scripted(script) as harness:
                reply = await harness.get("/safe/x?q=%20")
                assert (reply.status, reply.body) == (201, b"body")
                assert reply.headers["response-signature"] == "sig"
                assert reply.headers["x-any"] == "1"
                got = harness.targets[0].received[0]
                assert got.first_line == "GET /safe/x?q=%20 HTTP/1.1"

        run(check())

    def test_an_answer_for_another_request_is_skipped(self):
        async def script(got, writer):
            stray = complete_response(got).replace(got.request_id.encode(), b"other")
            writer.write(stray + complete_response(got, b"mine"))

        async def check():
            async with scripted(script) as harness:
                reply = await harness.get("/unsafe/x")
                assert (reply.status, reply.body) == (200, b"mine")

        run(check())

    def test_surplus_bytes_reach_nobody(self):
        async def script(got, writer):
            writer.write(
                complete_response(got, b"mine") + complete_response(got, b"again")
            )

        async def check():
            async with scripted(script) as harness:
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
            async with scripted(script) as harness:
                reply = await harness.get("/unsafe/x")
                assert reply.status == 502
                assert run_count(harness) == 1

        run(check())

    def test_an_answer_without_length_ends_with_its_connection(self):
        async def script(got, writer):
            head = complete_response(got).replace(b"Content-Length: 4\r\n", b"")
            writer.write(head)
            writer.close()

        async def check():
            async with scripted(script) as harness:
                reply = await harness.get("/unsafe/x")
                assert (reply.status, reply.body, reply.is_complete) == (
                    200,
                    b"done",
                    True,
                )

        run(check())

    def test_an_answer_without_length_that_is_reset_is_not_whole(self):
        async def script(got, writer):
            writer.write(complete_response(got).replace(b"Content-Length: 4\r\n", b""))
            await writer.drain()
            await asyncio.sleep(0.05)
            reset_connection(writer)

        async def check():
            async with scripted(script) as harness:
                reply = await harness.get("/unsafe/x")
                assert reply.status == 502

        run(check())

    def test_bytes_that_are_no_answer_are_not_passed_on(self):
        async def script(_got, writer):
            writer.write(b"\x00\x01 no answer at all\r\n\r\n")

        async def check():
            async with scripted(script) as harness:
                assert (await harness.get("/unsafe/x")).status == 502

        run(check())

    def test_an_answer_to_head_announces_the_length_without_a_body(self):
        async def script(got, writer):
            writer.write(
                complete_response(got, b"").replace(b"Length: 0", b"Length: 77")
            )

        async def check():
            async with scripted(script) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/safe/x", method="HEAD"))
                head = await client.reader.readuntil(b"\r\n\r\n")
                assert b"Content-Length: 77" in head
                client.writer.write(request("/safe/x", "r2", method="HEAD"))
                assert (await client.reader.read(12)) == b"HTTP/1.1 200"

        run(check())


class TestTruth:
    def test_a_reset_unsafe_request_is_neither_repeated_nor_called_not_run(self):
        async def check():
            async with scripted(reset, reset) as harness:
                reply = await harness.get("/unsafe/x")
                assert reply.status == 502
                assert run_count(harness) == 1

        run(check())

    def test_a_proof_that_it_did_not_run_lets_it_go_elsewhere(self):
        async def check():
            async with scripted(rejects, send_complete_response) as harness:
                for number in range(4):
                    reply = await harness.get("/unsafe/x", f"r{number}")
                    assert reply.status == 200

        run(check())

    def test_a_request_that_all_targets_reject_is_refused_as_not_run(self):
        async def check():
            async with scripted(rejects, rejects) as harness:
                reply = await harness.get("/unsafe/x")
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) > 0
                assert "response-signature" not in reply.headers

        run(check())

    def test_503_without_proof_is_no_promise(self):
        async def script(got, writer):
            writer.write(complete_response(got, status="503 Service Unavailable"))

        async def check():
            async with scripted(script, script) as harness:
                assert (await harness.get("/unsafe/x")).status == 502
                assert run_count(harness) == 1

        run(check())

    def test_a_failure_of_an_unsafe_request_is_passed_on_once(self):
        async def script(got, writer):
            writer.write(complete_response(got, status="500 Internal Server Error"))

        async def check():
            async with scripted(script, script) as harness:
                assert (await harness.get("/unsafe/x")).status == 500
                assert run_count(harness) == 1

        run(check())

    def test_a_target_that_refuses_connections_did_not_run_it(self):
        async def check():
            async with scripted(send_complete_response) as harness:
                harness.targets[0].stop()
                await asyncio.sleep(0.05)
                assert (await harness.get("/unsafe/x")).status == 503

        run(check())

    def test_no_answer_in_time_is_said_at_the_route_timeout(self):
        async def mute(_got, _writer):
            await asyncio.sleep(20)

        async def check():
            configured = configuration(timeout_s=0.4)
            async with scripted(mute, configured=configured) as harness:
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                reply = await harness.get("/unsafe/x")
                assert reply.status == 504
                assert 0.35 < loop.time() - started_s < 0.7

        run(check())


class TestRepeats:
    def test_a_safe_request_goes_to_another_target_after_a_reset(self):
        async def check():
            async with scripted(reset, send_complete_response) as harness:
                for number in range(4):
                    reply = await harness.get("/safe/x", f"r{number}")
                    assert reply.status == 200

        run(check())

    def test_no_more_targets_than_the_route_allows(self):
        async def check():
            async with scripted(reset, reset, reset, reset) as harness:
                assert (await harness.get("/safe/x")).status == 502
                assert run_count(harness) == 2

        run(check())

    def test_an_empty_budget_allows_no_repeat(self):
        async def check():
            async with scripted(reset, reset, spare_retries=0) as harness:
                assert (await harness.get("/safe/x")).status == 502
                assert run_count(harness) == 1

        run(check())

    def test_a_request_whose_connection_still_opens_is_sent_once(self):
        async def check():
            async with scripted(
                send_complete_response, send_complete_response
            ) as harness:
                replies = await asyncio.gather(
                    *(harness.get("/safe/x", f"r{number}") for number in range(40))
                )
                assert all(reply.status == 200 for reply in replies)
                assert run_count(harness) == 40

        run(check())

    def test_a_silent_target_is_given_up_for_another(self):
        async def mute(_got, _writer):
            await asyncio.sleep(20)

        async def check():
            async with scripted(mute, send_complete_response) as harness:
                replies = [await harness.get("/safe/x", f"r{n}") for n in range(3)]
                assert all(reply.status == 200 for reply in replies)

        run(check())


class TestClientsLeaving:
    def test_the_target_hears_of_it_at_once(self):
        async def slow(_got, _writer):
            await asyncio.sleep(0.01)

        async def check():
            async with scripted(slow) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/safe/x"))
                await asyncio.sleep(0.1)
                loop = asyncio.get_running_loop()
                left_s = loop.time()
                client.writer.close()
                await asyncio.sleep(0.2)
                lost_s = harness.targets[0].disconnected_at_s
                assert lost_s
                assert lost_s[0] - left_s < 0.15
                assert harness.gateway.live_count == 0

        run(check())
