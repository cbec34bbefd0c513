"""Bounded model checking of the core protocol.

Each module under `specifications` specifies one part of docs/design.md. The checker explores every
reachable state within the bounds. It must also refute every mutant, which is the specification
with one rule removed.
"""
