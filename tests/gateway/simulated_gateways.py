"""A fleet of routers and engines on a simulated clock, to measure fairness.

The grant requesters, brokers and placements are the real ones. Sockets, engines and the
time that each router's event loop needs are simulated.
"""

import heapq
import itertools
import random
from collections import defaultdict, deque
from collections.abc import Callable
from functools import partial

import attrs

from citrondock_core.routing.account_usage import DecayingUsage
from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.peer_table import Peer, PeerTable
from citrondock_core.routing.placement import Placement
from citrondock_core.routing.request_facts import PromptFacts, PromptPart
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_core.routing.target_load import TargetLoad
from citrondock_router.gateway.crash_exchange import CrashExchange
from citrondock_router.gateway.grant_broker import GrantBroker
from citrondock_router.gateway.grant_home import USAGE_HALF_LIFE_S, KnownEngine
from citrondock_router.gateway.grant_requester import EnginePool, GrantRequester
from citrondock_router.gateway.overload_guard import OverloadGuard

NETWORK_DELAY_S = 0.0005
TICK_S = 0.01
HOUSEKEEPING_S = 0.5
MAX_QUEUED_DATAGRAMS = 300
"""Datagrams that the receive buffer of a socket holds; further ones are lost."""

FIRST_TOKEN_S = 0.11
ENGINE_TOKENS_PER_S = 48_000
ENGINE = ModelEngineOptions(max_batch_size=32, memory_tokens=424_000)
WINDOW_S = 6
ON_TIME_S = 0.6

RETURN_DELAYS_S = (0.05, 0.4)
"""Pauses after which clients send refused requests again."""

PATIENCE_S = 1.8
"""Time after which a client gives up."""


class Simulation:
    """Events in order of their time."""

    def __init__(self):
        self.now_s = 0.0
        self._events = []
        self._numbers = itertools.count()

    def call_at(self, at_s, action, *args):
        heapq.heappush(self._events, (at_s, next(self._numbers), action, args))

    def run_until(self, end_s):
        while self._events and self._events[0][0] <= end_s:
            at_s, _, action, args = heapq.heappop(self._events)
            self.now_s = max(self.now_s, at_s)
            action(*args)


@attrs.define
class Costs:
    """Processor time in seconds of what a router handles."""

    request_s: float = 0.002
    refusal_s: float = 0.0003
    ask_s: float = 0.0
    datagram_s: float = 0.0001
    response_s: float = 0.0005

    def slowed(self, factor):
        return Costs(
            self.request_s * factor,
            self.refusal_s * factor,
            self.ask_s * factor,
            self.datagram_s * factor,
            self.response_s * factor,
        )


@attrs.define
class Facts:
    request_id: str


@attrs.define(eq=False)
class SimulatedRequest:
    """A client request; it has the attributes that the grant requester uses."""

    account: str
    prompt: PromptFacts
    arrived_at_s: float
    on_time_until_s: float
    """As its router counts it, from when it has read the request."""

    record: "Record"
    facts: Facts
    service: str = "llm"
    kind: str = "k"
    grant_request_count: int = 0
    is_waiting: bool = True
    excluded: set[str] = attrs.field(factory=set)
    silent_target_id: str | None = None
    continues_stream: bool = False
    first_arrived_at_s: float = 0.0
    """When its client first sent it; the same at each return."""

    on_return: Callable[["SimulatedRequest"], None] | None = None
    """Sends it again if it is refused; None if its client does not return."""

    @property
    def tokens(self):
        output_tokens = self.prompt.expected_output_token_count
        return self.prompt.prompt_token_count + 2 * output_tokens

    def accepts(self, _entry):
        return True

    def refuse(self, _reason):
        self.is_waiting = False
        self.record.refused(self)
        if self.on_return is not None:
            self.on_return(self)


