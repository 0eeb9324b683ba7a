"""Settings that have passed every check and can be put in force as a whole."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from irisstack.interface import Settings


@dataclass(slots=True, frozen=True)
class AcceptedSettings:
    """The settings that a node will run with, and which parts are kept only for pending messages."""

    settings: Settings
    """Positions are those of the previous settings; removed definitions keep theirs."""
    classes: frozenset[str]
    """Names of the classes in which new messages are accepted."""
    tenants: frozenset[str]
    """Names of the tenants whose new messages are accepted."""
    retired: Mapping[str, Any]
    """Definitions of removed classes and kinds, by the path of their item (`lanes/NAME`, `kinds/NAME`)."""
