import pytest

from citrondock_bench.metrics import parse_samples, sum_by_label
from citrondock_bench.slope import Slope


def fitted(runs):
    return Slope.fit("s", runs, size_unit="nodes", figure_unit="bytes", command="c")


class TestSlope:
    def test_line_is_fitted_through_the_medians(self):
        slope = fitted({7: [24, 24, 900], 14: [45, 45, 45], 56: [171, 170, 171]})
        assert slope.per_size == pytest.approx(3.0)
        assert slope.at(380) == pytest.approx(1143.0)

    def test_worst_run_scales_the_value_of_the_line(self):
        slope = fitted({10: [10, 10, 15], 20: [20, 20, 20]})
        assert slope.worst_at(100) == pytest.approx(150.0)


class TestMetrics:
    def test_sum_by_label_adds_samples_of_equal_label(self):
        page = (
            "# HELP bytes_total Bytes.\n"
            'bytes_total{direction="sent",kind="summary"} 12\n'
            'bytes_total{direction="received",kind="summary"} 5.5\n'
            'bytes_total{direction="sent",kind="gr\\"ant"} 3 1700000\n'
            "up 1\n"
        )
        samples = parse_samples(page)
        assert sum_by_label(samples, "bytes_total", "direction") == {
            "sent": 15.0,
            "received": 5.5,
        }
