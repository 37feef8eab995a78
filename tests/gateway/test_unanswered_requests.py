"""No whole request ends without an answer because of a decision of the gateway."""

import asyncio
import io
import socket
import sys

import attrs
import pytest
from harness import (
    HOST,
    Client,
    Harness,
    ScriptedTarget,
    chunk,
    complete_response,
    configuration,
    event,
    request,
    run,
    send_complete_response,
    stream_head,
)

from citrondock_cli.log_lines import parse_log_lines
from citrondock_core.routing.route import Route
from citrondock_router.gateway import gateway as gateway_module
from citrondock_router.gateway.client_connection import MAX_PIPELINED_REQUESTS
from citrondock_router.gateway.exchange import Exchange
from citrondock_router.gateway.grant_requester import GrantRequester
from citrondock_router.gateway.request_reader import RequestReader
from citrondock_router.gateway.target_connection import TargetConnection
from citrondock_router.log import configure_logging


class Log:
    """Collects the events of a test."""

    def __init__(self):
        self.stream = io.StringIO()

    def events(self, name):
        lines = parse_log_lines("log", self.stream.getvalue().splitlines())
        return [line.fields for line in lines if line.event == name]


@pytest.fixture
def log():
    collected = Log()
    configure_logging(stream=collected.stream)
    yield collected
    configure_logging(stream=sys.stderr)


