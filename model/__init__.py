"""Model checking of the core protocol at stated bounds.

Each module under `specifications` holds one small specification of a part of docs/design.md. The
checker explores every reachable state within the bounds, and must refute every mutant, which is
the specification with one rule taken out.
"""
