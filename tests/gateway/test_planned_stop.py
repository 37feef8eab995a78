"""A planned stop answers each request that it takes, and takes none too late."""

import asyncio
import os
import socket

import pytest
from harness import (
    HOST,
    Client,
    Harness,
    ScriptedTarget,
    chunk,
    complete_response,
    event,
    request,
    run,
    stream_head,
)

from citrondock_core.routing.route import Route, RouteKind, ServiceShare
from citrondock_core.routing.shutdown_admission import ShutdownAdmission
from citrondock_router.gateway.shutdown import ShutdownOptions, shut_down

ANSWER_S = 0.4
GRACE_S = 1.2
OPTIONS = ShutdownOptions(accept_s=1.0, margin_s=0.1, poll_s=0.05)


async def answer_slowly(got, writer):
    await asyncio.sleep(ANSWER_S)
    writer.write(complete_response(got))


async def answer_never(got, writer):
    await asyncio.sleep(20)


async def stream_without_end(got, writer):
    writer.write(stream_head(got))
    for number in range(400):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0.05)


class TestRequestsLateInTheGrace:
    def test_each_is_answered_or_refused_before_it_is_passed_on(self):
        async def check():
            target = ScriptedTarget("t1", answer_slowly)
            async with Harness([target]) as harness:
                # The router learns how long a request takes.
                assert (await harness.get("/unsafe/x", "first")).status == 200
                stop = asyncio.ensure_future(
                    shut_down(harness.gateway, grace_s=GRACE_S, options=OPTIONS)
                )
                replies = []
                tries = 0
                while not stop.done():
                    tries += 1
                    sent = harness.get("/unsafe/x", f"r{tries}")
                    replies.append((f"r{tries}", asyncio.ensure_future(sent)))
                    await asyncio.sleep(0.02)
                received = {got.request_id for got in target.received}
                for request_id, pending in replies:
                    reply = await pending
                    if reply.status == 0:
                        # It came once the router had closed its connections.
                        assert request_id not in received
                    else:
                        expected = 200 if request_id in received else 503
                        assert (reply.status, reply.is_complete) == (expected, True)
                statuses = {pending.result().status for _, pending in replies}
                assert {200, 503} <= statuses

        run(check())

    def test_one_that_cannot_end_in_time_is_refused_on_a_kept_connection(self):
        async def check():
            target = ScriptedTarget("t1", answer_slowly)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/unsafe/x", "first", "POST"))
                assert (await client.read()).status == 200
                now_s = asyncio.get_running_loop().time()
                harness.gateway.start_draining(stops_at_s=now_s + ANSWER_S / 2)
                client.writer.write(request("/unsafe/x", "second", "POST"))
                reply = await client.read()
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) < 1
                assert [got.request_id for got in target.received] == ["first"]

        run(check())


class TestRequestsAtTheEndOfTheGrace:
    def test_one_that_may_have_run_gets_a_bad_gateway(self):
        async def check():
            target = ScriptedTarget("t1", answer_never)
            async with Harness([target]) as harness:
                pending = asyncio.ensure_future(harness.get("/safe/x"))
                while not target.received:
                    await asyncio.sleep(0.01)
                await shut_down(harness.gateway, grace_s=0.3, options=OPTIONS)
                reply = await pending
                assert (reply.status, reply.is_complete) == (502, True)

        run(check())

    def test_a_stream_is_broken_off_visibly(self):
        async def check():
            target = ScriptedTarget("t1", stream_without_end)
            async with Harness([target]) as harness:
                pending = asyncio.ensure_future(harness.get("/stream/x"))
                while not target.received:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                await shut_down(harness.gateway, grace_s=0.3, options=OPTIONS)
                reply = await pending
                assert reply.status == 200
                assert not reply.is_complete

        run(check())


class TestShutdownAdmission:
    def route(self, kind):
        return Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=kind,
            shares=(ServiceShare("s", 1),),
            timeout_s=5.0,
            first_answer_target_s=1.0,
            max_pause_s=0.1,
            max_attempts=1,
            is_public=True,
        )

    def test_all_are_accepted_while_no_stop_is_planned(self):
        admission = ShutdownAdmission()
        route = self.route(RouteKind.AT_MOST_ONCE)
        assert admission.may_accept(route, now_s=0.0)
        assert admission.may_send(route, now_s=0.0)

    def test_an_unsafe_request_needs_the_longest_time(self):
        admission = ShutdownAdmission()
        admission.stops_at_s = 10.0
        route = self.route(RouteKind.AT_MOST_ONCE)
        assert admission.may_accept(route, now_s=5.0)
        assert not admission.may_accept(route, now_s=5.1)
        for total_s in (0.1, 0.8, 0.2):
            admission.record_answered(route, total_s=total_s, served_s=total_s / 2)
        assert admission.may_accept(route, now_s=9.0)
        assert not admission.may_accept(route, now_s=9.1)
        assert admission.may_send(route, now_s=9.5)
        assert not admission.may_send(route, now_s=9.6)

    def test_one_that_may_run_again_needs_the_median(self):
        admission = ShutdownAdmission()
        admission.stops_at_s = 10.0
        route = self.route(RouteKind.RESUMABLE_STREAM)
        for total_s in (0.1, 3.0, 0.2):
            admission.record_answered(route, total_s=total_s, served_s=total_s)
        assert admission.may_accept(route, now_s=9.8)
        assert not admission.may_accept(route, now_s=9.9)
        assert admission.may_send(route, now_s=9.9)


class TestConnectionsAtTheEndOfTheGrace:
    def test_a_request_that_arrived_but_was_not_read_is_answered(self, monkeypatch):
        async def check():
            target = ScriptedTarget("t1", answer_slowly)
            async with Harness([target]) as harness:
                loop = asyncio.get_running_loop()
                client = socket.create_connection((HOST, harness.port))
                client.setblocking(False)
                while not harness.gateway._clients:
                    await asyncio.sleep(0.01)
                real = harness.gateway.end_requests

                def end_requests():
                    client.sendall(request("/unsafe/x", "late", "POST"))
                    real()

                monkeypatch.setattr(harness.gateway, "end_requests", end_requests)
                await shut_down(harness.gateway, grace_s=0.3, options=OPTIONS)
                reply = await asyncio.wait_for(loop.sock_recv(client, 1000), 3)
                assert b" 503 " in reply
                client.close()

        run(check())

    def test_a_request_behind_one_that_was_given_up_is_answered(self):
        async def check():
            target = ScriptedTarget("t1", answer_never)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/safe/x", "r1"))
                client.writer.write(request("/safe/x", "r2"))
                while not target.received:
                    await asyncio.sleep(0.01)
                await shut_down(harness.gateway, grace_s=0.3, options=OPTIONS)
                assert (await client.read()).status == 502
                reply = await client.read()
                assert (reply.status, reply.headers["connection"]) == (503, "close")
                client.writer.close()

        run(check())

    def test_a_request_that_crosses_the_end_is_not_read(self):
        async def check():
            target = ScriptedTarget("t1", answer_slowly)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/safe/x", "r1"))
                assert (await client.read()).status == 200
                harness.gateway.start_draining()
                harness.gateway.is_refusing = True
                harness.gateway.close_clients()
                sock = client.writer.get_extra_info("socket")
                os.write(sock.fileno(), request("/unsafe/x", "crossing", "POST"))
                # The kernel resets a connection that is closed with unread bytes.
                with pytest.raises(ConnectionResetError):
                    await asyncio.wait_for(client.reader.read(10), 3)

        run(check())
