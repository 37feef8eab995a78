"""Datagrams of other routers are read in the middle of a long loop iteration."""

import asyncio
import socket

from harness import (
    HOST,
    Client,
    Harness,
    ScriptedTarget,
    request,
    run,
    send_complete_response,
)

from citrondock_router.gateway.datagram_socket import READ_PERIOD_S, DatagramSocket
from citrondock_router.gateway.gateway_settings import Address


class TestDatagramSocket:
    def test_datagrams_are_read_without_the_loop_once_in_a_period(self):
        async def check():
            now_s = 100.0
            received = []
            datagrams = DatagramSocket(
                Address(HOST, 0),
                lambda data, _sender: received.append(data),
                asyncio.get_running_loop(),
                clock=lambda: now_s,
            )
            address = (datagrams.address.host, datagrams.address.port)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
                peer.sendto(b"1", address)
                datagrams.read_if_due()
                assert received == []
                now_s += READ_PERIOD_S
                datagrams.read_if_due()
                assert received == [b"1"]
                peer.sendto(b"2", address)
                datagrams.read_if_due()
                assert received == [b"1"]
            datagrams.close()

        run(check())


class TestGateway:
    def test_it_reads_datagrams_between_the_requests_of_clients(self, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                reads = []
                link = harness.process.broker.link
                monkeypatch.setattr(link, "read_if_due", lambda: reads.append(1))
                client = await Client.connect(harness.port)
                client.writer.write(request("/safe/a", "r1") + request("/safe/b", "r2"))
                assert [(await client.read()).status for _ in range(2)] == [200, 200]
                assert len(reads) == 2
                client.writer.close()

        run(check())
