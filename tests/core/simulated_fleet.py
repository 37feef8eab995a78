"""Simulation of routers and engines in one process, on a simulated clock."""

import heapq
import itertools
import random
from collections import Counter, defaultdict, deque

import attrs

from citrondock_core import (
    Dispatcher,
    DispatchOptions,
    LoadReport,
    Outcome,
    Send,
    Start,
    policy_named,
)
from citrondock_core.configuration import (
    ClientAccount,
    Configuration,
    Pool,
    Service,
    ServiceKind,
    Target,
)
from citrondock_core.messages import Member
from citrondock_core.request import Usage, WaitingRequest
from citrondock_wire.message_codec import MessageCodec

ENVELOPE_BYTES = 90
SAMPLE_PERIOD_S = 0.5
ROUTERS_BY_ZONE = {"zone-a": 3, "zone-b": 2, "zone-c": 2}


@attrs.define
class Engine:
    """Runs up to ``slot_count`` requests at once; others wait in its queue."""

    name: str
    zone: str
    slot_count: int
    tokens_per_s: float
    running: set = attrs.field(factory=set)
    queued: deque = attrs.field(factory=deque)


@attrs.define
class Call:
    request: WaitingRequest
    router: str
    cost_tokens: int
    engine: Engine | None = None
    admitted_at_s: float | None = None

    def received_tokens(self, now_s):
        """Tokens generated so far."""
        if self.admitted_at_s is None:
            return 0.0
        elapsed_s = now_s - self.admitted_at_s
        return min(float(self.cost_tokens), elapsed_s * self.engine.tokens_per_s)


