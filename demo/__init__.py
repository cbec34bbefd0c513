"""Demo, and the local cluster of processes that it shares with tests and benchmarks."""
