"""Randomized soak of the platform's program: real processes, faults from outside."""
