"""Control traffic, processor time and memory of dispatch by size of the fleet.

Many dispatchers run in one process on a simulated clock. Run as
``python -m citrondock_bench.dispatch_slopes --out=FILE``.
"""

import heapq
import itertools
import json
import random
import sys
import time
import tracemalloc
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from pathlib import Path

import attrs
from absl import app, flags

from citrondock_core import Dispatcher, Outcome, Send, Start
from citrondock_core.configuration import (
    ClientAccount,
    Configuration,
    Pool,
    Service,
    ServiceKind,
    Target,
)
from citrondock_core.messages import Member, PeerMessage
from citrondock_core.request import Usage, WaitingRequest
from citrondock_wire.message_codec import MessageCodec

ENVELOPE_BYTES = 90
STEP_PERIOD_S = 0.05
NETWORK_DELAY_S = 0.002
MEAN_DURATION_S = 2.0
TOKENS_PER_S = 100.0
MAX_ZONE_COUNT = 12
NODES_PER_ZONE = 3
BACKLOGGED_FRACTION = 0.1
MIN_BACKLOGGED_COUNT = 16
ROUTERS_PER_ACCOUNT = 4
WAITING_PER_SLOT = 2.0
PERCENT = 100.0
BYTES_PER_MB = 1_000_000


@attrs.frozen(kw_only=True)
class DispatchSize:
    """Size of a simulated fleet."""

    node_count: int = 7
    account_count: int = 160
    engines_per_node: int = 2
    slots_per_engine: int = 8


@attrs.frozen(kw_only=True)
class DispatchPoint:
    """Measured cost of dispatch per node.

    Parameters
    ----------
    size : DispatchSize
        Size of the fleet.
    backlogged_count : int
        Accounts that always have requests waiting, each at a few routers.
    requests_per_node_s : float
        Completed requests per node and second.
    utilisation : float
        Share of slots that were busy.
    bytes_per_s, busiest_bytes_per_s : float
        Bytes sent and received by a node on average, and by the busiest node, which
        is a relay.
    cpu_percent : float
        Processor time of a node's dispatcher, in percent of a core, without encoding
        and sockets.
    memory_mb : float
        Memory of a node's dispatcher.
    """

    size: DispatchSize
    backlogged_count: int
    requests_per_node_s: float
    utilisation: float
    bytes_per_s: float
    busiest_bytes_per_s: float
    cpu_percent: float
    memory_mb: float


class SimulatedDispatch:
    """Simulates dispatchers that exchange encoded messages on a simulated clock.

    Parameters
    ----------
    size : DispatchSize
        Size of the fleet.
    seed : int
        Seed for arrivals, durations and the routers of each account.
    """

    def __init__(self, size: DispatchSize, *, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._order = itertools.count()
        self._codec = MessageCodec()
        self.now_s = 0.0
        self.cpu_s = 0.0
        self.ended_count = 0
        self.sent_bytes: Counter[str] = Counter()
        self.accounts_by_request: dict[str, str] = {}
        self.running: dict[str, tuple[str, str]] = {}
        zone_count = max(2, min(MAX_ZONE_COUNT, size.node_count // NODES_PER_ZONE))
        self._members = {
            f"router-{i:03}": Member(
                vm_name=f"router-{i:03}",
                availability_zone=f"zone-{i % zone_count:02}",
                incarnation=1,
            )
            for i in range(size.node_count)
        }
        configuration = _configuration(size, zone_count)
        self._codec.set_accounts(configuration.accounts)
        self.dispatchers = {n: Dispatcher(m) for n, m in self._members.items()}
        for dispatcher in self.dispatchers.values():
            dispatcher.set_configuration(configuration, now_s=0.0)
            dispatcher.set_members(list(self._members.values()), now_s=0.0)
        fraction = int(size.account_count * BACKLOGGED_FRACTION)
        count = min(size.account_count, max(MIN_BACKLOGGED_COUNT, fraction))
        self.backlogged = list(configuration.accounts)[:count]
        slots = size.node_count * size.engines_per_node * size.slots_per_engine
        waiting_per_router = WAITING_PER_SLOT * slots / (count * ROUTERS_PER_ACCOUNT)
        for account in self.backlogged:
            routers = sorted(self._members)
            for name in self._random.sample(routers, ROUTERS_PER_ACCOUNT):
                for _ in range(max(1, round(waiting_per_router))):
                    self._schedule(self._random.random(), self._submit, account, name)
        for name in self._members:
            self._schedule(self._random.uniform(0, STEP_PERIOD_S), self._tick, name)

    def run(self, until_s: float) -> None:
        """Advance the clock by running all events due until `until_s`."""
        while self._events[0][0] <= until_s:
            self.now_s, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def _schedule(
        self, at_s: float, call: Callable[..., None], *arguments: object
    ) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), call, arguments))

    def _tick(self, name: str) -> None:
        self._step(name)
        self._schedule(self.now_s + STEP_PERIOD_S, self._tick, name)

    def _submit(self, account: str, name: str) -> None:
        request_id = f"r{next(self._order)}"
        self.accounts_by_request[request_id] = account
        request = WaitingRequest(
            request_id=request_id,
            account=account,
            service="chat",
            pool="engines",
            arrived_at_s=self.now_s,
            deadline_s=self.now_s + 1e6,
        )
        self.dispatchers[name].submit(request, now_s=self.now_s)
        self._step(name)

    def _step(self, name: str) -> None:
        began_s = time.process_time()
        actions = self.dispatchers[name].step(now_s=self.now_s)
        self.cpu_s += time.process_time() - began_s
        batches: defaultdict[str, list[PeerMessage]] = defaultdict(list)
        for action in actions:
            if isinstance(action, Start):
                duration_s = self._random.expovariate(1 / MEAN_DURATION_S)
                self.running[action.request_id] = (name, action.target)
                self._schedule(
                    self.now_s + duration_s, self._finish, name, action, duration_s
                )
            elif isinstance(action, Send):
                batches[action.vm_name].append(action.message)
        for receiver, messages in batches.items():
            self._send(name, receiver, messages)

    def _send(self, name: str, receiver: str, messages: list[PeerMessage]) -> None:
        size_bytes = len(self._codec.encode(messages)) + ENVELOPE_BYTES
        self.sent_bytes[name] += size_bytes
        self.sent_bytes[receiver] += size_bytes
        self._schedule(
            self.now_s + NETWORK_DELAY_S, self._deliver, name, receiver, messages
        )

    def _deliver(self, name: str, receiver: str, messages: list[PeerMessage]) -> None:
        began_s = time.process_time()
        for message in messages:
            self.dispatchers[receiver].receive(
                self._members[name], message, now_s=self.now_s
            )
        self.cpu_s += time.process_time() - began_s
        self._step(receiver)

    def _finish(self, name: str, start: Start, duration_s: float) -> None:
        del self.running[start.request_id]
        self.ended_count += 1
        usage = Usage(generated_tokens=max(1, int(duration_s * TOKENS_PER_S)))
        began_s = time.process_time()
        self.dispatchers[name].finish(
            start.request_id, usage, Outcome.DONE, now_s=self.now_s
        )
        self.cpu_s += time.process_time() - began_s
        self._submit(self.accounts_by_request.pop(start.request_id), name)