@attrs.define(kw_only=True, slots=False)
class Fleet:
    """Simulates seven routers in three zones in front of engines, under constant load.

    ``placement`` maps an account to the routers that receive its requests; by default
    all do. At each of them the account keeps ``depth`` requests waiting or running;
    ``depths`` overrides this number for an account.
    """

    seed: int
    policy: str = "fair"
    account_count: int = 16
    engines_by_zone: dict = attrs.field(factory=lambda: dict.fromkeys("abc", 4))
    slot_count: int = 12
    speeds: tuple = (30.0,)
    placement: dict = attrs.field(factory=dict)
    depth: int = 30
    depths: dict = attrs.field(factory=dict)
    misleading_hints: bool = False
    loss: float = 0.01
    options: DispatchOptions = attrs.field(factory=DispatchOptions)

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        self.now_s = 0.0
        self.events = []
        self.event_numbers = itertools.count()
        self.cut_zone = None
        self.codec = MessageCodec()
        self.calls, self.largest_tokens = {}, 0
        self.service = Counter()
        self.samples, self.finished_samples = [], []
        self.sent_bytes, self.received_bytes = Counter(), Counter()
        self.bytes_by_kind = Counter()
        self.busy_s = self.capacity_s = 0.0
        self.engines = {}
        for zone, count in self.engines_by_zone.items():
            for i in range(count):
                name = f"engine-{zone}{i}"
                speed = self.speeds[len(self.engines) % len(self.speeds)]
                self.engines[name] = Engine(
                    name, f"zone-{zone}", self.slot_count, speed
                )
        self.accounts = [f"account-{i:03d}" for i in range(self.account_count)]
        self.configuration = self.make_configuration()
        self.codec.set_accounts(self.accounts)
        self.members = {}
        for zone, count in ROUTERS_BY_ZONE.items():
            for i in range(count):
                name = f"router-{zone[-1]}{i}"
                self.members[name] = Member(
                    vm_name=name, availability_zone=zone, incarnation=1
                )
        self.dispatchers = {}
        for name in self.members:
            self.start_router(name)
        for account in self.accounts:
            for router in self.placement.get(account, list(self.members)):
                request_count = self.depths.get(account, self.depth)
                for _ in range(request_count):
                    self.schedule(self.random.random(), self.submit, account, router)
        self.schedule(0.0, self.tick)
        self.schedule(0.0, self.measure_load)
        self.schedule(SAMPLE_PERIOD_S, self.sample)

    def make_configuration(self):
        targets = tuple(
            Target(
                name=engine.name,
                availability_zone=engine.zone,
                host="127.0.0.1",
                port=9000,
                max_in_flight=2 * engine.slot_count,
            )
            for engine in self.engines.values()
        )
        return Configuration(
            revision=1,
            accounts={
                name: ClientAccount(name=name, max_waiting_requests=5_000)
                for name in self.accounts
            },
            pools={"engines": Pool(name="engines", targets=targets)},
            services={
                "chat": Service(name="chat", kind=ServiceKind.CHAT, pool="engines")
            },
        )

    def flood(self, account, depth):
        """Keep ``depth`` more requests of an account in the fleet at each router."""
        for router in self.members:
            for _ in range(depth):
                self.schedule(
                    self.now_s + self.random.random(), self.submit, account, router
                )

    def start_router(self, name):
        dispatcher = Dispatcher(
            self.members[name], policy=policy_named(self.policy), options=self.options
        )
        dispatcher.set_configuration(self.configuration, now_s=self.now_s)
        self.dispatchers[name] = dispatcher
        self.update_members()

    def restart_router(self, name):
        """Restart a router without its state and requests; their callers retry."""
        member = self.members[name]
        self.members[name] = attrs.evolve(member, incarnation=member.incarnation + 1)
        for request_id, call in list(self.calls.items()):
            if call.router == name:
                if call.engine is not None:
                    self.leave_engine(request_id, call)
                del self.calls[request_id]
                self.schedule(self.now_s + 0.1, self.submit, call.request.account, name)
        self.start_router(name)

    def update_members(self):
        for name, dispatcher in self.dispatchers.items():
            reachable = [m for n, m in self.members.items() if self.can_reach(name, n)]
            dispatcher.set_members(reachable, now_s=self.now_s)
            for engine in self.engines.values():
                reached = self.same_side(
                    self.members[name].availability_zone, engine.zone
                )
                dispatcher.set_target_available(engine.name, reached, now_s=self.now_s)

    def cut_off(self, zone):
        """Cut a zone off from the others; None ends the network partition."""
        self.cut_zone = zone
        self.update_members()

    def same_side(self, zone, other):
        return (zone == self.cut_zone) == (other == self.cut_zone)

    def can_reach(self, sender, receiver):
        return self.same_side(
            self.members[sender].availability_zone,
            self.members[receiver].availability_zone,
        )

    def schedule(self, time_s, call, *arguments):
        heapq.heappush(self.events, (time_s, next(self.event_numbers), call, arguments))

    def run(self, until_s):
        while self.events and self.events[0][0] <= until_s:
            self.now_s, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)

    def draw_cost(self):
        return min(4_000, max(16, int(self.random.lognormvariate(4.6, 1.0))))

    def submit(self, account, router):
        cost = self.draw_cost()
        hint = self.random.choice([1.0, 1e6]) if self.misleading_hints else None
        request = WaitingRequest(
            request_id=f"r{next(self.event_numbers)}",
            account=account,
            service="chat",
            pool="engines",
            arrived_at_s=self.now_s,
            deadline_s=self.now_s + 1e6,
            cost_hint_tokens=hint,
        )
        self.calls[request.request_id] = Call(request, router, cost)
        self.dispatchers[router].submit(request, now_s=self.now_s)
        self.step(router)

    def step(self, name):
        batches = defaultdict(list)
        for action in self.dispatchers[name].step(now_s=self.now_s):
            if isinstance(action, Start):
                self.start(action)
            elif isinstance(action, Send):
                batches[action.vm_name].append(action.message)
        for receiver, messages in batches.items():
            self.send(name, receiver, messages)

    def tick(self):
        for name in list(self.dispatchers):
            self.step(name)
        self.schedule(self.now_s + 0.05, self.tick)

    def measure_load(self):
        for engine in self.engines.values():
            report = LoadReport(
                running_count=len(engine.running), queued_count=len(engine.queued)
            )
            self.schedule(self.now_s + 0.3, self.report, engine.name, report)
        self.schedule(self.now_s + 0.5, self.measure_load)

    def report(self, engine, report):
        for dispatcher in self.dispatchers.values():
            dispatcher.report_load(engine, report, now_s=self.now_s)

    def start(self, action):
        call = self.calls[action.request_id]
        call.engine = self.engines[action.target]
        call.engine.queued.append(action.request_id)
        self.admit(call.engine)

    def admit(self, engine):
        while engine.queued and len(engine.running) < engine.slot_count:
            request_id = engine.queued.popleft()
            call = self.calls[request_id]
            engine.running.add(request_id)
            call.admitted_at_s = self.now_s
            duration_s = call.cost_tokens / engine.tokens_per_s
            first_s = self.now_s + min(duration_s, 0.05)
            self.schedule(first_s, self.progress, request_id, 1)
            for part in range(1, 5):
                tokens = call.cost_tokens * part // 5
                at_s = self.now_s + duration_s * part / 5
                self.schedule(at_s, self.progress, request_id, tokens)
            self.schedule(self.now_s + duration_s, self.finish, request_id)

    def progress(self, request_id, tokens):
        call = self.calls.get(request_id)
        if call is not None:
            self.dispatchers[call.router].progress(
                request_id, generated_tokens=tokens, now_s=self.now_s
            )

    def leave_engine(self, request_id, call):
        call.engine.running.discard(request_id)
        if request_id in call.engine.queued:
            call.engine.queued.remove(request_id)
        self.admit(call.engine)

    def finish(self, request_id):
        call = self.calls.pop(request_id, None)
        if call is None:
            return
        self.leave_engine(request_id, call)
        account = call.request.account
        self.largest_tokens = max(self.largest_tokens, call.cost_tokens)
        zone = self.members[call.router].availability_zone
        self.service[account, zone] += call.cost_tokens
        usage = Usage(generated_tokens=call.cost_tokens)
        dispatcher = self.dispatchers[call.router]
        dispatcher.finish(request_id, usage, Outcome.DONE, now_s=self.now_s)
        self.submit(account, call.router)

    def send(self, name, receiver, messages):
        size = len(self.codec.encode(messages)) + ENVELOPE_BYTES
        self.sent_bytes[name] += size
        for message in messages:
            self.bytes_by_kind[type(message).__name__] += len(
                self.codec.encode([message])
            )
        self.bytes_by_kind["envelope"] += ENVELOPE_BYTES
        if not self.can_reach(name, receiver) or self.random.random() < self.loss:
            return
        self.received_bytes[receiver] += size
        for _ in range(2 if self.random.random() < self.loss else 1):
            at_s = self.now_s + self.random.uniform(0.0005, 0.003)
            self.schedule(at_s, self.deliver, self.members[name], receiver, messages)

    def deliver(self, sender, receiver, messages):
        for message in messages:
            self.dispatchers[receiver].receive(sender, message, now_s=self.now_s)
        self.step(receiver)

    def sample(self):
        received = self.service.copy()
        for call in self.calls.values():
            zone = self.members[call.router].availability_zone
            received[call.request.account, zone] += call.received_tokens(self.now_s)
        self.samples.append((self.now_s, received))
        self.finished_samples.append((self.now_s, self.service.copy()))
        for engine in self.engines.values():
            self.busy_s += SAMPLE_PERIOD_S * len(engine.running)
            self.capacity_s += SAMPLE_PERIOD_S * engine.slot_count
        self.schedule(self.now_s + SAMPLE_PERIOD_S, self.sample)

    def reset_measurements(self):
        """Start a new measurement of utilisation and control traffic."""
        self.busy_s = self.capacity_s = 0.0
        self.sent_bytes.clear()
        self.received_bytes.clear()
        self.bytes_by_kind.clear()
        self.measured_since_s = self.now_s

    @property
    def utilisation(self):
        return self.busy_s / self.capacity_s

    @property
    def control_bytes_per_s(self):
        """Bytes that the busiest router sent and received, per second."""
        elapsed_s = self.now_s - self.measured_since_s
        return max(
            (self.sent_bytes[n] + self.received_bytes[n]) / elapsed_s
            for n in self.members
        )

    def service_gap(
        self, since_s, until_s, *, accounts=None, zones=None, finished=False
    ):
        """Largest gap in service between two accounts over any interval.

        The unit is the largest cost of a request. Service counts while it is generated,
        or with ``finished`` only when its request ends.
        """
        samples = self.finished_samples if finished else self.samples
        zones = zones or list(ROUTERS_BY_ZONE)
        rows = [
            {a: sum(s.get((a, z), 0) for z in zones) for a in accounts or self.accounts}
            for t, s in samples
            if since_s <= t <= until_s
        ]
        worst = 0.0
        for a, b in itertools.combinations(rows[0], 2):
            differences = [row[a] - row[b] for row in rows]
            worst = max(worst, max(differences) - min(differences))
        return worst / self.largest_tokens
