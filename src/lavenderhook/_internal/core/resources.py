"""Amounts of processors, memory and accelerators."""

from __future__ import annotations

import msgspec

from ...errors import InvalidArgumentError


class Resources(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An amount of each resource of a worker.

    Parameters
    ----------
    processors : int
        Thousandths of a processor (millicores), so that sums stay exact.
    memory_mb : int
        Memory in mebibytes.
    accelerators : int
        Whole accelerators.
    """

    processors: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, capacity: Resources) -> bool:
        """Return whether this amount fits into `capacity` in every dimension."""
        return (
            self.processors <= capacity.processors
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )

    def compute_dominant_share(self, total: Resources) -> float:
        """Return the dominant share of this amount in `total`.

        Parameters
        ----------
        total : Resources
            Capacity against which each dimension is compared.

        Returns
        -------
        float
            Largest ratio over all dimensions; dimensions without capacity are left out.
        """
        pairs = (
            (self.processors, total.processors),
            (self.memory_mb, total.memory_mb),
            (self.accelerators, total.accelerators),
        )
        return max((used / capacity for used, capacity in pairs if capacity > 0), default=0.0)


ZERO_RESOURCES = Resources()


def validate_resources(field: str, resources: Resources) -> None:
    """Check that an amount may be requested by a task.

    Parameters
    ----------
    field : str
        Path of the argument, named in the error.
    resources : Resources
        The amount to check.

    Raises
    ------
    InvalidArgumentError
        If an amount is negative or no processors are requested.
    """
    for name in ("processors", "memory_mb", "accelerators"):
        value = getattr(resources, name)
        if value < 0:
            raise InvalidArgumentError(f"{field}.{name}", value, "an amount of 0 or more")
    if resources.processors == 0:
        raise InvalidArgumentError(f"{field}.processors", 0, "at least 1 millicore")