def measure_dispatch(
    size: DispatchSize, *, warm_s: float = 10.0, duration_s: float = 10.0
) -> DispatchPoint:
    """Measure a fleet in which requests always wait for slots."""
    tracemalloc.start()
    fleet = SimulatedDispatch(size)
    fleet.run(1.0)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    fleet.run(warm_s)
    fleet.sent_bytes.clear()
    fleet.cpu_s, fleet.ended_count = 0.0, 0
    busy = 0
    for second in range(int(duration_s)):
        fleet.run(warm_s + second + 1)
        busy += len(fleet.running)
    slots = size.node_count * size.engines_per_node * size.slots_per_engine
    return DispatchPoint(
        size=size,
        backlogged_count=len(fleet.backlogged),
        requests_per_node_s=fleet.ended_count / duration_s / size.node_count,
        utilisation=busy / int(duration_s) / slots,
        bytes_per_s=fleet.sent_bytes.total() / duration_s / size.node_count,
        busiest_bytes_per_s=max(fleet.sent_bytes.values()) / duration_s,
        cpu_percent=PERCENT * fleet.cpu_s / duration_s / size.node_count,
        memory_mb=memory_bytes / size.node_count / BYTES_PER_MB,
    )


def _configuration(size: DispatchSize, zone_count: int) -> Configuration:
    targets = tuple(
        Target(
            name=f"engine-{i:04}",
            availability_zone=f"zone-{i % zone_count:02}",
            host="127.0.0.1",
            port=9000,
            max_in_flight=size.slots_per_engine,
        )
        for i in range(size.node_count * size.engines_per_node)
    )
    accounts = [f"account-{i:04}" for i in range(size.account_count)]
    return Configuration(
        revision=1,
        accounts={
            name: ClientAccount(name=name, max_waiting_requests=10_000)
            for name in accounts
        },
        pools={"engines": Pool(name="engines", targets=targets)},
        services={"chat": Service(name="chat", kind=ServiceKind.CHAT, pool="engines")},
    )


def dispatch_sizes() -> list[DispatchSize]:
    """Return the sizes for the slopes by nodes, by accounts and by engines."""
    by_nodes = [DispatchSize(node_count=count) for count in (7, 14, 28, 56)]
    by_accounts = [DispatchSize(account_count=count) for count in (16, 1600, 5000)]
    by_engines = [DispatchSize(engines_per_node=count) for count in (1, 4)]
    return by_nodes + by_accounts + by_engines


def _main(_arguments: Sequence[str]) -> None:
    points = [measure_dispatch(size) for size in dispatch_sizes()]
    text = json.dumps([attrs.asdict(point) for point in points], indent=1)
    if flags.FLAGS.out:
        Path(flags.FLAGS.out).write_text(text + "\n")
    else:
        sys.stdout.write(text + "\n")


if __name__ == "__main__":
    flags.DEFINE_string("out", "", "File to write; empty for standard output.")
    app.run(_main)
