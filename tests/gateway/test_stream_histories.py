"""Whole histories of a fleet, on simulated time: no stream is joined from two versions.

``HISTORIES=200 pytest tests/gateway/test_stream_histories.py`` plays more of them.
"""

import asyncio
import os

import pytest
from simulated_loop import run_simulated
from stream_histories import PROFILES, Fleet

from citrondock_router.gateway import (
    store_era,
    stream_record_writer,
    stream_version_log,
)

FIRST_SEED = int(os.environ.get("FIRST_SEED", "1"))
SEEDS = int(os.environ.get("HISTORIES", "10"))
CALM_S = 12.0
TROUBLED_S = 240.0
ENTRY_LAG_S = 1.1
MIN_SHARE_THAT_GOES_ON = 0.5
"""Of the streams taken up in touch with a sound store, relative to those that begin."""


class SimulatedTimeOfDay:
    """Stands for the module ``time`` of a module under test."""

    def __init__(self):
        self.loop = None

    def time(self):
        return 1_800_000_000.0 + self.loop.time()


@pytest.fixture
def time_of_day(monkeypatch):
    simulated = SimulatedTimeOfDay()
    for module in (stream_record_writer, stream_version_log):
        monkeypatch.setattr(module, "time", simulated)
        monkeypatch.setattr(module, "log_event", lambda *_, **__: None)
    monkeypatch.setattr(store_era, "log_event", lambda *_, **__: None)
    return simulated


def play(seed, time_of_day, *, entry_lag_s=None, **times):
    """Play one history; return the fleet."""

    async def main():
        fleet = Fleet(seed, entry_lag_s=entry_lag_s)
        time_of_day.loop = asyncio.get_running_loop()
        await fleet.play(**times)
        return fleet

    return run_simulated(main())


class TestHistories:
    @pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
    def test_no_stream_goes_on_at_another_version(self, seed, time_of_day):
        # Guards against joined streams, whatever the cause.
        fleet = play(seed, time_of_day, calm_s=CALM_S, troubled_s=TROUBLED_S)
        counts = fleet.counts
        assert counts.taken_up > 100
        assert not counts.joined, "\n".join(fleet.events)

    def test_streams_taken_up_in_touch_go_on(self, time_of_day):
        # Guards against a mend that refuses what could go on.
        taken_up = gone_on = begun = asked = 0
        for seed in range(FIRST_SEED, FIRST_SEED + len(PROFILES)):
            fleet = play(seed, time_of_day, calm_s=CALM_S, troubled_s=TROUBLED_S / 4)
            counts = fleet.counts
            taken_up += counts.sound_taken_up
            gone_on += counts.sound_gone_on
            begun += counts.begun
            asked += counts.begun + counts.not_begun
        assert taken_up > 100
        assert gone_on / taken_up >= MIN_SHARE_THAT_GOES_ON * begun / asked


class TestRestartsUnderAnId:
    def test_no_stream_goes_on_at_another_version(self, time_of_day):
        # Guards against joined streams: a target is back at another version before its
        # entry says so, and what begins there counts as the old version.
        for seed in range(FIRST_SEED, FIRST_SEED + len(PROFILES)):
            fleet = play(
                seed,
                time_of_day,
                entry_lag_s=ENTRY_LAG_S,
                calm_s=CALM_S,
                troubled_s=TROUBLED_S,
            )
            assert not fleet.counts.joined, "\n".join(fleet.events)