class Record:
    """Tokens asked and received by account in each second, and the FAIR rule."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.asked = defaultdict(lambda: defaultdict(int))
        self.received = defaultdict(lambda: defaultdict(int))
        self.waited = defaultdict(set)
        self.largest_tokens = 0

    def arrived(self, request):
        self.asked[request.account][int(request.arrived_at_s)] += request.tokens
        self.largest_tokens = max(self.largest_tokens, request.tokens)

    def refused(self, request):
        self.waited[request.account].add(int(request.arrived_at_s))

    def began(self, request, first_token_at_s):
        second = int(self._simulation.now_s)
        self.received[request.account][second] += request.tokens
        if first_token_at_s > request.arrived_at_s + ON_TIME_S:
            self.waited[request.account].add(int(request.arrived_at_s))

    def violations(self, first_s, last_s):
        """Return (account, second, owed, received) of each window that is unfair."""
        allowance_tokens = 3 * self.largest_tokens
        return [
            window
            for window in self.windows(first_s, last_s)
            if window[3] < window[2] - allowance_tokens
        ]

    def windows(self, first_s, last_s):
        """Return (account, second, owed, received) of all windows that are judged.

        An account that waits in each of six seconds is owed half of what it asked or
        the best served account received, whichever is less, second by second, less
        three of the largest requests. The best served account is the one that received
        most in these seconds.
        """
        found = []
        for account in self.asked:
            for start in range(first_s, last_s - WINDOW_S + 1):
                seconds = range(start, start + WINDOW_S)
                if not all(second in self.waited[account] for second in seconds):
                    continue
                received = sum(self.received[account][second] for second in seconds)
                best = max(
                    self.received.values(),
                    key=lambda tokens: sum(tokens[second] for second in seconds),
                )
                owed = 0.5 * sum(
                    min(
                        self.asked[account][second],
                        best[second],
                    )
                    for second in seconds
                )
                found.append((account, start, round(owed), received))
        return found


class SimulatedEngine:
    """Reads prompts one after the other."""

    def __init__(self, number, zone):
        self.entry = TargetEntry(
            target_id=f"e{number}",
            service="llm",
            host="10.0.0.1",
            port=1,
            availability_zone=zone,
            max_concurrency=ENGINE.max_batch_size,
            is_leaving=False,
        )
        self._busy_until_s = 0.0

    def first_token_at_s(self, tokens, now_s):
        """Queue a prompt; return when its first token is ready."""
        start_s = max(self._busy_until_s, now_s)
        self._busy_until_s = start_s + tokens / ENGINE_TOKENS_PER_S
        return self._busy_until_s + FIRST_TOKEN_S


class SimulatedSocket:
    """The broker's socket: datagrams wait until the router reads them."""

    def __init__(self, router):
        self._router = router
        self._waiting = deque()

    def receive(self, data, sender):
        if len(self._waiting) < MAX_QUEUED_DATAGRAMS:
            self._waiting.append((data, sender))
            self._router.wake()

    @property
    def has_waiting(self):
        return bool(self._waiting)

    def read_waiting(self):
        while self._waiting:
            data, sender = self._waiting.popleft()
            self._router.spend(self._router.costs.datagram_s)
            self._router.broker.link.datagram_received(data, sender)
        return True

    def send(self, data, host, _port):
        router = self._router
        peer = router.fleet.routers_by_host[host]
        at_s = router.time() + NETWORK_DELAY_S
        router.fleet.simulation.call_at(
            at_s, peer.socket.receive, data, (router.host, 1)
        )


