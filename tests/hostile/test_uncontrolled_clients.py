"""Clients outside the operator's control cannot end a router or shut others out.

Each test guards against a router process that runs out of memory or descriptors, or
stops answering, while a crowd of such clients stays connected. The crowds and the
bounds were fixed on 81013a7, where each of these tests fails. Run them one at a time
and apart from other load, as `make test` does.
"""

import asyncio
import itertools

import pytest
from crowd import (
    Crowd,
    bodies_in_pieces,
    large_chunks,
    small_chunks,
    trailer_fields,
    trailer_line,
    unfinished_small_bodies,
    whole_bodies,
)
from router_under_test import MAX_BODY_BYTES, RouterUnderTest

MEMORY_MB = 80
CROWD = 80
TRAILER_CROWD = 8
MAX_FDS = 4_200

FEW_FDS = 240
MAX_SOCKETS = 40
"""`FEW_FDS` less the 200 descriptors that are reserved for files."""

TEST_TIMEOUT_S = 150


def play(tmp_path, check, *, memory_mb=MEMORY_MB, max_fds=MAX_FDS):
    async def with_router():
        router = RouterUnderTest(tmp_path, memory_mb=memory_mb, max_fds=max_fds)
        async with router:
            await check(router)

    asyncio.run(asyncio.wait_for(with_router(), TEST_TIMEOUT_S))


class TestMemory:
    @pytest.mark.timeout(TEST_TIMEOUT_S + 10)
    @pytest.mark.parametrize(
        ("kinds", "count"),
        [
            ([trailer_fields], TRAILER_CROWD),
            ([trailer_line], TRAILER_CROWD),
            ([whole_bodies], CROWD),
            ([bodies_in_pieces], CROWD),
            ([large_chunks], CROWD),
            ([small_chunks], CROWD),
            ([whole_bodies, bodies_in_pieces, large_chunks, small_chunks], CROWD),
        ],
        ids=[
            "trailer_fields",
            "trailer_line",
            "whole_bodies",
            "bodies_in_pieces",
            "large_chunks",
            "small_chunks",
            "mixture",
        ],
    )
    def test_stays_within_that_of_the_machine(self, tmp_path, kinds, count):
        async def check(router):
            scripts = [
                kind(number)
                for number, kind in zip(range(count), itertools.cycle(kinds))
            ]
            crowd = Crowd(router.port, scripts)
            try:
                await crowd.send_all()
                await router.wait_until_idle()
                assert router.is_alive
                assert await router.ordinary_request() == 200
                assert router.is_alive
                assert router.peak_memory_mb < MEMORY_MB
            finally:
                await crowd.close()

        play(tmp_path, check)

    def test_a_body_of_the_largest_size_is_served_in_calm(self, tmp_path):
        async def check(router):
            assert await router.ordinary_request(b"x" * MAX_BODY_BYTES) == 200

        play(tmp_path, check)


class TestDescriptors:
    @pytest.mark.timeout(TEST_TIMEOUT_S + 10)
    def test_unfinished_requests_leave_some_for_other_clients(self, tmp_path):
        async def check(router):
            crowd = Crowd(router.port, map(unfinished_small_bodies, range(CROWD)))
            try:
                await crowd.send_all()
                assert await router.ordinary_request() == 200
                assert router.is_alive
                assert router.open_sockets <= MAX_SOCKETS
            finally:
                await crowd.close()

        play(tmp_path, check, max_fds=FEW_FDS)
