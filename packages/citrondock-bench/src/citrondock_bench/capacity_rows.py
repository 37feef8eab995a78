"""Builds the rows of the capacity page for each role of a router."""

from citrondock_bench import two_year
from citrondock_bench.capacity_document import CapacityDocument
from citrondock_bench.capacity_estimates import (
    CapacityRow,
    Estimate,
    estimate_at_two_years,
)

SLOPES_COMMAND = "make capacity"
BENCH_COMMAND = "make bench"
PERCENT = 100.0
BYTES_PER_MB = 1_000_000
TOKENS_PER_UNIT = 1000
FIRST_TOKEN_OVERHEAD = "first-token overhead p95"
PAUSE_OVERHEAD = "pause beyond the engine's step p95"
DATA_PATH_CPU = "processor time of the data path"
PEAK_MEMORY = "peak memory with 270 streams"


def _data_path_estimates(document: CapacityDocument) -> dict[str, Estimate]:
    """Return the data path's estimates by quantity; empty if not measured."""
    data_path = document.data_path
    if data_path is None:
        return {}
    tokens_per_s = two_year.TOKENS_PER_NODE_S
    cpu = data_path.cpu_s_per_1000_tokens
    spreads = {
        FIRST_TOKEN_OVERHEAD: data_path.first_token_overhead_p95_ms,
        PAUSE_OVERHEAD: data_path.pause_overhead_p95_ms,
        PEAK_MEMORY: data_path.peak_memory_mb,
    }
    estimates = {
        quantity: Estimate(value=spread.median, formula=spread.text())
        for quantity, spread in spreads.items()
    }
    estimates[DATA_PATH_CPU] = Estimate(
        value=cpu.median * tokens_per_s / TOKENS_PER_UNIT * PERCENT,
        formula=f"{cpu.median:.4g} s * {tokens_per_s:,.0f} / 1000 * 100",
    )
    return estimates


def _data_path_rows(document: CapacityDocument) -> list[CapacityRow]:
    estimates = _data_path_estimates(document)
    return [
        CapacityRow(
            role="caller front",
            quantity=quantity,
            unit=unit,
            budget=budget,
            estimate=estimates.get(quantity),
            command=BENCH_COMMAND,
            mechanism="one selector loop per router moves bytes; no thread per stream",
            remedy="profile the relay loop; more routers per engine until it fits",
        )
        for quantity, unit, budget in (
            (FIRST_TOKEN_OVERHEAD, "ms", two_year.FIRST_TOKEN_OVERHEAD_MS),
            (PAUSE_OVERHEAD, "ms", two_year.PAUSE_OVERHEAD_MS),
            (DATA_PATH_CPU, "% of a core", PERCENT),
            (PEAK_MEMORY, "MB", None),
        )
    ]


def _control_rows(document: CapacityDocument) -> list[CapacityRow]:
    exchange_mechanism = (
        "summaries through relays, in deltas, spread out to a byte budget"
    )
    return [
        CapacityRow(
            role="queue and ledger",
            quantity="control bytes of a node, mean",
            unit="B/s",
            budget=two_year.CONTROL_BYTES_PER_S,
            estimate=estimate_at_two_years(document, "control_bytes"),
            command=SLOPES_COMMAND,
            mechanism=exchange_mechanism,
            remedy="a larger quantum, or longer periods at more backlogged accounts",
        ),
        CapacityRow(
            role="home of a target",
            quantity="slot messages sent by a node, mean",
            unit="B/s",
            budget=two_year.CONTROL_BYTES_PER_S,
            estimate=estimate_at_two_years(document, "slot_bytes"),
            command=SLOPES_COMMAND,
            mechanism="slots lent in blocks with deadlines, grants only on demand",
            remedy="larger blocks, and grants that are renewed without a message",
        ),
        CapacityRow(
            role="all roles",
            quantity="envelopes of deliveries sent by a node, mean",
            unit="B/s",
            budget=two_year.CONTROL_BYTES_PER_S,
            estimate=estimate_at_two_years(document, "envelope_bytes"),
            command=SLOPES_COMMAND,
            mechanism="messages to one peer share a delivery",
            remedy="a smaller envelope, and fewer deliveries with more messages each",
        ),
        CapacityRow(
            role="relay",
            quantity="control bytes of the busiest node",
            unit="B/s",
            budget=two_year.CONTROL_BYTES_PER_S,
            estimate=estimate_at_two_years(document, "busiest_control_bytes"),
            command=SLOPES_COMMAND,
            mechanism="a rendezvous-chosen relay per zone merges before it sends on",
            remedy="several relays per zone, each for a part of the accounts",
        ),
        CapacityRow(
            role="all control",
            quantity="processor time of a node at no requests",
            unit="% of a core",
            budget=two_year.CONTROL_CPU_PERCENT,
            estimate=estimate_at_two_years(document, "cpu", requests_per_node_s=0.0),
            command=SLOPES_COMMAND,
            mechanism="event-driven steps on one actor, accelerated codec",
            remedy="fewer idle wake-ups per second; see the intercept by nodes",
        ),
        CapacityRow(
            role="all control",
            quantity="resident memory of a node, data path included",
            unit="MB",
            budget=two_year.CONTROL_MEMORY_MB,
            estimate=estimate_at_two_years(document, "memory"),
            command=SLOPES_COMMAND,
            mechanism="counters of live accounts only; old incarnations are folded",
            remedy="drop idle accounts' counters; lazier imports",
        ),
    ]


