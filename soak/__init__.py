"""Randomized soak tests of the platform program: real processes under injected faults."""
