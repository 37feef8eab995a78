"""The lines of the capacity page, role by role."""

from citrondock_bench import two_year
from citrondock_bench.capacity_document import CapacityDocument
from citrondock_bench.capacity_lines import CapacityLine, WorkedOut, grown

SLOPES_COMMAND = "make capacity"
BENCH_COMMAND = "make bench"
PERCENT = 100.0
BYTES_PER_MB = 1_000_000
TOKENS_PER_UNIT = 1000
FIRST_TOKEN = "first-token overhead p95"
PAUSE = "pause beyond the engine's step p95"
CPU = "processor time of the data path"
MEMORY = "peak memory with 270 streams"


def _figures(document: CapacityDocument) -> dict[str, WorkedOut]:
    """Return the data path's figures by quantity; empty where not measured."""
    path = document.data_path
    if path is None:
        return {}
    rate = two_year.TOKENS_PER_NODE_S
    cpu = path.cpu_s_per_1000_tokens
    spreads = {
        FIRST_TOKEN: path.first_token_overhead_p95_ms,
        PAUSE: path.pause_overhead_p95_ms,
        MEMORY: path.peak_memory_mb,
    }
    figures = {
        name: WorkedOut(value=spread.median, formula=spread.text())
        for name, spread in spreads.items()
    }
    figures[CPU] = WorkedOut(
        value=cpu.median * rate / TOKENS_PER_UNIT * PERCENT,
        formula=f"{cpu.median:.4g} s * {rate:,.0f} / 1000 * 100",
    )
    return figures


def _data_path_lines(document: CapacityDocument) -> list[CapacityLine]:
    figures = _figures(document)
    return [
        CapacityLine(
            role="caller front",
            quantity=quantity,
            unit=unit,
            budget=budget,
            worked_out=figures.get(quantity),
            command=BENCH_COMMAND,
            mechanism="one selector loop per router moves bytes; no thread per stream",
            remedy="profile the relay loop; more routers per engine until it fits",
        )
        for quantity, unit, budget in (
            (FIRST_TOKEN, "ms", two_year.FIRST_TOKEN_OVERHEAD_MS),
            (PAUSE, "ms", two_year.PAUSE_OVERHEAD_MS),
            (CPU, "% of a core", PERCENT),
            (MEMORY, "MB", None),
        )
    ]


def _control_lines(document: CapacityDocument) -> list[CapacityLine]:
    exchange = "summaries through relays, in deltas, spread out to a byte budget"
    return [
        CapacityLine(
            role="queue and ledger",
            quantity="control bytes of a node, mean",
            unit="B/s",
            budget=two_year.CONTROL_BYTES_PER_S,
            worked_out=grown(document, "control_bytes"),
            command=SLOPES_COMMAND,
            mechanism=exchange,
            remedy="a larger quantum, or longer periods at more backlogged accounts",
        ),
        CapacityLine(
            role="home of a target",
            quantity="slot messages sent by a node, mean",
            unit="B/s",
            budget=two_year.CONTROL_BYTES_PER_S,
            worked_out=grown(document, "slot_bytes"),
            command=SLOPES_COMMAND,
            mechanism="slots lent in blocks with deadlines, grants only on demand",
            remedy="larger blocks, and grants that are renewed without a message",
        ),
        CapacityLine(
            role="all roles",
            quantity="envelopes of deliveries sent by a node, mean",
            unit="B/s",
            budget=two_year.CONTROL_BYTES_PER_S,
            worked_out=grown(document, "envelope_bytes"),
            command=SLOPES_COMMAND,
            mechanism="messages to one peer share a delivery",
            remedy="a smaller envelope, and fewer deliveries with more messages each",
        ),
        CapacityLine(
            role="relay",
            quantity="control bytes of the busiest node",
            unit="B/s",
            budget=two_year.CONTROL_BYTES_PER_S,
            worked_out=grown(document, "busiest_control_bytes"),
            command=SLOPES_COMMAND,
            mechanism="a rendezvous-chosen relay per zone merges before it sends on",
            remedy="several relays per zone, each for a part of the accounts",
        ),
        CapacityLine(
            role="all control",
            quantity="processor time of a node at no requests",
            unit="% of a core",
            budget=two_year.CONTROL_CPU_PERCENT,
            worked_out=grown(document, "cpu", requests_per_node_s=0.0),
            command=SLOPES_COMMAND,
            mechanism="event-driven steps on one actor, accelerated codec",
            remedy="fewer idle wake-ups per second; see the intercept by nodes",
        ),
        CapacityLine(
            role="all control",
            quantity="resident memory of a node, data path included",
            unit="MB",
            budget=two_year.CONTROL_MEMORY_MB,
            worked_out=grown(document, "memory"),
            command=SLOPES_COMMAND,
            mechanism="counters of live accounts only; old incarnations are folded",
            remedy="drop idle accounts' counters; lazier imports",
        ),
    ]


