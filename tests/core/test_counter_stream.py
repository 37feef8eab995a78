from collections import defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from citrondock_core.counter_stream import CounterStream, CounterTable
from citrondock_core.messages import ServiceCounter
from citrondock_core.service_ledger import TokenCounter

ACCOUNTS = ("a", "b")

counters = st.builds(
    ServiceCounter,
    vm_name=st.sampled_from(["router-1", "router-2"]),
    incarnation=st.integers(1, 3),
    account=st.sampled_from(ACCOUNTS),
    charged_tokens=st.integers(0, 1_000),
    refunded_tokens=st.integers(0, 1_000),
)


def totals(merged):
    table = CounterTable()
    for counter in merged:
        table.merge(counter)
    return [table.total(account) for account in ACCOUNTS]


class TestCounterTable:
    @settings(derandomize=True)
    @given(st.lists(counters, max_size=20), st.randoms(use_true_random=False))
    def test_order_of_merges_does_not_matter(self, merged, random):
        shuffled = list(merged)
        random.shuffle(shuffled)

        assert totals(merged) == totals(shuffled)

    @settings(derandomize=True)
    @given(st.lists(counters, max_size=10), st.lists(counters, max_size=10))
    def test_merging_again_changes_nothing(self, first, second):
        assert totals(first + second) == totals(first + second + first)

    @settings(derandomize=True)
    @given(st.lists(counters, max_size=20))
    def test_increments_add_up_to_the_totals(self, merged):
        table, sums = CounterTable(), defaultdict(TokenCounter)
        for counter in merged:
            grown = table.merge(counter)
            if grown is not None:
                sums[grown.account].add(grown.charged_tokens, grown.refunded_tokens)
        before = [table.total(account) for account in ACCOUNTS]
        table.fold()

        assert [sums[account] for account in ACCOUNTS] == before
        assert [table.total(account) for account in ACCOUNTS] == before

    def test_folded_incarnations_leave_no_state(self):
        table = CounterTable()
        for incarnation in range(1, 100):
            table.merge(
                ServiceCounter(
                    vm_name="router-1",
                    incarnation=incarnation,
                    account="a",
                    charged_tokens=1.0,
                    refunded_tokens=0.0,
                )
            )
            table.fold()

        assert table.total("a").charged_tokens == 99.0
        assert table.stream_count == 1


class TestCounterStream:
    def collect(self, stream, sequence, accounts=("a",), min_change_tokens=10.0):
        return stream.collect(
            accounts,
            sender="router-1",
            incarnation=1,
            min_change_tokens=min_change_tokens,
            sequence=sequence,
            now_s=float(sequence),
        )

    def test_small_changes_are_deferred(self):
        own = {"a": TokenCounter(5.0)}
        sent, deferred = self.collect(CounterStream(own, number=1), 1)

        assert (sent, deferred) == ([], {"a"})

    def test_unacknowledged_counters_are_sent_again(self):
        own = {"a": TokenCounter(50.0)}
        stream = CounterStream(own, number=1)
        self.collect(stream, 1)
        lost = stream.expire(sent_before_s=2.0)
        (again,), _ = self.collect(stream, 2, lost)

        assert again.charged_tokens == 50.0

    def test_new_receiver_gets_only_unacknowledged_service(self):
        own = {"a": TokenCounter(50.0)}
        stream, table = CounterStream(own, number=1), CounterTable()
        for sequence, charged_tokens in enumerate((50.0, 80.0), start=1):
            own["a"] = TokenCounter(charged_tokens)
            for counter in self.collect(stream, sequence)[0]:
                table.merge(counter)
        stream.acknowledge([1])
        (counter,), _ = self.collect(stream, 3, stream.restart(number=2))

        assert counter.stream == 2
        assert counter.charged_tokens == 30.0
