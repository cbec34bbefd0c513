"""Labels and the selectors that match them.

A selector is a conjunction of requirements. Contradictions (a key that must both be absent and
have a value) are rejected when the declaration is checked, since such a selector would silently
match nothing.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Mapping

import msgspec

from ...errors import InvalidArgumentError

Labels = Mapping[str, str]

MAX_LABELS = 64
_KEY = re.compile(r"[a-z0-9]([a-z0-9./_-]{0,61}[a-z0-9])?\Z")
_VALUE = re.compile(r"([A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?)?\Z")


class Operator(enum.Enum):
    """Relation between a label and the values of a requirement."""

    IN = "in"
    NOT_IN = "not-in"
    EXISTS = "exists"
    ABSENT = "absent"


class Requirement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One condition on one label key."""

    key: str
    operator: Operator = Operator.IN
    values: tuple[str, ...] = ()

    def matches(self, labels: Labels) -> bool:
        """Return whether `labels` satisfies this condition."""
        value = labels.get(self.key)
        if self.operator is Operator.IN:
            return value in self.values
        if self.operator is Operator.NOT_IN:
            return value not in self.values
        if self.operator is Operator.EXISTS:
            return value is not None
        return value is None


class LabelSelector(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A conjunction of requirements; an empty one matches everything."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Labels) -> bool:
        """Return whether `labels` satisfies every requirement."""
        return all(requirement.matches(labels) for requirement in self.requirements)


MATCH_ALL = LabelSelector()


def validate_labels(field: str, labels: Labels) -> None:
    """Check the syntax and number of labels.

    Raises
    ------
    InvalidArgumentError
        If a key or a value is malformed or there are more than `MAX_LABELS`.
    """
    if len(labels) > MAX_LABELS:
        raise InvalidArgumentError(field, len(labels), f"at most {MAX_LABELS} labels")
    for key, value in labels.items():
        if not _KEY.match(key):
            raise InvalidArgumentError(
                f"{field}.{key}",
                key,
                "1 to 63 lower-case letters, digits or ./_- as a key, "
                "with a letter or digit at both ends",
            )
        if not _VALUE.match(value):
            raise InvalidArgumentError(
                f"{field}.{key}",
                value,
                "up to 63 letters, digits or ._- as a value, with a letter or digit at both ends",
            )


def validate_selector(field: str, selector: LabelSelector) -> None:
    """Check that a selector is well formed and can match something.

    Raises
    ------
    InvalidArgumentError
        If a requirement is malformed or two requirements contradict each other.
    """
    allowed: dict[str, set[str]] = {}
    absent: set[str] = set()
    present: set[str] = set()
    for number, requirement in enumerate(selector.requirements):
        path = f"{field}.requirements[{number}]"
        _validate_requirement(path, requirement)
        key = requirement.key
        if requirement.operator is Operator.IN:
            present.add(key)
            values = set(requirement.values)
            allowed[key] = allowed.get(key, values) & values
        elif requirement.operator is Operator.NOT_IN and key in allowed:
            allowed[key] -= set(requirement.values)
        elif requirement.operator is Operator.EXISTS:
            present.add(key)
        elif requirement.operator is Operator.ABSENT:
            absent.add(key)
    for requirement in selector.requirements:
        if requirement.operator is Operator.NOT_IN and requirement.key in allowed:
            allowed[requirement.key] -= set(requirement.values)
    for key in sorted(present & absent):
        raise InvalidArgumentError(field, key, "requirements that do not contradict each other")
    for key, values in sorted(allowed.items()):
        if not values:
            raise InvalidArgumentError(field, key, "requirements that leave at least one value")


def _validate_requirement(path: str, requirement: Requirement) -> None:
    if not _KEY.match(requirement.key):
        raise InvalidArgumentError(f"{path}.key", requirement.key, "a label key")
    takes_values = requirement.operator in (Operator.IN, Operator.NOT_IN)
    if takes_values and not requirement.values:
        raise InvalidArgumentError(f"{path}.values", requirement.values, "at least one value")
    if not takes_values and requirement.values:
        raise InvalidArgumentError(f"{path}.values", requirement.values, "no values")
    for value in requirement.values:
        if not _VALUE.match(value):
            raise InvalidArgumentError(f"{path}.values", value, "label values")