def _store_lines(document: CapacityDocument) -> list[CapacityLine]:
    reads = grown(document, "store_reads")
    writes = grown(document, "store_writes")
    return [
        CapacityLine(
            role="configuration follower",
            quantity="store reads of the fleet, waiting watches included",
            unit="calls/s",
            budget=two_year.STORE_READS_PER_S,
            worked_out=reads and reads.times(two_year.NODE_COUNT),
            command=SLOPES_COMMAND,
            mechanism="one waiting watch per node on the head; the head holds deltas",
            remedy="followers behind a relay instead of one watch per node",
        ),
        CapacityLine(
            role="claim home, order holder, audit writer",
            quantity="store writes of the fleet without keyed calls",
            unit="calls/s",
            budget=two_year.STORE_WRITES_PER_S,
            worked_out=writes and writes.times(two_year.NODE_COUNT),
            command=SLOPES_COMMAND,
            mechanism="claims grouped by shard, audit in segments, leases held long",
            remedy="larger segments and longer leases",
        ),
    ]


def _configuration_lines(document: CapacityDocument) -> list[CapacityLine]:
    costs = document.configuration
    delta = costs and next(way for way in costs.ways if way.name == "delta")
    reads = delta and WorkedOut(
        value=delta.calls_per_s,
        formula=f"{two_year.NODE_COUNT} nodes * (changes + renewed watches)",
    )
    node_bytes = delta and WorkedOut(
        value=delta.bytes_per_node_s,
        formula=f"{delta.bytes_per_change:,.0f} B * {two_year.CHANGES_PER_S:.4f}/s "
        "+ renewed watches",
    )
    memory = costs and WorkedOut(
        value=costs.memory_bytes / BYTES_PER_MB,
        formula=f"{costs.memory_bytes:,} B of decoded configuration",
    )
    mechanism = "one waiting watch per node on the head, which holds the deltas"

    def line(
        quantity: str, unit: str, budget: float, value: WorkedOut | None
    ) -> CapacityLine:
        return CapacityLine(
            role="configuration follower",
            quantity=quantity,
            unit=unit,
            budget=budget,
            worked_out=value,
            command=SLOPES_COMMAND,
            mechanism=mechanism,
            remedy="followers behind a relay instead of one watch per node",
        )

    return [
        line(
            "store reads of the fleet, counted at 5,000 accounts",
            "calls/s",
            two_year.STORE_READS_PER_S,
            reads or None,
        ),
        line(
            "bytes read by a node",
            "B/s",
            two_year.CONTROL_BYTES_PER_S,
            node_bytes or None,
        ),
        line("state of a node", "MB", two_year.CONTROL_MEMORY_MB, memory or None),
    ]


def _state_lines(document: CapacityDocument) -> list[CapacityLine]:
    state = document.state
    if state is None:
        return []
    largest = max(state.membership, key=lambda point: point.node_count)
    grouped = min(state.claims, key=lambda point: point.writes_per_claim)
    size = f"simulated clock, {largest.node_count} nodes"
    return [
        CapacityLine(
            role="membership",
            quantity="heartbeat bytes of the busiest node",
            unit="B/s",
            budget=two_year.CONTROL_BYTES_PER_S,
            worked_out=WorkedOut(value=largest.busiest_bytes_per_s, formula=size),
            command=SLOPES_COMMAND,
            mechanism=f"{largest.contact_count} contacts at most, whatever the fleet",
            remedy="longer heartbeat period in large fleets",
        ),
        CapacityLine(
            role="membership",
            quantity="processor time without sockets",
            unit="% of a core",
            budget=two_year.CONTROL_CPU_PERCENT,
            worked_out=WorkedOut(value=largest.cpu_percent, formula=size),
            command=SLOPES_COMMAND,
            mechanism="batched heartbeats",
            remedy="longer heartbeat period in large fleets",
        ),
        CapacityLine(
            role="claim home",
            quantity="keyed calls that the store's writes allow the fleet",
            unit="calls/s",
            budget=None,
            worked_out=WorkedOut(
                value=two_year.STORE_WRITES_PER_S / grouped.writes_per_claim,
                formula=f"{two_year.STORE_WRITES_PER_S:g} writes/s / "
                f"{grouped.writes_per_claim:.3g} writes per claim",
            ),
            command=SLOPES_COMMAND,
            mechanism="writers of the same shard object meet at one home router",
        ),
    ]


def capacity_lines(document: CapacityDocument) -> list[CapacityLine]:
    """Return all lines of the page."""
    return [
        *_data_path_lines(document),
        *_control_lines(document),
        *_store_lines(document),
        *_configuration_lines(document),
        *_state_lines(document),
    ]
