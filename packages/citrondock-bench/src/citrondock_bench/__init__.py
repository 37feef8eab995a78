"""Load generator, benchmarks, fairness experiments and the demo fleet."""