async def break_stream_off(got, writer):
    writer.write(stream_head(got) + chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(0.1)
    writer.close()


async def open_idle_client(harness):
    """Return a client whose connection had one request, which was answered."""
    client = await Client.connect(harness.port)
    client.writer.write(request("/safe/x", "first"))
    assert (await client.read()).status == 200
    return client


async def open_socket(harness):
    """Return a socket that is connected to the gateway, once that has accepted it."""
    client = socket.create_connection((HOST, harness.port))
    client.setblocking(False)
    while not harness.gateway._clients:
        await asyncio.sleep(0.01)
    return client


async def open_idle_socket(harness):
    """Return a socket whose connection had one request, which was answered."""
    loop = asyncio.get_running_loop()
    client = await open_socket(harness)
    client.sendall(request("/safe/x", "first"))
    assert b"200 OK" in await loop.sock_recv(client, 1000)
    return client


async def receive(client):
    """Return the next bytes at a socket; None if the peer reset the connection."""
    loop = asyncio.get_running_loop()
    try:
        return await asyncio.wait_for(loop.sock_recv(client, 1000), 3)
    except ConnectionResetError:
        return None


def with_idle_timeout(version, idle_timeout_s):
    configured = configuration(version)
    limits = attrs.evolve(configured.limits, idle_timeout_s=idle_timeout_s)
    return attrs.evolve(configured, limits=limits)


class TestObservability:
    def test_a_request_read_while_closing_is_reported(self, log):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                harness.gateway.start_draining()
                client.writer.write(request("/safe/x", "r1"))
                assert (await client.read()).headers["connection"] == "close"
                client.writer.write(request("/safe/x", "r2"))
                await asyncio.sleep(0.1)
                page = harness.process.metrics.render().decode()

            (found,) = log.events("request_unanswered")
            assert found["request_id"] == "r2"
            assert found["reason"] == "close_announced"
            assert found["stage"] == "discarded"
            labels = '{reason="close_announced",stage="discarded"}'
            assert f"citrondock_unanswered_total{labels} 1" in page

        run(check())

    def test_a_request_behind_a_broken_response_is_reported(self, log):
        async def check():
            target = ScriptedTarget("t0", break_stream_off)
            async with Harness([target]) as harness:
                await harness.send_and_receive(
                    request("/stream/x", "r1") + request("/safe/x", "r2")
                )
                await asyncio.sleep(0.05)

            (found,) = log.events("request_unanswered")
            assert found["request_id"] == "r2"
            assert found["reason"] == "response_broken_off"
            assert found["stage"] == "queued"

        run(check())

    def test_closed_idle_connections_are_reported(self, log, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                monkeypatch.setattr(gateway_module, "IDLE_GRACE_S", -5.0)
                client = await open_idle_client(harness)
                await asyncio.sleep(0.01)
                harness.gateway.close_idle_clients()
                client.writer.close()

            (found,) = log.events("idle_clients_closed")
            assert found["count"] == "1"
            assert float(found["max_idle_s"]) > 0

        run(check())


class TestIdleConnections:
    def test_a_request_that_crosses_the_close_is_not_read(self, log, monkeypatch):
        # A client repeats an unsafe request only if the router did not read it.
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                monkeypatch.setattr(gateway_module, "IDLE_GRACE_S", -5.0)
                client = await open_idle_socket(harness)
                await asyncio.sleep(0.01)
                harness.gateway.close_idle_clients()
                client.sendall(request("/unsafe/x", "crossing", "POST"))
                assert await receive(client) is None
                client.close()
                assert [got.request_id for got in target.received] == ["first"]
            assert log.events("request_unanswered") == []

        run(check())

    def test_a_request_that_waits_unread_is_served(self, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                monkeypatch.setattr(gateway_module, "IDLE_GRACE_S", -5.0)
                client = await open_idle_socket(harness)
                await asyncio.sleep(0.01)
                client.sendall(request("/unsafe/x", "waiting", "POST"))
                harness.gateway.close_idle_clients()
                assert b"200 OK" in (await receive(client) or b"")
                client.close()

        run(check())

    def test_a_request_that_waits_unread_is_served_without_descriptors(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await open_idle_socket(harness)
                client.sendall(request("/unsafe/x", "waiting", "POST"))
                assert harness.gateway.close_longest_idle() == 0
                assert b"200 OK" in (await receive(client) or b"")
                client.close()

        run(check())

    def test_a_shorter_limit_applies_after_the_next_response(self, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                monkeypatch.setattr(gateway_module, "IDLE_GRACE_S", 0.0)
                client = await open_idle_client(harness)
                harness.gateway.configure(with_idle_timeout(2, 0.05))
                await asyncio.sleep(0.1)
                harness.gateway.close_idle_clients()
                client.writer.write(request("/unsafe/x", "r2", "POST"))
                assert (await client.read()).status == 200
                await asyncio.sleep(0.1)
                harness.gateway.close_idle_clients()
                assert await asyncio.wait_for(client.reader.read(), 2) == b""
                client.writer.close()

        run(check())

    def test_a_longer_limit_applies_at_once(self, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            configured = with_idle_timeout(1, 0.3)
            async with Harness([target], configured=configured) as harness:
                monkeypatch.setattr(gateway_module, "IDLE_GRACE_S", 0.0)
                client = await open_idle_client(harness)
                harness.gateway.configure(with_idle_timeout(2, 5.0))
                # A client may count on it although the limit shrinks again.
                harness.gateway.configure(with_idle_timeout(3, 0.05))
                await asyncio.sleep(0.4)
                harness.gateway.close_idle_clients()
                client.writer.write(request("/unsafe/x", "r2", "POST"))
                assert (await client.read()).status == 200
                client.writer.close()

        run(check())

    def test_a_response_that_waits_for_a_slow_client_is_not_lost(self):
        async def check():
            async def send_much(got, writer):
                writer.write(complete_response(got, b"x" * 200_000))

            target = ScriptedTarget("t0", send_much)
            async with Harness([target]) as harness:
                client = await open_socket(harness)
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                (connection,) = harness.gateway._clients
                sock = connection._transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                client.sendall(request("/safe/x", "r1"))
                while not target.received or not connection.is_idle:
                    await asyncio.sleep(0.01)
                assert connection._transport.get_write_buffer_size()
                assert harness.gateway.close_longest_idle() == 0
                received = b""
                while received.count(b"x") < 200_000:
                    part = await receive(client)
                    assert part, "the response was cut"
                    received += part
                client.close()

        run(check())


class TestDraining:
    def test_a_connection_whose_close_was_not_announced_stays_open(self):
        async def check():
            may_end = asyncio.Event()

            async def stream_until_told(got, writer):
                writer.write(stream_head(got) + chunk(event(1)))
                await writer.drain()
                await may_end.wait()
                writer.write(chunk(b""))

            target = ScriptedTarget("t0", stream_until_told)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/stream/x", "r1"))
                head = await client.reader.readuntil(b"\r\n\r\n")
                assert b"Connection" not in head
                harness.gateway.start_draining()
                may_end.set()
                await client.reader.readuntil(b"\r\n0\r\n\r\n")
                client.writer.write(request("/stream/x", "r2", "POST"))
                reply = await asyncio.wait_for(client.read(), 3)
                assert (reply.status, reply.headers["connection"]) == (200, "close")
                client.writer.close()

        run(check())

    def test_pipelined_requests_are_answered_before_the_close(self, log):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                harness.gateway.start_draining()
                for number in range(4):
                    client.writer.write(request("/safe/x", f"r{number}"))
                replies = [await client.read() for _ in range(4)]
                assert [reply.status for reply in replies] == [200] * 4
                assert "connection" not in replies[0].headers
                assert replies[3].headers["connection"] == "close"
                client.writer.close()
            assert log.events("request_unanswered") == []

        run(check())


class TestRejectedBytes:
    @pytest.mark.parametrize(
        ("malformed", "status"),
        [
            (b"nonsense\r\n\r\n", 400),
            (request("/safe/x", "r3", "PUT", body=b"x" * 20_000), 413),
            (request("/safe/x", "r3", X_Long="y" * 5000), 431),
        ],
    )
    def test_requests_before_them_are_answered_first(self, malformed, status):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(
                    request("/safe/x", "r1") + request("/safe/x", "r2") + malformed
                )
                replies = [await client.read() for _ in range(3)]
                assert [reply.status for reply in replies] == [200, 200, status]
                ids = [reply.headers.get("request-id") for reply in replies]
                assert ids == ["r1", "r2", None]
                assert replies[2].headers["connection"] == "close"
                client.writer.close()

        run(check())

    def test_a_head_behind_a_long_body_is_not_too_large(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                # Longer than the limit for heads, but not than that for bodies.
                first = request("/safe/x", "r1", "PUT", body=b"x" * 8000)
                second = request("/safe/x", "r2")
                client.writer.write(first + second[:-10])
                assert (await client.read()).status == 200
                client.writer.write(second[-10:])
                reply = await client.read()
                assert (reply.status, reply.headers["request-id"]) == (200, "r2")
                client.writer.close()

        run(check())

    def test_a_head_that_never_ends_is_refused(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(b"GET /safe/x HTTP/1.1\r\nX-Long: ")
                for _ in range(10):
                    client.writer.write(b"y" * 1000)
                    await asyncio.sleep(0.01)
                assert (await client.read()).status == 431
                client.writer.close()

        run(check())

    def test_an_oversized_request_before_another_is_answered(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                too_long = request("/safe/x", "r1", "PUT", body=b"x" * 20_000)
                client.writer.write(too_long + request("/safe/x", "r2"))
                assert (await client.read()).status == 413
                assert target.received == []
                client.writer.close()

        run(check())

    def test_a_slow_head_is_rejected_once(self, log):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(b"GET /safe/x HTTP/1.1\r\nHost: h")
                assert (await client.read()).status == 408
                harness.gateway.close_idle_clients()
                harness.gateway.close_idle_clients()
                client.writer.close()
            assert len(log.events("request_rejected")) == 1

        run(check())

    def test_a_body_over_a_limit_that_shrank_meanwhile_is_refused(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                whole = request("/safe/x", "r1", "PUT", body=b"x" * 5000)
                client.writer.write(whole[:-2000])
                await asyncio.sleep(0.05)
                configured = configuration(2)
                limits = attrs.evolve(configured.limits, max_body_bytes=1000)
                harness.gateway.configure(attrs.evolve(configured, limits=limits))
                client.writer.write(whole[-2000:])
                reply = await asyncio.wait_for(client.read(), 3)
                assert reply.status == 413
                client.writer.close()

        run(check())

    def test_a_limit_that_shrank_after_a_request_ended_does_not_concern_it(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/safe/x", "r1", "PUT", body=b"x" * 5000))
                assert (await client.read()).status == 200
                configured = configuration(2)
                limits = attrs.evolve(configured.limits, max_body_bytes=1000)
                harness.gateway.configure(attrs.evolve(configured, limits=limits))
                # Empty lines before a request line are allowed.
                client.writer.write(b"\r\n")
                await asyncio.sleep(0.05)
                client.writer.write(request("/safe/x", "r2"))
                assert (await client.read()).status == 200
                client.writer.close()

        run(check())


class TestPipelining:
    def test_many_requests_at_once_are_all_answered(self, log):
        async def check():
            async def answer_soon(got, writer):
                await asyncio.sleep(0.002)
                writer.write(complete_response(got))

            target = ScriptedTarget("t0", answer_soon)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                count = 5 * MAX_PIPELINED_REQUESTS
                for number in range(count):
                    client.writer.write(request("/safe/x", f"r{number}"))
                    if number % MAX_PIPELINED_REQUESTS == 0:
                        await asyncio.sleep(0)
                for number in range(count):
                    reply = await asyncio.wait_for(client.read(), 3)
                    assert reply.status == 200
                    assert reply.headers["request-id"] == f"r{number}"
                client.writer.close()
            assert log.events("request_unanswered") == []

        run(check())

    def test_no_more_is_read_while_many_wait(self):
        async def check():
            may_answer = asyncio.Event()

            async def answer_later(got, writer):
                await may_answer.wait()
                writer.write(complete_response(got))

            target = ScriptedTarget("t0", answer_later)
            async with Harness([target]) as harness:
                client = await open_socket(harness)
                client.sendall(request("/safe/x", "r0") * 2 * MAX_PIPELINED_REQUESTS)
                await asyncio.sleep(0.05)
                (connection,) = harness.gateway._clients
                last = request("/safe/x", "last")
                client.sendall(last)
                await asyncio.sleep(0.05)
                assert not connection._transport.is_reading()
                may_answer.set()
                received = b""
                while b"Request-Id: last" not in received:
                    part = await receive(client)
                    assert part
                    received += part
                client.close()

        run(check())

    def test_time_in_which_nothing_is_read_does_not_count_for_a_head(self):
        async def check():
            may_answer = asyncio.Event()

            async def answer_later(got, writer):
                await may_answer.wait()
                writer.write(complete_response(got))

            target = ScriptedTarget("t0", answer_later)
            async with Harness([target]) as harness:
                client = await open_socket(harness)
                last = request("/safe/x", "last")
                waiting = request("/safe/x", "r0") * 2 * MAX_PIPELINED_REQUESTS
                client.sendall(waiting + last[:-10])
                await asyncio.sleep(0.05)
                client.sendall(last[-10:])
                # Longer than the timeout for heads.
                await asyncio.sleep(0.7)
                harness.gateway.close_idle_clients()
                may_answer.set()
                received = b""
                while b"Request-Id: last" not in received:
                    part = await receive(client)
                    assert part and b" 408 " not in part
                    received += part
                client.close()

        run(check())


class UnexpectedError(Exception):
    """Stands for an error that no code expects."""


def raising(*_args, **_options):
    raise UnexpectedError


class TestUnexpectedErrors:
    def test_one_before_the_request_is_scheduled_is_answered(self, log, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await open_idle_client(harness)
                with monkeypatch.context() as patch:
                    patch.setattr(Route, "service_for", raising)
                    client.writer.write(request("/unsafe/x", "r1", "POST"))
                    reply = await asyncio.wait_for(client.read(), 3)
                assert reply.status == 503
                assert "retry-after" in reply.headers
                client.writer.write(request("/safe/x", "r2"))
                assert (await client.read()).status == 200
                client.writer.close()
            (found,) = log.events("request_error")
            assert found["request_id"] == "r1"
            assert "UnexpectedError" in found["error"]

        run(check())

    def test_one_when_it_is_scheduled_is_answered(self, log, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                with monkeypatch.context() as patch:
                    patch.setattr(harness.gateway.scheduler, "submit", raising)
                    sent = harness.get("/unsafe/x", "r1")
                    assert (await asyncio.wait_for(sent, 3)).status == 503
                assert harness.gateway.live_count == 0
                assert len(log.events("request_ended")) == 1

        run(check())

    def test_one_when_it_is_sent_is_answered(self, log, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                monkeypatch.setattr(TargetConnection, "send", raising)
                reply = await asyncio.wait_for(harness.get("/safe/x", "r1"), 1)
                # Whether it was sent is not certain.
                assert reply.status == 502
                assert harness.gateway.live_count == 0
            assert log.events("request_error")[0]["request_id"] == "r1"

        run(check())

    def test_one_when_a_response_ends_is_answered(self, log, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                monkeypatch.setattr(Exchange, "_plain_ended", raising)
                reply = await asyncio.wait_for(harness.get("/unsafe/x", "r1"), 1)
                assert reply.status == 502
                assert harness.gateway.live_count == 0

        run(check())

    def test_one_at_the_deadline_is_answered(self, monkeypatch):
        async def check():
            async def never_answer(_got, _writer):
                await asyncio.sleep(5)

            target = ScriptedTarget("t0", never_answer)
            async with Harness(
                [target], configured=configuration(timeout_s=0.3)
            ) as harness:
                monkeypatch.setattr(Exchange, "_end_unanswered", raising)
                reply = await asyncio.wait_for(harness.get("/safe/x", "r1"), 3)
                assert reply.status == 502

        run(check())

    def test_one_of_a_waiting_request_leaves_the_others(self, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response, service="other")
            async with Harness([target]) as harness:
                scheduler = harness.gateway.scheduler
                real = Exchange.wait_until_s.fget

                def wait_until_s(exchange):
                    if exchange.facts.request_id == "r1":
                        raise UnexpectedError
                    return real(exchange)

                monkeypatch.setattr(Exchange, "wait_until_s", property(wait_until_s))
                monkeypatch.setattr(scheduler, "_send_plain", lambda *_a, **_o: False)
                monkeypatch.setattr(
                    scheduler, "_loads_by_service", {"app": scheduler.loads("other")}
                )
                replies = await asyncio.wait_for(
                    asyncio.gather(
                        harness.get("/safe/x", "r1"), harness.get("/safe/x", "r2")
                    ),
                    # Less than the timeout of the route.
                    1,
                )
                assert [reply.status for reply in replies] == [503, 503]

        run(check())

    def test_one_on_an_operations_page_is_answered(self, log, monkeypatch):
        async def check():
            async with Harness([]) as harness:
                monkeypatch.setattr(harness.process.metrics, "render", raising)
                client = await Client.connect(harness.metrics_port)
                client.writer.write(request("/metrics"))
                assert (await asyncio.wait_for(client.read(), 3)).status == 500
                client.writer.close()

        run(check())

    def test_one_when_a_grant_arrives_is_answered(self, log, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response, service="llm")
            async with Harness([target]) as harness:
                monkeypatch.setattr(GrantRequester, "_handle_grant", raising)
                sent = harness.get("/model/x", "r1", Token_Usage="500,10")
                assert (await asyncio.wait_for(sent, 1)).status == 503
                assert harness.process.broker.home.granted_count == 0
            (found,) = log.events("request_error")
            assert found["request_id"] == "r1"

        run(check())

    def test_one_while_a_request_is_read_is_answered(self, log, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                other = await open_idle_client(harness)
                with monkeypatch.context() as patch:
                    patch.setattr(RequestReader, "on_header", raising)
                    sent = harness.get("/unsafe/x", "r1")
                    assert (await asyncio.wait_for(sent, 3)).status == 503
                other.writer.write(request("/safe/x", "r2"))
                assert (await other.read()).status == 200
                other.writer.close()
            (found,) = log.events("request_error")
            assert "UnexpectedError" in found["error"]

        run(check())


class TestPlannedStop:
    def test_many_waiting_requests_are_refused(self, log):
        # Each refused request lets the next be tried, in the same call.
        async def check():
            async def never_answer(_got, _writer):
                await asyncio.sleep(20)

            target = ScriptedTarget("t0", never_answer)
            configured = configuration(timeout_s=10)
            routes = [
                attrs.evolve(route, first_answer_target_s=8.0)
                for route in configured.routes
            ]
            configured = attrs.evolve(configured, routes=tuple(routes))
            async with Harness([target], configured=configured) as harness:
                scheduler = harness.gateway.scheduler
                with pytest.MonkeyPatch.context() as patch:
                    patch.setattr(scheduler, "_send_plain", lambda *_a, **_o: False)
                    patch.setattr(scheduler, "tick", lambda: None)
                    sent = [
                        asyncio.ensure_future(
                            harness.get("/unsafe/x", f"r{number}", Deadline_Ms=9000)
                        )
                        for number in range(200)
                    ]
                    while harness.gateway.live_count < len(sent):
                        await asyncio.sleep(0.01)
                    now_s = asyncio.get_running_loop().time()
                    harness.gateway.start_draining(stops_at_s=now_s + 0.5)
                replies = await asyncio.wait_for(asyncio.gather(*sent), 10)
                assert {reply.status for reply in replies} == {503}
                ended = log.events("request_ended")
                assert {fields["reason"] for fields in ended} == {"leaving"}

        run(check())