class SimulatedRouter(EnginePool):
    """A router whose event loop runs timers, then what is ready, then reads input.

    It is the loop of its broker as well.
    """

    def __init__(self, fleet, number, zone, costs):
        self.fleet, self.costs = fleet, costs
        self.host = f"10.0.1.{number}"
        self.name = f"v{number}"
        self.zone = zone
        self._now_s = 0.0
        self._is_awake = False
        self._ready = deque()
        self._input = deque()
        self._first_read_at_s = {}
        self._tick_at_s = self._expire_at_s = 0.0
        self._loads = [TargetLoad(engine.entry) for engine in fleet.engines]
        self.overload = OverloadGuard(self.time, period_s=TICK_S)
        self.engine_loads = EngineLoadView()
        self.peers = PeerTable(self.name, zone)
        self.broker = GrantBroker(self.peers, self.engine_loads, self)
        self.socket = self.broker.link.socket = SimulatedSocket(self)
        self._request_grant = self.broker.request_grant
        self.broker.request_grant = self.request_grant
        self.requester = GrantRequester(
            self,
            placement=Placement(
                zone, self.engine_loads, rng=random.Random(f"{fleet.seed}/{number}")
            ),
            engine_loads=self.engine_loads,
            broker=self.broker,
            crashes=CrashExchange(self.broker.link, None, None, self),
            overload=self.overload,
            loop=self,
        )
        self.broker.set_engines(
            {
                engine.entry.target_id: KnownEngine(
                    ENGINE, engine.entry.availability_zone
                )
                for engine in fleet.engines
            }
        )

    # As an event loop.

    def time(self):
        return max(self._now_s, self.fleet.simulation.now_s)

    def call_soon(self, action, *args):
        self._ready.append((action, args))
        self.wake()

    def spend(self, seconds):
        self._now_s = self.time() + seconds

    def wake(self):
        """Run an iteration as soon as the current one has ended."""
        if not self._is_awake:
            self._is_awake = True
            self.fleet.simulation.call_at(self.time(), self._iterate)

    def _iterate(self):
        self._is_awake = False
        if self.time() >= self._tick_at_s:
            self._tick_at_s = self.time() + TICK_S
            self.fleet.simulation.call_at(self._tick_at_s, self.wake)
            self.overload.timer_fired()
            self.broker.tick()
        if self.time() >= self._expire_at_s:
            self._expire_at_s = self.time() + HOUSEKEEPING_S
            self.broker.home.expire()
        for _ in range(len(self._ready)):
            action, args = self._ready.popleft()
            action(*args)
        self.socket.read_waiting()
        for _ in range(len(self._input)):
            cost_s, action, args = self._input.popleft()
            self.spend(cost_s)
            action(*args)
        if self._ready or self._input or self.socket.has_waiting:
            self.wake()

    def _receive(self, cost_s, action, *args):
        self._input.append((cost_s, action, args))
        self.wake()

    def report_usage(self):
        self.spend(self.costs.datagram_s)
        period_s = self.broker.usage.report()
        self.fleet.simulation.call_at(self.time() + period_s, self.report_usage)

    # As a gateway.

    def request_grant(self, request, entry, on_answer):
        self.spend(self.costs.ask_s)
        self._request_grant(request, entry, on_answer)

    def accept(self, request):
        self._receive(self.costs.refusal_s, self._submit, request)

    def _submit(self, request):
        if not self.overload.may_admit(request.account):
            request.refuse("overloaded")
            return
        self.spend(self.costs.request_s - self.costs.refusal_s)
        now_s = self.time()
        # A router recognises only the requests that it refused itself.
        first_read_at_s = self._first_read_at_s.setdefault(
            request.facts.request_id, now_s
        )
        request.on_time_until_s = first_read_at_s + ON_TIME_S
        self.requester.submit(request, request.prompt, wait_until_s=now_s + ON_TIME_S)

    def loads(self, service):
        return self._loads

    def engine(self, service):
        return ENGINE

    def start(self, exchange, choice):
        exchange.is_waiting = False
        self.fleet.usage.add(exchange.account, exchange.tokens, now_s=self.time())
        self.overload.record_sent()
        simulation = self.fleet.simulation
        engine = self.fleet.engines_by_id[choice.load.entry.target_id]
        first_at_s = engine.first_token_at_s(choice.prefill_tokens, self.time())
        end_at_s = first_at_s + exchange.prompt.expected_output_token_count * 0.005
        simulation.call_at(first_at_s, exchange.record.began, exchange, first_at_s)
        for at_s, action in (
            (first_at_s, lambda: self.requester.first_byte_received(exchange)),
            (end_at_s, lambda: self.requester.attempt_ended(exchange, failed=False)),
        ):
            simulation.call_at(at_s, self._receive, self.costs.response_s, action)