def _store_rows(document: CapacityDocument) -> list[CapacityRow]:
    reads = estimate_at_two_years(document, "store_reads")
    writes = estimate_at_two_years(document, "store_writes")
    return [
        CapacityRow(
            role="configuration follower",
            quantity="store reads of the fleet, waiting watches included",
            unit="calls/s",
            budget=two_year.STORE_READS_PER_S,
            estimate=reads and reads.times(two_year.NODE_COUNT),
            command=SLOPES_COMMAND,
            mechanism="one waiting watch per node on the head; the head holds deltas",
            remedy="followers behind a relay instead of one watch per node",
        ),
        CapacityRow(
            role="claim home, order holder, audit writer",
            quantity="store writes of the fleet without keyed calls",
            unit="calls/s",
            budget=two_year.STORE_WRITES_PER_S,
            estimate=writes and writes.times(two_year.NODE_COUNT),
            command=SLOPES_COMMAND,
            mechanism="claims grouped by shard, audit in segments, leases held long",
            remedy="larger segments and longer leases",
        ),
    ]


def _configuration_rows(document: CapacityDocument) -> list[CapacityRow]:
    costs = document.configuration
    delta = costs and next(way for way in costs.ways if way.name == "delta")
    reads = delta and Estimate(
        value=delta.calls_per_s,
        formula=f"{two_year.NODE_COUNT} nodes * (changes + renewed watches)",
    )
    bytes_per_node = delta and Estimate(
        value=delta.bytes_per_node_s,
        formula=f"{delta.bytes_per_change:,.0f} B * {two_year.CHANGES_PER_S:.4f}/s "
        "+ renewed watches",
    )
    memory = costs and Estimate(
        value=costs.memory_bytes / BYTES_PER_MB,
        formula=f"{costs.memory_bytes:,} B of decoded configuration",
    )
    mechanism = "one waiting watch per node on the head, which holds the deltas"

    def row(
        quantity: str, unit: str, budget: float, value: Estimate | None
    ) -> CapacityRow:
        return CapacityRow(
            role="configuration follower",
            quantity=quantity,
            unit=unit,
            budget=budget,
            estimate=value,
            command=SLOPES_COMMAND,
            mechanism=mechanism,
            remedy="followers behind a relay instead of one watch per node",
        )

    return [
        row(
            "store reads of the fleet, counted at 5,000 accounts",
            "calls/s",
            two_year.STORE_READS_PER_S,
            reads or None,
        ),
        row(
            "bytes read by a node",
            "B/s",
            two_year.CONTROL_BYTES_PER_S,
            bytes_per_node or None,
        ),
        row("state of a node", "MB", two_year.CONTROL_MEMORY_MB, memory or None),
    ]


def _state_rows(document: CapacityDocument) -> list[CapacityRow]:
    state = document.state
    if state is None:
        return []
    largest = max(state.membership, key=lambda point: point.node_count)
    cheapest_claims = min(state.claims, key=lambda point: point.writes_per_claim)
    size = f"simulated clock, {largest.node_count} nodes"
    return [
        CapacityRow(
            role="membership",
            quantity="heartbeat bytes of the busiest node",
            unit="B/s",
            budget=two_year.CONTROL_BYTES_PER_S,
            estimate=Estimate(value=largest.busiest_bytes_per_s, formula=size),
            command=SLOPES_COMMAND,
            mechanism=f"{largest.contact_count} contacts at most, whatever the fleet",
            remedy="longer heartbeat period in large fleets",
        ),
        CapacityRow(
            role="membership",
            quantity="processor time without sockets",
            unit="% of a core",
            budget=two_year.CONTROL_CPU_PERCENT,
            estimate=Estimate(value=largest.cpu_percent, formula=size),
            command=SLOPES_COMMAND,
            mechanism="batched heartbeats",
            remedy="longer heartbeat period in large fleets",
        ),
        CapacityRow(
            role="claim home",
            quantity="keyed calls that the store's writes allow the fleet",
            unit="calls/s",
            budget=None,
            estimate=Estimate(
                value=two_year.STORE_WRITES_PER_S / cheapest_claims.writes_per_claim,
                formula=f"{two_year.STORE_WRITES_PER_S:g} writes/s / "
                f"{cheapest_claims.writes_per_claim:.3g} writes per claim",
            ),
            command=SLOPES_COMMAND,
            mechanism="writers of the same shard object meet at one home router",
        ),
    ]


def capacity_rows(document: CapacityDocument) -> list[CapacityRow]:
    """Return all rows of the page, in the order in which it shows them."""
    return [
        *_data_path_rows(document),
        *_control_rows(document),
        *_store_rows(document),
        *_configuration_rows(document),
        *_state_rows(document),
    ]
