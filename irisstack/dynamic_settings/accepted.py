"""Settings that passed every check and may be taken as a whole."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from irisstack.interface import Settings


@dataclass(slots=True, frozen=True)
class AcceptedSettings:
    """What a node is to run by, and what of it is only kept for messages that are owed."""

    settings: Settings
    """With the positions of the settings before them: what went is still at its place."""
    classes: frozenset[str]
    """The names of the classes in which new messages are taken on."""
    tenants: frozenset[str]
    """The names of the tenants for whom new messages are taken on."""
    retired: Mapping[str, Any]
    """Definitions of what went, by the path (`lanes/NAME`, `kinds/NAME`) at which an item would set it."""