class SimulatedFleet:
    """Routers that know each other, and engines, all in a few zones.

    Parameters
    ----------
    router_count, engine_count : int
        Size of the fleet.
    seed : int
        Seed of all arrivals and prompts.
    slow_factor : float
        How much more processor time the first router needs than the others.
    """

    def __init__(
        self, router_count, engine_count, *, seed, slow_factor=1.0, costs=None
    ):
        self.simulation = Simulation()
        self.record = Record(self.simulation)
        self.seed = seed
        # What accounts were charged in the whole fleet.
        self.usage = DecayingUsage(half_life_s=USAGE_HALF_LIFE_S)
        self.random = random.Random(seed)
        zones = ["z1", "z2", "z3"]
        self.engines = [
            SimulatedEngine(number, zones[number % 3]) for number in range(engine_count)
        ]
        self.tokens_per_s = engine_count * ENGINE_TOKENS_PER_S
        self.engines_by_id = {engine.entry.target_id: engine for engine in self.engines}
        costs = costs or Costs()
        self.routers = [
            SimulatedRouter(
                self,
                number,
                zones[number % 3],
                costs if number else costs.slowed(slow_factor),
            )
            for number in range(router_count)
        ]
        self.routers_by_host = {router.host: router for router in self.routers}
        for router in self.routers:
            for peer in self.routers:
                router.peers.put(
                    Peer(
                        vm_name=peer.name,
                        host=peer.host,
                        port=1,
                        availability_zone=peer.zone,
                    )
                )
            self.simulation.call_at(self.random.random() * 0.5, router.report_usage)
            router.wake()

    def add_load(
        self, account, requests_per_s, routers, *, from_s, until_s, returns=False
    ):
        """Send requests of an account to routers, a few at once as clients do.

        With ``returns``, clients send refused requests again, to any of the routers.
        """
        at_s = from_s
        on_return = partial(self._return, routers) if returns else None
        while at_s < until_s:
            for _ in range(3):
                router = self.random.choice(routers)
                self.simulation.call_at(at_s, self._arrive, account, router, on_return)
            at_s += self.random.expovariate(requests_per_s / 3)

    def _return(self, routers, request):
        """Send a refused request again, unless its client has given up."""
        now_s = self.simulation.now_s
        at_s = now_s + self.random.uniform(*RETURN_DELAYS_S)
        if at_s > request.first_arrived_at_s + PATIENCE_S:
            return
        again = attrs.evolve(
            request, arrived_at_s=at_s, is_waiting=True, excluded=set()
        )
        router = self.random.choice(routers)
        self.simulation.call_at(at_s, self._send, again, router)

    def _send(self, request, router):
        self.record.arrived(request)
        router.accept(request)

    def _arrive(self, account, router, on_return):
        tokens = min(max(int(self.random.lognormvariate(7.6, 0.7)), 200), 12_000)
        number = self.random.randrange(200)
        prompt = PromptFacts(
            model="m",
            prompt_token_count=tokens + 500,
            max_output_token_count=200,
            parts=(
                PromptPart(f"s{number}", 500),
                PromptPart(f"o{self.random.random()}", tokens),
            ),
            expected_output_token_count=40,
        )
        now_s = self.simulation.now_s
        request = SimulatedRequest(
            account=account,
            prompt=prompt,
            arrived_at_s=now_s,
            on_time_until_s=now_s + ON_TIME_S,
            record=self.record,
            facts=Facts(request_id=str(self.random.random())),
            first_arrived_at_s=now_s,
            on_return=on_return,
        )
        self._send(request, router)

    def run(self, seconds):
        self.simulation.run_until(seconds)

    @property
    def granted_count(self):
        """Grants that home routers count as not ended."""
        return sum(router.broker.home.granted_count for router in self.routers)
