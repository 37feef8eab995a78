from citrondock_bench.configuration_slopes import (
    ConfigurationSize,
    measure_configuration,
)


class TestMeasureConfiguration:
    def test_deltas_cost_less_than_the_whole_text(self):
        slopes = measure_configuration(
            ConfigurationSize(
                account_count=300, target_count=20, measured_change_count=3
            )
        )

        costs = {way.name: way for way in slopes.ways}
        assert costs["delta"].calls_per_change == 1
        assert (
            costs["delta"].bytes_per_change < costs["whole text"].bytes_per_change / 3
        )
