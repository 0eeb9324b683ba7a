"""The page's rows that are told in words, as `rows.toml` holds them."""

from pathlib import Path

import msgspec

FILE = Path(__file__).with_name("rows.toml")


class RoleRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One resource of a role, and the module that carries it."""

    role: str
    resource: str
    at_target: str
    mechanism: str


class NumberRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One of the operators' numbers, and what it meets today."""

    number: str
    meets: str
    mechanism: str


class FailureRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of failure in time."""

    failure: str
    first_second: str
    first_minute: str
    recovery: str
    bound: str


class Rows(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All of them; their texts are templates (see `template`)."""

    roles: tuple[RoleRow, ...]
    numbers: tuple[NumberRow, ...]
    failures: tuple[FailureRow, ...]


def load() -> Rows:
    """The rows that come with the program."""
    return msgspec.toml.decode(FILE.read_bytes(), type=Rows)
