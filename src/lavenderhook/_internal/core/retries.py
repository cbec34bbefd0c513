"""Retry budgets and backoff of requests."""

from __future__ import annotations

import dataclasses
import random

# Capacity and initial content of a bucket, so that a service with few requests can retry too.
MAX_TOKENS = 10.0
BACKOFF_BASE_SECONDS = 0.01
BACKOFF_MAX_SECONDS = 0.25


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Token bucket: each request from a caller adds a share of a token, each retry takes one.

    In the long run retries are at most that share of the requests, so that failing upstreams do
    not multiply the load.
    """

    tokens: float = MAX_TOKENS

    def deposit(self, share: float) -> None:
        """Add the share of a token for a request from a caller."""
        self.tokens = min(MAX_TOKENS, self.tokens + share)

    def withdraw(self) -> bool:
        """Take a token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclasses.dataclass(slots=True)
class RetryState:
    """The retry budgets by service."""

    budgets: dict[str, RetryBudget] = dataclasses.field(default_factory=dict)

    def get_budget(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget()
        return budget


def compute_backoff(generator: random.Random, tries: int) -> float:
    """Return the wait in seconds before the next try, with full jitter.

    Parameters
    ----------
    generator : random.Random
        Draws the jitter.
    tries : int
        Tries so far, at least 1.

    Returns
    -------
    float
        Seconds, at most `BACKOFF_MAX_SECONDS`.
    """
    ceiling = min(BACKOFF_MAX_SECONDS, BACKOFF_BASE_SECONDS * 2.0 ** (tries - 1))
    return generator.random() * ceiling
